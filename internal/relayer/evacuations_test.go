package relayer_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// evacuationStep changes the state of domains 1 and 2 at a time after the start of a test.
type evacuationStep func(e *relayer.Evacuations, start time.Time)

func setAt(d time.Duration, domain uint32, evacuated bool, era, offset int64) evacuationStep {
	return func(e *relayer.Evacuations, start time.Time) {
		e.Set(domain, relayer.Evacuation{Evacuated: evacuated, Position: position(era, offset), Learned: start.Add(d)})
	}
}

func set(domain uint32, evacuated bool, era, offset int64) evacuationStep {
	return setAt(0, domain, evacuated, era, offset)
}

func list(era, next int64, domains ...uint32) evacuationStep {
	return func(e *relayer.Evacuations, start time.Time) {
		keys := map[uint32]bool{}
		for _, domain := range domains {
			keys[domain] = true
		}
		e.List(start, keys, position(era, next))
	}
}

func expire(after time.Duration) evacuationStep {
	return func(e *relayer.Evacuations, start time.Time) { e.Expire(start.Add(after)) }
}

// TestEvacuations guards against nodes that take a late message or an incomplete log for the
// operators' word.
func TestEvacuations(t *testing.T) {
	const grace = 10 * time.Second
	for _, c := range []struct {
		name  string
		want  []uint32
		steps []evacuationStep
	}{
		{"evacuated", []uint32{1}, []evacuationStep{set(1, true, 1, 5)}},
		{"two domains", []uint32{1, 2}, []evacuationStep{set(1, true, 1, 5), set(2, true, 1, 6)}},
		{"one of two domains is back", []uint32{2}, []evacuationStep{set(1, true, 1, 5), set(2, true, 1, 6), set(1, false, 1, 7)}},
		{"late record", nil, []evacuationStep{set(1, false, 1, 7), set(1, true, 1, 5)}},
		{"late deletion", []uint32{1}, []evacuationStep{set(1, true, 1, 7), set(1, false, 1, 5)}},
		{"repeated record", nil, []evacuationStep{set(1, true, 1, 5), set(1, false, 1, 7), set(1, true, 1, 5)}},
		{"record of a former era", nil, []evacuationStep{set(1, false, 2, 3), set(1, true, 1, 5)}},
		{"record of a new era", []uint32{1}, []evacuationStep{set(1, false, 1, 7), set(1, true, 2, 3)}},
		{"listing with the record", []uint32{1}, []evacuationStep{set(1, true, 1, 5), list(1, 9, 1)}},
		{"listing without the record", []uint32{2}, []evacuationStep{set(1, true, 1, 5), set(2, true, 1, 6), list(1, 9, 2)}},
		{"listing from before the record", []uint32{1}, []evacuationStep{set(1, true, 1, 9), list(1, 9)}},
		{"record from before a listing without it", nil, []evacuationStep{list(1, 9), set(1, true, 1, 8)}},
		{"first record after an empty listing", []uint32{1}, []evacuationStep{list(1, 0), set(1, true, 1, 0)}},
		{"late listing", []uint32{1}, []evacuationStep{list(1, 9, 1), set(1, true, 1, 5), list(1, 8)}},
		{"restored log lacks the record", []uint32{1}, []evacuationStep{set(1, true, 1, 5), list(2, 9), expire(grace - 1)}},
		{"restored log lacks the record for long", nil, []evacuationStep{set(1, true, 1, 5), list(2, 9), expire(grace)}},
		{"late record after the grace", nil, []evacuationStep{set(1, true, 1, 5), list(2, 9), expire(grace), set(1, true, 1, 6)}},
		{"written again after a restoration", []uint32{1}, []evacuationStep{set(1, true, 1, 5), list(2, 3), set(1, true, 2, 3), expire(grace)}},
		{"withdrawn after a restoration", nil, []evacuationStep{set(1, true, 1, 5), list(2, 3), set(1, false, 2, 3)}},
		{"restored log has the record", []uint32{1}, []evacuationStep{set(1, true, 1, 5), set(1, true, 2, 5), list(2, 9, 1), expire(grace)}},
		{"a peer tells of a record that a restored log lacks", []uint32{1}, []evacuationStep{list(2, 9), setAt(time.Second, 1, true, 1, 5), expire(grace)}},
		{"a peer told of it long ago", nil, []evacuationStep{list(2, 9), setAt(time.Second, 1, true, 1, 5), expire(time.Second + grace)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var e relayer.Evacuations
			for _, step := range c.steps {
				step(&e, time.Unix(1000, 0))
			}
			var evacuated []uint32
			for _, domain := range []uint32{1, 2} {
				if e.IsEvacuated(domain) {
					evacuated = append(evacuated, domain)
				}
			}
			assert.Equal(t, c.want, evacuated)
		})
	}
}

