package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	brittleSlots = 6
	// brittleRefusals is the number of requests that a brittle endpoint may turn away within a second.
	brittleRefusals = 5
	// brittleWaiting is the number of requests that wait there.
	brittleWaiting = 1
	// fallTime is how long an endpoint that fell over is away.
	fallTime = 3 * time.Second
	// brittlePatience is how long a request waits for an endpoint.
	brittlePatience = 250 * time.Millisecond
	pickPeriod      = 10 * time.Millisecond
	// brittleTries is the number of endpoints at which a request is tried.
	brittleTries = 2
)

// brittleEndpoint falls over if it turns too many requests away.
type brittleEndpoint struct {
	endpointtracker.Endpoint
	running   int
	refusedAt []time.Time
	downUntil time.Time
	falls     int
}

// arrive reports whether the endpoint takes a request; alive is unset if it is down. It lets fewer
// wait, and falls over, only if it is brittle.
func (e *brittleEndpoint) arrive(now time.Time, brittle bool) (taken, alive bool) {
	if now.Before(e.downUntil) {
		return false, false
	}
	waiting := brittleSlots
	if brittle {
		waiting = brittleWaiting
	}
	if e.running < brittleSlots+waiting {
		e.running++
		return true, true
	}
	e.refusedAt = append(slices.DeleteFunc(e.refusedAt, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if brittle && len(e.refusedAt) > brittleRefusals {
		e.falls++
		e.running, e.refusedAt, e.downUntil = 0, nil, now.Add(fallTime)
	}
	return false, true
}

// brittleSite is a fleet with brittle endpoints.
type brittleSite struct {
	*fleet
	// work is the time for which an endpoint runs a request.
	work time.Duration

	mu        sync.Mutex
	endpoints []*brittleEndpoint
	// says is set while the endpoints say that they are brittle, and brittle while they are.
	says    bool
	brittle bool
	served  int
	refused int
}

func newBrittleSite(t *testing.T, nodes, domains, endpoints int, work time.Duration) *brittleSite {
	t.Helper()
	s := &brittleSite{fleet: newFleet(t, nodes, domains), work: work}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &brittleEndpoint{Endpoint: endpointtracker.Endpoint{
			ID: fmt.Sprint("e", i), Service: "plain", Domain: fmt.Sprintf("d%d", i%domains), Slots: brittleSlots, StartedAt: time.UnixMilli(1000),
		}})
	}
	for _, n := range s.nodes {
		for _, e := range s.endpoints {
			n.node.PutEndpoint(e.Endpoint)
		}
	}
	s.wait(membershipBound)
	return s
}

// send sends requests, rate a second from all nodes together, until ctx ends.
func (s *brittleSite) send(ctx context.Context, rate float64) {
	period := time.Duration(float64(len(s.nodes)) / rate * float64(time.Second))
	for i, n := range s.nodes {
		random := rand.New(rand.NewPCG(30, uint64(i)))
		go func() {
			for retrier.Sleep(ctx, time.Duration(random.Float64()*2*float64(period))) == nil {
				go s.request(n)
			}
		}()
	}
}

func (s *brittleSite) request(n *fleetNode) {
	var endpoints []endpointtracker.Endpoint
	for _, e := range s.endpoints {
		endpoints = append(endpoints, e.Endpoint)
	}
	tried := map[string]bool{}
	for range brittleTries {
		request := balancer.Request{Endpoints: endpoints, Avoid: tried}
		if answered := n.balancer.WantPermits(time.Now(), request); answered != nil {
			<-answered
		}
		choice, sentAt, ok := s.pick(n, request)
		if !ok {
			return
		}
		tried[choice.Endpoint.ID] = true
		if s.try(n, choice, sentAt) {
			return
		}
	}
}

