package relayer_test

import (
	"testing"
	"time"
)

// TestSeparatedHubs guards against parts that are freed while they are fetched by nodes whose hubs
// are cut off from the other hubs and from the log, but not from the stores.
func TestSeparatedHubs(t *testing.T) {
	t.Parallel()
	sites(t, func(nodes, domains int) {
		for _, cutFor := range few(nodes, []time.Duration{20 * time.Second, 2 * time.Second, 5 * time.Second, 9 * time.Second, 40 * time.Second}) {
			runLostMember(t, "cut for "+cutFor.String(), nodes, domains, func(_ *testing.T, f *partsFleet, member *fleetNode) {
				f.setCut(func(a, b *fleetNode) bool { return (a.domain == member.domain) != (b.domain == member.domain) })
				f.wait(500 * time.Millisecond)
				f.loadSecondVersion(func(n *fleetNode) bool { return n.domain != member.domain }, func(string) bool { return true })
				f.wait(cutFor)
				f.setCut(func(*fleetNode, *fleetNode) bool { return false })
			})
		}
	})
}