// TestMalformedEvacuationFromPeer guards against a change of a heartbeat that no build sends.
func TestMalformedEvacuationFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t, engine("a", 1))
		newPeers(t, node, &standinStateClient{}).HandleHeartbeat(heartbeat(1, peertracker.Change{Endpoint: 7, Model: balancer.IDHash("d1"), Version: -1}))
		synctest.Wait()
		assert.Empty(t, node.View().Evacuated)
		assert.True(t, node.KnowsEvacuations())
	})
}

// runEvacuationFleet runs a fleet with an endpoint in each domain. The nodes send a heartbeat when
// an evacuation begins or ends, as on the platform.
func runEvacuationFleet(t *testing.T, name string, nodes, domains int, check func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := buildFleet(t, nodes, domains)
			for _, n := range f.nodes {
				n.node.OnEvacuation = n.peers.Broadcast
				for i := range domains {
					n.node.PutEndpoint(endpointtracker.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Domain: fmt.Sprint("d", i)})
				}
				n.run(t.Context())
			}
			f.wait(membershipBound)
			check(t, f)
		})
	})
}

// awaitEvacuated returns the time until all of the nodes place by the same evacuated domains.
func (f *fleet) awaitEvacuated(t *testing.T, nodes []*fleetNode, domains ...string) time.Duration {
	t.Helper()
	// evacuationBound is the least setting of a deployment (5 s) less the time for a read of the log.
	const evacuationBound = 3 * time.Second
	want := map[string]bool{}
	for _, domain := range domains {
		want[domain] = true
	}
	began := time.Now()
	for time.Since(began) < evacuationBound {
		f.wait(10 * time.Millisecond)
		if !slices.ContainsFunc(nodes, func(n *fleetNode) bool { return !assert.ObjectsAreEqual(want, n.node.View().Evacuated) }) {
			return time.Since(began)
		}
	}
	assert.Fail(t, "some nodes do not know which domains are evacuated", "%s after the change", evacuationBound)
	return evacuationBound
}

// TestEvacuationAtSize guards against requests to an evacuated domain from nodes that the store
// rejects: one node reads the records, all others learn of them from peers, while a node is lost.
func TestEvacuationAtSize(t *testing.T) {
	lost := map[string]func(f *fleet, reader *fleetNode) *fleetNode{
		"none": func(*fleet, *fleetNode) *fleetNode { return nil },
		"a hub of the reader's domain": func(f *fleet, reader *fleetNode) *fleetNode {
			return f.hubs()[slices.IndexFunc(f.hubs(), func(n *fleetNode) bool { return n.domain == reader.domain && n != reader })]
		},
		"a hub of another domain": func(f *fleet, reader *fleetNode) *fleetNode {
			return f.hubs()[slices.IndexFunc(f.hubs(), func(n *fleetNode) bool { return n.domain != reader.domain })]
		},
	}
	for nodes, domains := range map[int]int{7: 3, 60: 3, 195: 5} {
		for name, choose := range lost {
			runEvacuationFleet(t, fmt.Sprintf("%d nodes, lost: %s", nodes, name), nodes, domains, func(t *testing.T, f *fleet) {
				reader := f.nodes[len(f.nodes)-1]
				gone := choose(f, reader)
				f.setCut(func(a, b *fleetNode) bool { return a == gone || b == gone })
				left := slices.DeleteFunc(slices.Clone(f.nodes), func(n *fleetNode) bool { return n == gone })
				reader.node.SetEvacuation("d1", true, position(1, 5), "log")
				began := f.awaitEvacuated(t, left, "d1")
				reader.node.SetEvacuation("d2", true, position(1, 6), "log")
				f.awaitEvacuated(t, left, "d1", "d2")
				reader.node.SetEvacuation("d1", false, position(1, 7), "log")
				ended := f.awaitEvacuated(t, left, "d2")
				t.Logf("begun at all nodes after %s, ended after %s", began, ended)
				f.nodes[0].node.SetEvacuation("d1", true, position(1, 5), "log")
				f.setCut(func(a, b *fleetNode) bool { return false })
				f.wait(membershipBound)
				for _, n := range f.nodes {
					require.Equal(t, map[string]bool{"d2": true}, n.node.View().Evacuated, "%s, which may have been lost", n.name)
					assert.Zero(t, n.tooLarge.Load(), n.name)
				}
			})
		}
	}
}
