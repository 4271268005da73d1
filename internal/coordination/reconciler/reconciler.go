// Package reconciler computes the orders that make endpoints load the target
// weights in the configuration. Package runner uses it; package relayer uses
// package upgrader instead.
//
// Orders depend only on a snapshot: two nodes with the same snapshot compute
// the same orders, so duplicate orders are harmless. The endpoints of a service
// load in the order of their names, at most MaxLoads at once.
//
// # Usage
//
//	r := &reconciler.Reconciler{Sender: engine, IsCaughtUp: caughtUp, Owns: owns, OnSent: record}
//	r.Step(ctx, snapshot) // called periodically
package reconciler

import (
	"context"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// MaxLoads is the maximum number of endpoints of a service that load weights at
// once; more would slow down the weight store.
const MaxLoads = 2

// Order tells an endpoint which weights to load.
type Order struct {
	Endpoint registrar.Endpoint
	Service  string
	Weights  string
	// FencingToken is the order's fencing token: the configuration offset it was
	// computed from.
	FencingToken uint64
}

// Sender sends orders to endpoints.
type Sender interface {
	Order(ctx context.Context, endpoint registrar.Endpoint, fencingToken uint64, weights string) error
}

// Reconciler sends the orders computed from snapshots. Its fields are set
// before use.
type Reconciler struct {
	Sender Sender
	// IsCaughtUp reports whether the node has applied the whole configuration
	// stream.
	IsCaughtUp func(ctx context.Context) bool
	// Owns reports whether this node is responsible for a task on behalf of all
	// nodes.
	Owns func(task string) bool
	// OnSent is called with each order and the error from sending it.
	OnSent func(order Order, err error)
}

// Step sends the orders computed from a snapshot. An endpoint without fencing
// gets an order only right after a check that the node has applied the whole
// configuration stream. A node that is paused between the check and the order
// can still send a stale order; the endpoint's next report then shows weights
// other than the target, and the order is sent again.
func (r *Reconciler) Step(ctx context.Context, snapshot *publisher.Snapshot) {
	if !snapshot.Ready || snapshot.Alarm != "" {
		return
	}
	for _, order := range Plan(snapshot) {
		if !r.Owns("orders/" + order.Service) {
			continue
		}
		service, _ := snapshot.Service(order.Service)
		if !service.Fencing && !r.IsCaughtUp(ctx) {
			return
		}
		r.OnSent(order, r.Sender.Order(ctx, order.Endpoint, order.FencingToken, order.Weights))
	}
}

// Plan returns the orders to send for a snapshot.
func Plan(snapshot *publisher.Snapshot) []Order {
	var orders []Order
	for _, model := range configurator.All[configurator.Model](snapshot.Configuration) {
		weights := snapshot.Weights(model)
		for _, row := range due(snapshot.Services[model.Service], weights) {
			orders = append(orders, Order{
				Endpoint:     row.Endpoint,
				Service:      model.Service,
				Weights:      weights,
				FencingToken: snapshot.Configuration.Next(),
			})
		}
	}
	return orders
}

// due returns the first endpoints that have not loaded the given weights, up to
// MaxLoads. It skips endpoints that are leaving, have failed or have not
// reported their weights. Endpoints that are already loading count towards
// MaxLoads and are not returned.
func due(rows []registrar.EndpointState, weights string) []registrar.EndpointState {
	var selected []registrar.EndpointState
	slots := MaxLoads
	for _, row := range rows {
		if row.IsLeaving() || row.Failures > 0 || row.Report.Version == "" || row.Report.Version == weights {
			continue
		}
		if slots == 0 {
			break
		}
		slots--
		if !row.Report.Loading {
			selected = append(selected, row)
		}
	}
	return selected
}
