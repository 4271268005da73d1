package relayer_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
)

// TestFetchesBeforeFirstContact guards against a node that has just started and lets engines fetch parts which
// the others free: it counts the endpoints of today, and they had counted others.
func TestFetchesBeforeFirstContact(t *testing.T) {
	started := func(t *testing.T) *relayer.Peers {
		t.Helper()
		peers := newPeers(t, newNode(t, engine("a", 1)), &standinStateClient{})
		peers.Uptime = simulatedUptime
		peers.AddPeer(heartbeat(1).Sender.Address, "d1", 8)
		go peers.Run(t.Context())
		go every(t.Context(), 500*time.Millisecond, peers.RecordLogContact)
		time.Sleep(2 * time.Second)
		return peers
	}
	run := func(name string, check func(t *testing.T, peers *relayer.Peers)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, started(t)) })
		})
	}
	run("no hub was heard", func(t *testing.T, peers *relayer.Peers) {
		require.True(t, peers.HasLogContact())
		assert.False(t, peers.MayFetch())
	})
	run("a hub was heard", func(t *testing.T, peers *relayer.Peers) {
		hub := heartbeat(1, bounded)
		hub.Sender.Hub = true
		peers.HandleHeartbeat(hub)
		assert.True(t, peers.MayFetch())
	})
	run("the only other node is a member", func(t *testing.T, peers *relayer.Peers) {
		member := heartbeat(1, bounded)
		member.Sender.Homed = true
		peers.HandleHeartbeat(member)
		assert.True(t, peers.MayFetch())
	})
	run("no node was heard for long", func(t *testing.T, peers *relayer.Peers) {
		time.Sleep(2 * time.Minute)
		assert.True(t, peers.MayFetch())
	})
}

// TestMemberWithFormerConfiguration guards against fetches of parts of a scope that no team uses any more, which
// hubs free a minute after the configuration has changed: they do not see that a member of another hub lacks it.
func TestMemberWithFormerConfiguration(t *testing.T) {
	const unusedScopeDelay = time.Minute
	runFleet(t, "60 nodes", 60, 3, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		i := slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.peers.Home().IsValid() })
		member := f.nodes[i]
		for _, n := range f.nodes {
			if n != member {
				n.node.Configure(catalog(2), "test")
			}
		}
		f.wait(2 * time.Second)
		for _, n := range f.nodes {
			assert.True(t, n.peers.MayFetch(), "%s soon after the change", n.name)
		}
		agreed := 0
		for _, hub := range f.hubs() {
			if hub.peers.SameConfiguration(2) {
				agreed++
			}
		}
		require.Equal(t, len(f.hubs())-1, agreed, "hubs that do not know that the member lags behind")
		f.wait(unusedScopeDelay - placer.MaxFetchTime - 2*time.Second)
		assert.False(t, member.peers.MayFetch(), "fetches that may last until the parts are freed")
		member.node.Configure(catalog(2), "test")
		f.wait(time.Second)
		for _, n := range f.nodes {
			assert.True(t, n.peers.MayFetch(), "%s with the configuration", n.name)
		}
	})
}
