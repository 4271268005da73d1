package digester_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/digester"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// newGroups returns a group of parts for each holder, with the sizes of the parts by their numbers.
func newGroups(holders ...map[int]int) []peertracker.PartGroup {
	var groups []peertracker.PartGroup
	for i, parts := range holders {
		group := peertracker.PartGroup{Holder: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Salt: fmt.Sprint("s", i%2)}
		for n, tokens := range parts {
			group.Parts, group.Tokens = append(group.Parts, fmt.Sprint("p", n)), append(group.Tokens, tokens)
		}
		groups = append(groups, group)
	}
	return groups
}

func flatten(groups []peertracker.PartGroup) []string {
	var parts []string
	for _, group := range groups {
		for i, part := range group.Parts {
			parts = append(parts, fmt.Sprint(group.Holder, " ", group.Salt, " ", part, " ", group.Tokens[i]))
		}
	}
	slices.Sort(parts)
	return parts
}

// TestSelect guards against copies that differ from the owner's after the buckets that differ were replaced.
func TestSelect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfN(rapid.MapOf(rapid.IntRange(0, 200), rapid.IntRange(1, 3)), 0, 4)
		owned, known := newGroups(holders.Draw(t, "owned")...), newGroups(holders.Draw(t, "known")...)
		buckets := digester.Buckets(known)
		sum := digester.Sum(owned, buckets)
		differing := sum.Differing(digester.Sum(known, buckets).Buckets)
		merged := append(digester.Select(known, differing, false), digester.Select(owned, differing, true)...)
		assert.Equal(t, flatten(owned), flatten(merged))
		assert.Equal(t, sum.Total, digester.Sum(merged, 1).Total)
	})
}

// TestSum guards against parts that are taken for each other.
func TestSum(t *testing.T) {
	one := newGroups(map[int]int{1: 10})
	total := digester.Sum(one, 1).Total
	assertOther := func(name string, change func(*peertracker.PartGroup)) {
		t.Run(name, func(t *testing.T) {
			other := newGroups(map[int]int{1: 10})
			change(&other[0])
			assert.NotEqual(t, total, digester.Sum(other, 1).Total)
		})
	}
	assertOther("of another holder", func(g *peertracker.PartGroup) { g.Holder = netip.MustParseAddrPort("10.0.0.0:81") })
	assertOther("of another salt", func(g *peertracker.PartGroup) { g.Salt, g.Parts[0] = "s", "0"+g.Parts[0] })
	assertOther("of another size", func(g *peertracker.PartGroup) { g.Tokens[0]++ })
	assertOther("twice", func(g *peertracker.PartGroup) {
		g.Parts, g.Tokens = append(g.Parts, g.Parts[0]), append(g.Tokens, g.Tokens[0])
	})
}
