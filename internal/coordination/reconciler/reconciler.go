// Package reconciler works out which orders bring endpoints to the weights that
// the configuration names.
//
// It is a pure function of a snapshot: two nodes with the same snapshot work
// out the same orders, so a doubled order does no harm. The endpoints of a
// service are taken in the order of their names, a fixed number at once.
//
// # Usage
//
//	for _, order := range reconciler.Plan(snapshot) {
//		// Send order.Weights to order.Endpoint.
//	}
package reconciler

import (
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// MaxLoads is the number of endpoints of a service that load weights at once;
// the weight store slows down beyond it.
const MaxLoads = 2

// Order tells an endpoint which weights to serve.
type Order struct {
	Endpoint registrar.Endpoint
	Service  string
	Weights  string
	// Fence is the configuration offset that the order follows from.
	Fence uint64
}

// Plan returns the orders that are due.
func Plan(snapshot *publisher.Snapshot) []Order {
	var orders []Order
	for _, model := range configurator.All[configurator.Model](snapshot.Configuration) {
		weights := snapshot.Weights(model)
		for _, row := range due(snapshot.Services[model.Service], weights) {
			orders = append(orders, Order{
				Endpoint: row.Endpoint,
				Service:  model.Service,
				Weights:  weights,
				Fence:    snapshot.Configuration.Next(),
			})
		}
	}
	return orders
}

// due returns the first endpoints that have other weights; those that load
// already count against MaxLoads.
func due(rows []registrar.Row, weights string) []registrar.Row {
	var found []registrar.Row
	slots := MaxLoads
	for _, row := range rows {
		if row.Left() || row.Failures > 0 || row.Report.Version == "" || row.Report.Version == weights {
			continue
		}
		if slots == 0 {
			break
		}
		slots--
		if !row.Report.Loading {
			found = append(found, row)
		}
	}
	return found
}
