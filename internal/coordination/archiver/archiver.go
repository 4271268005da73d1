// Package archiver keeps prompts' cache blocks on store hosts and brings them
// back to engines.
//
// A block is exported under a name that is never used again. Its manifest, with
// length and checksum, is written last, once the store has acknowledged the
// whole block, and is what look-ups find; so a block that is partly written is
// never found, and a block that was freed is "not found" and never other bytes.
// To free a block its manifest is deleted first and its data only after the
// longest import has ended.
//
// All blocks of a chain are on the store host that rendezvous hashing gives for
// the chain's first block: any node finds them by asking, and there is no
// directory to lose. Every failure here means that tokens are recomputed.
//
// # Usage
//
//	found := archive.Lookup(ctx, stores, chain, group)
//	imported := archive.Import(ctx, endpoint, found, from)
//	archive.Export(ctx, stores, endpoint, chain, comeback)
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
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/owner"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Sentinel errors of a Store.
var (
	// ErrTaken is returned for a manifest that exists already.
	ErrTaken = errors.New("name is taken")
	// ErrFull is returned by a store host without room.
	ErrFull = errors.New("store host is full")
)

const (
	// lookupTimeout bounds what a look-up may add to the first token's time.
	lookupTimeout = 50 * time.Millisecond
	importTimeout = 5 * time.Second
	exportTimeout = 30 * time.Second
	// minExportBlocks is the shortest chain worth keeping.
	minExportBlocks = 2
)

// Manifest describes a stored block.
type Manifest struct {
	Block    fingerprinter.Block
	Position int
	// Data is the name under which the block's bytes are stored.
	Data     string
	Bytes    int64
	Checksum string
	// Return is the caller's word on when the prompt comes back; zero for none.
	Return time.Duration
	// Group is the group of the prompt that brought the block.
	Group evictor.Group
}

// Transfer is one block on its way between an engine and a store host.
type Transfer struct {
	Block    fingerprinter.Block
	Store    netip.AddrPort
	Data     string
	Bytes    int64
	Checksum string
	// Failed is set for a block that did not arrive whole.
	Failed bool
	// Held is set for a block that the engine had already.
	Held bool
}

// Store reaches store hosts.
type Store interface {
	// Find returns the manifests that a host has among those of blocks, with
	// their use before this look-up.
	Find(ctx context.Context, host netip.AddrPort, blocks []fingerprinter.Block) (map[fingerprinter.Block]Listed, error)
	// Seal writes a manifest. It returns ErrTaken when the block has one.
	Seal(ctx context.Context, host netip.AddrPort, manifest Manifest) error
	// Unseal deletes a block's manifest, Delete deletes data.
	Unseal(ctx context.Context, host netip.AddrPort, block fingerprinter.Block) error
	Delete(ctx context.Context, host netip.AddrPort, data string) error
	// Usage returns a host's used and total bytes.
	Usage(ctx context.Context, host netip.AddrPort) (used, capacity int64, err error)
	// List returns all manifests of a host.
	List(ctx context.Context, host netip.AddrPort) ([]Listed, error)
}

// Listed is a manifest with what the store host knows of its use.
type Listed struct {
	Manifest
	Idle   time.Duration
	Visits int
}

// Mover orders engines to move blocks.
type Mover interface {
	Export(ctx context.Context, endpoint registrar.Endpoint, transfers []Transfer) ([]Transfer, error)
	Import(ctx context.Context, endpoint registrar.Endpoint, transfers []Transfer) ([]Transfer, error)
}

// Archive is the store tier as one node uses it. Its exported fields are set
// before use, and it is safe for concurrent use.
type Archive struct {
	Store Store
	Mover Mover
	Links *Links
	// Process is random per process and makes names unique.
	Process uint64
	// Learner learns the return times of the prompts that are looked up.
	Learner *evictor.Learner
	Now     func() time.Time

	counter atomic.Uint64
}

// Comeback is what is known of when a prompt returns.
type Comeback struct {
	// After is the caller's word; zero for none.
	After time.Duration
	Group evictor.Group
}

// Found is the stored start of a chain.
type Found struct {
	Host      registrar.Endpoint
	Manifests []Manifest
}

// Blocks returns the number of leading blocks that are stored.
func (f Found) Blocks() int { return len(f.Manifests) }

// Bytes returns the size of the stored blocks from a place in the chain on.
func (f Found) Bytes(from int) int64 {
	sum := int64(0)
	for _, manifest := range f.Manifests[min(from, len(f.Manifests)):] {
		sum += manifest.Bytes
	}
	return sum
}

// Home returns the store host of a chain among those that are usable.
func (a *Archive) Home(hosts []registrar.Row, chain []fingerprinter.Block) (registrar.Endpoint, bool) {
	if len(chain) == 0 {
		return registrar.Endpoint{}, false
	}
	byName := map[string]registrar.Endpoint{}
	var names []string
	for _, row := range hosts {
		if !row.Left() {
			names = append(names, row.Name)
			byName[row.Name] = row.Endpoint
		}
	}
	if len(names) == 0 {
		return registrar.Endpoint{}, false
	}
	return byName[owner.Pick(names, string(chain[0]))], true
}

