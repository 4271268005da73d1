// Package archiver exports prompts' KV cache blocks from engines to store hosts
// and imports them back into engines.
//
// Each export uses a new name for the block's data. The block's manifest, with
// length and checksum, is written last, after the store has acknowledged all of
// the data, and lookups find only manifests. So a partially written block is
// never found, and reading a deleted block returns "not found" instead of other
// data. A block is evicted by deleting its manifest first, and its data only
// after the longest possible import has ended.
//
// All blocks of a chain are on one store host, which rendezvous hashing selects
// by the chain's first block. Any node can look them up there, so no directory
// is needed. Any failure only means that tokens are recomputed.
//
// # Usage
//
//	found := archive.Lookup(ctx, stores, chain, group)
//	imported := archive.Import(ctx, endpoint, found, from)
//	archive.Export(ctx, stores, endpoint, chain, forecast)
package archiver

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Sentinel errors of a Store.
var (
	// ErrManifestExists is returned when a block already has a manifest.
	ErrManifestExists = errors.New("block already has a manifest")
	// ErrFull is returned by a store host without free capacity.
	ErrFull = errors.New("store host is full")
)

const (
	// lookupTimeout limits how much a lookup may add to the time to first
	// token.
	lookupTimeout = 50 * time.Millisecond
	importTimeout = 5 * time.Second
	exportTimeout = 30 * time.Second
	// minExportBlocks is the length of the shortest chain that is exported.
	minExportBlocks = 2
)

// Manifest describes a stored block.
type Manifest struct {
	Block    fingerprinter.Block
	Position int
	// Data is the name of the block's data on the store host.
	Data     string
	Bytes    int64
	Checksum string
	// ReturnTime is the time until the prompt's next use as announced by the
	// caller; zero if unknown.
	ReturnTime time.Duration
	// Group is the group of the prompt that the block was exported for.
	Group evictor.Group
}

// Transfer is the transfer of one block between an engine and a store host.
type Transfer struct {
	Block    fingerprinter.Block
	Store    netip.AddrPort
	Data     string
	Bytes    int64
	Checksum string
	// Failed is set if the block was not transferred completely.
	Failed bool
	// AlreadyCached is set if the engine already had the block.
	AlreadyCached bool
}

// Store is a client for store hosts.
type Store interface {
	// FindManifests returns the manifests that a host has for the given blocks, with
	// their usage before this lookup.
	FindManifests(ctx context.Context, host netip.AddrPort, blocks []fingerprinter.Block) (map[fingerprinter.Block]StoredManifest, error)
	// WriteManifest writes a manifest. It returns ErrManifestExists when the block
	// already has one.
	WriteManifest(ctx context.Context, host netip.AddrPort, manifest Manifest) error
	// DeleteManifest deletes a block's manifest, DeleteData a block's data.
	DeleteManifest(ctx context.Context, host netip.AddrPort, block fingerprinter.Block) error
	DeleteData(ctx context.Context, host netip.AddrPort, data string) error
	// Usage returns a host's used and total bytes.
	Usage(ctx context.Context, host netip.AddrPort) (used, capacity int64, err error)
	// ListManifests returns all manifests of a host.
	ListManifests(ctx context.Context, host netip.AddrPort) ([]StoredManifest, error)
}

// StoredManifest is a manifest with the store host's usage statistics for it.
type StoredManifest struct {
	Manifest
	Idle    time.Duration
	Lookups int
}

// Mover tells engines to export or import blocks.
type Mover interface {
	Export(ctx context.Context, endpoint registrar.Endpoint, transfers []Transfer) ([]Transfer, error)
	Import(ctx context.Context, endpoint registrar.Endpoint, transfers []Transfer) ([]Transfer, error)
}

// Archive is one node's client for the store tier. Its exported fields are set
// before use, and it is safe for concurrent use.
type Archive struct {
	Store Store
	Mover Mover
	Links *Links
	// Process is a random ID of this process that makes data names unique.
	Process uint64
	// Learner learns the return times of prompts from lookups.
	Learner *evictor.Learner
	Now     func() time.Time

	counter atomic.Uint64
}

// ReturnForecast describes when a prompt is expected to be used again.
type ReturnForecast struct {
	// AnnouncedTime is the time as announced by the caller; zero if unknown.
	AnnouncedTime time.Duration
	Group         evictor.Group
}

// StoredPrefix is the stored prefix of a chain.
type StoredPrefix struct {
	Host      registrar.Endpoint
	Manifests []Manifest
}

// Blocks returns the number of leading blocks that are stored.
func (f StoredPrefix) Blocks() int { return len(f.Manifests) }

// Bytes returns the size of the stored blocks from position from in the chain.
func (f StoredPrefix) Bytes(from int) int64 {
	sum := int64(0)
	for _, manifest := range f.Manifests[min(from, len(f.Manifests)):] {
		sum += manifest.Bytes
	}
	return sum
}

// AssignedHost returns the store host of a chain among the usable hosts. It
// returns false when there is none or the chain is empty.
func (a *Archive) AssignedHost(hosts []registrar.EndpointState, chain []fingerprinter.Block) (registrar.Endpoint, bool) {
	if len(chain) == 0 {
		return registrar.Endpoint{}, false
	}
	byName := map[string]registrar.Endpoint{}
	var names []string
	for _, row := range hosts {
		if !row.IsLeaving() {
			names = append(names, row.Name)
			byName[row.Name] = row.Endpoint
		}
	}
	if len(names) == 0 {
		return registrar.Endpoint{}, false
	}
	return byName[ranker.Pick(names, string(chain[0]))], true
}

