package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// TestPace guards against a single report deciding over the pace of an endpoint, and against a
// pace that is used without end.
func TestPace(t *testing.T) {
	b := &balancer.Balancer{}
	assert.InDelta(t, 1, b.Pace(now, "e"), 0)
	b.UpdateEndpointLoad("e", now, balancer.Load{Pace: 3})
	assert.InDelta(t, 2, b.Pace(now, "e"), 0)
	at := now
	for i := range 200 {
		at = at.Add(50 * time.Millisecond)
		b.UpdateEndpointLoad("e", at, balancer.Load{Pace: float64(1 + 2*(i%2))})
		assert.InDelta(t, 2, b.Pace(at, "e"), 0.2)
	}
	assert.InDelta(t, 1, b.Pace(at.Add(10*time.Second), "e"), 0)
}

// TestSharedHosts guards against endpoints counting as sharing their hosts without end: by old
// reports, or by reports that nodes repeat to each other.
func TestSharedHosts(t *testing.T) {
	b := &balancer.Balancer{}
	assertShared := func(after time.Duration, want, reported bool) {
		t.Helper()
		at := now.Add(after)
		assert.Equal(t, want, b.SharedHosts(at), after)
		_, total := b.PaceAge(at, true)
		assert.Equal(t, want, total, after)
		_, ok := b.PaceAge(at, false)
		assert.Equal(t, reported, ok, after)
	}
	b.UpdateEndpointLoad("e", now, balancer.Load{Running: 1})
	assertShared(0, false, false)
	b.HandlePaceAge(balancer.Home, now, 4*time.Second)
	assertShared(0, true, false)
	assertShared(6*time.Second, false, false)
	b.HandlePaceAge(balancer.Member, now, 0)
	assertShared(9*time.Second, true, true)
	b.UpdateEndpointLoad("e", now.Add(5*time.Second), balancer.Load{Pace: 1})
	assertShared(14*time.Second, true, true)
	assertShared(15*time.Second, false, false)
	b.Pressure = true
	assert.True(t, b.SharedHosts(now.Add(time.Hour)))
}

// TestSampleOfSharedHosts guards against samples of another size than the load reports allow for.
func TestSampleOfSharedHosts(t *testing.T) {
	b := &balancer.Balancer{Domain: "d0", Name: "n0", Nodes: func() int { return 134 }}
	var request balancer.Request
	for i := range 90 {
		request.Endpoints = append(request.Endpoints, endpoint(fmt.Sprint("e", i), fmt.Sprint("d", i%3), 64))
	}
	assertCompares := func(want int) {
		t.Helper()
		compared := 0
		request.Work = func(endpointtracker.Endpoint) balancer.Work {
			compared++
			return balancer.Work{}
		}
		_, ok := b.Pick(now, request)
		assert.True(t, ok)
		assert.Equal(t, want, compared)
	}
	assertCompares(5)
	b.UpdateEndpointLoad("e0", now, balancer.Load{Pace: 1})
	assertCompares(16)
	assert.LessOrEqual(t, testing.AllocsPerRun(10, func() { b.Report(now) }), 2.0)
}
