// Package upgrader decides which endpoints load new weights next, when a new
// version is configured while requests are being served. Package relayer uses
// it; package runner uses package reconciler instead.
//
// An endpoint finishes its running requests before it loads and takes no
// requests meanwhile, and many endpoints that load at once slow each other
// down. So only a few are drained or load at a time, those furthest behind the
// target version first, spread over the failure domains.
//
// # Usage
//
//	plan := upgrader.Next(now, states, targets)
package upgrader

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// loadingShare is the share of the endpoints that may be drained or loading at once,
	// and minLoading what is allowed with few endpoints; more would slow each other down.
	loadingShare = 0.2
	minLoading   = 2
	// drainTimeout is the maximum time that an endpoint is drained before it
	// gets its order; it finishes the requests that are still running before it
	// loads.
	drainTimeout = 150 * time.Millisecond
	// reportLag is how far an endpoint's report may lag behind its actual
	// state.
	reportLag = 200 * time.Millisecond
	// orderLag is how long after an order the endpoint's reports may still not
	// show its effect.
	orderLag = 600 * time.Millisecond
	// orderTimeout is the time after which an order no longer counts as being
	// carried out, unless the last report shows the endpoint busy.
	orderTimeout = 4 * time.Second
)

// Report is an endpoint's report of its own state, which lags behind the actual
// state.
type Report struct {
	// Weights holds the loaded version of each model.
	Weights map[string]int64
	// Busy is set while the endpoint carries out an order.
	Busy bool
	// Sequence is the number of orders accepted so far.
	Sequence int64
	// Active is the number of running requests.
	Active int
}

// State is what the node knows of an endpoint. A zero time means never.
type State struct {
	Endpoint endpointtracker.Endpoint
	// Report is the newest report, received at ReportedAt; nil before the first
	// one.
	Report     *Report
	ReportedAt time.Duration
	// DrainStartedAt is when peers were asked to send the endpoint no new requests.
	DrainStartedAt time.Duration
	// OrderedAt is when the last order was accepted, or may have been accepted.
	OrderedAt time.Duration
}

// Order tells an endpoint to load a version of a model.
type Order struct {
	Endpoint endpointtracker.Endpoint
	Model    string
	Version  int64
	// Sequence is the number of accepted orders that the order assumes. The
	// endpoint rejects the order if it has accepted another one since.
	Sequence int64
}

// Plan lists the next steps of the upgrade.
type Plan struct {
	Orders []Order
	// Drain lists endpoints that must get no new requests from now on.
	Drain []endpointtracker.Endpoint
}

// PendingUpgrade returns a model whose loaded version is older than the target
// version, and the version to load.
func PendingUpgrade(weights, targets map[string]int64) (model string, version int64, ok bool) {
	for name, loaded := range weights {
		if targets[name] > loaded {
			return name, targets[name], true
		}
	}
	return "", 0, false
}

// versionsBehind returns how many versions the endpoint's weights are behind.
// The endpoint that is furthest behind is the first that may no longer serve.
func (s State) versionsBehind(targets map[string]int64) int64 {
	var versionsBehind int64
	for model, loaded := range s.Endpoint.Weights {
		versionsBehind = max(versionsBehind, targets[model]-loaded)
	}
	return versionsBehind
}

// loading reports whether the endpoint is carrying out an order.
func (s State) loading(now time.Duration) bool {
	if s.Report != nil && s.Report.Busy && s.ReportedAt >= s.OrderedAt {
		return true
	}
	if s.OrderedAt == 0 || now-s.OrderedAt > orderTimeout {
		return false
	}
	return s.Report == nil || s.ReportedAt < s.OrderedAt+orderLag
}

// readyToLoad reports whether an endpoint being drained has no running requests
// or has been drained for drainTimeout. Its last report must be newer than its
// last order.
func (s State) readyToLoad(now time.Duration) bool {
	if s.DrainStartedAt == 0 || s.Report == nil || s.ReportedAt <= s.OrderedAt {
		return false
	}
	return now-s.DrainStartedAt >= drainTimeout || s.Report.Active == 0 && s.ReportedAt >= s.DrainStartedAt+reportLag
}

func needsUpgrade(state State, targets map[string]int64) bool {
	_, _, ok := PendingUpgrade(state.Endpoint.Weights, targets)
	return ok && !state.Endpoint.Leaving
}

// Upgrading returns the endpoints that are being drained or are loading. Next
// needs new reports of them.
func Upgrading(now time.Duration, states []State, targets map[string]int64) []endpointtracker.Endpoint {
	var upgrading []endpointtracker.Endpoint
	for _, state := range states {
		if needsUpgrade(state, targets) && (state.DrainStartedAt > 0 || state.loading(now)) {
			upgrading = append(upgrading, state.Endpoint)
		}
	}
	return upgrading
}

// Next returns the next steps of the upgrade to the target versions. states holds all
// endpoints with weights.
func Next(now time.Duration, states []State, targets map[string]int64) Plan {
	loading, draining := 0, 0
	domains := map[string]int{}
	var drainingStates, waiting []State
	for _, state := range states {
		switch {
		case !needsUpgrade(state, targets):
		case state.loading(now):
			loading++
			domains[state.Endpoint.Domain]++
		case state.DrainStartedAt > 0:
			draining++
			domains[state.Endpoint.Domain]++
			drainingStates = append(drainingStates, state)
		default:
			waiting = append(waiting, state)
		}
	}
	maxLoading := max(minLoading, int(loadingShare*float64(len(states))))
	var plan Plan
	slices.SortFunc(drainingStates, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.DrainStartedAt, b.DrainStartedAt), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	for _, state := range drainingStates {
		if loading >= maxLoading || !state.readyToLoad(now) {
			continue
		}
		if model, version, ok := PendingUpgrade(state.Report.Weights, targets); ok {
			plan.Orders = append(plan.Orders, Order{Endpoint: state.Endpoint, Model: model, Version: version, Sequence: state.Report.Sequence})
			loading++
			draining--
		}
	}
	slices.SortFunc(waiting, func(a, b State) int {
		return cmp.Or(cmp.Compare(b.versionsBehind(targets), a.versionsBehind(targets)), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	for ; loading+draining < maxLoading && len(waiting) > 0; draining++ {
		best := 0
		for i := range waiting {
			if waiting[i].versionsBehind(targets) == waiting[0].versionsBehind(targets) && domains[waiting[i].Endpoint.Domain] < domains[waiting[best].Endpoint.Domain] {
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