// Lookup returns the stored prefix of a chain. It never fails: a store host
// that does not answer in time is treated as empty.
func (a *Archive) Lookup(ctx context.Context, hosts []registrar.EndpointState, chain []fingerprinter.Block, group evictor.Group) StoredPrefix {
	host, ok := a.AssignedHost(hosts, chain)
	if !ok || !a.Links.Usable(a.Now(), host.Name) {
		return StoredPrefix{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	manifests, err := a.Store.FindManifests(ctx, host.Address, chain)
	a.Links.RecordResult(a.Now(), host.Name, err)
	if err != nil {
		return StoredPrefix{}
	}
	a.Learner.RecordLookup(group, manifests[chain[0]].Idle)
	found := StoredPrefix{Host: host}
	for _, block := range chain {
		listed, ok := manifests[block]
		if !ok || listed.Block != block {
			break
		}
		found.Manifests = append(found.Manifests, listed.Manifest)
	}
	return found
}

// ExpectedWait returns the expected time until an engine has imported the
// stored blocks from position from in the chain.
func (a *Archive) ExpectedWait(found StoredPrefix, from int) time.Duration {
	return a.Links.ExpectedWait(found.Host.Name, found.Bytes(from))
}

// Import makes an engine import a chain's stored blocks and returns those that
// were imported completely. The request lists all blocks, including those
// before from, which the engine is assumed to hold. The engine fetches what it
// lacks and marks the rest as used, so that the new blocks do not evict the
// start of their own chain.
func (a *Archive) Import(ctx context.Context, endpoint registrar.Endpoint, found StoredPrefix, from int) []fingerprinter.Block {
	var transfers []Transfer
	for _, manifest := range found.Manifests {
		transfers = append(transfers, Transfer{
			Block:    manifest.Block,
			Store:    found.Host.Address,
			Data:     manifest.Data,
			Bytes:    manifest.Bytes,
			Checksum: manifest.Checksum,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	done := a.Links.BeginTransfer(a.Now(), found.Host.Name, found.Bytes(from))
	moved, err := a.Mover.Import(ctx, endpoint, transfers)
	done(a.Now(), fetchedBytes(moved), err)
	if err != nil {
		return nil
	}
	var arrived []fingerprinter.Block
	for _, transfer := range moved {
		if transfer.Failed {
			break
		}
		arrived = append(arrived, transfer.Block)
	}
	return arrived
}

// fetchedBytes returns the number of bytes sent over the link.
func fetchedBytes(moved []Transfer) int64 {
	sum := int64(0)
	for _, transfer := range moved {
		if !transfer.AlreadyCached && !transfer.Failed {
			sum += transfer.Bytes
		}
	}
	return sum
}

// Export stores those blocks of a chain that are not stored yet and returns
// their number. It runs in the background after a request has finished.
func (a *Archive) Export(ctx context.Context, hosts []registrar.EndpointState, endpoint registrar.Endpoint, chain []fingerprinter.Block, forecast ReturnForecast) (int, error) {
	if len(chain) < minExportBlocks {
		return 0, nil
	}
	host, ok := a.AssignedHost(hosts, chain)
	if !ok || !a.Links.Usable(a.Now(), host.Name) {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	existing, err := a.Store.FindManifests(ctx, host.Address, chain)
	if err != nil {
		return 0, err
	}
	transfers := a.missing(host, chain, existing)
	if len(transfers) == 0 || !a.Links.ReserveExport(a.Now(), host.Name, len(transfers)) {
		return 0, nil
	}
	done := a.Links.BeginTransfer(a.Now(), host.Name, 0)
	moved, err := a.Mover.Export(ctx, endpoint, transfers)
	done(a.Now(), 0, err)
	if err != nil {
		return 0, err
	}
	return a.writeManifests(ctx, host, chain, moved, forecast)
}

func (a *Archive) missing(host registrar.Endpoint, chain []fingerprinter.Block, existing map[fingerprinter.Block]StoredManifest) []Transfer {
	var transfers []Transfer
	for _, block := range chain {
		if _, stored := existing[block]; stored {
			continue
		}
		name := fmt.Sprintf("%x-%x", a.Process, a.counter.Add(1))
		transfers = append(transfers, Transfer{Block: block, Store: host.Address, Data: name})
	}
	return transfers
}

// writeManifests writes the manifests of the blocks that were exported
// completely. If another node has written a block's manifest first, the block's
// data is deleted.
func (a *Archive) writeManifests(ctx context.Context, host registrar.Endpoint, chain []fingerprinter.Block, moved []Transfer, forecast ReturnForecast) (int, error) {
	positions := map[fingerprinter.Block]int{}
	for i, block := range chain {
		positions[block] = i
	}
	written := 0
	for _, transfer := range moved {
		if transfer.Failed {
			a.Links.RecordResult(a.Now(), host.Name, ErrFull)
			continue
		}
		manifest := Manifest{
			Block:      transfer.Block,
			Position:   positions[transfer.Block],
			Data:       transfer.Data,
			Bytes:      transfer.Bytes,
			Checksum:   transfer.Checksum,
			ReturnTime: forecast.AnnouncedTime,
			Group:      forecast.Group,
		}
		err := a.Store.WriteManifest(ctx, host.Address, manifest)
		if errors.Is(err, ErrManifestExists) {
			_ = a.Store.DeleteData(ctx, host.Address, transfer.Data)
			continue
		}
		if err != nil {
			// The manifest may have been written, so its data must be kept.
			return written, err
		}
		written++
		a.Links.RecordExport(host.Name, transfer.Bytes)
	}
	return written, nil
}
