package dispatcher

import (
	"sync"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// InFlight counts the requests of this node that are in flight, per endpoint.
// It is safe for concurrent use.
type InFlight struct {
	mu sync.Mutex
	// running counts requests per endpoint.
	running map[string]int
	// runsExclusive marks endpoints that run a suspect request, and no other.
	runsExclusive map[string]bool
	// pending counts, per endpoint, the tokens of prompts that have not produced
	// their first token yet.
	pending map[string]int
	// sequence counts the choices, for round-robin among endpoints that are
	// otherwise equal.
	sequence uint64
}

// Running returns the number of this node's requests on an endpoint.
func (f *InFlight) Running(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[endpoint]
}

// Slots returns how many requests this node may run on a service at the same
// time, including those that run now. Endpoints that are loading weights or
// have not reported theirs don't count: requests for them wait in the queue.
func (f *InFlight) Slots(service configurator.Service, endpoints []registrar.EndpointState) int {
	slots := 0
	for _, endpoint := range endpoints {
		loaded := service.Type != configurator.ServiceModel || endpoint.Report.Version != ""
		if !endpoint.IsLeaving() && !endpoint.Report.Loading && loaded {
			slots += max(service.Concurrency-endpoint.OtherRunning(), 0)
		}
	}
	return slots
}

// reserve calls pick while holding the lock and counts a request on the endpoint
// that it returns. The lock ensures that each choice takes the other requests of
// the node into account.
func (f *InFlight) reserve(exclusive bool, pick func(sequence uint64) (string, bool)) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	endpoint, ok := pick(f.sequence)
	if !ok {
		return "", false
	}
	if f.running == nil {
		f.running = map[string]int{}
		f.runsExclusive = map[string]bool{}
		f.pending = map[string]int{}
	}
	f.running[endpoint]++
	if exclusive {
		f.runsExclusive[endpoint] = true
	}
	return endpoint, true
}

// addPending adds to the prompt tokens that an endpoint has yet to compute. A
// negative number subtracts.
func (f *InFlight) addPending(endpoint string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[endpoint] += tokens
}

// release stops counting a request on an endpoint.
func (f *InFlight) release(endpoint string, exclusive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[endpoint]--
	if f.running[endpoint] == 0 {
		delete(f.running, endpoint)
	}
	if exclusive {
		delete(f.runsExclusive, endpoint)
	}
}
