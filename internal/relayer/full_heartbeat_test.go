package relayer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// TestFullHeartbeats shows that heartbeats fit their datagrams, and that limits and loads still
// arrive, while there is too much of everything to tell.
func TestFullHeartbeats(t *testing.T) {
	const n = 60
	runFleet(t, "limits", 7, 3, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		first, now := f.nodes[0], time.Now()
		for i := range n {
			endpoint := endpointtracker.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Slots: 9, StartedAt: now}
			_, ok := first.balancer.Pick(now, balancer.Request{Endpoints: []endpointtracker.Endpoint{endpoint}})
			require.True(t, ok)
			first.peers.Suspects.RecordCrash(now, uint64(i))
			for crash := range 3 {
				first.peers.PartSuspects.RecordCrash(now, now, []uint64{uint64(i)}, uint32(crash))
			}
			first.peers.Announce(endpoint, "m", 2)
			first.peers.LearnLimit("request", endpoint, throttler.Statement{Known: true, Limited: true, Rate: 2}, now)
		}
		f.wait(3 * time.Second)
		last := f.nodes[len(f.nodes)-1]
		assert.Len(t, last.limits.Known(time.Now(), 2*n), n)
		assert.Len(t, last.balancer.Total(time.Now()), n)
		for _, node := range f.nodes {
			assert.Zero(t, node.tooLarge.Load(), node.name)
		}
	})
}
