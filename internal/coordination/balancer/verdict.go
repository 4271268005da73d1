package balancer

import (
	"math/rand/v2"
	"time"
)

// An endpoint that stops responding costs each node a request before the node notices.
// With hundreds of nodes these are hundreds of requests, and again whenever their
// backoffs end. So nodes tell each other which endpoints fail them or are silent while
// they have a request. One report may come from a node that is cut off itself; two nodes
// that say so at the same time are taken seriously, unless this node or another has just
// heard from the endpoint: it is then only slow.
const (
	// reportsNeeded is the number of nodes that must report an endpoint within
	// reportWindow.
	reportsNeeded = 2
	reportWindow  = 1500 * time.Millisecond
	// heardWindow is how long an endpoint that this node has heard from is not avoided on
	// the word of others, and vouchWindow the same for one that another node has heard from.
	// counterPause is the minimum time between two such words of this node.
	heardWindow  = 500 * time.Millisecond
	vouchWindow  = time.Second
	counterPause = 500 * time.Millisecond
	// unresponsiveAfter is the silence after which an endpoint that others report as well is
	// taken for unresponsive.
	unresponsiveAfter = time.Second
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
	// vouched is when a peer last heard from the endpoint, and countered when this node last
	// said so itself.
	vouched   time.Time
	countered time.Time
}

// countReports drops old reports and returns the number of peers whose reports are left.
func (v *verdict) countReports(now time.Time) int {
	for reporter, at := range v.reports {
		if now.Sub(at) >= reportWindow {
			delete(v.reports, reporter)
		}
	}
	return len(v.reports)
}

// Silent returns the hashes of the endpoints that have a request of this node and have
// sent nothing for stallTimeout.
func (b *Balancer) Silent(now time.Time) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var silent []uint32
	for _, state := range b.states {
		if state.running > 0 && now.Sub(state.lastActivity) > stallTimeout {
			silent = append(silent, state.hash)
		}
	}
	return silent
}

// Unresponsive reports whether an endpoint has sent this node nothing for
// unresponsiveAfter, and several peers have the same trouble.
func (b *Balancer) Unresponsive(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	v := &state.verdict
	return now.Sub(state.lastActivity) >= unresponsiveAfter && v.countReports(now) >= reportsNeeded && now.Sub(v.vouched) >= vouchWindow
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
	heard := now.Sub(state.lastHeard) < heardWindow || now.Sub(v.vouched) < vouchWindow
	if heard || v.countReports(now) < reportsNeeded || now.Sub(v.last) < verdictPause {
		return false
	}
	backoff := min(verdictBackoff<<min(v.count, 8), maxFailureBackoff)
	v.count++
	v.last = now
	state.extendBackoff(now.Add(backoff + rand.N(backoff)))
	return true
}

// RecordPeerRecovery records a peer's report that an endpoint responds again.
func (b *Balancer) RecordPeerRecovery(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	if state.verdict.count > 0 && state.failures == 0 {
		state.backoffUntil = time.Time{}
	}
	state.verdict = verdict{vouched: now, countered: state.verdict.countered}
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

// RecordActivity records that an endpoint sent data. It reports whether peers say that
// the endpoint fails, and should be told that it does not.
func (b *Balancer) RecordActivity(id string, now time.Time) (reported bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	state.lastActivity, state.lastHeard = now, now
	v := &state.verdict
	if len(v.reports) == 0 || v.countReports(now) == 0 || now.Sub(v.countered) < counterPause {
		return false
	}
	v.countered = now
	return true
}
