package relayer_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// lostMemberBound is the longest time for which a member fetches parts after its last heartbeat
// at its home: 3 s until it places no more fetches, and 5 s for the last of them.
const lostMemberBound = 8 * time.Second

// TestFormerMembers guards against a home that announces a version as given up while engines may
// still fetch its parts for a member that has just left.
func TestFormerMembers(t *testing.T) {
	run := func(name string, leave func(peers *relayer.Peers, member packer.Message)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newNode(t, engine("a", 1))
				peers, gossip := newPeers(t, node, &standinStateClient{}), &retainedGossip{last: map[bool]int64{}}
				peers.Gossip, peers.Uptime = gossip, simulatedUptime
				go peers.Run(t.Context())
				time.Sleep(time.Second)
				node.UpdateWeights(engine("a", 1), "m", 2)
				hub, member := heartbeat(1), heartbeat(1, peertracker.Change{Endpoint: 1, Model: balancer.IDHash("m"), Version: 1})
				hub.Sender.Hub = true
				member.Sender.Homed, member.Sender.Name, member.Sender.Address = true, "n3", netip.MustParseAddrPort("10.0.1.3:80")
				beat := func(d time.Duration, messages ...*packer.Message) {
					for range d / (250 * time.Millisecond) {
						for _, message := range messages {
							message.Sender.Sequence++
							peers.HandleHeartbeat(*message)
						}
						time.Sleep(250 * time.Millisecond)
						synctest.Wait()
					}
				}
				beat(settleBound+time.Second, &hub, &member)
				gossip.assertRetained(t, 2, 1)
				member.Sender.Sequence++
				leave(peers, member)
				beat(lostMemberBound-500*time.Millisecond, &hub)
				gossip.assertRetained(t, 2, 1)
				beat(time.Second, &hub)
				gossip.assertRetained(t, 2, 2)
			})
		})
	}
	newer := []peertracker.Change{{Endpoint: 1, Model: balancer.IDHash("m"), Version: 2}}
	run("lost", func(*relayer.Peers, packer.Message) {})
	run("moved to another home", func(peers *relayer.Peers, member packer.Message) {
		member.Sender.Homed, member.Sender.Changes = false, nil
		peers.HandleHeartbeat(member)
	})
	run("started again", func(peers *relayer.Peers, member packer.Message) {
		member.Sender.Incarnation, member.Sender.Changes = 9, newer
		peers.HandleHeartbeat(member)
	})
	run("a hub itself now", func(peers *relayer.Peers, member packer.Message) {
		member.Sender.Homed, member.Sender.Hub, member.Sender.Changes = false, true, newer
		peers.HandleHeartbeat(member)
	})
	run("stops", func(peers *relayer.Peers, member packer.Message) {
		member.Sender.Leaving = true
		peers.HandleHeartbeat(member)
	})
}
