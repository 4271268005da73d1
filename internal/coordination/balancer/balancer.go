// Package balancer chooses the endpoint for a request by the endpoints' load:
// the node's own running requests, the load that peers and endpoints report,
// and recent failures. Package placer uses it; package dispatcher uses package
// router instead.
//
// Requests arrive in bursts and unevenly across failure domains, and endpoints
// differ in speed. A request stays in the node's own failure domain until the
// endpoints there are clearly busier than those elsewhere.
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

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// remoteDomainCost is added to the cost of an endpoint in another failure
	// domain; a fully loaded endpoint costs 1.
	remoteDomainCost = 0.6
	// maxMemoryShare is the share of an endpoint's memory that running requests
	// may take. At 1, none is reserved for cached prompt parts.
	maxMemoryShare = 1.0
	// maxSlotShare is the number of requests sent to an endpoint at once, as a
	// share of its slots. It is above 1 because plain services queue a few
	// requests themselves.
	maxSlotShare = 1.5
	// prefillScale is the number of prompt tokens awaiting prefill that cost as
	// much as a fully loaded endpoint: about 400 ms of prefill.
	prefillScale = 24_000
	// fetchScale is the same for tokens that are fetched, which is faster than
	// prefill but uses link bandwidth.
	fetchScale = 1_000_000
	// reportTTL is how long an endpoint's own load report is used.
	reportTTL = time.Second
	// peerReportTTL is how long a peer's load report is used. It allows for the
	// loss of some of the peer's heartbeats.
	peerReportTTL = 1500 * time.Millisecond
	// fullBackoff is how long an endpoint that refused a request for lack of
	// capacity gets no further requests.
	fullBackoff = 150 * time.Millisecond
	// loadingBackoff is how long an endpoint gets no requests after it last
	// reported that it is loading weights; it ends early when the endpoint
	// reports the new weights.
	loadingBackoff = 900 * time.Millisecond
	// staleWeightsCost is added to the cost of an endpoint that still serves
	// replaced weights; a fully loaded endpoint costs 1.
	staleWeightsCost = 0.5
	// failureBackoff is how long an endpoint gets no requests after a failure. It
	// doubles with each further failure, up to maxFailureBackoff.
	failureBackoff    = time.Second
	maxFailureBackoff = 8 * time.Second
	// stallTimeout is the time without data after which an endpoint with
	// running requests gets no new ones. Streams send events every few dozen
	// milliseconds, and most first events arrive within half of this time.
	stallTimeout = 700 * time.Millisecond
	// defaultSlots is assumed for an endpoint that does not report its slots.
	defaultSlots = 8
)

// Request describes a request that needs an endpoint.
type Request struct {
	Endpoints []endpointtracker.Endpoint
	// Tokens is the memory that the request takes and Capacity that of an
	// endpoint, in tokens; both are zero for requests without a prompt.
	Tokens   int
	Capacity int
	// Urgent requests may also go to an endpoint without free capacity.
	Urgent bool
	// Work returns the endpoint's work for the request's prompt; nil for
	// requests without a prompt.
	Work func(endpoint endpointtracker.Endpoint) Work
	// Stale reports whether an endpoint serves replaced weights; nil for
	// requests without a prompt.
	Stale func(endpoint endpointtracker.Endpoint) bool
	// Tried holds IDs of endpoints that are used only when there is no other.
	Tried map[string]bool
	// Avoid holds IDs of endpoints that must not be used.
	Avoid map[string]bool

	// avoidSilent is set by find if silent endpoints must not be used.
	avoidSilent bool
}

// Permits tells which requests may be sent to endpoints that limit them.
type Permits interface {
	// Ready reports whether an endpoint may get a request now, and Wait how long it gets
	// none for want of a permit; zero if it may get one, or if that is not known yet.
	Ready(now time.Time, endpoint endpointtracker.Endpoint) bool
	Wait(now time.Time, endpoint endpointtracker.Endpoint) time.Duration
	// Take uses the permit for a request. It reports false if there is none any more.
	Take(now time.Time, endpoint endpointtracker.Endpoint) bool
	// Want asks for a permit for an endpoint, unless it is too early for that. It returns a
	// channel that is closed once the answer is there; nil if none is due. patient is set if
	// the request may wait for the permit, since no other endpoint takes it.
	Want(now time.Time, endpoint endpointtracker.Endpoint, patient bool) <-chan struct{}
	// Any reports whether any endpoint limits its requests.
	Any() bool
	// Release is called when a request for which Take was called has ended.
	Release(endpoint endpointtracker.Endpoint)
}

