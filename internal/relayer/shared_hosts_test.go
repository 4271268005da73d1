package relayer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
)

func (f *fleet) assertSharedHosts(t *testing.T, want bool) {
	t.Helper()
	for _, n := range f.nodes {
		assert.Equal(t, want, n.balancer.SharedHosts(time.Now()), n.name)
	}
}

// reportPace lets a node receive a load report with a pace.
func (n *fleetNode) reportPace() {
	n.balancer.UpdateEndpointLoad("e", time.Now(), balancer.Load{Running: 1, Slots: 8, Pace: 1.2})
}

// TestSharedHosts guards against nodes that do not learn that endpoints report a pace, or that
// tell each other of it without end.
func TestSharedHosts(t *testing.T) {
	runFleet(t, "134 nodes", 134, 3, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		f.nodes[100].balancer.UpdateEndpointLoad("e", time.Now(), balancer.Load{Running: 1, Slots: 8})
		f.wait(time.Second)
		f.assertSharedHosts(t, false)
		f.nodes[100].reportPace()
		f.wait(time.Second)
		f.assertSharedHosts(t, true)
		f.wait(9*time.Second + 50*time.Millisecond)
		f.assertSharedHosts(t, false)
	})
}
