// Package reconciler works out which orders bring endpoints to the weights that
// the configuration names.
//
// It is a pure function of a snapshot: two nodes with the same snapshot work
// out the same orders, so a doubled order does no harm. The endpoints of a
// service are taken in the order of their names, a fixed number at once.
//
// # Usage
//
//	r := &reconciler.Reconciler{Sender: engine, AtEnd: atEnd, Owns: owns, Sent: record}
//	r.Step(ctx, snapshot) // from time to time
package reconciler

import (
	"context"

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

// Sender sends orders to endpoints.
type Sender interface {
	Order(ctx context.Context, endpoint registrar.Endpoint, fence uint64, weights string) error
}

// Reconciler sends the orders that are due. Its fields are set before use.
type Reconciler struct {
	Sender Sender
	// AtEnd tells whether the node has applied all of the configuration.
	AtEnd func(ctx context.Context) bool
	// Owns tells whether this node does a piece of work for the others.
	Owns func(work string) bool
	// Sent is told about each order and its error.
	Sent func(order Order, err error)
}

// Step sends what is due by a snapshot. Endpoints that ignore fencing get an
// order only right after a look at the end of the configuration. A node that is
// paused between the two can still send an old order; the endpoint's next report
// then shows other weights than the configuration's, and the order is repeated.
func (r *Reconciler) Step(ctx context.Context, snapshot *publisher.Snapshot) {
	if !snapshot.Ready || snapshot.Alarm != "" {
		return
	}
	for _, order := range Plan(snapshot) {
		if !r.Owns("orders/" + order.Service) {
			continue
		}
		service, _ := snapshot.Service(order.Service)
		if !service.Fencing && !r.AtEnd(ctx) {
			return
		}
		r.Sent(order, r.Sender.Order(ctx, order.Endpoint, order.Fence, order.Weights))
	}
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