// pick waits for an endpoint for a while.
func (s *brittleSite) pick(n *fleetNode, request balancer.Request) (balancer.Choice, time.Time, bool) {
	for began := time.Now(); time.Since(began) < brittlePatience; time.Sleep(pickPeriod) {
		if choice, ok := n.balancer.Pick(time.Now(), request); ok {
			return choice, time.Now(), true
		}
	}
	return balancer.Choice{}, time.Time{}, false
}

// try runs a request at the endpoint of its choice and reports whether it was served.
func (s *brittleSite) try(n *fleetNode, choice balancer.Choice, sentAt time.Time) bool {
	defer n.balancer.Done(choice)
	time.Sleep(linkDelay)
	s.mu.Lock()
	e := s.endpoints[slices.IndexFunc(s.endpoints, func(e *brittleEndpoint) bool { return e.ID == choice.Endpoint.ID })]
	taken, alive := e.arrive(time.Now(), s.brittle)
	statement := throttler.Statement{Known: true}
	if s.says {
		statement.Brittle = brittleRefusals
	}
	s.mu.Unlock()
	if taken {
		time.Sleep(s.work)
		s.mu.Lock()
		e.running = max(e.running-1, 0)
		s.served++
		s.mu.Unlock()
	}
	time.Sleep(linkDelay)
	now := time.Now()
	switch {
	case !alive:
		n.balancer.RecordFailure(e.ID, now)
		return false
	case !taken:
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		n.peers.LearnLimit("request", e.Endpoint, statement, sentAt)
		n.balancer.RecordRefusal(e.ID, now)
		n.peers.LearnRefusal("request", e.Endpoint)
	default:
		n.peers.LearnLimit("request", e.Endpoint, statement, sentAt)
		n.balancer.ResetBackoff(e.ID)
	}
	return taken
}

// TestBrittleEndpoints guards against endpoints that fall over since the nodes together send more
// than they have room for.
func TestBrittleEndpoints(t *testing.T) {
	for _, site := range []struct {
		nodes, domains, endpoints int
		work                      time.Duration
		// load is the number of requests as a share of what the endpoints can run.
		load float64
	}{
		{7, 3, 3, 60 * time.Millisecond, 0.1},
		{7, 3, 3, 60 * time.Millisecond, 0.3},
		{7, 3, 3, 60 * time.Millisecond, 0.6},
		{7, 3, 3, 60 * time.Millisecond, 1.5},
		{7, 3, 3, 480 * time.Millisecond, 1.5},
		{7, 3, 9, 480 * time.Millisecond, 3},
		{195, 5, 5, 15 * time.Millisecond, 0.12},
		{195, 5, 5, 120 * time.Millisecond, 0.3},
		{195, 5, 5, 120 * time.Millisecond, 1.5},
		{195, 5, 5, 480 * time.Millisecond, 3},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d endpoints, %s of work, load %v", site.nodes, site.endpoints, site.work, site.load), func(t *testing.T) {
			if testing.Short() && site.nodes > 7 {
				t.Skip("takes minutes under the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				s := newBrittleSite(t, site.nodes, site.domains, site.endpoints, site.work)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				capacity := float64(site.endpoints*brittleSlots) / site.work.Seconds()
				s.send(ctx, site.load*capacity)
				s.wait(2 * time.Second)
				s.mu.Lock()
				s.says = true
				s.mu.Unlock()
				s.wait(limitContact)
				s.mu.Lock()
				s.brittle, s.served, s.refused = true, 0, 0
				s.mu.Unlock()
				const d = 20 * time.Second
				s.wait(d)
				cancel()
				s.wait(maxAskTime)
				falls := 0
				for _, e := range s.endpoints {
					falls += e.falls
				}
				used := float64(s.served) / d.Seconds() / capacity
				t.Logf("falls %d, refused %d, used %.2f of the capacity", falls, s.refused, used)
				assert.LessOrEqual(t, float64(falls), 2+float64(site.endpoints)/10, "falls in %s", d)
				assert.Greater(t, used, 0.5*min(site.load, 1), "share of the capacity that is used")
			})
		})
	}
}
