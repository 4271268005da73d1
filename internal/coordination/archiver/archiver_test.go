package archiver

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const blockBytes = 100

var (
	errInjected = errors.New("injected fault")
	engine      = registrar.Endpoint{Name: "engine"}
	hosts       = []registrar.EndpointState{
		{Endpoint: registrar.Endpoint{Name: "store-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}},
		{Endpoint: registrar.Endpoint{Name: "store-2", Address: netip.MustParseAddrPort("127.0.0.1:2")}},
	}
)

// The operations of the store tier, and the faults injected into them.
var (
	steps  = []string{"find", "write", "seal", "read", "usage", "list", "unseal", "delete"}
	faults = []string{"fail", "lost", "slow", "hang", "partial", "full"}
)

// standinStore simulates two store hosts and an engine, and records violations of
// the store tier's guarantees.
type standinStore struct {
	mu        sync.Mutex
	manifests map[fingerprinter.Block]Manifest
	data      map[string]int
	// blockOf maps each data name to its block; names must never be reused.
	blockOf    map[string]fingerprinter.Block
	capacity   int
	step       string
	fault      string
	violations []string
}

func newStandinStore(step, fault string) *standinStore {
	return &standinStore{
		manifests: map[fingerprinter.Block]Manifest{}, data: map[string]int{}, blockOf: map[string]fingerprinter.Block{},
		capacity: 100 * blockBytes, step: step, fault: fault,
	}
}

// runStep performs an operation, with the fault if it is the configured one.
func (w *standinStore) runStep(ctx context.Context, step string, effect func()) error {
	w.mu.Lock()
	fault := ""
	if step == w.step {
		fault, w.step = w.fault, ""
	}
	w.mu.Unlock()
	switch fault {
	case "fail", "full":
		return errInjected
	case "lost":
		w.withLock(effect)
		return errInjected
	case "slow":
		time.Sleep(40 * time.Millisecond)
	case "hang":
		<-ctx.Done()
		return ctx.Err()
	}
	w.withLock(effect)
	return nil
}

func (w *standinStore) withLock(effect func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	effect()
}

// FindManifests implements Store.
func (w *standinStore) FindManifests(ctx context.Context, _ netip.AddrPort, blocks []fingerprinter.Block) (map[fingerprinter.Block]StoredManifest, error) {
	found := map[fingerprinter.Block]StoredManifest{}
	err := w.runStep(ctx, "find", func() {
		for _, block := range blocks {
			if manifest, ok := w.manifests[block]; ok {
				found[block] = StoredManifest{Manifest: manifest}
			}
		}
	})
	return found, err
}

// WriteManifest implements Store.
func (w *standinStore) WriteManifest(ctx context.Context, _ netip.AddrPort, manifest Manifest) error {
	var taken error
	err := w.runStep(ctx, "seal", func() {
		if _, ok := w.manifests[manifest.Block]; ok {
			taken = ErrManifestExists
			return
		}
		w.manifests[manifest.Block] = manifest
		if w.data[manifest.Data] != blockBytes {
			w.violations = append(w.violations, fmt.Sprintf("manifest of %s was written with %d bytes of data", manifest.Block, w.data[manifest.Data]))
		}
	})
	return errors.CombineErrors(err, taken)
}

// DeleteManifest implements Store.
func (w *standinStore) DeleteManifest(ctx context.Context, _ netip.AddrPort, block fingerprinter.Block) error {
	return w.runStep(ctx, "unseal", func() { delete(w.manifests, block) })
}

// DeleteData implements Store.
func (w *standinStore) DeleteData(ctx context.Context, _ netip.AddrPort, data string) error {
	return w.runStep(ctx, "delete", func() {
		for block, manifest := range w.manifests {
			if manifest.Data == data {
				w.violations = append(w.violations, fmt.Sprintf("data of %s was deleted before its manifest", block))
			}
		}
		delete(w.data, data)
	})
}

// Usage implements Store.
func (w *standinStore) Usage(ctx context.Context, _ netip.AddrPort) (used, capacity int64, err error) {
	err = w.runStep(ctx, "usage", func() { used, capacity = int64(len(w.data)*blockBytes), int64(w.capacity) })
	return used, capacity, err
}

// ListManifests implements Store.
func (w *standinStore) ListManifests(ctx context.Context, _ netip.AddrPort) ([]StoredManifest, error) {
	var listed []StoredManifest
	err := w.runStep(ctx, "list", func() {
		for _, manifest := range w.manifests {
			listed = append(listed, StoredManifest{Manifest: manifest, Idle: time.Duration(len(manifest.Block)) * time.Second})
		}
	})
	return listed, err
}

// Export implements Mover.
func (w *standinStore) Export(ctx context.Context, _ registrar.Endpoint, transfers []Transfer) ([]Transfer, error) {
	moved := append([]Transfer(nil), transfers...)
	for i := range moved {
		partial := false
		w.withLock(func() {
			if _, used := w.blockOf[moved[i].Data]; used {
				w.violations = append(w.violations, "a data name was reused")
			}
			w.blockOf[moved[i].Data] = moved[i].Block
			partial = w.step == "write" && w.fault == "partial"
		})
		err := w.runStep(ctx, "write", func() {
			w.data[moved[i].Data] = blockBytes
			if partial {
				w.data[moved[i].Data] = blockBytes / 2
			}
		})
		moved[i].Bytes = blockBytes
		moved[i].Failed = err != nil || partial
	}
	return moved, ctx.Err()
}

// Import implements Mover. It takes four seconds and checks the data it reads.
func (w *standinStore) Import(ctx context.Context, _ registrar.Endpoint, transfers []Transfer) ([]Transfer, error) {
	moved := append([]Transfer(nil), transfers...)
	for i := range moved {
		err := w.runStep(ctx, "read", func() {})
		time.Sleep(4 * time.Second / time.Duration(len(moved)))
		w.withLock(func() { moved[i].Failed = !w.checkRead(moved[i]) || err != nil })
	}
	return moved, ctx.Err()
}

// checkRead checks the data that an import reads. The caller holds the lock.
func (w *standinStore) checkRead(transfer Transfer) bool {
	size, exists := w.data[transfer.Data]
	if exists && (size != blockBytes || w.blockOf[transfer.Data] != transfer.Block) {
		w.violations = append(w.violations, fmt.Sprintf("%s was read as %d bytes of %s", transfer.Block, size, w.blockOf[transfer.Data]))
	}
	if !exists {
		w.violations = append(w.violations, fmt.Sprintf("data of %s was deleted during an import", transfer.Block))
	}
	return exists
}

func chain(name string, blocks int) []fingerprinter.Block {
	var all []fingerprinter.Block
	for i := range blocks {
		all = append(all, fingerprinter.Block(fmt.Sprintf("%s-%d", name, i)))
	}
	return all
}

func (w *standinStore) archive(process uint64) *Archive {
	links := &Links{Budget: func(string) int64 { return 0 }}
	return &Archive{Store: w, Mover: w, Links: links, Process: process, Learner: &evictor.Learner{}, Now: time.Now}
}

// runFaultScenario exports, imports and evicts blocks on two nodes with one
// injected fault. An import is in progress while its blocks are evicted.
func runFaultScenario(t *testing.T, step, fault string) (violations []string, arrived int) {
	synctest.Test(t, func(*testing.T) {
		w := newStandinStore(step, fault)
		one, two := w.archive(1), w.archive(2)
		storeCleaner := &StoreCleaner{Store: w, Policy: evictor.Must("lru", nil), Now: time.Now}
		ctx := context.Background()
		_, _ = one.Export(ctx, hosts, engine, chain("a", 4), ReturnForecast{})
		_, _ = two.Export(ctx, hosts, engine, chain("a", 6), ReturnForecast{})
		time.Sleep(time.Minute)
		_, _ = two.Export(ctx, hosts, engine, chain("a", 6), ReturnForecast{})
		stored := one.Lookup(ctx, hosts, chain("a", 6), "group")
		done := make(chan struct{})
		go func() {
			defer close(done)
			arrived = len(one.Import(ctx, engine, stored, 0))
		}()
		time.Sleep(time.Millisecond)
		w.withLock(func() { w.capacity = 2 * blockBytes })
		for range 30 {
			_, _ = storeCleaner.Evict(ctx, hosts[0].Endpoint)
			time.Sleep(time.Second)
		}
		<-done
		w.withLock(func() { w.capacity = 100 * blockBytes })
		again := two.Lookup(ctx, hosts, chain("a", 6), "group")
		_ = two.Import(ctx, engine, again, 0)
		violations = w.violations
	})
	return violations, arrived
}

func TestStoreFaults(t *testing.T) {
	for _, step := range steps {
		for _, fault := range faults {
			t.Run(step+" "+fault, func(t *testing.T) {
				violations, _ := runFaultScenario(t, step, fault)
				assert.Empty(t, violations)
			})
		}
	}
}

func TestImportReturnsExportedBlocks(t *testing.T) {
	violations, arrived := runFaultScenario(t, "", "")
	assert.Empty(t, violations)
	assert.Equal(t, 6, arrived)
}

// TestStoreCheckerDetectsFaults verifies that the stand-in reports incorrect
// behaviour, so that TestStoreFaults can fail.
func TestStoreCheckerDetectsFaults(t *testing.T) {
	t.Run("manifest written before its data", func(t *testing.T) {
		w := newStandinStore("", "")
		require.NoError(t, w.WriteManifest(context.Background(), hosts[0].Address, Manifest{Block: "b", Data: "d"}))
		require.Len(t, w.violations, 1)
	})
	t.Run("data deleted before its manifest", func(t *testing.T) {
		w := newStandinStore("", "")
		w.manifests["b"] = Manifest{Block: "b", Data: "d"}
		require.NoError(t, w.DeleteData(context.Background(), hosts[0].Address, "d"))
		require.Len(t, w.violations, 1)
	})
	t.Run("data deleted during an import", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newStandinStore("", "")
			w.data["d"], w.blockOf["d"] = blockBytes, "b"
			time.AfterFunc(time.Second, func() { w.withLock(func() { delete(w.data, "d") }) })
			_, _ = w.Import(context.Background(), engine, []Transfer{{Block: "b", Data: "d"}})
			require.Len(t, w.violations, 1)
		})
	})
}

func TestLinks(t *testing.T) {
	start := time.Unix(0, 0)
	t.Run("a link with a long queue is not used", func(t *testing.T) {
		links := &Links{Budget: func(string) int64 { return 0 }}
		done := links.BeginTransfer(start, "s", 3*initialRate)
		assert.False(t, links.Usable(start.Add(time.Second), "s"))
		done(start.Add(3*time.Second), 3*initialRate, nil)
		assert.True(t, links.Usable(start.Add(4*time.Second), "s"))
	})
	t.Run("a host is not used during its backoff", func(t *testing.T) {
		links := &Links{}
		links.RecordResult(start, "s", errInjected)
		assert.False(t, links.Usable(start.Add(time.Second), "s"))
		assert.True(t, links.Usable(start.Add(3*time.Second), "s"))
	})
	t.Run("exports stay within the budget", func(t *testing.T) {
		links := &Links{Budget: func(string) int64 { return 4 * defaultBlockBytes }}
		assert.True(t, links.ReserveExport(start, "s", 4))
		assert.False(t, links.ReserveExport(start, "s", 1))
		assert.True(t, links.ReserveExport(start.Add(time.Second), "s", 4))
	})
}