// Cold tells which requests may be sent to endpoints that are cold, that is, have just started.
type Cold interface {
	// Any reports whether any endpoint is cold or was just before. The other methods need not
	// be called otherwise.
	Any() bool
	IsCold(now time.Time, endpoint endpointtracker.Endpoint) bool
	// Ready reports whether an endpoint is not cold or may get a request all the same, and Wait
	// how long it gets none; zero if it may get one, or if that is not known.
	Ready(now time.Time, endpoint endpointtracker.Endpoint) bool
	Wait(now time.Time, endpoint endpointtracker.Endpoint) time.Duration
	// Take records a request to an endpoint. It reports false if the endpoint may get none any
	// more.
	Take(now time.Time, endpoint endpointtracker.Endpoint) bool
	// Cost is added to the cost of an endpoint.
	Cost(now time.Time, endpoint endpointtracker.Endpoint) float64
	// RecordWithheld records that a request did not go to a cold endpoint of a service.
	RecordWithheld(service string)
}

// Balancer tracks the load of all endpoints. Its fields are set before use, and
// it is safe for concurrent use.
type Balancer struct {
	// Domain is the node's own failure domain, and Name the node's name.
	Domain string
	Name   string
	// Nodes returns the number of live nodes; nil if there are few. It is called without the
	// Balancer's lock, as it takes one whose holders report to the Balancer.
	Nodes func() int
	// Permits holds permits for the endpoints that limit their requests; nil if none do.
	Permits Permits
	// Pressure is set if the engines run under memory pressure: their load then changes as fast as
	// that of endpoints that share their hosts, see SharedHosts.
	Pressure bool
	// Cold limits the requests to cold endpoints; nil if none is ever cold.
	Cold Cold

	mu       sync.Mutex
	states   map[string]*endpointState
	peers    map[string]*peer
	sums     sums
	paces    paceState
	silences silences
	// pickSequence counts the picks; on equal cost the endpoint that was picked
	// least recently wins.
	pickSequence uint64
	// pathLost is set while this node has lost its links to all endpoints.
	pathLost bool
	// withheldFrom is the service of the cold endpoints that the present Pick must not use;
	// empty for none.
	withheldFrom string
}

// candidate is an endpoint that may be picked.
type candidate struct {
	index int
	cost  float64
	work  Work
}

// Pick chooses the endpoint with the lowest cost and counts the request on it
// until Done. It returns false when no endpoint accepts the request.
func (b *Balancer) Pick(now time.Time, request Request) (Choice, bool) {
	sampled := b.comparesSample(now, request.Endpoints)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.withheldFrom = ""
	best, limited, ok := b.find(now, request, sampled)
	if !ok {
		for _, c := range limited {
			b.Permits.Want(now, request.Endpoints[c.index], true)
		}
		return Choice{}, false
	}
	chosen := request.Endpoints[best.index]
	// A token that is not used for want of a permit is lost, which costs less than a lost permit.
	if b.Cold != nil && !b.Cold.Take(now, chosen) || b.Permits != nil && !b.Permits.Take(now, chosen) {
		return Choice{}, false
	}
	if b.withheldFrom != "" {
		b.Cold.RecordWithheld(b.withheldFrom)
	}
	state := b.endpointState(chosen.ID)
	b.pickSequence++
	state.pickSequence = b.pickSequence
	if state.running == 0 {
		state.lastActivity = now
	}
	state.running++
	state.tokens += request.Tokens
	state.prefillTokens += best.work.Read
	return Choice{Endpoint: chosen, Cost: best.cost, Work: best.work, tokens: request.Tokens, prefillTokens: best.work.Read}, true
}

// WantPermits asks for permits for the endpoints that Pick would choose if they did not limit
// their requests. It returns a channel that is closed once the answer for one of them is
// there; nil if none is due.
func (b *Balancer) WantPermits(now time.Time, request Request) <-chan struct{} {
	if b.Permits == nil || !b.Permits.Any() {
		return nil
	}
	sampled := b.comparesSample(now, request.Endpoints)
	b.mu.Lock()
	defer b.mu.Unlock()
	best, limited, ok := b.find(now, request, sampled)
	var answered <-chan struct{}
	for _, c := range limited {
		if !ok || c.cost <= best.cost {
			if due := b.Permits.Want(now, request.Endpoints[c.index], !ok); due != nil {
				answered = due
			}
		}
	}
	return answered
}

