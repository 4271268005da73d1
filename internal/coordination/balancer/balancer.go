// Package balancer chooses the endpoint for a request by what is known of the
// endpoints' load: the node's own requests in flight, what endpoints tell in
// their answers, and recent failures.
//
// It answers uneven load: callers come in clumps and by failure domain, and
// endpoints differ in speed. A request stays in the node's own failure domain
// until the endpoints there are clearly busier than those elsewhere.
//
// # Usage
//
//	b := &balancer.Balancer{Domain: "kadikoy"}
//	choice, ok := b.Pick(now, balancer.Request{Endpoints: endpoints, Tokens: 900})
//	defer b.Done(choice)
package balancer

import (
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// remoteCost is what an endpoint in another failure domain must have less
	// load, as a share of its slots, to be preferred.
	remoteCost = 0.6
	// memoryShare is the share of an endpoint's memory that requests may take; the
	// rest keeps prompt parts for the next ones.
	memoryShare = 1.0
	// slotShare is how many requests an endpoint gets at once, as a share of its
	// slots; plain services queue a few themselves.
	slotShare = 1.5
	// readScale is how many prompt tokens that wait to be read weigh as much as a
	// full endpoint: about 400 ms of reading.
	readScale = 24_000
	// fetchScale is the same for tokens that are fetched, which is faster but
	// takes the links' time.
	fetchScale = 1_000_000
	// loadFresh is how long an endpoint's account of its load is used.
	loadFresh = time.Second
	// peerFresh is how long what a peer told of its load is used: some of its
	// heartbeats may be lost.
	peerFresh = 1500 * time.Millisecond
	// fullPause is how long an endpoint that refused for want of room is passed
	// over.
	fullPause = 150 * time.Millisecond
	// loadPause is how long an endpoint that loads weights is passed over after the
	// last word of it; it ends sooner when the endpoint shows the new ones.
	loadPause = 900 * time.Millisecond
	// staleCost is what an endpoint with replaced weights must have less load to be
	// preferred to one with the newest.
	staleCost = 0.5
	// failPause is how long an endpoint that could not be reached is passed over
	// at first; it doubles with each further failure, up to maxFailPause.
	failPause    = time.Second
	maxFailPause = 8 * time.Second
	// silence is after how long an endpoint that owes answers and sends nothing is
	// passed over. Streams send events every few dozen milliseconds, and most first
	// ones come within half of it.
	silence = 700 * time.Millisecond
	// defaultSlots stands in for an endpoint that did not tell its slots.
	defaultSlots = 8
)

// Request asks for an endpoint.
type Request struct {
	Endpoints []tracker.Endpoint
	// Tokens is the memory that the request takes, Capacity that of an endpoint;
	// both zero for requests without prompt.
	Tokens   int
	Capacity int
	// Urgent requests go to an endpoint that has no room, too.
	Urgent bool
	// Work returns what an endpoint must do for the request's prompt; nil for
	// requests without prompt.
	Work func(endpoint tracker.Endpoint) Work
	// Stale reports whether an endpoint has replaced weights; nil for requests
	// without prompt.
	Stale func(endpoint tracker.Endpoint) bool
	// Tried holds ids of endpoints that are used only when there is no other.
	Tried map[string]bool
	// Avoid holds ids of endpoints that must not be used.
	Avoid map[string]bool
}

// Balancer holds the load of all endpoints. Its fields are set before use, and
// it is safe for concurrent use.
type Balancer struct {
	// Domain is the node's own failure domain.
	Domain string

	mu     sync.Mutex
	gauges map[string]*gauge
	peers  map[string]peer
	turn   uint64
}

// Pick chooses an endpoint and counts the request on it until Done.
func (b *Balancer) Pick(now time.Time, request Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	var lowest float64
	var least Work
	for i, endpoint := range request.Endpoints {
		if endpoint.Leaving || request.Avoid[endpoint.ID] || !b.room(now, endpoint, request) {
			continue
		}
		cost := b.cost(now, endpoint, request.Capacity)
		var work Work
		if request.Work != nil {
			work = request.Work(endpoint)
			cost += work.cost()
		}
		if request.Stale != nil && request.Stale(endpoint) {
			cost += staleCost
		}
		if request.Tried[endpoint.ID] {
			cost += triedCost
		}
		if best < 0 || cost < lowest || cost == lowest && b.gauge(endpoint.ID).turn < b.gauge(request.Endpoints[best].ID).turn {
			best, lowest, least = i, cost, work
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	chosen := request.Endpoints[best]
	g := b.gauge(chosen.ID)
	b.turn++
	g.turn = b.turn
	if g.running == 0 {
		g.heard = now
	}
	g.running++
	g.tokens += request.Tokens
	g.reading += least.Read
	return Choice{Endpoint: chosen, Cost: lowest, Work: least, tokens: request.Tokens, reading: least.Read}, true
}

// Choice is an endpoint with a request that is counted on it.
type Choice struct {
	Endpoint tracker.Endpoint
	// Cost is what the endpoint was chosen by.
	Cost float64
	// Work is what the endpoint is believed to have to do.
	Work    Work
	tokens  int
	reading int
}

// triedCost outweighs any load.
const triedCost = 1000

// Begun notes that a request's prompt has been read. It may be called twice.
func (b *Balancer) Begun(choice *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gauge(choice.Endpoint.ID).reading -= choice.reading
	choice.reading = 0
}

// Done ends a request that Pick counted.
func (b *Balancer) Done(choice Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gauge(choice.Endpoint.ID)
	g.running--
	g.tokens -= choice.tokens
	g.reading -= choice.reading
}

// Keep forgets endpoints that are not listed and have no requests.
func (b *Balancer) Keep(listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, g := range b.gauges {
		if !listed[id] && g.running == 0 {
			delete(b.gauges, id)
		}
	}
}
