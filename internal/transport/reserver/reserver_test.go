package reserver_test

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
)

const limit = 1 << 20

var (
	first  = netip.MustParseAddrPort("10.0.0.1:80")
	second = netip.MustParseAddrPort("10.0.0.2:80")
)

func newPool() *reserver.Pool { return &reserver.Pool{Limit: limit} }

// counted returns the size of a buffer of which n bytes count.
func counted(n int) int { return n + reserver.FreeBytes }

func newBuffer(p *reserver.Pool, source netip.AddrPort) (*reserver.Buffer, *int) {
	stops := new(int)
	return p.NewBuffer(source, func() { *stops++ }), stops
}

func assertRevoked(t *testing.T, b *reserver.Buffer, stops *int, want bool) {
	t.Helper()
	assert.Equal(t, want, b.Revoked())
	if want {
		assert.ErrorIs(t, b.Grow(1), reserver.ErrRevoked)
		assert.ErrorIs(t, b.Keep(), reserver.ErrRevoked)
		assert.Equal(t, 1, *stops)
		return
	}
	assert.NoError(t, b.Grow(1))
	assert.Zero(t, *stops)
}

func TestRevocation(t *testing.T) {
	t.Run("none within the limit", func(t *testing.T) {
		p := newPool()
		b, stops := newBuffer(p, first)
		require.NoError(t, b.Grow(counted(limit)))
		assertRevoked(t, b, stops, false)
		b.Release()
		assert.Zero(t, p.Used())
	})
	t.Run("of a buffer over the limit", func(t *testing.T) {
		p := newPool()
		b, stops := newBuffer(p, first)
		require.ErrorIs(t, b.Grow(counted(limit)+1), reserver.ErrRevoked)
		assertRevoked(t, b, stops, true)
		assert.Zero(t, p.Used())
	})
	t.Run("of the largest buffer, not of the one that grows", func(t *testing.T) {
		p := newPool()
		large, largeStops := newBuffer(p, first)
		small, smallStops := newBuffer(p, first)
		require.NoError(t, large.Grow(counted(limit)))
		require.NoError(t, small.Grow(counted(100)))
		assertRevoked(t, large, largeStops, true)
		assertRevoked(t, small, smallStops, false)
		assert.Equal(t, 100, p.Used())
	})
	t.Run("at the source that holds most", func(t *testing.T) {
		p := newPool()
		large, largeStops := newBuffer(p, first)
		require.NoError(t, large.Grow(counted(limit/3)))
		var many []*reserver.Buffer
		for range 8 {
			b, _ := newBuffer(p, second)
			many = append(many, b)
			_ = b.Grow(counted(limit / 8))
		}
		assertRevoked(t, large, largeStops, false)
		revoked := 0
		for _, b := range many {
			if b.Revoked() {
				revoked++
			}
		}
		assert.Equal(t, 3, revoked)
	})
	t.Run("never of complete buffers", func(t *testing.T) {
		p := newPool()
		complete, completeStops := newBuffer(p, first)
		require.NoError(t, complete.Grow(counted(limit)))
		require.NoError(t, complete.Keep())
		b, stops := newBuffer(p, second)
		require.ErrorIs(t, b.Grow(counted(1)), reserver.ErrRevoked)
		assertRevoked(t, b, stops, true)
		assert.Zero(t, *completeStops)
		assert.Equal(t, limit, p.Used())
	})
	t.Run("never of small buffers", func(t *testing.T) {
		p := newPool()
		complete, _ := newBuffer(p, first)
		require.NoError(t, complete.Grow(counted(limit)))
		require.NoError(t, complete.Keep())
		for range 100 {
			b, stops := newBuffer(p, second)
			require.NoError(t, b.Grow(reserver.FreeBytes))
			assertRevoked(t, b, stops, false)
		}
	})
	t.Run("no limit without a pool", func(t *testing.T) {
		var p *reserver.Pool
		b := p.NewBuffer(first, nil)
		assert.NoError(t, b.Grow(1<<40))
		assert.NoError(t, b.Keep())
		assert.False(t, b.Revoked())
		b.Release()
	})
}

