package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	coldTime  = 3 * time.Second
	coldBound = 35
	simStep   = 5 * time.Millisecond
	// demand is the number of requests per second that all nodes get.
	demand = 2600
)

var coldServices = map[string]cataloger.Service{"s": {Name: "s", ColdStart: coldTime, ColdRate: 20}}

func newCold(random *rand.Rand) *throttler.Cold {
	c := &throttler.Cold{Overrun: 1.5, Slack: 5, Random: random.Float64}
	c.SetServices(start, coldServices)
	return c
}

// coldEntry is an entry of the first process of an endpoint that says for how long it is cold.
func coldEntry(id string, at time.Time, cold time.Duration) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{
		ID: id, Service: "s", Domain: "d" + id[:1], Slots: 8, StartedAt: start.Add(-time.Hour), Renewal: 1, Cold: cold, HasCold: true, ReceivedAt: at,
	}
}

// simSite is a site of nodes that place random requests, each by the load that it knows. Reports of
// peers show the endpoints that do not start as loaded.
type simSite struct {
	random    *rand.Rand
	balancers []*balancer.Balancer
	colds     []*throttler.Cold
	// views are the entries that each node knows.
	views [][]endpointtracker.Endpoint
	// arrivals are the entries that the nodes read later.
	arrivals [][]endpointtracker.Endpoint
	// restarting are the endpoints that refuse connections before start and are cold from then.
	restarting map[string]bool
	sent       map[string][]time.Time
}

// newSimSite returns a site with 90 endpoints, of which those of domain 0 begin at start. protected
// is unset for the rule of plain sharing by load.
func newSimSite(seed uint64, nodes int, protected bool, starting int) *simSite {
	s := &simSite{random: rand.New(rand.NewPCG(seed, 1)), restarting: map[string]bool{}, sent: map[string][]time.Time{}}
	var endpoints []endpointtracker.Endpoint
	for i := range 90 {
		endpoints = append(endpoints, coldEntry(fmt.Sprint(i%3, "-", i), start.Add(-time.Minute), 0))
	}
	for i := range starting {
		s.restarting[endpoints[3*i].ID] = true
	}
	for i := range nodes {
		b := &balancer.Balancer{Domain: fmt.Sprint("d", i%3), Name: fmt.Sprint("n", i), Nodes: func() int { return nodes }}
		c := newCold(s.random)
		if protected {
			b.Cold = c
		}
		for _, e := range endpoints {
			c.Observe(e)
		}
		c.RecordListing(start, ids(endpoints), false)
		c.SetNodes(start.Add(-time.Minute), nodes)
		s.balancers, s.colds, s.views = append(s.balancers, b), append(s.colds, c), append(s.views, slices.Clone(endpoints))
		var arrivals []endpointtracker.Endpoint
		for id := range s.restarting {
			e := coldEntry(id, start.Add(100*time.Millisecond+time.Duration(s.random.Int64N(int64(1900*time.Millisecond)))), coldTime)
			e.StartedAt = start
			arrivals = append(arrivals, e)
		}
		s.arrivals = append(s.arrivals, arrivals)
	}
	return s
}

func ids(endpoints []endpointtracker.Endpoint) map[string]bool {
	keys := map[string]bool{}
	for _, e := range endpoints {
		keys[e.ID] = true
	}
	return keys
}

// leave removes the starting endpoints from all views before they start: they were not listed.
func (s *simSite) leave() {
	for i, view := range s.views {
		s.views[i] = slices.DeleteFunc(view, func(e endpointtracker.Endpoint) bool { return s.restarting[e.ID] })
		for id := range s.restarting {
			s.colds[i].RecordRemoved(start.Add(-time.Minute), id, false)
		}
	}
}

// run places requests from before the start of the endpoints until they are warm.
func (s *simSite) run(from time.Duration) {
	running := map[time.Time][]func(){}
	for now := start.Add(-from); now.Before(start.Add(coldTime)); now = now.Add(simStep) {
		for _, done := range running[now] {
			done()
		}
		for i, b := range s.balancers {
			s.readEntries(now, i)
			if now.Sub(start)%(150*time.Millisecond) == 0 {
				b.HandleReport("peer", balancer.Hub, now, balancer.AllEndpoints(s.loads()))
			}
			// Requests come in bursts of 3 on average.
			if s.random.Float64() < demand/3*simStep.Seconds()/float64(len(s.balancers)) {
				for range 3 {
					if done := s.place(now, i); done != nil {
						end := now.Add(time.Duration(10+s.random.IntN(40)) * simStep)
						running[end] = append(running[end], done)
					}
				}
			}
		}
	}
}

func (s *simSite) readEntries(now time.Time, node int) {
	for _, e := range s.arrivals[node] {
		if age := now.Sub(e.ReceivedAt); age >= 0 && age < simStep {
			s.colds[node].Observe(e)
			s.views[node] = append(slices.DeleteFunc(s.views[node], func(known endpointtracker.Endpoint) bool { return known.ID == e.ID }), e)
		}
	}
}

