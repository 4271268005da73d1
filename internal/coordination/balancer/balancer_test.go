package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(id, domain string, slots int) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{ID: id, Domain: domain, Slots: slots, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func engines() []endpointtracker.Endpoint {
	return []endpointtracker.Endpoint{endpoint("near", "d1", 64), endpoint("far", "d2", 64)}
}

// prompt returns a request that takes a tenth of an engine's memory.
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
	t.Run("another domain once the own domain is clearly busier", func(t *testing.T) {
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
	t.Run("memory runs out before slots", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		for range 20 {
			_, ok := b.Pick(now, prompt())
			require.True(t, ok)
		}
		assertPicks(t, b, prompt(), "")
	})
	t.Run("an idle engine accepts a prompt larger than its memory", func(t *testing.T) {
		large := prompt()
		large.Tokens = 50_000
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, large, "near")
	})
	t.Run("an urgent request goes to a full engine", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		for range 20 {
			_, _ = b.Pick(now, prompt())
		}
		urgent := prompt()
		urgent.Urgent = true
		_, ok := b.Pick(now, urgent)
		assert.True(t, ok)
	})
	t.Run("done frees capacity", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		var last balancer.Choice
		for range 20 {
			last, _ = b.Pick(now, prompt())
		}
		b.Done(last)
		assertPicks(t, b, prompt(), last.Endpoint.ID)
	})
	t.Run("leaving and avoided endpoints get no requests", func(t *testing.T) {
		request := prompt()
		request.Endpoints[0].Leaving = true
		request.Avoid = map[string]bool{"far": true}
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "")
	})
	t.Run("tried endpoints come last", func(t *testing.T) {
		request := prompt()
		request.Tried = map[string]bool{"near": true}
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "far")
	})
	t.Run("prompts go where less prefill is needed", func(t *testing.T) {
		request := prompt()
		request.Work = func(e endpointtracker.Endpoint) balancer.Work {
			if e.ID == "near" {
				return balancer.Work{Read: 20_000}
			}
			return balancer.Work{}
		}
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "far")
	})
	t.Run("replaced weights add cost", func(t *testing.T) {
		request := prompt()
		request.Stale = func(e endpointtracker.Endpoint) bool { return e.ID == "near" }
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "near")
		request.Endpoints[1].Domain = "d1"
		assertPicks(t, &balancer.Balancer{Domain: "d1"}, request, "far")
	})
}

func TestBackoff(t *testing.T) {
	triggers := map[string]func(b *balancer.Balancer){
		"full":    func(b *balancer.Balancer) { b.RecordRefusal("near", now) },
		"failed":  func(b *balancer.Balancer) { b.RecordFailure("near", now) },
		"loading": func(b *balancer.Balancer) { b.RecordLoading("near", now) },
	}
	for name, trigger := range triggers {
		t.Run(name+" endpoint gets no requests until it recovers", func(t *testing.T) {
			b := &balancer.Balancer{Domain: "d1"}
			trigger(b)
			assertPicks(t, b, prompt(), "far")
			b.ResetBackoff("near")
			assertPicks(t, b, prompt(), "near")
		})
	}
}

// TestSilentEndpoint covers an endpoint that stops answering without an error
// while its open connections stay up.
func TestSilentEndpoint(t *testing.T) {
	b := &balancer.Balancer{Domain: "d1"}
	running := assertPicks(t, b, prompt(), "near")
	assertPickAfter := func(d time.Duration, want string) {
		t.Helper()
		choice, ok := b.Pick(now.Add(d), prompt())
		require.True(t, ok)
		assert.Equal(t, want, choice.Endpoint.ID)
		b.Done(choice)
	}
	assertPickAfter(600*time.Millisecond, "near")
	assertPickAfter(800*time.Millisecond, "far")
	b.RecordActivity("near", now.Add(900*time.Millisecond))
	assertPickAfter(time.Second, "near")
	assertPickAfter(2*time.Second, "far")
	t.Run("is used again once it has no running requests", func(t *testing.T) {
		b.Done(running)
		assertPickAfter(3*time.Second, "near")
	})
}

func TestFailureBackoffDoubles(t *testing.T) {
	b := &balancer.Balancer{Domain: "d1"}
	skipped := func(d time.Duration) bool {
		choice, ok := b.Pick(now.Add(d), prompt())
		require.True(t, ok)
		b.Done(choice)
		return choice.Endpoint.ID != "near"
	}
	b.RecordFailure("near", now)
	assert.True(t, skipped(900*time.Millisecond))
	assert.False(t, skipped(1100*time.Millisecond))
	b.RecordFailure("near", now)
	assert.True(t, skipped(1900*time.Millisecond))
	b.ResetBackoff("near")
	b.RecordFailure("near", now)
	assert.False(t, skipped(1100*time.Millisecond))
}

// TestPeerLoad covers uneven traffic: the other nodes of a domain have filled
// its engine, and this node has sent it nothing yet.
func TestPeerLoad(t *testing.T) {
	full := []peertracker.Load{{Endpoint: balancer.IDHash("near"), Running: 10, Tokens: 10_000}}
	t.Run("is added to the cost", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("peer", balancer.Hub, now, balancer.AllEndpoints(full))
		assertPicks(t, b, prompt(), "far")
	})
	t.Run("is replaced by a newer report", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("peer", balancer.Hub, now, balancer.AllEndpoints(full))
		b.HandleReport("peer", balancer.Hub, now, balancer.AllEndpoints(nil))
		assertPicks(t, b, prompt(), "near")
	})
	t.Run("expires when the peer sends no more reports", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("peer", balancer.Hub, now.Add(-time.Minute), balancer.AllEndpoints(full))
		assertPicks(t, b, prompt(), "near")
	})
	t.Run("own load is reported to peers", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		choice := assertPicks(t, b, prompt(), "near")
		assert.Equal(t, []peertracker.Load{{Endpoint: balancer.IDHash("near"), Running: 1, Tokens: 1_000}}, b.Report(now))
		b.Done(choice)
		assert.Empty(t, b.Report(now))
	})
}

