package relayer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// oneLoaded returns nine endpoints, of which the first has the second version.
func oneLoaded() []endpointtracker.Endpoint {
	endpoints := []endpointtracker.Endpoint{engine("e0", 2)}
	for i := 1; i < 9; i++ {
		endpoints = append(endpoints, engine(fmt.Sprintf("e%d", i), 1))
	}
	return endpoints
}

func assertRetained(t *testing.T, node *relayer.Relayer, want int64) {
	t.Helper()
	synctest.Wait()
	assert.Equal(t, want, node.View().OldestRetained["m"])
}

// TestMajorityOfFirstEndpoints guards against a node that takes the first endpoints of a listing for
// all, and gives up the version that most endpoints have.
func TestMajorityOfFirstEndpoints(t *testing.T) {
	run := func(name string, start func(node *relayer.Relayer)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := startNode(t, newHost())
				start(node)
				assertRetained(t, node, 1)
				for _, endpoint := range oneLoaded()[1:5] {
					node.UpdateWeights(endpoint, "m", 2)
				}
				assertRetained(t, node, 2)
			})
		})
	}
	run("configuration before the endpoints", func(node *relayer.Relayer) {
		node.Configure(catalog(1), "test")
		listEndpoints(node, oneLoaded()...)
	})
	run("configuration after the endpoints", func(node *relayer.Relayer) {
		listEndpoints(node, oneLoaded()...)
		node.Configure(catalog(1), "test")
	})
	run("configuration between the endpoints", func(node *relayer.Relayer) {
		node.PutEndpoint(oneLoaded()[0])
		node.Configure(catalog(1), "test")
		listEndpoints(node, oneLoaded()...)
	})
	for nodes, domains := range map[int]int{7: 3, 60: 3} {
		t.Run(fmt.Sprintf("a node that starts among %d", nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := buildFleet(t, nodes, domains)
				started := f.nodes[len(f.nodes)-1]
				started.node = startNode(t, newHost())
				started.peers.Node = started.node
				f.cut = func(a, b *fleetNode) bool { return a == started || b == started }
				for _, n := range f.nodes {
					if n != started {
						listEndpoints(n.node, oneLoaded()[1:]...)
						n.node.PutEndpoint(oneLoaded()[0])
						n.run(ctx)
					}
				}
				f.wait(membershipBound)
				f.setCut(func(*fleetNode, *fleetNode) bool { return false })
				started.run(ctx)
				started.node.Configure(catalog(1), "test")
				listEndpoints(started.node, oneLoaded()...)
				f.wait(membershipBound)
				for _, n := range f.nodes {
					assertRetained(t, n.node, 1)
				}
			})
		})
	}
}

// TestLostMajority covers endpoints with the newer version that are gone: a node that starts then counts
// another majority than the others have reached, and adopts theirs.
func TestLostMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former := []endpointtracker.Endpoint{engine("a", 2), engine("b", 2), engine("c", 1)}
		node := newNode(t, former...)
		assertRetained(t, node, 2)
		left := []endpointtracker.Endpoint{engine("b", 2), engine("c", 1)}
		listEndpoints(node, left...)
		assertRetained(t, node, 2)
		started := newNode(t, left...)
		assertRetained(t, started, 1)
		hub := heartbeat(1, peertracker.Change{Endpoint: 1, Model: balancer.IDHash("m"), Version: 2})
		hub.Sender.Hub = true
		newPeers(t, started, &standinStateClient{}).HandleHeartbeat(hub)
		assertRetained(t, started, 2)
		// A node hears its home before it lists the endpoints.
		late := startNode(t, newHost())
		late.Configure(catalog(1), "test")
		newPeers(t, late, &standinStateClient{}).HandleHeartbeat(hub)
		listEndpoints(late, left...)
		assertRetained(t, late, 2)
	})
}
