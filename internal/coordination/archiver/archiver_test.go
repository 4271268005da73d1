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
	errFake = errors.New("switched fault")
	engine  = registrar.Endpoint{Name: "engine"}
	hosts   = []registrar.Row{
		{Endpoint: registrar.Endpoint{Name: "store-1", Address: netip.MustParseAddrPort("127.0.0.1:1")}},
		{Endpoint: registrar.Endpoint{Name: "store-2", Address: netip.MustParseAddrPort("127.0.0.1:2")}},
	}
)

// The steps of the store tier's paths, and the faults that can strike there.
var (
	steps  = []string{"find", "write", "seal", "read", "usage", "list", "unseal", "delete"}
	faults = []string{"fail", "lost", "slow", "hang", "partial", "full"}
)

// storeWorld is two store hosts and an engine.
type storeWorld struct {
	mu        sync.Mutex
	manifests map[fingerprinter.Block]Manifest
	data      map[string]int
	// owner tells whose block a name was given to; names are never used again.
	owner    map[string]fingerprinter.Block
	capacity int
	step     string
	fault    string
	found    []string
}

func newStoreWorld(step, fault string) *storeWorld {
	return &storeWorld{
		manifests: map[fingerprinter.Block]Manifest{}, data: map[string]int{}, owner: map[string]fingerprinter.Block{},
		capacity: 100 * blockBytes, step: step, fault: fault,
	}
}

// at carries out a step, under the fault if it is the step's.
func (w *storeWorld) at(ctx context.Context, step string, effect func()) error {
	w.mu.Lock()
	fault := ""
	if step == w.step {
		fault, w.step = w.fault, ""
	}
	w.mu.Unlock()
	switch fault {
	case "fail", "full":
		return errFake
	case "lost":
		w.locked(effect)
		return errFake
	case "slow":
		time.Sleep(40 * time.Millisecond)
	case "hang":
		<-ctx.Done()
		return ctx.Err()
	}
	w.locked(effect)
	return nil
}

func (w *storeWorld) locked(effect func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	effect()
}

// Find implements Store.
func (w *storeWorld) Find(ctx context.Context, _ netip.AddrPort, blocks []fingerprinter.Block) (map[fingerprinter.Block]Listed, error) {
	held := map[fingerprinter.Block]Listed{}
	err := w.at(ctx, "find", func() {
		for _, block := range blocks {
			if manifest, ok := w.manifests[block]; ok {
				held[block] = Listed{Manifest: manifest}
			}
		}
	})
	return held, err
}

// Seal implements Store.
func (w *storeWorld) Seal(ctx context.Context, _ netip.AddrPort, manifest Manifest) error {
	var taken error
	err := w.at(ctx, "seal", func() {
		if _, ok := w.manifests[manifest.Block]; ok {
			taken = ErrTaken
			return
		}
		w.manifests[manifest.Block] = manifest
		if w.data[manifest.Data] != blockBytes {
			w.found = append(w.found, fmt.Sprintf("%s was sealed with %d bytes", manifest.Block, w.data[manifest.Data]))
		}
	})
	return errors.CombineErrors(err, taken)
}

// Unseal implements Store.
func (w *storeWorld) Unseal(ctx context.Context, _ netip.AddrPort, block fingerprinter.Block) error {
	return w.at(ctx, "unseal", func() { delete(w.manifests, block) })
}

// Delete implements Store.
func (w *storeWorld) Delete(ctx context.Context, _ netip.AddrPort, data string) error {
	return w.at(ctx, "delete", func() {
		for block, manifest := range w.manifests {
			if manifest.Data == data {
				w.found = append(w.found, fmt.Sprintf("data of %s was freed under its manifest", block))
			}
		}
		delete(w.data, data)
	})
}

// Usage implements Store.
func (w *storeWorld) Usage(ctx context.Context, _ netip.AddrPort) (used, capacity int64, err error) {
	err = w.at(ctx, "usage", func() { used, capacity = int64(len(w.data)*blockBytes), int64(w.capacity) })
	return used, capacity, err
}

// List implements Store.
func (w *storeWorld) List(ctx context.Context, _ netip.AddrPort) ([]Listed, error) {
	var listed []Listed
	err := w.at(ctx, "list", func() {
		for _, manifest := range w.manifests {
			listed = append(listed, Listed{Manifest: manifest, Idle: time.Duration(len(manifest.Block)) * time.Second})
		}
	})
	return listed, err
}

