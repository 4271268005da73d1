package relayer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
)

// assertHeartbeatsFit checks that the heartbeats of each hub leave half of its link to requests, logs and
// configurations.
func (f *fleet) assertHeartbeatsFit(t *testing.T) {
	t.Helper()
	const seconds, headerBytes = 2, 28
	for _, n := range f.nodes {
		n.bytes.Store(0)
		n.sent.Store(0)
	}
	newCrowd(f, 90).place(t, seconds*1000, 1, func(*fleetNode, balancer.Choice) {})
	for _, n := range f.hubs() {
		sent := float64(n.bytes.Load()+headerBytes*n.sent.Load()) / seconds
		assert.Less(t, sent, n.bandwidth()/2, "bytes a second that %s sends", n.name)
	}
}

// TestHeartbeatsOnSlowLinks guards against small hosts whose links are full of heartbeats when they become hubs,
// as in a rolling restart of all large hosts.
func TestHeartbeatsOnSlowLinks(t *testing.T) {
	runFleet(t, "195 nodes", 195, 3, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		f.nodes[100].reportPace()
		f.assertHeartbeatsFit(t)
		f.setCut(func(a, b *fleetNode) bool { return a.large || b.large })
		f.wait(2 * membershipBound)
		f.nodes[100].reportPace()
		small := 0
		for _, n := range f.hubs() {
			if !n.large {
				small++
			}
		}
		require.GreaterOrEqual(t, small, 9)
		f.assertHeartbeatsFit(t)
		f.nodes[100].reportPace()
		f.wait(time.Second)
		f.assertLive(t, f.nodes[largeHosts*f.domains:], 195-largeHosts*f.domains)
	})
}
