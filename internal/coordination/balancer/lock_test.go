package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// TestNodesMayWait guards against a deadlock: Nodes may wait for a goroutine that reports to the
// Balancer meanwhile.
func TestNodesMayWait(t *testing.T) {
	// Nodes is called only if there are more endpoints than a sample has.
	request := balancer.Request{Endpoints: make([]endpointtracker.Endpoint, 20)}
	for name, choose := range map[string]func(b *balancer.Balancer){
		"Pick":        func(b *balancer.Balancer) { b.Pick(time.Now(), request) },
		"WantPermits": func(b *balancer.Balancer) { b.WantPermits(time.Now(), request) },
	} {
		t.Run(name, func(t *testing.T) {
			b := &balancer.Balancer{Permits: noPermits{}}
			called := false
			b.Nodes = func() int {
				called = true
				b.Forget("peer")
				return 100
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				choose(b)
			}()
			select {
			case <-done:
				assert.True(t, called)
			case <-time.After(5 * time.Second):
				assert.Fail(t, "deadlock")
			}
		})
	}
}

// noPermits limits an endpoint that never gets a permit.
type noPermits struct{}

func (noPermits) Ready(time.Time, endpointtracker.Endpoint) bool         { return false }
func (noPermits) Wait(time.Time, endpointtracker.Endpoint) time.Duration { return 0 }
func (noPermits) Take(time.Time, endpointtracker.Endpoint) bool          { return false }
func (noPermits) Any() bool                                              { return true }
func (noPermits) Release(endpointtracker.Endpoint)                       {}
func (noPermits) Want(time.Time, endpointtracker.Endpoint, bool) <-chan struct{} {
	return nil
}
