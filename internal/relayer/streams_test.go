package relayer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// streamSite is a fleet whose nodes know two endpoints, of two builds.
type streamSite struct {
	*fleet
	endpoints [2]endpointtracker.Endpoint
}

func newStreamSite(t *testing.T, nodes, domains int) *streamSite {
	s := &streamSite{fleet: newFleet(t, nodes, domains)}
	for i := range s.endpoints {
		s.endpoints[i] = endpointtracker.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Build: fmt.Sprint("v", i), StartedAt: time.UnixMilli(1)}
	}
	s.wait(membershipBound)
	return s
}

// begin begins a stream at a node and an endpoint and waits until the node has told of it.
func (s *streamSite) begin(n *fleetNode, id string, endpoint int) {
	n.streams.Observe(s.endpoints[endpoint])
	n.streams.RecordRead(time.Now())
	n.streams.Announce(id, n.streams.Begin(s.endpoints[endpoint]))
	s.wait(250 * time.Millisecond)
}

// assertKnown checks at how many nodes a stream is found, with the build that began it.
func (s *streamSite) assertKnown(t *testing.T, nodes []*fleetNode, id string, endpoint int) {
	t.Helper()
	missing := 0
	for _, n := range nodes {
		build, known := n.streams.Origin(t.Context(), id)
		if !known {
			missing++
			continue
		}
		assert.Equal(t, resumer.Build{Service: "llm", Version: s.endpoints[endpoint].Build}, build)
	}
	assert.Zero(t, missing, "nodes of %d that do not find the stream", len(nodes))
}

// TestStreamsAreKnownAtAllNodes guards against streams that can't be taken up at another node,
// also when the node that began them is lost.
func TestStreamsAreKnownAtAllNodes(t *testing.T) {
	run := func(name string, check func(t *testing.T, s *streamSite)) {
		for _, site := range []struct{ nodes, domains int }{{7, 3}, {195, 5}} {
			t.Run(fmt.Sprintf("%d nodes, %s", site.nodes, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { check(t, newStreamSite(t, site.nodes, site.domains)) })
			})
		}
	}
	lost := func(gone func(n *fleetNode) bool) func(a, b *fleetNode) bool {
		return func(a, b *fleetNode) bool { return gone(a) || gone(b) }
	}
	others := func(s *streamSite, gone func(n *fleetNode) bool) []*fleetNode {
		var left []*fleetNode
		for _, n := range s.nodes {
			if !gone(n) {
				left = append(left, n)
			}
		}
		return left
	}
	run("calm", func(t *testing.T, s *streamSite) {
		for i, n := range s.nodes[:5] {
			s.begin(n, fmt.Sprint("id", i), i%2)
			s.assertKnown(t, s.nodes, fmt.Sprint("id", i), i%2)
		}
		build, known := s.nodes[0].streams.Origin(t.Context(), "never begun")
		assert.False(t, known, build)
	})
	run("the first node is lost", func(t *testing.T, s *streamSite) {
		for i, n := range []*fleetNode{s.nodes[0], s.nodes[len(s.nodes)-1]} {
			id := fmt.Sprint("id", i)
			s.begin(n, id, i)
			s.setCut(lost(func(other *fleetNode) bool { return other == n }))
			left := others(s, func(other *fleetNode) bool { return other == n })
			s.assertKnown(t, left[:len(left)-1], id, i)
			s.setCut(func(a, b *fleetNode) bool { return false })
			s.wait(membershipBound)
		}
	})
	run("a domain with the first node is cut off", func(t *testing.T, s *streamSite) {
		first := s.nodes[1]
		s.begin(first, "id", 1)
		s.setCut(func(a, b *fleetNode) bool { return (a.domain == first.domain) != (b.domain == first.domain) })
		s.assertKnown(t, s.nodes, "id", 1)
	})
	run("a node whose process has started again", func(t *testing.T, s *streamSite) {
		n := s.nodes[0]
		s.begin(n, "id", 0)
		*n.streams = resumer.Streams{Processes: n.streams.Processes, Ask: n.streams.Ask}
		s.assertKnown(t, []*fleetNode{n}, "id", 0)
	})
	run("all but one hub are lost", func(t *testing.T, s *streamSite) {
		n := s.nodes[len(s.nodes)-1]
		s.begin(n, "id", 1)
		hubs := map[*fleetNode]bool{}
		for _, hub := range s.hubs()[1:] {
			hubs[hub] = true
		}
		s.setCut(lost(func(n *fleetNode) bool { return hubs[n] }))
		s.wait(2 * membershipBound)
		s.assertKnown(t, others(s, func(n *fleetNode) bool { return hubs[n] }), "id", 1)
	})
}
