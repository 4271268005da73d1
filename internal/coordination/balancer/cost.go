package balancer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// Work is what an endpoint must do for a prompt before its first token.
type Work struct {
	// Read counts the tokens that it must read, Fetch those that it can get from
	// elsewhere.
	Read  int
	Fetch int
}

func (w Work) cost() float64 {
	return float64(w.Read)/readScale + float64(w.Fetch)/fetchScale
}

type gauge struct {
	running int
	tokens  int
	// reading counts the tokens that requests without a first token yet read.
	reading int
	// load was told at told, when the node itself had own requests there.
	load   Load
	told   time.Time
	own    int
	paused time.Time
	// failures counts the failures since the last answer.
	failures int
	// heard is when the endpoint last sent something, or when it began to owe an
	// answer.
	heard time.Time
	turn  uint64
}

// cost is the endpoint's load as a share of what it can run at once, with what
// speaks against it added. Slots or memory bind, whichever is scarcer.
func (b *Balancer) cost(now time.Time, endpoint tracker.Endpoint, capacity int) float64 {
	g := b.gauge(endpoint.ID)
	others := b.others(now, endpoint.ID)
	running, tokens := others.Running+g.running, others.Tokens+g.tokens
	if now.Sub(g.told) < loadFresh {
		running = max(running, g.running+g.load.Running+g.load.Waiting-g.own)
	}
	cost := float64(running) / slots(endpoint)
	if capacity > 0 {
		cost = max(cost, float64(tokens)/float64(capacity))
	}
	cost += float64(others.Reading+g.reading) / readScale
	if endpoint.Domain != b.Domain {
		cost += remoteCost
	}
	return cost
}

// room reports whether an endpoint may get the request now.
func (b *Balancer) room(now time.Time, endpoint tracker.Endpoint, request Request) bool {
	g := b.gauge(endpoint.ID)
	if now.Before(g.paused) || g.running > 0 && now.Sub(g.heard) > silence {
		return false
	}
	others := b.others(now, endpoint.ID)
	running, tokens := others.Running+g.running, others.Tokens+g.tokens
	if request.Urgent || running == 0 {
		return true
	}
	if request.Capacity > 0 && float64(tokens+request.Tokens) > memoryShare*float64(request.Capacity) {
		return false
	}
	return float64(running) < slotShare*slots(endpoint)
}

// slots is the number of requests that an endpoint runs at once.
func slots(endpoint tracker.Endpoint) float64 {
	if endpoint.Slots <= 0 {
		return defaultSlots
	}
	return float64(endpoint.Slots)
}

// others sums what peers told of their own work on an endpoint.
func (b *Balancer) others(now time.Time, id string) observer.Load {
	sum := observer.Load{Endpoint: Hash(id)}
	for _, p := range b.peers {
		if now.Sub(p.heard) < peerFresh {
			load := p.loads[sum.Endpoint]
			sum.Running += load.Running
			sum.Tokens += load.Tokens
			sum.Reading += load.Reading
		}
	}
	return sum
}

func (b *Balancer) gauge(id string) *gauge {
	if b.gauges == nil {
		b.gauges = map[string]*gauge{}
	}
	g, ok := b.gauges[id]
	if !ok {
		g = &gauge{}
		b.gauges[id] = g
	}
	return g
}