// Lookup returns the stored start of a chain. It never fails: a store host that
// does not answer in time holds nothing for now.
func (a *Archive) Lookup(ctx context.Context, hosts []registrar.Row, chain []fingerprinter.Block, group evictor.Group) Found {
	host, ok := a.Home(hosts, chain)
	if !ok || !a.Links.Usable(a.Now(), host.Name) {
		return Found{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	manifests, err := a.Store.Find(ctx, host.Address, chain)
	a.Links.Answered(a.Now(), host.Name, err)
	if err != nil {
		return Found{}
	}
	a.Learner.Visit(group, manifests[chain[0]].Idle)
	found := Found{Host: host}
	for _, block := range chain {
		listed, ok := manifests[block]
		if !ok || listed.Block != block {
			break
		}
		found.Manifests = append(found.Manifests, listed.Manifest)
	}
	return found
}

// Wait returns the time until the stored blocks from a place in the chain on
// would have arrived at an engine.
func (a *Archive) Wait(found Found, from int) time.Duration {
	return a.Links.Wait(found.Host.Name, found.Bytes(from))
}

// Import brings a chain's stored blocks to an engine and returns those that are
// there whole. All blocks are named, also those before from that the engine is
// believed to hold: it fetches what it lacks and counts the rest as used, so that
// the new blocks don't push out the start of their own chain.
func (a *Archive) Import(ctx context.Context, endpoint registrar.Endpoint, found Found, from int) []fingerprinter.Block {
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
	done := a.Links.Begin(a.Now(), found.Host.Name, found.Bytes(from))
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

// fetchedBytes returns what crossed the link.
func fetchedBytes(moved []Transfer) int64 {
	sum := int64(0)
	for _, transfer := range moved {
		if !transfer.Held && !transfer.Failed {
			sum += transfer.Bytes
		}
	}
	return sum
}

// Export stores the blocks of a chain that are not stored yet, in the
// background of a finished run.
func (a *Archive) Export(ctx context.Context, hosts []registrar.Row, endpoint registrar.Endpoint, chain []fingerprinter.Block, back Comeback) (int, error) {
	if len(chain) < minExportBlocks {
		return 0, nil
	}
	host, ok := a.Home(hosts, chain)
	if !ok || !a.Links.Usable(a.Now(), host.Name) {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	held, err := a.Store.Find(ctx, host.Address, chain)
	if err != nil {
		return 0, err
	}
	transfers := a.missing(host, chain, held)
	if len(transfers) == 0 || !a.Links.Spend(a.Now(), host.Name, len(transfers)) {
		return 0, nil
	}
	done := a.Links.Begin(a.Now(), host.Name, 0)
	moved, err := a.Mover.Export(ctx, endpoint, transfers)
	done(a.Now(), 0, err)
	if err != nil {
		return 0, err
	}
	return a.seal(ctx, host, chain, moved, back)
}

func (a *Archive) missing(host registrar.Endpoint, chain []fingerprinter.Block, held map[fingerprinter.Block]Listed) []Transfer {
	var transfers []Transfer
	for _, block := range chain {
		if _, stored := held[block]; stored {
			continue
		}
		name := fmt.Sprintf("%x-%x", a.Process, a.counter.Add(1))
		transfers = append(transfers, Transfer{Block: block, Store: host.Address, Data: name})
	}
	return transfers
}

// seal writes the manifests of the blocks that arrived whole. The data of a
// block that lost a race, or whose manifest could not be written, is deleted.
func (a *Archive) seal(ctx context.Context, host registrar.Endpoint, chain []fingerprinter.Block, moved []Transfer, back Comeback) (int, error) {
	places := map[fingerprinter.Block]int{}
	for i, block := range chain {
		places[block] = i
	}
	sealed := 0
	for _, transfer := range moved {
		if transfer.Failed {
			a.Links.Answered(a.Now(), host.Name, ErrFull)
			continue
		}
		manifest := Manifest{
			Block:    transfer.Block,
			Position: places[transfer.Block],
			Data:     transfer.Data,
			Bytes:    transfer.Bytes,
			Checksum: transfer.Checksum,
			Return:   back.After,
			Group:    back.Group,
		}
		err := a.Store.Seal(ctx, host.Address, manifest)
		if errors.Is(err, ErrTaken) {
			_ = a.Store.Delete(ctx, host.Address, transfer.Data)
			continue
		}
		if err != nil {
			// The manifest may have been written, so its data stays.
			return sealed, err
		}
		sealed++
		a.Links.Moved(host.Name, transfer.Bytes)
	}
	return sealed, nil
}
