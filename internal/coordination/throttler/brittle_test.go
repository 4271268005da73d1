package throttler_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
)

// brittle is what a brittle endpoint says in an answer.
var brittle = throttler.Statement{Known: true, Brittle: 5}

// newLeases returns the limits and permits of a node, whose issuer knows an endpoint with a room.
func newLeases(room int) (*throttler.Limits, *throttler.Permits) {
	limits, issuer := &throttler.Limits{}, &throttler.Issuer{Share: func() float64 { return 1 }}
	ask := func(_ context.Context, demand throttler.Demand) (throttler.Grant, error) {
		return issuer.Lease(time.Now(), demand, room, 0), nil
	}
	return limits, &throttler.Permits{Limits: limits, Ask: ask, OnChange: func() {}, OnError: func(throttler.Process, error) {}, Now: time.Now}
}

// take asks for a lease and uses it if it comes.
func take(permits *throttler.Permits) bool {
	if answered := permits.Want(time.Now(), endpoint, true); answered != nil {
		<-answered
	}
	return permits.Take(time.Now(), endpoint)
}

// TestLeases covers the leases of one endpoint.
func TestLeases(t *testing.T) {
	run := func(name string, check func(t *testing.T, limits *throttler.Limits, permits *throttler.Permits)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits, permits := newLeases(2)
				limits.Learn(time.Now(), process, brittle, time.Now())
				check(t, limits, permits)
				// Calls that are under way end.
				time.Sleep(time.Second)
			})
		})
	}
	run("as many as there is room", func(t *testing.T, _ *throttler.Limits, permits *throttler.Permits) {
		assert.True(t, take(permits))
		assert.True(t, take(permits))
		assert.False(t, take(permits))
	})
	run("one that is given back is given again", func(t *testing.T, _ *throttler.Limits, permits *throttler.Permits) {
		assert.True(t, take(permits))
		assert.True(t, take(permits))
		permits.Release(endpoint)
		time.Sleep(100 * time.Millisecond)
		assert.True(t, take(permits))
		assert.False(t, take(permits))
	})
	run("one that nobody uses is given back", func(t *testing.T, _ *throttler.Limits, permits *throttler.Permits) {
		<-permits.Want(time.Now(), endpoint, true)
		time.Sleep(400 * time.Millisecond)
		assert.False(t, permits.Ready(time.Now(), endpoint))
		time.Sleep(100 * time.Millisecond)
		assert.True(t, take(permits))
		assert.True(t, take(permits))
	})
	run("those of a node that is gone are found", func(t *testing.T, _ *throttler.Limits, permits *throttler.Permits) {
		assert.True(t, take(permits))
		assert.True(t, take(permits))
		// Nodes report that nothing runs.
		time.Sleep(2 * time.Second)
		assert.True(t, take(permits))
	})
	run("none is needed once the endpoint is not brittle", func(t *testing.T, limits *throttler.Limits, permits *throttler.Permits) {
		limits.Learn(time.Now(), process, throttler.Statement{Known: true}, time.Now().Add(time.Millisecond))
		assert.True(t, permits.Take(time.Now(), endpoint))
		assert.True(t, permits.Take(time.Now(), endpoint))
		assert.True(t, permits.Take(time.Now(), endpoint))
	})
	run("a refusal takes room away for a while", func(t *testing.T, limits *throttler.Limits, _ *throttler.Permits) {
		assert.True(t, limits.RecordFull(time.Now(), process))
		assert.True(t, limits.RecordFull(time.Now(), process))
		assert.Equal(t, 2, limits.Penalty(time.Now(), process))
		time.Sleep(3 * time.Second)
		assert.Zero(t, limits.Penalty(time.Now(), process))
	})
	run("peers learn all of it", func(t *testing.T, limits *throttler.Limits, _ *throttler.Permits) {
		limits.RecordFull(time.Now(), process)
		other := &throttler.Limits{}
		other.Merge(time.Now(), limits.Known(time.Now(), 8))
		assert.True(t, other.RecordFull(time.Now(), process))
		assert.Equal(t, 2, other.Penalty(time.Now(), process))
	})
}

// TestOddDemandsForLeases covers what a peer may send.
func TestOddDemandsForLeases(t *testing.T) {
	issuer := &throttler.Issuer{Share: func() float64 { return 1 }}
	for _, released := range []float64{0, 1, 1e300, math.Inf(1), -1} {
		assert.NotPanics(t, func() { issuer.Lease(start, throttler.Demand{Process: process, Rate: released, Permits: 1}, 4, 2) })
	}
}