// find returns the cheapest endpoint of those that this node compares, which are a sample if
// sampled is set, or of all if none of them accepts the request.
func (b *Balancer) find(now time.Time, request Request, sampled bool) (best candidate, limited []candidate, ok bool) {
	request.avoidSilent = b.sharedHosts(now) && b.hasResponsive(now, request)
	if sampled {
		if best, limited, ok = b.cheapest(now, request, b.sample(now, request.Endpoints)); ok {
			return best, limited, ok
		}
	}
	return b.cheapest(now, request, all(len(request.Endpoints)))
}

func all(n int) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// cheapest returns the endpoint with the lowest cost among those that accept the request.
// On equal cost the one that was picked least recently wins. limited are those that lack only
// a permit.
func (b *Balancer) cheapest(now time.Time, request Request, indices []int) (best candidate, limited []candidate, found bool) {
	for _, i := range indices {
		endpoint := request.Endpoints[i]
		if endpoint.Leaving || request.Avoid[endpoint.ID] || !b.accepts(now, endpoint, request) {
			continue
		}
		c := candidate{index: i, cost: b.cost(now, endpoint, request.Capacity)}
		if b.Cold != nil && b.Cold.Any() {
			if !b.Cold.Ready(now, endpoint) {
				b.withheldFrom = endpoint.Service
				continue
			}
			c.cost += b.Cold.Cost(now, endpoint)
		}
		if request.Work != nil {
			c.work = request.Work(endpoint)
			c.cost += c.work.cost()
		}
		if request.Stale != nil && request.Stale(endpoint) {
			c.cost += staleWeightsCost
		}
		if request.Tried[endpoint.ID] {
			c.cost += triedCost
		}
		if b.Permits != nil && !b.Permits.Ready(now, endpoint) {
			limited = append(limited, c)
			continue
		}
		if !found || c.cost < best.cost || c.cost == best.cost && b.pickedBefore(endpoint, request.Endpoints[best.index]) {
			best, found = c, true
		}
	}
	return best, limited, found
}

// pickedBefore reports whether an endpoint was picked less recently than another.
func (b *Balancer) pickedBefore(endpoint, other endpointtracker.Endpoint) bool {
	return b.endpointState(endpoint.ID).pickSequence < b.endpointState(other.ID).pickSequence
}

// Choice is a chosen endpoint together with the request counted on it.
type Choice struct {
	Endpoint endpointtracker.Endpoint
	// Cost is the endpoint's cost at the time of the choice.
	Cost float64
	// Work is the endpoint's estimated work for the prompt.
	Work          Work
	tokens        int
	prefillTokens int
}

// triedCost exceeds the cost of any load.
const triedCost = 1000

// RecordPrefillDone records that the prefill of a request has finished. It may
// be called twice.
func (b *Balancer) RecordPrefillDone(choice *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpointState(choice.Endpoint.ID).prefillTokens -= choice.prefillTokens
	choice.prefillTokens = 0
}

// Done ends a request that Pick counted.
func (b *Balancer) Done(choice Choice) {
	if b.Permits != nil {
		defer b.Permits.Release(choice.Endpoint)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(choice.Endpoint.ID)
	state.running--
	state.tokens -= choice.tokens
	state.prefillTokens -= choice.prefillTokens
}

// Running returns the number of requests on an endpoint that the nodes have reported, with those of
// this node.
func (b *Balancer) Running(now time.Time, id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	state := b.endpointState(id)
	return b.peerLoad(state.hash).Running + state.running
}

// OwnRunning returns the number of requests that this node runs on an endpoint.
func (b *Balancer) OwnRunning(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state, ok := b.states[id]; ok {
		return state.running
	}
	return 0
}

// RemoveUnlisted removes endpoints that are not listed and have no running
// requests. Those that have asked for no requests are kept until then, since their
// entries may return.
func (b *Balancer) RemoveUnlisted(now time.Time, listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.states {
		if !listed[id] && state.running == 0 && !now.Before(state.holdUntil) {
			delete(b.states, id)
		}
	}
}
