package archiver

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// highMark and lowMark are the shares of a host's capacity at which
	// freeing begins and ends.
	highMark = 0.90
	lowMark  = 0.80
	// freeTimeout bounds the freeing of one host, so that one that hangs does
	// not hold up the others.
	freeTimeout = 5 * time.Second
	// deleteDelay is the time between the end of a manifest and the end of its
	// data; no import lasts longer.
	deleteDelay = 2 * importTimeout
)

// Freer makes room on store hosts. Its exported fields are set before use; it
// belongs to one goroutine.
type Freer struct {
	Store  Store
	Policy evictor.Policy
	Now    func() time.Time

	// doomed holds data whose manifests are gone.
	doomed []doomedBlock
}

type doomedBlock struct {
	host  registrar.Endpoint
	data  string
	bytes int64
	after time.Time
}

// Free deletes the manifests of a host that is nearly full until enough of its
// bytes are doomed, and the data of manifests that were deleted long enough ago.
// A node that dies in between leaves data without manifest, which Collect finds.
func (f *Freer) Free(ctx context.Context, host registrar.Endpoint) (freed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	f.deleteDoomed(ctx)
	used, capacity, err := f.Store.Usage(ctx, host.Address)
	if err != nil {
		return 0, err
	}
	excess := used - f.doomedBytes(host) - int64(lowMark*float64(capacity))
	if float64(used) < highMark*float64(capacity) || excess <= 0 {
		return 0, nil
	}
	listed, err := f.Store.List(ctx, host.Address)
	if err != nil {
		return 0, err
	}
	return f.unseal(ctx, host, listed, excess)
}

func (f *Freer) unseal(ctx context.Context, host registrar.Endpoint, listed []Listed, excess int64) (freed int, err error) {
	byName := map[string]Listed{}
	var blocks []evictor.Block
	for _, l := range listed {
		byName[string(l.Block)] = l
		blocks = append(blocks, evictor.Block{
			Name:     string(l.Block),
			Position: l.Position,
			Idle:     l.Idle,
			Visits:   l.Visits,
			Bytes:    l.Bytes,
			Return:   l.Return,
			Group:    l.Group,
		})
	}
	for _, block := range evictor.Order(f.Policy, blocks) {
		if excess <= 0 {
			break
		}
		if err := f.Store.Unseal(ctx, host.Address, fingerprinter.Block(block.Name)); err != nil {
			return freed, err
		}
		f.doomed = append(f.doomed, doomedBlock{host: host, data: byName[block.Name].Data, bytes: block.Bytes, after: f.Now().Add(deleteDelay)})
		excess -= block.Bytes
		freed++
	}
	return freed, nil
}

// doomedBytes returns what a host will have free once its doomed data is gone.
func (f *Freer) doomedBytes(host registrar.Endpoint) int64 {
	sum := int64(0)
	for _, doomed := range f.doomed {
		if doomed.host.Name == host.Name {
			sum += doomed.bytes
		}
	}
	return sum
}

func (f *Freer) deleteDoomed(ctx context.Context) {
	kept := f.doomed[:0]
	for _, doomed := range f.doomed {
		if f.Now().Before(doomed.after) || f.Store.Delete(ctx, doomed.host.Address, doomed.data) != nil {
			kept = append(kept, doomed)
		}
	}
	f.doomed = kept
}

// Collect deletes data of a host that no manifest names and that nothing has
// read for a long time: what is left of exports and of freeing that died half
// way. names are the host's blobs of data with their idle times.
func (f *Freer) Collect(ctx context.Context, host registrar.Endpoint, names map[string]time.Duration, listed []Listed) (deleted int, err error) {
	named := map[string]bool{}
	for _, l := range listed {
		named[l.Data] = true
	}
	for name, idle := range names {
		if named[name] || idle < orphanAge {
			continue
		}
		if err := f.Store.Delete(ctx, host.Address, name); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// orphanAge is far above the time between an export and its manifest.
const orphanAge = 10 * exportTimeout
