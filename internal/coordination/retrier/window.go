package retrier

import (
	"sync"
	"time"
)

// windowMargin is the part of the bound that is used: nodes' windows don't begin
// at the same moment, and requests arrive later than they are counted.
const windowMargin = 0.8

// Window limits the repeats of each service in a sliding window to a share of
// its requests and a fixed allowance, both divided among the nodes. It is safe
// for concurrent use.
type Window struct {
	// Share is the number of repeats earned per request.
	Share float64
	// Slack is the number of repeats in a window beyond the share, of all nodes
	// together.
	Slack float64
	// Span is the window's length.
	Span time.Duration
	// Nodes returns the number of nodes that the slack is divided among.
	Nodes func() int

	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	requests []time.Time
	repeats  []time.Time
}

// Request counts a caller's request for a service.
func (w *Window) Request(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(now, service)
	c.requests = append(c.requests, now)
}

// Spend takes one repeat and reports whether the window has room for it.
func (w *Window) Spend(now time.Time, service string) bool {
	nodes := max(w.Nodes(), 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts(now, service)
	limit := windowMargin * (w.Share*float64(len(c.requests)) + w.Slack/float64(nodes))
	if float64(len(c.repeats)+1) > limit {
		return false
	}
	c.repeats = append(c.repeats, now)
	return true
}

func (w *Window) counts(now time.Time, service string) *counts {
	if w.services == nil {
		w.services = map[string]*counts{}
	}
	c, ok := w.services[service]
	if !ok {
		c = &counts{}
		w.services[service] = c
	}
	since := now.Add(-w.Span)
	c.requests = after(c.requests, since)
	c.repeats = after(c.repeats, since)
	return c
}

// after drops the times up to since from an ordered list.
func after(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && !times[n].After(since) {
		n++
	}
	return times[n:]
}
