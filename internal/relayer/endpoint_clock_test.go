package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// clockLead is how far the endpoints' clock is ahead of that of the nodes.
const clockLead = 3 * time.Hour

// standinHolders answer reads of the endpoints' clock, delay after they have read it.
type standinHolders struct {
	delay time.Duration

	mu    sync.Mutex
	calls map[netip.AddrPort]int
	// at counts the calls that are under way at each holder, and most is the largest number.
	at   map[netip.AddrPort]int
	most int
}

// standinClockReader is the client of one node. It implements relayer.ClockReader.
type standinClockReader struct {
	holders *standinHolders
	clock   *relayer.EndpointClock
}

// ReadClock implements relayer.ClockReader.
func (r standinClockReader) ReadClock(_ context.Context, holder netip.AddrPort) error {
	h := r.holders
	h.mu.Lock()
	h.calls[holder]++
	h.at[holder]++
	h.most = max(h.most, h.at[holder])
	h.mu.Unlock()
	reading := time.Now().Add(clockLead)
	time.Sleep(h.delay)
	r.clock.Update(time.Now(), reading)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[holder]--
	return nil
}

func newHolders() *standinHolders {
	return &standinHolders{delay: 200 * time.Millisecond, calls: map[netip.AddrPort]int{}, at: map[netip.AddrPort]int{}}
}

func newClock(node *relayer.Relayer, self string, holders *standinHolders) *relayer.EndpointClock {
	clock := &relayer.EndpointClock{Node: node, Self: self, Logger: zerolog.Nop()}
	clock.Reader = standinClockReader{holders, clock}
	return clock
}

func assertClock(t *testing.T, clock *relayer.EndpointClock, latest time.Duration) {
	t.Helper()
	at, known := clock.At(time.Now())
	assert.True(t, known)
	actual := time.Now().Add(clockLead)
	assert.False(t, at.After(actual), "%s ahead", at.Sub(actual))
	assert.LessOrEqual(t, actual.Sub(at), latest)
}

func TestEndpointClock(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("is unknown before the first reading", func(t *testing.T) {
		_, known := newClock(newNode(t), "n", newHolders()).At(time.Now())
		assert.False(t, known)
	})
	run("a late response does not replace a better reading", func(t *testing.T) {
		clock := newClock(newNode(t), "n", newHolders())
		clock.Update(time.Now(), time.Now().Add(clockLead))
		clock.Update(time.Now(), time.Now().Add(clockLead-time.Second))
		assertClock(t, clock, 0)
	})
	run("a clock that was set back is followed", func(t *testing.T) {
		clock := newClock(newNode(t), "n", newHolders())
		clock.Update(time.Now(), time.Now().Add(clockLead+time.Minute))
		time.Sleep(time.Minute)
		clock.Update(time.Now(), time.Now().Add(clockLead))
		assertClock(t, clock, 0)
	})
	run("a node that follows holders does not ask", func(t *testing.T) {
		holders := newHolders()
		clock := newClock(newNode(t, engine("a", 1)), "n", holders)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		go clock.Run(ctx)
		for ctx.Err() == nil {
			clock.Update(time.Now(), time.Now().Add(clockLead))
			time.Sleep(700 * time.Millisecond)
		}
		assert.Empty(t, holders.calls)
	})
}

// TestEndpointClocksAtSize guards against nodes that follow no holder of parts and therefore
// never learn the clock by which fetches end.
func TestEndpointClocksAtSize(t *testing.T) {
	for _, size := range []struct{ nodes, engines int }{{7, 9}, {195, 93}} {
		t.Run(fmt.Sprintf("%d nodes", size.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var engines []endpointtracker.Endpoint
				for i := range size.engines {
					e := engine(fmt.Sprintf("e%d", i), 1)
					e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
					engines = append(engines, e)
				}
				holders, node := newHolders(), newNode(t, engines...)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
				defer cancel()
				var clocks []*relayer.EndpointClock
				for i := range size.nodes {
					clocks = append(clocks, newClock(node, fmt.Sprintf("n%d", i), holders))
					go clocks[i].Run(ctx)
				}
				time.Sleep(2 * time.Second)
				for _, clock := range clocks {
					assertClock(t, clock, holders.delay)
				}
				<-ctx.Done()
				calls := 0
				for _, n := range holders.calls {
					calls += n
				}
				assert.LessOrEqual(t, calls, 4*size.nodes, "calls in three minutes")
				// The small sites' engines serve twelve such calls at once, most of them to followers.
				assert.LessOrEqual(t, holders.most, 10)
			})
		})
	}
}