func TestConcurrentBuffersStayWithinTheLimit(t *testing.T) {
	p := newPool()
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			b := p.NewBuffer(netip.AddrPortFrom(first.Addr(), uint16(i%5)), func() {})
			defer b.Release()
			for size := 1 << 10; b.Grow(size) == nil && size < 2*limit; size *= 2 {
				assert.LessOrEqual(t, p.Used(), limit)
			}
		})
	}
	group.Wait()
	assert.Zero(t, p.Used())
}

// TestRevokedMemoryCountsUntilReleased guards against a node whose heap outgrows its memory,
// since the readers of revoked buffers have not yet run.
func TestRevokedMemoryCountsUntilReleased(t *testing.T) {
	type fullPool struct {
		*reserver.Pool
		buffers []*reserver.Buffer
	}
	// newFullPool returns a pool of which the revoked buffers hold all that they may, and a
	// function that releases them.
	newFullPool := func(t *testing.T) (*fullPool, func()) {
		t.Helper()
		p := &fullPool{Pool: newPool()}
		for i := 0; p.Held()+limit/4 <= 2*limit; i++ {
			// The earlier ones are larger, so they are revoked first.
			b, _ := newBuffer(p.Pool, second)
			require.NoError(t, b.Grow(counted(limit/4-i)))
			p.buffers = append(p.buffers, b)
		}
		return p, func() {
			for _, b := range p.buffers {
				b.Release()
			}
		}
	}
	t.Run("a buffer waits for it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p, release := newFullPool(t)
			b, stops := newBuffer(p.Pool, first)
			time.AfterFunc(time.Millisecond, release)
			began := time.Now()
			require.NoError(t, b.Grow(counted(limit/2)))
			assert.Equal(t, time.Millisecond, time.Since(began))
			assertRevoked(t, b, stops, false)
		})
	})
	t.Run("for a limited time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p, release := newFullPool(t)
			b, _ := newBuffer(p.Pool, first)
			began := time.Now()
			require.ErrorIs(t, b.Grow(counted(limit/2)), reserver.ErrRevoked)
			assert.Equal(t, time.Second, time.Since(began))
			b.Release()
			release()
			assert.Zero(t, p.Held())
		})
	})
	t.Run("small ones get it first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p, _ := newFullPool(t)
			granted := map[int]bool{}
			var mu sync.Mutex
			var group sync.WaitGroup
			sizes := []int{limit / 32, limit / 16, limit / 10, limit / 8}
			for _, size := range slices.Backward(sizes) {
				group.Go(func() {
					b, _ := newBuffer(p.Pool, first)
					assert.NoError(t, b.Grow(counted(size)))
					mu.Lock()
					defer mu.Unlock()
					granted[size] = true
				})
				synctest.Wait()
			}
			assert.Empty(t, granted)
			for _, b := range p.buffers {
				b.Release()
				synctest.Wait()
				for _, size := range sizes[:len(granted)] {
					assert.True(t, granted[size], "%d waits, %v have memory", size, granted)
				}
			}
			group.Wait()
		})
	})
	t.Run("small buffers do not wait", func(t *testing.T) {
		p, release := newFullPool(t)
		b, stops := newBuffer(p.Pool, first)
		assertRevoked(t, b, stops, false)
		require.NoError(t, b.Grow(reserver.FreeBytes))
		release()
	})
}

// TestSlowReadersStayWithinTheMemory runs readers that notice late that they were revoked.
func TestSlowReadersStayWithinTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool()
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				b := p.NewBuffer(netip.AddrPortFrom(first.Addr(), uint16(i%5)), func() {})
				defer b.Release()
				for size := 1 << 10; b.Grow(size) == nil && size < 2*limit; size *= 2 {
					assert.LessOrEqual(t, p.Held(), 2*limit)
					time.Sleep(time.Duration(i%7) * time.Millisecond)
				}
				time.Sleep(10 * time.Millisecond)
			})
		}
		group.Wait()
		assert.Zero(t, p.Held())
	})
}