// TestReports covers a domain with hubs and members: a member reports to its home only,
// and the home tells it the load of all.
func TestReports(t *testing.T) {
	load := func(id string, running int) peertracker.Load {
		return peertracker.Load{Endpoint: balancer.IDHash(id), Running: running, Tokens: 1_000 * running}
	}
	report := func(loads ...peertracker.Load) peertracker.LoadReport { return balancer.AllEndpoints(loads) }
	t.Run("members' load is part of a hub's report, other hubs' is not", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("member", balancer.Member, now, report(load("near", 2)))
		b.HandleReport("hub", balancer.Hub, now, report(load("near", 4)))
		assertPicks(t, b, prompt(), "near")
		assert.Equal(t, []peertracker.Load{load("near", 3)}, b.Report(now))
		assert.Equal(t, []peertracker.Load{load("near", 7)}, b.Total(now))
	})
	t.Run("a member does not count its own load twice", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		assertPicks(t, b, prompt(), "near")
		b.Report(now)
		b.HandleReport("home", balancer.Home, now, report(load("near", 5)))
		assert.Equal(t, []peertracker.Load{load("near", 5)}, b.Total(now))
	})
	t.Run("a report replaces only the endpoints of its range", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("hub", balancer.Hub, now, report(load("near", 5), load("far", 2)))
		hash := balancer.IDHash("near")
		b.HandleReport("hub", balancer.Hub, now, peertracker.LoadReport{First: hash, Last: hash})
		assert.Equal(t, []peertracker.Load{load("far", 2)}, b.Total(now))
	})
	t.Run("a peer that becomes a hub is not counted twice", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("peer", balancer.Member, now, report(load("near", 5)))
		b.HandleReport("peer", balancer.Hub, now, report(load("near", 5)))
		assert.Equal(t, []peertracker.Load{load("near", 5)}, b.Total(now))
		assert.Empty(t, b.Report(now))
	})
	t.Run("a former home is forgotten", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandleReport("home", balancer.Home, now, report(load("near", 5)))
		b.Forget("home")
		assert.Empty(t, b.Total(now))
	})
}

// TestHundredsOfNodes replays a second of requests at many nodes that all see the same
// report of load, as it is while none arrives: no engine may get many more requests than
// the mean, and a node must use few engines, so that it can reuse connections.
func TestHundredsOfNodes(t *testing.T) {
	const nodes, engines, requests = 195, 95, 5
	var all []endpointtracker.Endpoint
	for i := range engines {
		all = append(all, endpoint(fmt.Sprint("e", i), fmt.Sprint("d", i%5), 64))
	}
	replay := func(live int) (busiest, mostUsed int) {
		picked := map[string]int{}
		for n := range nodes {
			b := &balancer.Balancer{Domain: fmt.Sprint("d", n%5), Name: fmt.Sprint("n", n), Nodes: func() int { return live }}
			used := map[string]bool{}
			for range requests * 8 {
				choice, ok := b.Pick(now, balancer.Request{Endpoints: all, Tokens: 1_000, Capacity: 80_000})
				require.True(t, ok)
				b.Done(choice)
				assert.Equal(t, b.Domain, choice.Endpoint.Domain, "the own domain has room")
				used[choice.Endpoint.ID] = true
			}
			choice, ok := b.Pick(now, balancer.Request{Endpoints: all, Tokens: 1_000, Capacity: 80_000})
			require.True(t, ok)
			picked[choice.Endpoint.ID]++
			mostUsed = max(mostUsed, len(used))
		}
		for _, n := range picked {
			busiest = max(busiest, n)
		}
		return busiest, mostUsed
	}
	busiest, mostUsed := replay(nodes)
	assert.LessOrEqual(t, busiest, 4*nodes/engines+4)
	assert.LessOrEqual(t, mostUsed, 8)
	t.Run("all engines are used when those of the sample are full", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d0", Name: "n0", Nodes: func() int { return nodes }}
		used := map[string]bool{}
		for range engines * 64 {
			choice, ok := b.Pick(now, balancer.Request{Endpoints: all})
			require.True(t, ok)
			used[choice.Endpoint.ID] = true
		}
		assert.Len(t, used, engines)
	})
}

func TestPlainServices(t *testing.T) {
	request := balancer.Request{Endpoints: []endpointtracker.Endpoint{endpoint("a", "d1", 2)}}
	b := &balancer.Balancer{Domain: "d1"}
	for range 3 {
		assertPicks(t, b, request, "a")
	}
	assertPicks(t, b, request, "")
}

// TestHoldOutlivesEntry guards against requests to an endpoint that has asked for none, after its
// entry lapsed and came back.
func TestHoldOutlivesEntry(t *testing.T) {
	b := &balancer.Balancer{}
	now := time.Now()
	b.RecordHold("e", now, 2*time.Second)
	b.RemoveUnlisted(now.Add(time.Second), nil)
	assert.True(t, b.Held("e", now.Add(time.Second)))
}
