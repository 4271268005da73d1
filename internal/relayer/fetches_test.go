package relayer_test

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

func TestFetches(t *testing.T) {
	now, fetches := time.Now(), relayer.Fetches{}
	assert.EqualValues(t, 3, fetches.Oldest(now, "m", 3))
	fetches.Record("m", 1, now.Add(time.Second))
	fetches.Record("m", 2, now.Add(2*time.Second))
	fetches.Record("m", 1, now.Add(500*time.Millisecond))
	fetches.Record("m", 4, now.Add(time.Hour))
	assert.EqualValues(t, 1, fetches.Oldest(now, "m", 3))
	assert.EqualValues(t, 2, fetches.Oldest(now.Add(time.Second), "m", 3))
	assert.EqualValues(t, 3, fetches.Oldest(now.Add(2*time.Second), "m", 3))
	assert.EqualValues(t, 3, fetches.Oldest(now, "other", 3))
}

// retainedGossip records the retained versions in the heartbeats that a node sends, by whether
// they are for members.
type retainedGossip struct {
	mu   sync.Mutex
	last map[bool]int64
}

// Send implements relayer.Gossip.
func (g *retainedGossip) Send(_ []netip.AddrPort, message packer.Message) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, change := range message.Sender.Changes {
		// 1 is relayer's retainedMarker.
		if change.Endpoint == 1 && change.Model == balancer.IDHash("m") {
			g.last[message.Sender.Digest] = change.Version
		}
	}
	return nil
}

func (g *retainedGossip) assertRetained(t *testing.T, byMembers, byOthers int64) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, byMembers, g.last[true], "what members get")
	assert.Equal(t, byOthers, g.last[false], "what hubs get")
}

// TestAnnouncedAfterFetches guards against peers, also of builds that wait for 900 ms only, that
// free parts which an engine fetches for this node.
func TestAnnouncedAfterFetches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t, engine("a", 1))
		peers, gossip := newPeers(t, node, &standinStateClient{}), &retainedGossip{last: map[bool]int64{}}
		peers.Gossip, peers.Fetches, peers.Uptime = gossip, &relayer.Fetches{}, simulatedUptime
		go peers.Run(t.Context())
		hub, member := heartbeat(1), heartbeat(1)
		hub.Sender.Hub = true
		member.Sender.Homed, member.Sender.Name, member.Sender.Address = true, "n3", netip.MustParseAddrPort("10.0.1.3:80")
		sequence := uint64(0)
		beat := func(d time.Duration) {
			for range d / (500 * time.Millisecond) {
				sequence++
				hub.Sender.Sequence, member.Sender.Sequence = sequence, sequence
				member.Sender.Changes = []peertracker.Change{{Endpoint: 1, Model: balancer.IDHash("m"), Version: 2}}
				peers.HandleHeartbeat(hub)
				peers.HandleHeartbeat(member)
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
			}
		}
		beat(500 * time.Millisecond)
		gossip.assertRetained(t, 1, 1)
		peers.Fetches.Record("m", 1, time.Now().Add(settleBound+1200*time.Millisecond))
		node.UpdateWeights(engine("a", 1), "m", 2)
		beat(settleBound)
		gossip.assertRetained(t, 2, 1)
		beat(time.Second)
		gossip.assertRetained(t, 2, 1)
		beat(500 * time.Millisecond)
		gossip.assertRetained(t, 2, 2)
	})
}
