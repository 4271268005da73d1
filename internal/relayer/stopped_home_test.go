package relayer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// homeChangeBound is the time that the limits for replaced weights leave a member to find another
// home: 0.15 of 10 s, less 250 ms for the read there and for a cancellation.
const homeChangeBound = 1250 * time.Millisecond

// TestMembersOfStoppedHome covers members whose home stands still while a version is named. They
// follow the log through it, and learn of the version once they have another home.
func TestMembersOfStoppedHome(t *testing.T) {
	for _, stopped := range []int{1, 2} {
		runFleet(t, fmt.Sprintf("%d hubs of a domain stop", stopped), 60, 3, func(t *testing.T, f *fleet) {
			f.wait(membershipBound)
			gone := map[*fleetNode]bool{}
			for _, hub := range f.hubs() {
				if hub.domain == "d1" && len(gone) < stopped {
					gone[hub] = true
				}
			}
			f.setCut(func(a, b *fleetNode) bool { return gone[a] || gone[b] })
			f.wait(homeChangeBound)
			for _, n := range f.nodes {
				home, ok := f.byIP[n.peers.Home().Addr()]
				assert.False(t, ok && gone[home] && !gone[n] && !n.peers.IsHub(), "%s still follows a node that stands still", n.name)
			}
		})
	}
}
