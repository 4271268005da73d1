package forwarder

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// TestStopRefuses covers which requests a stopping node refuses: 8 s after the begin its process
// ends.
func TestStopRefuses(t *testing.T) {
	for _, c := range []struct {
		name string
		// received and placed are counted from the begin of the stop, deadline from received.
		received, placed, deadline time.Duration
		want                       bool
	}{
		{"received before the stop", -time.Second, time.Second, 15 * time.Second, false},
		{"received early", time.Second, time.Second, 15 * time.Second, false},
		{"received late", 4 * time.Second, 4 * time.Second, 15 * time.Second, true},
		{"received late, ends before the node", 4 * time.Second, 4 * time.Second, 3 * time.Second, false},
		{"received late, ends with the node", 4 * time.Second, 4 * time.Second, 4 * time.Second, true},
		{"received late without deadline", 4 * time.Second, 4 * time.Second, 0, true},
		{"placed too late for its objective", -time.Second, 7 * time.Second, 15 * time.Second, true},
		{"placed late, ends before the node", -time.Second, 7 * time.Second, 8500 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			stop, begun := &Stop{AcceptTime: 3 * time.Second}, time.Now()
			stop.Begin(begun, begun.Add(8*time.Second))
			received := begun.Add(c.received)
			exchange := &Exchange{Received: received, Route: cataloger.Route{Objective: time.Second}}
			if c.deadline > 0 {
				exchange.Deadline = received.Add(c.deadline)
			}
			assert.Equal(t, c.want, stop.refusal(begun.Add(c.placed), exchange) != nil)
		})
	}
	t.Run("a node that does not stop refuses nothing", func(t *testing.T) {
		assert.NoError(t, (&Stop{}).refusal(time.Now(), &Exchange{}))
		assert.NoError(t, (*Stop)(nil).refusal(time.Now(), &Exchange{}))
	})
}

// TestStopRefusesLateBodies guards against requests that are taken since their heads came early, and cut although
// their bodies ended late.
func TestStopRefusesLateBodies(t *testing.T) {
	for _, c := range []struct {
		name             string
		received, upload time.Duration
		want             bool
	}{
		{"complete early", time.Second, time.Second, false},
		{"complete late", time.Second, 2100 * time.Millisecond, true},
		{"received before the stop, complete late", -time.Second, 4100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			stop, begun := &Stop{AcceptTime: 3 * time.Second}, time.Now()
			stop.Begin(begun, begun.Add(8*time.Second))
			received := begun.Add(c.received)
			exchange := &Exchange{Received: received, Complete: received.Add(c.upload), Deadline: received.Add(15 * time.Second)}
			assert.Equal(t, c.want, stop.refusal(exchange.Complete, exchange) != nil)
		})
	}
}

// TestStopRefusesLongRequests guards against requests that are taken in a planned stop under load, run like the others of
// their kind, and are cut at its end.
func TestStopRefusesLongRequests(t *testing.T) {
	route := func(objective time.Duration) cataloger.Route { return cataloger.Route{Objective: objective} }
	assertRefuses := func(t *testing.T, answers []time.Duration, placed time.Duration, x *Exchange, want bool) {
		t.Helper()
		stop, begun := &Stop{AcceptTime: 3 * time.Second}, time.Now()
		for _, took := range answers {
			stop.recordAnswer(begun, &Exchange{Received: begun.Add(-took), Service: "s", Route: route(time.Second)})
		}
		stop.Begin(begun, begun.Add(8*time.Second))
		x.Received = begun.Add(placed)
		assert.Equal(t, want, stop.refusal(x.Received, x) != nil)
	}
	long := slices.Repeat([]time.Duration{5 * time.Second}, maxDurations)
	same := func() *Exchange { return &Exchange{Service: "s", Route: route(time.Second)} }
	t.Run("would still run", func(t *testing.T) { assertRefuses(t, long, 2900*time.Millisecond, same(), true) })
	t.Run("ends in time", func(t *testing.T) { assertRefuses(t, long, 2700*time.Millisecond, same(), false) })
	t.Run("of another kind", func(t *testing.T) {
		assertRefuses(t, long, 2900*time.Millisecond, &Exchange{Service: "s", Route: route(500 * time.Millisecond)}, false)
	})
	t.Run("too few are known", func(t *testing.T) {
		assertRefuses(t, long[:minDurations-1], 2900*time.Millisecond, same(), false)
	})
	t.Run("a few long ones are not typical", func(t *testing.T) {
		assertRefuses(t, append(slices.Repeat([]time.Duration{time.Second}, maxDurations*7/8), long[:maxDurations/8]...), 2900*time.Millisecond, same(), false)
	})
	t.Run("long ones that are forgotten", func(t *testing.T) {
		assertRefuses(t, append(slices.Clone(long), slices.Repeat([]time.Duration{time.Second}, maxDurations)...), 2900*time.Millisecond, same(), false)
	})
}

// TestStopEndsRequests covers requests that run at the end of a stop, also if they began after
// the stop did.
func TestStopEndsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := &Stop{}
		before, releaseBefore := stop.context(t.Context())
		defer releaseBefore()
		stop.Begin(time.Now(), time.Now().Add(8*time.Second))
		after, releaseAfter := stop.context(t.Context())
		defer releaseAfter()
		time.Sleep(8*time.Second - stopAnswerTime - time.Millisecond)
		assert.NoError(t, before.Err())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		for _, ctx := range []interface{ Err() error }{before, after} {
			assert.Error(t, ctx.Err())
		}
	})
}
