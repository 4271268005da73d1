package retrier

import (
	"sync"
	"time"
)

// windowSafetyFactor is the part of the limit that is used. The windows of the
// nodes are not aligned, and endpoints receive requests later than the node
// counts them, so using the whole limit could exceed it.
const windowSafetyFactor = 0.8

// WindowBudget limits the retries of each service in a sliding window. Each
// node may retry a share of its own requests, plus its part of a fixed
// allowance that is divided among the nodes. It is safe for concurrent use.
type WindowBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries in a window that are allowed in addition to
	// the ratio, for all nodes together.
	Slack float64
	// Length is the length of the window.
	Length time.Duration
	// Nodes returns the number of nodes that share the slack.
	Nodes func() int

	mu       sync.Mutex
	services map[string]*history
}

type history struct {
	requests []time.Time
	retries  []time.Time
}

// CountRequest counts a request for a service.
func (w *WindowBudget) CountRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history(now, service)
	h.requests = append(h.requests, now)
}

// Spend counts one retry. It reports false, and counts nothing, if the limit of
// the window is reached.
func (w *WindowBudget) Spend(now time.Time, service string) bool {
	nodes := max(w.Nodes(), 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.history(now, service)
	limit := windowSafetyFactor * (w.Ratio*float64(len(h.requests)) + w.Slack/float64(nodes))
	if float64(len(h.retries)+1) > limit {
		return false
	}
	h.retries = append(h.retries, now)
	return true
}

func (w *WindowBudget) history(now time.Time, service string) *history {
	if w.services == nil {
		w.services = map[string]*history{}
	}
	h, ok := w.services[service]
	if !ok {
		h = &history{}
		w.services[service] = h
	}
	cutoff := now.Add(-w.Length)
	h.requests = dropUntil(h.requests, cutoff)
	h.retries = dropUntil(h.retries, cutoff)
	return h
}

// dropUntil removes the times up to and including cutoff from an ordered list.
func dropUntil(times []time.Time, cutoff time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(cutoff) {
		n++
	}
	return times[n:]
}
