package relayer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSeparatedHubs guards against parts that are freed while they are fetched by nodes whose hubs
// are cut off from the other hubs and from the log, but not from the stores.
func TestSeparatedHubs(t *testing.T) {
	t.Parallel()
	run := func(nodes, domains int, cutFor time.Duration) {
		t.Run(fmt.Sprintf("%d nodes, cut for %s", nodes, cutFor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPartsFleet(t, nodes, domains)
				f.wait(4 * time.Second)
				member := f.member()
				f.only.Store(member)
				f.wait(10 * time.Second)
				f.setCut(func(a, b *fleetNode) bool { return (a.domain == member.domain) != (b.domain == member.domain) })
				f.wait(500 * time.Millisecond)
				everywhere := func(string) bool { return true }
				f.loadSecondVersion(func(n *fleetNode) bool { return n.domain != member.domain }, everywhere)
				f.wait(cutFor)
				f.setCut(func(*fleetNode, *fleetNode) bool { return false })
				f.wait(30 * time.Second)
				f.assertFreed(t)
			})
		})
	}
	sites(t, func(nodes, domains int) {
		for _, cutFor := range few(nodes, []time.Duration{20 * time.Second, 2 * time.Second, 5 * time.Second, 9 * time.Second, 40 * time.Second}) {
			run(nodes, domains, cutFor)
		}
	})
}
