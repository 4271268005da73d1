package balancer

import (
	"math/rand/v2"
	"time"
)

// An endpoint that stops responding costs each node a request before the node notices.
// With hundreds of nodes these are hundreds of requests, and again whenever their
// backoffs end. So nodes tell each other which endpoints fail them. One report may come
// from a node that is cut off itself; two nodes that fail at the same time are taken
// seriously, unless this node has just heard from the endpoint.
const (
	// reportsNeeded is the number of nodes that must report an endpoint within
	// reportWindow.
	reportsNeeded = 2
	reportWindow  = 1500 * time.Millisecond
	// heardWindow is how long an endpoint that this node has heard from is not avoided on
	// the word of others.
	heardWindow = 500 * time.Millisecond
	// verdictBackoff is how long an endpoint that others report is avoided. It doubles
	// while the reports go on, up to maxFailureBackoff. Each node chooses a time between
	// it and its double, so that few of them try the endpoint first and tell the others.
	verdictBackoff = time.Second
	// verdictPause is the minimum time between two verdicts on one endpoint.
	verdictPause = 500 * time.Millisecond
)

// verdict is what peers have reported of an endpoint.
type verdict struct {
	// reports holds when each peer last reported that the endpoint fails.
	reports map[uint32]time.Time
	// count is the number of verdicts since the endpoint last responded, and last the time
	// of the newest one.
	count int
	last  time.Time
}

// RecordPeerFailure records a peer's report that an endpoint fails. It reports whether
// the endpoint is avoided because of it.
func (b *Balancer) RecordPeerFailure(id string, reporter uint32, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	v := &state.verdict
	if v.reports == nil {
		v.reports = map[uint32]time.Time{}
	}
	v.reports[reporter] = now
	for other, at := range v.reports {
		if now.Sub(at) >= reportWindow {
			delete(v.reports, other)
		}
	}
	if len(v.reports) < reportsNeeded || now.Sub(state.lastHeard) < heardWindow || now.Sub(v.last) < verdictPause {
		return false
	}
	backoff := min(verdictBackoff<<min(v.count, 8), maxFailureBackoff)
	v.count++
	v.last = now
	state.extendBackoff(now.Add(backoff + rand.N(backoff)))
	return true
}

// RecordPeerRecovery records a peer's report that an endpoint responds again.
func (b *Balancer) RecordPeerRecovery(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	if state.verdict.count > 0 && state.failures == 0 {
		state.backoffUntil = time.Time{}
	}
	state.verdict = verdict{}
}

// ResetBackoff ends an endpoint's backoff and resets its failure count, because it has
// responded. It reports whether other nodes avoid the endpoint, and should be told.
func (b *Balancer) ResetBackoff(id string) (avoided bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	avoided = state.failures > 0 || state.verdict.count > 0
	state.backoffUntil, state.failures, state.verdict = time.Time{}, 0, verdict{}
	return avoided
}
