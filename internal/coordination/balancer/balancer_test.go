package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(id, domain string, slots int) tracker.Endpoint {
	return tracker.Endpoint{ID: id, Domain: domain, Slots: slots, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func engines() []tracker.Endpoint {
	return []tracker.Endpoint{endpoint("near", "d1", 64), endpoint("far", "d2", 64)}
}

// prompt asks for a tenth of an engine's memory.
func prompt() balancer.Request {
	return balancer.Request{Endpoints: engines(), Tokens: 1_000, Capacity: 10_000}
}

func assertPicks(t *testing.T, b *balancer.Balancer, request balancer.Request, want string) balancer.Choice {
	t.Helper()
	choice, ok := b.Pick(now, request)
	if want == "" {
		assert.False(t, ok, "picked %s", choice.Endpoint.ID)
		return choice
	}
	require.True(t, ok)
	assert.Equal(t, want, choice.Endpoint.ID)
	return choice
}

func TestPick(t *testing.T) {
	t.Run("own domain first", func(t *testing.T) {
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, prompt(), "near")
	})
	t.Run("another domain once the own is clearly busier", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		picked := map[string]int{}
		for range 9 {
			choice, ok := b.Pick(now, prompt())
			require.True(t, ok)
			picked[choice.Endpoint.ID]++
		}
		assert.Positive(t, picked["far"])
		assert.Greater(t, picked["near"], picked["far"])
	})
	t.Run("memory binds before slots do", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		for range 20 {
			_, ok := b.Pick(now, prompt())
			require.True(t, ok)
		}
		assertPicks(t, b, prompt(), "")
	})
	t.Run("an idle engine takes a prompt larger than its share", func(t *testing.T) {
		large := prompt()
		large.Tokens = 50_000
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, large, "near")
	})
	t.Run("an urgent one goes to a full engine", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		for range 20 {
			_, _ = b.Pick(now, prompt())
		}
		urgent := prompt()
		urgent.Urgent = true
		_, ok := b.Pick(now, urgent)
		assert.True(t, ok)
	})
	t.Run("done makes room", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		var last balancer.Choice
		for range 20 {
			last, _ = b.Pick(now, prompt())
		}
		b.Done(last)
		assertPicks(t, b, prompt(), last.Endpoint.ID)
	})
	t.Run("leaving and avoided ones get nothing", func(t *testing.T) {
		request := prompt()
		request.Endpoints[0].Leaving = true
		request.Avoid = map[string]bool{"far": true}
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "")
	})
	t.Run("tried ones come last", func(t *testing.T) {
		request := prompt()
		request.Tried = map[string]bool{"near": true}
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "far")
	})
	t.Run("prompts that must be read go where less is read", func(t *testing.T) {
		request := prompt()
		request.Work = func(e tracker.Endpoint) balancer.Work {
			if e.ID == "near" {
				return balancer.Work{Read: 20_000}
			}
			return balancer.Work{}
		}
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "far")
	})
	t.Run("replaced weights cost", func(t *testing.T) {
		request := prompt()
		request.Stale = func(e tracker.Endpoint) bool { return e.ID == "near" }
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "near")
		request.Endpoints[1].Domain = "d1"
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "far")
	})
}

func TestPauses(t *testing.T) {
	pauses := map[string]func(b *balancer.Balancer){
		"full":    func(b *balancer.Balancer) { b.Full("near", now) },
		"failed":  func(b *balancer.Balancer) { b.Fail("near", now) },
		"loading": func(b *balancer.Balancer) { b.Loading("near", now) },
	}
	for name, pause := range pauses {
		t.Run(name+" is passed over until it recovers", func(t *testing.T) {
			b := &balancer.Balancer{Domain: "d1"}
			pause(b)
			assertPicks(t, b, prompt(), "far")
			b.Recover("near")
			assertPicks(t, b, prompt(), "near")
		})
	}
}

// TestDarkEndpoint replays an endpoint that goes dark without a word while its
// kept connections stay open.
func TestDarkEndpoint(t *testing.T) {
	b := &balancer.Balancer{Domain: "d1"}
	owing := assertPicks(t, b, prompt(), "near")
	at := func(d time.Duration, want string) {
		t.Helper()
		choice, ok := b.Pick(now.Add(d), prompt())
		require.True(t, ok)
		assert.Equal(t, want, choice.Endpoint.ID)
		b.Done(choice)
	}
	at(600*time.Millisecond, "near")
	at(800*time.Millisecond, "far")
	b.Heard("near", now.Add(900*time.Millisecond))
	at(time.Second, "near")
	at(2*time.Second, "far")
	t.Run("is tried again once it owes nothing", func(t *testing.T) {
		b.Done(owing)
		at(3*time.Second, "near")
	})
}

func TestFailuresPassAnEndpointOverLonger(t *testing.T) {
	b := &balancer.Balancer{Domain: "d1"}
	passed := func(d time.Duration) bool {
		choice, ok := b.Pick(now.Add(d), prompt())
		require.True(t, ok)
		b.Done(choice)
		return choice.Endpoint.ID != "near"
	}
	b.Fail("near", now)
	assert.True(t, passed(900*time.Millisecond))
	assert.False(t, passed(1100*time.Millisecond))
	b.Fail("near", now)
	assert.True(t, passed(1900*time.Millisecond))
	b.Recover("near")
	b.Fail("near", now)
	assert.False(t, passed(1100*time.Millisecond))
}

// TestPeersLoad replays uneven callers: the other nodes of a domain have filled
// its engine, and this node has sent nothing yet.
func TestPeersLoad(t *testing.T) {
	full := []observer.Load{{Endpoint: balancer.Hash("near"), Running: 10, Tokens: 10_000}}
	t.Run("counts", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.Hear("peer", now, full)
		assertPicks(t, b, prompt(), "far")
	})
	t.Run("is replaced by newer word", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.Hear("peer", now, full)
		b.Hear("peer", now, nil)
		assertPicks(t, b, prompt(), "near")
	})
	t.Run("is forgotten when the peer is silent", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.Hear("peer", now.Add(-time.Minute), full)
		assertPicks(t, b, prompt(), "near")
	})
	t.Run("own work is told", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		choice := assertPicks(t, b, prompt(), "near")
		assert.Equal(t, []observer.Load{{Endpoint: balancer.Hash("near"), Running: 1, Tokens: 1_000}}, b.Own(9))
		b.Done(choice)
		assert.Empty(t, b.Own(9))
	})
}

func TestPlainServices(t *testing.T) {
	request := balancer.Request{Endpoints: []tracker.Endpoint{endpoint("a", "d1", 2)}}
	b := &balancer.Balancer{Domain: "d1"}
	for range 3 {
		assertPicks(t, b, request, "a")
	}
	assertPicks(t, b, request, "")
}
