package upgrader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/upgrader"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const now = time.Minute

var named = map[string]int64{"m": 2}

func weights(version int64) map[string]int64 { return map[string]int64{"m": version} }

func fresh(id, domain string, version int64) upgrader.State {
	return upgrader.State{Endpoint: tracker.Endpoint{ID: id, Service: "s", Domain: domain, Weights: weights(version)}}
}

// drained is an endpoint that is ready for its order.
func drained(id string) upgrader.State {
	state := fresh(id, "d1", 1)
	state.Drained, state.Reported = now-time.Second, now-10*time.Millisecond
	state.Report = &upgrader.Report{Weights: weights(1), Sequence: 7}
	return state
}

func loading(id string) upgrader.State {
	state := drained(id)
	state.Ordered, state.Report = now-50*time.Millisecond, nil
	return state
}

func assertPlan(t *testing.T, states []upgrader.State, orders, drains []string) {
	t.Helper()
	plan := upgrader.Next(now, states, named)
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
	t.Run("two are drained, in different domains", func(t *testing.T) {
		assertPlan(t, []upgrader.State{fresh("a", "d1", 1), fresh("b", "d1", 1), fresh("c", "d2", 1)}, nil, []string{"a", "c"})
	})
	t.Run("those with the oldest weights come first, as they are the first that may not serve", func(t *testing.T) {
		plan := upgrader.Next(now, []upgrader.State{fresh("a", "d1", 2), fresh("b", "d2", 2), fresh("c", "d1", 1), fresh("d", "d1", 1)}, weights(3))
		require.Len(t, plan.Drain, 2)
		assert.Equal(t, "c", plan.Drain[0].ID)
		assert.Equal(t, "d", plan.Drain[1].ID)
	})
	t.Run("nothing while two load", func(t *testing.T) {
		assertPlan(t, []upgrader.State{loading("a"), loading("b"), fresh("c", "d2", 1)}, nil, nil)
	})
	t.Run("one more when one is done", func(t *testing.T) {
		assertPlan(t, []upgrader.State{loading("a"), fresh("b", "d1", 2), fresh("c", "d2", 1)}, nil, []string{"c"})
	})
	t.Run("a drained one gets its order", func(t *testing.T) {
		assertPlan(t, []upgrader.State{drained("a"), loading("b"), fresh("c", "d2", 1)}, []string{"a"}, nil)
	})
	t.Run("never three at once", func(t *testing.T) {
		assertPlan(t, []upgrader.State{drained("a"), drained("b"), loading("c")}, []string{"a"}, nil)
	})
	t.Run("one that was just drained gets its order later", func(t *testing.T) {
		state := drained("a")
		state.Drained = now - 10*time.Millisecond
		state.Report.Active = 3
		assertPlan(t, []upgrader.State{state, loading("b")}, nil, nil)
	})
	t.Run("leaving ones get nothing", func(t *testing.T) {
		state := fresh("a", "d1", 1)
		state.Endpoint.Leaving = true
		assertPlan(t, []upgrader.State{state}, nil, nil)
	})
	t.Run("those with the named weights get nothing", func(t *testing.T) {
		assertPlan(t, []upgrader.State{fresh("a", "d1", 2), fresh("b", "d1", 3)}, nil, nil)
	})
	t.Run("an order depends on the count of accepted ones", func(t *testing.T) {
		plan := upgrader.Next(now, []upgrader.State{drained("a")}, named)
		require.Len(t, plan.Orders, 1)
		assert.EqualValues(t, 7, plan.Orders[0].Sequence)
		assert.EqualValues(t, 2, plan.Orders[0].Version)
	})
	t.Run("a report from before the order does not bring another", func(t *testing.T) {
		state := loading("a")
		state.Report, state.Reported = &upgrader.Report{Weights: weights(1)}, now-10*time.Millisecond
		assertPlan(t, []upgrader.State{state, loading("b")}, nil, nil)
	})
	t.Run("a lost order is given again", func(t *testing.T) {
		state := drained("a")
		state.Ordered, state.Reported = now-900*time.Millisecond, now-10*time.Millisecond
		assertPlan(t, []upgrader.State{state, loading("b")}, []string{"a"}, nil)
	})
	t.Run("an order that takes long is not given again while the endpoint is busy", func(t *testing.T) {
		state := drained("a")
		state.Ordered, state.Reported = now-10*time.Second, now-10*time.Millisecond
		state.Report.Busy = true
		assertPlan(t, []upgrader.State{state, loading("b")}, nil, nil)
	})
}

func TestBusy(t *testing.T) {
	busy := upgrader.Busy(now, []upgrader.State{drained("a"), loading("b"), fresh("c", "d1", 1), fresh("d", "d1", 2)}, named)
	require.Len(t, busy, 2)
	assert.Equal(t, "a", busy[0].ID)
	assert.Equal(t, "b", busy[1].ID)
}
