package organizer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node returns the i-th node of domain d1; lower numbers are on larger hosts.
func node(i int) organizer.Node {
	return organizer.Node{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Domain: "d1", Cores: float64(100 - i)}
}

// newOrganizer returns the view of node self, with five domains and so two hubs in each.
// It knows n nodes of its domain.
func newOrganizer(self, n int) *organizer.Organizer {
	o := &organizer.Organizer{Self: node(self), Domains: 5}
	for i := range n {
		o.List(node(i))
	}
	return o
}

func hear(o *organizer.Organizer, at time.Time, nodes ...int) {
	for _, i := range nodes {
		o.Hear(at, node(i).Address, "d1", organizer.Sign{Hub: true})
	}
}

func assertHub(t *testing.T, o *organizer.Organizer, at time.Time, want bool) {
	t.Helper()
	assert.Equal(t, want, o.Role(at).Hub)
}

func TestRole(t *testing.T) {
	t.Run("a node that knows no other is a hub", func(t *testing.T) { assertHub(t, newOrganizer(0, 1), now, true) })
	t.Run("the nodes on the largest hosts are hubs", func(t *testing.T) {
		assertHub(t, newOrganizer(1, 9), now, true)
		assertHub(t, newOrganizer(2, 9), now, false)
	})
	t.Run("a member asks the hubs and takes one that responds", func(t *testing.T) {
		o := newOrganizer(5, 9)
		assert.Equal(t, []netip.AddrPort{node(0).Address, node(1).Address}, o.Role(now).Ask)
		hear(o, now, 1)
		assert.Equal(t, node(1).Address, o.Role(now).Home)
	})
	t.Run("it keeps its home while that is heard", func(t *testing.T) {
		o := newOrganizer(5, 9)
		for i := range 20 {
			at := now.Add(time.Duration(i) * 150 * time.Millisecond)
			hear(o, at, 1)
			assert.Equal(t, node(1).Address, o.Role(at).Home)
		}
	})
	t.Run("it takes another hub when the home is silent", func(t *testing.T) {
		o := newOrganizer(5, 9)
		hear(o, now, 0)
		assert.Equal(t, node(0).Address, o.Role(now).Home)
		later := now.Add(900 * time.Millisecond)
		hear(o, later, 1)
		assert.Equal(t, node(1).Address, o.Role(later).Home)
	})
	t.Run("it asks more nodes when none responds, and becomes a hub when none is left", func(t *testing.T) {
		o := newOrganizer(5, 9)
		asked := map[int]bool{}
		for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(150 * time.Millisecond) {
			asked[len(o.Role(at).Ask)] = true
		}
		assert.True(t, asked[2] && asked[3], "%v", asked)
		assertHub(t, o, now.Add(5*time.Second), true)
	})
	t.Run("a hub steps back when those before it return", func(t *testing.T) {
		o := newOrganizer(2, 9)
		for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(150 * time.Millisecond) {
			o.Role(at)
		}
		later := now.Add(3 * time.Second)
		assertHub(t, o, later, true)
		hear(o, later, 0, 1)
		assertHub(t, o, later, false)
	})
	t.Run("a node that is stopping is no home", func(t *testing.T) {
		o := newOrganizer(5, 9)
		o.Hear(now, node(0).Address, "d1", organizer.Sign{Hub: true, Leaving: true})
		hear(o, now, 1, 2)
		assert.Contains(t, []netip.AddrPort{node(1).Address, node(2).Address}, o.Role(now).Home)
	})
	t.Run("a hub that another hub calls live counts although it was not heard", func(t *testing.T) {
		o := newOrganizer(2, 3)
		hear(o, now, 0)
		later := now.Add(5 * time.Second)
		hear(o, later, 0)
		o.Vouch(later, "d1", []uint32{organizer.Hash(node(1).Address)})
		assertHub(t, o, later, false)
	})
}

func TestProbes(t *testing.T) {
	t.Run("silent nodes that should be hubs are probed periodically", func(t *testing.T) {
		o := newOrganizer(0, 9)
		assert.Equal(t, []netip.AddrPort{node(1).Address, node(2).Address, node(3).Address, node(4).Address}, o.Probes(now))
		assert.Empty(t, o.Probes(now.Add(500*time.Millisecond)))
		assert.Contains(t, o.Probes(now.Add(1100*time.Millisecond)), node(1).Address)
	})
	t.Run("hubs that were heard are not probed", func(t *testing.T) {
		o := newOrganizer(0, 9)
		hear(o, now, 1)
		assert.Empty(t, o.Probes(now))
	})
	t.Run("all nodes of a domain without a known hub are probed in turn", func(t *testing.T) {
		o := newOrganizer(0, 1)
		for i := range 9 {
			other := node(100 + i)
			other.Domain = "d2"
			o.List(other)
		}
		probed := map[netip.AddrPort]bool{}
		for at := now; at.Before(now.Add(12 * time.Second)); at = at.Add(150 * time.Millisecond) {
			for _, address := range o.Probes(at) {
				probed[address] = true
			}
		}
		assert.Len(t, probed, 9)
	})
}

func TestHubsPerDomain(t *testing.T) {
	for domains, want := range map[int]int{1: 10, 3: 3, 4: 2, 5: 2, 8: 2} {
		assert.Equal(t, want, (&organizer.Organizer{Domains: domains}).HubsPerDomain(), "%d domains", domains)
	}
}