// Export implements Mover.
func (w *storeWorld) Export(ctx context.Context, _ registrar.Endpoint, transfers []Transfer) ([]Transfer, error) {
	moved := append([]Transfer(nil), transfers...)
	for i := range moved {
		partial := false
		w.locked(func() {
			if _, used := w.owner[moved[i].Data]; used {
				w.found = append(w.found, "a name was used again")
			}
			w.owner[moved[i].Data] = moved[i].Block
			partial = w.step == "write" && w.fault == "partial"
		})
		err := w.at(ctx, "write", func() {
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

// Import implements Mover: it reads for four seconds and checks what it read.
func (w *storeWorld) Import(ctx context.Context, _ registrar.Endpoint, transfers []Transfer) ([]Transfer, error) {
	moved := append([]Transfer(nil), transfers...)
	for i := range moved {
		err := w.at(ctx, "read", func() {})
		time.Sleep(4 * time.Second / time.Duration(len(moved)))
		w.locked(func() { moved[i].Failed = !w.read(moved[i]) || err != nil })
	}
	return moved, ctx.Err()
}

// read checks what an import reads; the caller holds the lock.
func (w *storeWorld) read(transfer Transfer) bool {
	size, there := w.data[transfer.Data]
	if there && (size != blockBytes || w.owner[transfer.Data] != transfer.Block) {
		w.found = append(w.found, fmt.Sprintf("%s was read as %d bytes of %s", transfer.Block, size, w.owner[transfer.Data]))
	}
	if !there {
		w.found = append(w.found, fmt.Sprintf("%s was freed during an import", transfer.Block))
	}
	return there
}

func chain(name string, blocks int) []fingerprinter.Block {
	var all []fingerprinter.Block
	for i := range blocks {
		all = append(all, fingerprinter.Block(fmt.Sprintf("%s-%d", name, i)))
	}
	return all
}

func (w *storeWorld) archive(process uint64) *Archive {
	links := &Links{Budget: func(string) int64 { return 0 }}
	return &Archive{Store: w, Mover: w, Links: links, Process: process, Learner: &evictor.Learner{}, Now: time.Now}
}

// runStore exports, imports and frees on two nodes under a fault; an import is
// under way while its blocks are freed.
func runStore(t *testing.T, step, fault string) (found []string, arrived int) {
	synctest.Test(t, func(*testing.T) {
		w := newStoreWorld(step, fault)
		one, two := w.archive(1), w.archive(2)
		freer := &Freer{Store: w, Policy: evictor.Must("lru", nil), Now: time.Now}
		ctx := context.Background()
		_, _ = one.Export(ctx, hosts, engine, chain("a", 4), Comeback{})
		_, _ = two.Export(ctx, hosts, engine, chain("a", 6), Comeback{})
		time.Sleep(time.Minute)
		_, _ = two.Export(ctx, hosts, engine, chain("a", 6), Comeback{})
		stored := one.Lookup(ctx, hosts, chain("a", 6), "group")
		done := make(chan struct{})
		go func() {
			defer close(done)
			arrived = len(one.Import(ctx, engine, stored, 0))
		}()
		time.Sleep(time.Millisecond)
		w.locked(func() { w.capacity = 2 * blockBytes })
		for range 30 {
			_, _ = freer.Free(ctx, hosts[0].Endpoint)
			time.Sleep(time.Second)
		}
		<-done
		w.locked(func() { w.capacity = 100 * blockBytes })
		again := two.Lookup(ctx, hosts, chain("a", 6), "group")
		_ = two.Import(ctx, engine, again, 0)
		found = w.found
	})
	return found, arrived
}

func TestStoreFaults(t *testing.T) {
	for _, step := range steps {
		for _, fault := range faults {
			t.Run(step+" "+fault, func(t *testing.T) {
				found, _ := runStore(t, step, fault)
				assert.Empty(t, found)
			})
		}
	}
}

func TestImportBringsWhatWasExported(t *testing.T) {
	found, arrived := runStore(t, "", "")
	assert.Empty(t, found)
	assert.Equal(t, 6, arrived)
}

// TestStoreCheckerFindsFaults shows that the matrix fails on broken variants.
func TestStoreCheckerFindsFaults(t *testing.T) {
	t.Run("a manifest before its data", func(t *testing.T) {
		w := newStoreWorld("", "")
		require.NoError(t, w.Seal(context.Background(), hosts[0].Address, Manifest{Block: "b", Data: "d"}))
		require.Len(t, w.found, 1)
	})
	t.Run("data freed under its manifest", func(t *testing.T) {
		w := newStoreWorld("", "")
		w.manifests["b"] = Manifest{Block: "b", Data: "d"}
		require.NoError(t, w.Delete(context.Background(), hosts[0].Address, "d"))
		require.Len(t, w.found, 1)
	})
	t.Run("data freed during an import", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newStoreWorld("", "")
			w.data["d"], w.owner["d"] = blockBytes, "b"
			time.AfterFunc(time.Second, func() { w.locked(func() { delete(w.data, "d") }) })
			_, _ = w.Import(context.Background(), engine, []Transfer{{Block: "b", Data: "d"}})
			require.Len(t, w.found, 1)
		})
	})
}

func TestLinks(t *testing.T) {
	start := time.Unix(0, 0)
	t.Run("a link that is behind is not used", func(t *testing.T) {
		links := &Links{Budget: func(string) int64 { return 0 }}
		done := links.Begin(start, "s", 3*startRate)
		assert.False(t, links.Usable(start.Add(time.Second), "s"))
		done(start.Add(3*time.Second), 3*startRate, nil)
		assert.True(t, links.Usable(start.Add(4*time.Second), "s"))
	})
	t.Run("a host that failed is left alone for a while", func(t *testing.T) {
		links := &Links{}
		links.Answered(start, "s", errFake)
		assert.False(t, links.Usable(start.Add(time.Second), "s"))
		assert.True(t, links.Usable(start.Add(3*time.Second), "s"))
	})
	t.Run("exports keep to the budget", func(t *testing.T) {
		links := &Links{Budget: func(string) int64 { return 4 * typicalBlock }}
		assert.True(t, links.Spend(start, "s", 4))
		assert.False(t, links.Spend(start, "s", 1))
		assert.True(t, links.Spend(start.Add(time.Second), "s", 4))
	})
}
