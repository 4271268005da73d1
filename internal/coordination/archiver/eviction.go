package archiver

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// highWatermark and lowWatermark are the shares of a host's capacity at
	// which eviction starts and stops.
	highWatermark = 0.90
	lowWatermark  = 0.80
	// evictTimeout limits the eviction on one host, so that a host that hangs
	// does not delay the others.
	evictTimeout = 5 * time.Second
	// deleteDelay is the time between the deletion of a manifest and the
	// deletion of its data. It exceeds the duration of any import.
	deleteDelay = 2 * importTimeout
)

// StoreCleaner evicts blocks from store hosts. Its exported fields are set
// before use; it must be used by one goroutine only.
type StoreCleaner struct {
	Store  Store
	Policy evictor.Policy
	Now    func() time.Time

	// pending holds data to delete whose manifests have been deleted.
	pending []pendingDelete
}

type pendingDelete struct {
	host        registrar.Endpoint
	data        string
	bytes       int64
	deleteAfter time.Time
}

// Evict evicts blocks from a host above the high watermark. It deletes
// manifests until the remaining data is below the low watermark, and deletes
// the data of manifests that were deleted at least deleteDelay ago. Data left
// behind by a node that crashes in between is deleted by DeleteOrphans. Evict
// returns the number of deleted manifests.
func (f *StoreCleaner) Evict(ctx context.Context, host registrar.Endpoint) (evicted int, err error) {
	ctx, cancel := context.WithTimeout(ctx, evictTimeout)
	defer cancel()
	f.deletePending(ctx)
	used, capacity, err := f.Store.Usage(ctx, host.Address)
	if err != nil {
		return 0, err
	}
	excess := used - f.pendingBytes(host) - int64(lowWatermark*float64(capacity))
	if float64(used) < highWatermark*float64(capacity) || excess <= 0 {
		return 0, nil
	}
	listed, err := f.Store.ListManifests(ctx, host.Address)
	if err != nil {
		return 0, err
	}
	return f.deleteManifests(ctx, host, listed, excess)
}

func (f *StoreCleaner) deleteManifests(ctx context.Context, host registrar.Endpoint, listed []StoredManifest, excess int64) (evicted int, err error) {
	byName := map[string]StoredManifest{}
	var blocks []evictor.Block
	for _, l := range listed {
		byName[string(l.Block)] = l
		blocks = append(blocks, evictor.Block{
			Name:       string(l.Block),
			Position:   l.Position,
			Idle:       l.Idle,
			Lookups:    l.Lookups,
			Bytes:      l.Bytes,
			ReturnTime: l.ReturnTime,
			Group:      l.Group,
		})
	}
	for _, block := range evictor.Order(f.Policy, blocks) {
		if excess <= 0 {
			break
		}
		if err := f.Store.DeleteManifest(ctx, host.Address, fingerprinter.Block(block.Name)); err != nil {
			return evicted, err
		}
		f.pending = append(f.pending, pendingDelete{host: host, data: byName[block.Name].Data, bytes: block.Bytes, deleteAfter: f.Now().Add(deleteDelay)})
		excess -= block.Bytes
		evicted++
	}
	return evicted, nil
}

// pendingBytes returns the number of bytes on a host that are waiting for
// deletion.
func (f *StoreCleaner) pendingBytes(host registrar.Endpoint) int64 {
	sum := int64(0)
	for _, pending := range f.pending {
		if pending.host.Name == host.Name {
			sum += pending.bytes
		}
	}
	return sum
}

func (f *StoreCleaner) deletePending(ctx context.Context) {
	remaining := f.pending[:0]
	for _, pending := range f.pending {
		if f.Now().Before(pending.deleteAfter) || f.Store.DeleteData(ctx, pending.host.Address, pending.data) != nil {
			remaining = append(remaining, pending)
		}
	}
	f.pending = remaining
}

// DeleteOrphans deletes a host's data that no manifest refers to and that has not
// been read for orphanAge, such as data left by interrupted exports and
// evictions. names maps the host's data names to their idle times.
func (f *StoreCleaner) DeleteOrphans(ctx context.Context, host registrar.Endpoint, names map[string]time.Duration, listed []StoredManifest) (deleted int, err error) {
	named := map[string]bool{}
	for _, l := range listed {
		named[l.Data] = true
	}
	for name, idle := range names {
		if named[name] || idle < orphanAge {
			continue
		}
		if err := f.Store.DeleteData(ctx, host.Address, name); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// orphanAge is far longer than the time between an export and its manifest.
const orphanAge = 10 * exportTimeout