func (s *simSite) loads() []peertracker.Load {
	var loads []peertracker.Load
	for _, e := range s.views[0] {
		if !s.restarting[e.ID] {
			loads = append(loads, peertracker.Load{Endpoint: balancer.IDHash(e.ID), Running: 3})
		}
	}
	slices.SortFunc(loads, func(a, b peertracker.Load) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	return loads
}

// place places a request and returns what ends it; nil if it was not run.
func (s *simSite) place(now time.Time, node int) func() {
	b := s.balancers[node]
	choice, ok := b.Pick(now, balancer.Request{Endpoints: s.views[node]})
	if !ok {
		return nil
	}
	id := choice.Endpoint.ID
	if s.restarting[id] && now.Before(start) {
		b.Done(choice)
		b.RecordFailure(id, now)
		s.colds[node].RecordLoss(now, choice.Endpoint)
		return nil
	}
	s.colds[node].RecordAnswer(now, choice.Endpoint)
	s.sent[id] = append(s.sent[id], now)
	return func() { b.Done(choice) }
}

// most returns the largest number of requests that a starting endpoint got in one second.
func (s *simSite) most() int {
	most := 0
	for id := range s.restarting {
		for i, from := range s.sent[id] {
			n := 0
			for n < len(s.sent[id])-i && s.sent[id][i+n].Before(from.Add(time.Second)) {
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

// TestColdBound guards against more requests to a cold endpoint than it bears. The rule of plain
// sharing by load must show the excess, since the tests would prove nothing otherwise.
func TestColdBound(t *testing.T) {
	for _, nodes := range []int{7, 60, 195} {
		if testing.Short() && nodes != 60 {
			// The simulation takes a minute under the race detector.
			continue
		}
		for name, starting := range map[string]int{"one endpoint": 1, "a whole domain": 30} {
			t.Run(fmt.Sprint(name, " of ", nodes, " nodes"), func(t *testing.T) {
				fresh := func(protected bool) int {
					s := newSimSite(1, nodes, protected, starting)
					s.leave()
					s.run(0)
					return s.most()
				}
				restarted := func(protected bool) int {
					s := newSimSite(2, nodes, protected, starting)
					s.run(time.Second)
					return s.most()
				}
				plain := max(fresh(false), restarted(false))
				first, second := fresh(true), restarted(true)
				t.Logf("most in one second: %d, and %d after a restart under the same id; by plain sharing %d", first, second, plain)
				assert.LessOrEqual(t, max(first, second), coldBound)
				assert.Greater(t, plain, coldBound)
			})
		}
	}
}

// TestColdTokens guards against excess while each node uses each of its tokens: at once, or the
// first of them at the same moment, as in a burst.
func TestColdTokens(t *testing.T) {
	endpoint := coldEntry("0-0", start, coldTime)
	for _, nodes := range []int{1, 7, 60, 195} {
		for _, burstAt := range []time.Duration{0, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			most, sum := 0, 0
			for seed := range uint64(30) {
				random := rand.New(rand.NewPCG(seed, 2))
				s := &simSite{restarting: map[string]bool{endpoint.ID: true}, sent: map[string][]time.Time{}}
				for range nodes {
					c := newCold(random)
					c.SetNodes(start.Add(-time.Minute), nodes)
					c.Observe(endpoint)
					s.colds = append(s.colds, c)
				}
				for now := start.Add(burstAt); now.Before(start.Add(coldTime)); now = now.Add(simStep) {
					for _, c := range s.colds {
						if c.Ready(now, endpoint) && c.Take(now, endpoint) {
							s.sent[endpoint.ID] = append(s.sent[endpoint.ID], now)
						}
					}
				}
				most, sum = max(most, s.most()), sum+len(s.sent[endpoint.ID])
			}
			t.Logf("%d nodes from %s: at most %d in one second, %.1f a second", nodes, burstAt, most, float64(sum)/30/(coldTime-burstAt).Seconds())
			assert.LessOrEqual(t, most, coldBound, "%d nodes, burst at %s", nodes, burstAt)
			assert.Positive(t, sum)
		}
	}
}

// TestWhatIsCold covers each rule by which an endpoint counts as cold, at a node that has listed the
// directories.
func TestWhatIsCold(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }
	warm := coldEntry("0-0", at(-60_000), 0)
	renewed := func(e endpointtracker.Endpoint, d time.Duration) endpointtracker.Endpoint {
		e.Renewal, e.ReceivedAt = e.Renewal+1, at(d)
		return e
	}
	silent := func(e endpointtracker.Endpoint) endpointtracker.Endpoint {
		e.Cold, e.HasCold = 0, false
		return e
	}
	// check runs a case at a node that knows the endpoint as warm and asserts when it is cold.
	check := func(name string, do func(c *throttler.Cold), cold, notCold []time.Duration) {
		t.Run(name, func(t *testing.T) {
			c := newCold(rand.New(rand.NewPCG(1, 1)))
			c.SetNodes(at(-60_000), 60)
			c.Observe(warm)
			c.RecordListing(at(-50_000), map[string]bool{warm.ID: true}, false)
			assert.False(t, c.IsCold(at(-1), warm))
			do(c)
			for _, d := range cold {
				assert.True(t, c.IsCold(at(d), warm), "at %d ms", d)
			}
			for _, d := range notCold {
				assert.False(t, c.IsCold(at(d), warm), "at %d ms", d)
			}
		})
	}
	says := renewed(warm, 0)
	says.Cold = 2 * time.Second
	next := silent(renewed(warm, 0))
	next.StartedAt = start
	check("an entry that says so", func(c *throttler.Cold) { c.Observe(says) }, []time.Duration{1, 1999}, []time.Duration{2000})
	check("the same entry read again does not extend it", func(c *throttler.Cold) {
		c.Observe(says)
		again := says
		again.ReceivedAt = at(1000)
		c.Observe(again)
	}, []time.Duration{1999}, []time.Duration{2000})
	check("a renewal without the field says nothing", func(c *throttler.Cold) {
		c.Observe(says)
		c.Observe(silent(renewed(says, 500)))
	}, []time.Duration{1999}, []time.Duration{2000})
	check("a renewal that says it is warm", func(c *throttler.Cold) {
		c.Observe(says)
		e := renewed(says, 500)
		e.Cold = 0
		c.Observe(e)
	}, nil, []time.Duration{501})
	check("a new process", func(c *throttler.Cold) { c.Observe(next) }, []time.Duration{1, 2999}, []time.Duration{3000})
	check("lost, until it has answered for the cold time", func(c *throttler.Cold) {
		c.RecordLoss(at(0), warm)
		assert.True(t, c.IsCold(at(20_000), warm))
		c.RecordAnswer(at(20_000), warm)
	}, []time.Duration{22_999}, []time.Duration{23_000})
	check("lost, with a renewal from before the loss", func(c *throttler.Cold) {
		c.RecordLoss(at(0), warm)
		c.Observe(renewed(warm, 1500))
	}, []time.Duration{1501, 9000}, nil)
	check("lost, with a renewal from after the loss", func(c *throttler.Cold) {
		c.RecordLoss(at(0), warm)
		c.Observe(renewed(warm, 2500))
	}, nil, []time.Duration{2501})
	check("removed and listed again by the same process", func(c *throttler.Cold) {
		c.RecordRemoved(at(0), warm.ID, false)
		c.Observe(renewed(warm, 500))
	}, []time.Duration{501}, nil)
	check("expired in an outage of the directory", func(c *throttler.Cold) {
		c.RecordRemoved(at(0), warm.ID, true)
		c.Observe(renewed(warm, 500))
	}, nil, []time.Duration{501})
	check("its domain's evacuation has ended", func(c *throttler.Cold) {
		c.MarkDomainCold(at(0), warm.Domain)
		c.Observe(renewed(warm, 500))
	}, []time.Duration{501, 2999}, []time.Duration{3000})
	check("another domain's evacuation has ended", func(c *throttler.Cold) { c.MarkDomainCold(at(0), "other") }, nil, []time.Duration{1})
	check("no cold rate", func(c *throttler.Cold) {
		c.SetServices(at(0), map[string]cataloger.Service{"s": {ColdStart: coldTime}})
		c.Observe(says)
		c.RecordLoss(at(0), warm)
		assert.False(t, c.Any())
		assert.True(t, c.Take(at(1), warm))
	}, nil, []time.Duration{1})
}

// TestColdWithoutNodes guards against a share that is too large: a node that has not listed the
// directory of nodes knows few of them.
func TestColdWithoutNodes(t *testing.T) {
	c := newCold(rand.New(rand.NewPCG(1, 1)))
	e := coldEntry("0-0", start, coldTime)
	c.Observe(e)
	for now := start; now.Before(start.Add(coldTime)); now = now.Add(simStep) {
		assert.False(t, c.Ready(now, e))
	}
	assert.True(t, c.Ready(start.Add(coldTime), e))
}

// TestWarmEndpoint guards against all nodes choosing an endpoint at the moment it is warm.
func TestWarmEndpoint(t *testing.T) {
	e := coldEntry("0-0", start, coldTime)
	avoiding := map[time.Duration]int{}
	for seed := range uint64(100) {
		c := newCold(rand.New(rand.NewPCG(seed, 1)))
		c.SetNodes(start, 100)
		c.Observe(e)
		c.Sweep(start.Add(coldTime))
		for _, d := range []time.Duration{100, 500, 1000} {
			if c.Cost(start.Add(coldTime+d*time.Millisecond), e) > 0.2 {
				avoiding[d]++
			}
		}
	}
	assert.Greater(t, avoiding[100], 80)
	assert.InDelta(t, 40, avoiding[500], 15)
	assert.Zero(t, avoiding[1000])
}
