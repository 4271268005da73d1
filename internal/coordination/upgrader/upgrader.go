// Package upgrader decides which endpoints load new weights next.
//
// It answers a newly named version while traffic goes on: endpoints load slower
// when many do so at once, and each takes no requests meanwhile. So few load at
// a time, spread over the failure domains.
//
// # Usage
//
//	orders := upgrader.Plan(now, states, named)
package upgrader

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// maxLoading is how many endpoints of a service load at once; more slow each
	// other down.
	maxLoading = 2
	// reportLag is how long an endpoint's report may lag behind an order.
	reportLag = 600 * time.Millisecond
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
}

// State is what is known of an endpoint.
type State struct {
	Endpoint tracker.Endpoint
	// Report is nil before the first one.
	Report   *Report
	Reported time.Duration
	// Ordered is when the last order was accepted, or may have been; zero if
	// none was given. Wanted is its version.
	Ordered time.Duration
	Wanted  int64
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

// Behind returns the model that an endpoint must load and its version.
func Behind(weights, named map[string]int64) (model string, version int64, ok bool) {
	for name, loaded := range weights {
		if named[name] > loaded {
			return name, named[name], true
		}
	}
	return "", 0, false
}

// loading reports whether an order is under way on the endpoint.
func (s State) loading(now time.Duration) bool {
	if s.Report != nil && s.Report.Busy && s.Reported >= s.Ordered {
		return true
	}
	if s.Ordered == 0 || now-s.Ordered > loadLimit {
		return false
	}
	if s.Report == nil || s.Reported < s.Ordered+reportLag {
		return true
	}
	for _, version := range s.Report.Weights {
		if version >= s.Wanted {
			return false
		}
	}
	return s.Report.Busy
}

// Ask returns the endpoints whose report is needed now.
func Ask(now time.Duration, states []State, named map[string]int64) []tracker.Endpoint {
	var asked []tracker.Endpoint
	for _, state := range states {
		_, _, behind := Behind(state.Endpoint.Weights, named)
		if behind && !state.Endpoint.Leaving && (state.Report == nil || state.loading(now) || state.Reported <= state.Ordered) {
			asked = append(asked, state.Endpoint)
		}
	}
	return asked
}

// Plan returns the orders to give now.
func Plan(now time.Duration, states []State, named map[string]int64) []Order {
	loading := map[string]int{}
	domains := map[string]int{}
	var waiting []State
	for _, state := range states {
		if _, _, behind := Behind(state.Endpoint.Weights, named); !behind || state.Endpoint.Leaving {
			continue
		}
		if state.loading(now) {
			loading[state.Endpoint.Service]++
			domains[state.Endpoint.Domain]++
			continue
		}
		if state.Report != nil && state.Reported > state.Ordered {
			waiting = append(waiting, state)
		}
	}
	slices.SortStableFunc(waiting, func(a, b State) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	var orders []Order
	for len(waiting) > 0 {
		best := 0
		for i := range waiting {
			if domains[waiting[i].Endpoint.Domain] < domains[waiting[best].Endpoint.Domain] {
				best = i
			}
		}
		state := waiting[best]
		waiting = slices.Delete(waiting, best, best+1)
		if loading[state.Endpoint.Service] >= maxLoading {
			continue
		}
		model, version, ok := Behind(state.Report.Weights, named)
		if !ok {
			continue
		}
		loading[state.Endpoint.Service]++
		domains[state.Endpoint.Domain]++
		orders = append(orders, Order{Endpoint: state.Endpoint, Model: model, Version: version, Sequence: state.Report.Sequence})
	}
	return orders
}
