// Package upgrader decides which endpoints load new weights next.
//
// It answers a newly named version while traffic goes on. An endpoint takes no
// requests while it loads, it finishes those that run before it begins, and many
// that load at once slow each other down. So few load at a time, those with the
// oldest weights first, spread over the failure domains.
//
// # Usage
//
//	plan := upgrader.Next(now, states, named)
package upgrader

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// maxLoading is how many endpoints load at once; more slow each other down.
	maxLoading = 2
	// drainLimit is the longest time that an endpoint is drained before it gets
	// its order; what still runs then is finished before it loads.
	drainLimit = 150 * time.Millisecond
	// reportLag is how long an endpoint's report may lag behind the truth.
	reportLag = 200 * time.Millisecond
	// orderLag is the same for the effect of an order.
	orderLag = 600 * time.Millisecond
	// loadLimit is how long an accepted order may take before it is given again.
	loadLimit = 4 * time.Second
)

// Report is an endpoint's own account, which lags behind the truth.
type Report struct {
	// Weights holds the loaded version of each model.
	Weights map[string]int64
	// Busy is set while an order is carried out.
	Busy bool
	// Sequence counts the accepted orders.
	Sequence int64
	// Active counts the running requests.
	Active int
}

// State is what is known of an endpoint. Zero times stand for never.
type State struct {
	Endpoint tracker.Endpoint
	// Report is nil before the first one.
	Report   *Report
	Reported time.Duration
	// Drained is when peers were told to pass the endpoint over.
	Drained time.Duration
	// Ordered is when the last order was accepted, or may have been.
	Ordered time.Duration
}

// Order asks an endpoint to load a version.
type Order struct {
	Endpoint tracker.Endpoint
	Model    string
	Version  int64
	// Sequence is the count of accepted orders on which the order depends: it is
	// void if another was accepted meanwhile.
	Sequence int64
}

// Plan is what is to be done now.
type Plan struct {
	Orders []Order
	// Drain lists endpoints that are to get no new requests.
	Drain []tracker.Endpoint
}

// Behind returns the model that an endpoint must load and its version.
func Behind(weights, named map[string]int64) (model string, version int64, ok bool) {
	for name, loaded := range weights {
		if named[name] > loaded {
			return name, named[name], true
		}
	}
	return "", 0, false
}

// lag is how far an endpoint's weights are behind: the sooner it may not serve
// any more.
func (s State) lag(named map[string]int64) int64 {
	var lag int64
	for model, loaded := range s.Endpoint.Weights {
		lag = max(lag, named[model]-loaded)
	}
	return lag
}

// loading reports whether an order is under way on the endpoint.
func (s State) loading(now time.Duration) bool {
	if s.Report != nil && s.Report.Busy && s.Reported >= s.Ordered {
		return true
	}
	if s.Ordered == 0 || now-s.Ordered > loadLimit {
		return false
	}
	return s.Report == nil || s.Reported < s.Ordered+orderLag
}

// empty reports whether a drained endpoint can begin to load at once, or has
// been drained for long enough.
func (s State) empty(now time.Duration) bool {
	if s.Drained == 0 || s.Report == nil || s.Reported <= s.Ordered {
		return false
	}
	return now-s.Drained >= drainLimit || s.Report.Active == 0 && s.Reported >= s.Drained+reportLag
}

func behind(state State, named map[string]int64) bool {
	_, _, ok := Behind(state.Endpoint.Weights, named)
	return ok && !state.Endpoint.Leaving
}

// Busy returns the endpoints that are drained or load; their reports are needed.
func Busy(now time.Duration, states []State, named map[string]int64) []tracker.Endpoint {
	var busy []tracker.Endpoint
	for _, state := range states {
		if behind(state, named) && (state.Drained > 0 || state.loading(now)) {
			busy = append(busy, state.Endpoint)
		}
	}
	return busy
}

// Next returns what is to be done now.
func Next(now time.Duration, states []State, named map[string]int64) Plan {
	loading, draining := 0, 0
	domains := map[string]int{}
	var drained, waiting []State
	for _, state := range states {
		switch {
		case !behind(state, named):
		case state.loading(now):
			loading++
			domains[state.Endpoint.Domain]++
		case state.Drained > 0:
			draining++
			domains[state.Endpoint.Domain]++
			drained = append(drained, state)
		default:
			waiting = append(waiting, state)
		}
	}
	var plan Plan
	slices.SortFunc(drained, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Drained, b.Drained), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	for _, state := range drained {
		if loading >= maxLoading || !state.empty(now) {
			continue
		}
		if model, version, ok := Behind(state.Report.Weights, named); ok {
			plan.Orders = append(plan.Orders, Order{Endpoint: state.Endpoint, Model: model, Version: version, Sequence: state.Report.Sequence})
			loading++
			draining--
		}
	}
	slices.SortFunc(waiting, func(a, b State) int {
		return cmp.Or(cmp.Compare(b.lag(named), a.lag(named)), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	for ; loading+draining < maxLoading && len(waiting) > 0; draining++ {
		best := 0
		for i := range waiting {
			if waiting[i].lag(named) == waiting[0].lag(named) && domains[waiting[i].Endpoint.Domain] < domains[waiting[best].Endpoint.Domain] {
				best = i
			}
		}
		endpoint := waiting[best].Endpoint
		waiting = slices.Delete(waiting, best, best+1)
		domains[endpoint.Domain]++
		plan.Drain = append(plan.Drain, endpoint)
	}
	return plan
}
