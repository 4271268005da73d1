package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// noTokens has cold endpoints that get no request for a second, and counts what was withheld.
type noTokens struct {
	cold     map[string]bool
	withheld int
}

func (n *noTokens) IsCold(_ time.Time, e endpointtracker.Endpoint) bool { return n.cold[e.ID] }
func (n *noTokens) Ready(_ time.Time, e endpointtracker.Endpoint) bool  { return !n.cold[e.ID] }
func (n *noTokens) Take(_ time.Time, e endpointtracker.Endpoint) bool   { return !n.cold[e.ID] }
func (*noTokens) Wait(time.Time, endpointtracker.Endpoint) time.Duration {
	return time.Second
}
func (*noTokens) Cost(time.Time, endpointtracker.Endpoint) float64 { return 0 }
func (*noTokens) Any() bool                                        { return true }
func (n *noTokens) RecordWithheld(string)                          { n.withheld++ }

// TestCold guards against requests to cold endpoints without a token, urgent ones too, and against
// refusals for them while another endpoint may get room.
func TestCold(t *testing.T) {
	request := balancer.Request{Endpoints: engines(), Urgent: true}
	for i := range request.Endpoints {
		request.Endpoints[i].Service = "s"
	}
	t.Run("one of two", func(t *testing.T) {
		cold := &noTokens{cold: map[string]bool{"near": true}}
		b := &balancer.Balancer{Domain: "d1", Cold: cold}
		assertPicks(t, b, request, "far")
		assert.Equal(t, 1, cold.withheld)
		assert.Zero(t, b.HoldLeft(now, request))
	})
	t.Run("both", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1", Cold: &noTokens{cold: map[string]bool{"near": true, "far": true}}}
		assertPicks(t, b, request, "")
		assert.Equal(t, time.Second, b.HoldLeft(now, request))
	})
}
