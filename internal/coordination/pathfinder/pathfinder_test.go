package pathfinder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/pathfinder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

var start = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestPath(t *testing.T) {
	t.Run("one failure is a reason to try other endpoints, and no more", func(t *testing.T) {
		path := &pathfinder.Path{}
		assert.False(t, path.CheckDue(after(0)))
		assert.False(t, path.RecordDial(false))
		assert.True(t, path.CheckDue(after(0)))
		assert.False(t, path.Lost())
	})
	t.Run("a check that reached an endpoint holds for a while", func(t *testing.T) {
		path := &pathfinder.Path{}
		path.RecordDial(false)
		assert.False(t, path.RecordCheck(after(0), true))
		path.RecordDial(false)
		assert.False(t, path.CheckDue(after(200)))
		assert.True(t, path.CheckDue(after(300)))
	})
	t.Run("lost once a check reaches no endpoint, until a connection is opened", func(t *testing.T) {
		path := &pathfinder.Path{}
		path.RecordDial(false)
		assert.True(t, path.RecordCheck(after(0), false))
		assert.True(t, path.Lost())
		assert.False(t, path.RecordCheck(after(1), false), "no change")
		assert.False(t, path.CheckDue(after(500)))
		assert.False(t, path.RecordDial(false))
		assert.True(t, path.RecordDial(true))
		assert.False(t, path.Lost())
	})
	t.Run("silence is tried while requests are under way", func(t *testing.T) {
		path := &pathfinder.Path{}
		assert.False(t, path.TrySilent(after(5000)), "no request is under way")
		path.Begin(after(5000))
		assert.False(t, path.TrySilent(after(5600)))
		path.Begin(after(5650))
		path.RecordBytes(after(5660))
		assert.False(t, path.TrySilent(after(5800)))
		assert.True(t, path.TrySilent(after(6400)))
		assert.False(t, path.TrySilent(after(7000)), "tried a moment ago")
		assert.True(t, path.TrySilent(after(8400)))
		path.End()
		path.End()
		assert.False(t, path.TrySilent(after(20000)), "no request is under way")
	})
}

func peersOf(domains ...string) []pathfinder.Peer {
	var peers []pathfinder.Peer
	for i, domain := range domains {
		peers = append(peers, pathfinder.Peer{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)), Domain: domain})
	}
	return peers
}

func domainsOf(peers []pathfinder.Peer) string {
	text := ""
	for _, peer := range peers {
		text += peer.Domain
	}
	return text
}

// TestDetourRegions guards against bodies that are sent through a peer outside of the request's
// regions.
func TestDetourRegions(t *testing.T) {
	regions := cataloger.DomainRegions{"a": "north", "b": "south", "c": "west"}
	assertAllowed := func(own, want string, names ...string) {
		t.Helper()
		d := &pathfinder.Detours{Domain: "a", Region: own, DomainRegions: regions}
		assert.Equal(t, want, domainsOf(d.Allowed(peersOf("a", "b", "c", "d"), cataloger.NewRegions(names))))
	}
	assertAllowed("north", "abcd")
	assertAllowed("north", "ab", "south")
	assertAllowed("north", "a", "north")
	assertAllowed("", "b", "south")
	assertAllowed("north", "a", "elsewhere")
}

func TestDetours(t *testing.T) {
	peers := peersOf("a", "b", "c", "a", "b", "c")
	t.Run("own domain, then the endpoint's, then others", func(t *testing.T) {
		assert.Equal(t, "aaccbb", domainsOf((&pathfinder.Detours{Domain: "a"}).Order(start, peers, "c")))
	})
	t.Run("all peers of a domain are asked", func(t *testing.T) {
		first := map[netip.AddrPort]bool{}
		for range 200 {
			first[(&pathfinder.Detours{Domain: "a"}).Order(start, peers, "c")[0].Address] = true
		}
		assert.Len(t, first, 2)
	})
	t.Run("a peer that refused is not asked for a while, and one out of reach for longer", func(t *testing.T) {
		d := &pathfinder.Detours{Domain: "a"}
		d.RecordRefusal(start, peers[0], true)
		d.RecordRefusal(start, peers[1], false)
		assert.Len(t, d.Order(after(900), peers, "c"), 4)
		assert.Len(t, d.Order(after(1100), peers, "c"), 5)
		assert.Len(t, d.Order(after(5100), peers, "c"), 6)
	})
	t.Run("a domain with a peer that could not help comes last", func(t *testing.T) {
		many := peersOf("a", "a", "a", "a", "b", "c")
		d := &pathfinder.Detours{Domain: "a"}
		d.RecordRefusal(start, many[0], true)
		assert.Equal(t, "bcaaa", domainsOf(d.Order(start, many, "b")))
		d.RecordRefusal(start, many[4], false)
		assert.Equal(t, "caaa", domainsOf(d.Order(start, many, "b")))
		d.RecordHelp(many[2])
		assert.Equal(t, "aaac", domainsOf(d.Order(start, many, "b")))
	})
}
