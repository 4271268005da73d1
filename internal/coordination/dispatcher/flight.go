package dispatcher

import (
	"sync"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Flight counts this node's running requests per endpoint. It is safe for
// concurrent use.
type Flight struct {
	mu sync.Mutex
	// running counts requests per endpoint.
	running map[string]int
	// reserved marks endpoints that run a suspect request alone.
	reserved map[string]bool
	// pending counts the prompt tokens that wait for their first answer token.
	pending map[string]int
	turn    uint64
}

// Running returns the number of this node's requests on an endpoint.
func (f *Flight) Running(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[endpoint]
}

// Slots returns the number of this node's requests that a service has room for.
// Endpoints that load weights, or have not told theirs, have none: requests wait
// for them in the queue.
func (f *Flight) Slots(service configurator.Service, rows []registrar.Row) int {
	slots := 0
	for _, row := range rows {
		loaded := service.Type != configurator.ServiceModel || row.Report.Version != ""
		if !row.Left() && !row.Report.Loading && loaded {
			slots += max(service.Concurrency-row.Others(), 0)
		}
	}
	return slots
}

// take runs pick under the lock, so that concurrent requests see each other,
// and counts the endpoint that it returns.
func (f *Flight) take(alone bool, pick func(turn uint64) (string, bool)) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	endpoint, ok := pick(f.turn)
	if !ok {
		return "", false
	}
	if f.running == nil {
		f.running = map[string]int{}
		f.reserved = map[string]bool{}
		f.pending = map[string]int{}
	}
	f.running[endpoint]++
	if alone {
		f.reserved[endpoint] = true
	}
	return endpoint, true
}

// queue counts prompt tokens that an endpoint has yet to compute, or with a
// negative number no longer has.
func (f *Flight) queue(endpoint string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[endpoint] += tokens
}

// leave ends a request on an endpoint.
func (f *Flight) leave(endpoint string, alone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[endpoint]--
	if f.running[endpoint] == 0 {
		delete(f.running, endpoint)
	}
	if alone {
		delete(f.reserved, endpoint)
	}
}
