package upgrader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/upgrader"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const now = time.Minute

var targets = map[string]int64{"m": 2}

func weights(version int64) map[string]int64 { return map[string]int64{"m": version} }

func newState(id, domain string, version int64) upgrader.State {
	return upgrader.State{Endpoint: endpointtracker.Endpoint{ID: id, Service: "s", Domain: domain, Weights: weights(version)}}
}

// drained returns an endpoint that is drained and ready for its order.
func drained(id string) upgrader.State {
	state := newState(id, "d1", 1)
	state.DrainStartedAt, state.ReportedAt = now-time.Second, now-10*time.Millisecond
	state.Report = &upgrader.Report{Weights: weights(1), Sequence: 7}
	return state
}

func loading(id string) upgrader.State {
	state := drained(id)
	state.OrderedAt, state.Report = now-50*time.Millisecond, nil
	return state
}

func assertPlan(t *testing.T, states []upgrader.State, orders, drains []string) {
	t.Helper()
	plan := upgrader.Next(now, states, targets)
	var gotOrders, gotDrains []string
	for _, order := range plan.Orders {
		gotOrders = append(gotOrders, order.Endpoint.ID)
	}
	for _, endpoint := range plan.Drain {
		gotDrains = append(gotDrains, endpoint.ID)
	}
	assert.Equal(t, orders, gotOrders, "orders")
	assert.Equal(t, drains, gotDrains, "drains")
}

func TestNext(t *testing.T) {
	t.Run("two endpoints are drained, in different domains", func(t *testing.T) {
		assertPlan(t, []upgrader.State{newState("a", "d1", 1), newState("b", "d1", 1), newState("c", "d2", 1)}, nil, []string{"a", "c"})
	})
	t.Run("endpoints with the oldest weights come first, since they are the first that may not serve", func(t *testing.T) {
		plan := upgrader.Next(now, []upgrader.State{newState("a", "d1", 2), newState("b", "d2", 2), newState("c", "d1", 1), newState("d", "d1", 1)}, weights(3))
		require.Len(t, plan.Drain, 2)
		assert.Equal(t, "c", plan.Drain[0].ID)
		assert.Equal(t, "d", plan.Drain[1].ID)
	})
	t.Run("no further endpoint while two load", func(t *testing.T) {
		assertPlan(t, []upgrader.State{loading("a"), loading("b"), newState("c", "d2", 1)}, nil, nil)
	})
	t.Run("one more endpoint when one has loaded", func(t *testing.T) {
		assertPlan(t, []upgrader.State{loading("a"), newState("b", "d1", 2), newState("c", "d2", 1)}, nil, []string{"c"})
	})
	t.Run("a drained endpoint gets its order", func(t *testing.T) {
		assertPlan(t, []upgrader.State{drained("a"), loading("b"), newState("c", "d2", 1)}, []string{"a"}, nil)
	})
	t.Run("never three endpoints at once", func(t *testing.T) {
		assertPlan(t, []upgrader.State{drained("a"), drained("b"), loading("c")}, []string{"a"}, nil)
	})
	t.Run("an endpoint that was just drained gets its order later", func(t *testing.T) {
		state := drained("a")
		state.DrainStartedAt = now - 10*time.Millisecond
		state.Report.Active = 3
		assertPlan(t, []upgrader.State{state, loading("b")}, nil, nil)
	})
	t.Run("leaving endpoints are ignored", func(t *testing.T) {
		state := newState("a", "d1", 1)
		state.Endpoint.Leaving = true
		assertPlan(t, []upgrader.State{state}, nil, nil)
	})
	t.Run("endpoints with the target weights are ignored", func(t *testing.T) {
		assertPlan(t, []upgrader.State{newState("a", "d1", 2), newState("b", "d1", 3)}, nil, nil)
	})
	t.Run("an order carries the number of accepted orders", func(t *testing.T) {
		plan := upgrader.Next(now, []upgrader.State{drained("a")}, targets)
		require.Len(t, plan.Orders, 1)
		assert.EqualValues(t, 7, plan.Orders[0].Sequence)
		assert.EqualValues(t, 2, plan.Orders[0].Version)
	})
	t.Run("a report from before the order does not cause another order", func(t *testing.T) {
		state := loading("a")
		state.Report, state.ReportedAt = &upgrader.Report{Weights: weights(1)}, now-10*time.Millisecond
		assertPlan(t, []upgrader.State{state, loading("b")}, nil, nil)
	})
	t.Run("a lost order is repeated", func(t *testing.T) {
		state := drained("a")
		state.OrderedAt, state.ReportedAt = now-900*time.Millisecond, now-10*time.Millisecond
		assertPlan(t, []upgrader.State{state, loading("b")}, []string{"a"}, nil)
	})
	t.Run("a slow order is not repeated while the endpoint is busy", func(t *testing.T) {
		state := drained("a")
		state.OrderedAt, state.ReportedAt = now-10*time.Second, now-10*time.Millisecond
		state.Report.Busy = true
		assertPlan(t, []upgrader.State{state, loading("b")}, nil, nil)
	})
}

func TestUpgrading(t *testing.T) {
	upgrading := upgrader.Upgrading(now, []upgrader.State{drained("a"), loading("b"), newState("c", "d1", 1), newState("d", "d1", 2)}, targets)
	require.Len(t, upgrading, 2)
	assert.Equal(t, "a", upgrading[0].ID)
	assert.Equal(t, "b", upgrading[1].ID)
}
