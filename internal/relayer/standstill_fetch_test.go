package relayer_test

import (
	"testing"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// TestMemberWakes guards against parts that are freed while they are fetched for a member that
// stood still, and takes heartbeats from before that for new ones. Its home is lost meanwhile.
func TestMemberWakes(t *testing.T) {
	t.Parallel()
	for stood := 14 * time.Second; stood <= 15500*time.Millisecond; stood += 150 * time.Millisecond {
		runLostMember(t, "member stood still for "+stood.String(), 19, 3, func(t *testing.T, f *partsFleet, member *fleetNode) {
			t.Helper()
			home := f.byIP[member.peers.Home().Addr()]
			// No node fetches meanwhile.
			f.only.Store(&fleetNode{})
			f.setCut(func(a, b *fleetNode) bool { return a == member || b == member || a == home || b == home })
			f.replaceIn(func(n *fleetNode) bool { return n != member && n != home })
			// The model can't stop a node: its state stays as it was by heartbeats from before, the last
			// of which waits in a buffer until it wakes.
			before := packer.Message{Sender: peertracker.Heartbeat{
				Name: home.name, Domain: home.domain, Address: home.address, Incarnation: 1, Sequence: 1 << 40, Hub: true, Digest: true,
				Changes: []peertracker.Change{bounded, {Endpoint: 1, Model: balancer.IDHash("m"), Version: 1}},
			}}
			for _, hub := range f.hubs() {
				before.Sender.Hubs = append(before.Sender.Hubs, organizer.Hash(hub.address))
			}
			for range stood / (150 * time.Millisecond) {
				before.Sender.Sequence++
				member.peers.HandleHeartbeat(before)
				f.wait(150 * time.Millisecond)
			}
			f.setCut(func(a, b *fleetNode) bool { return a == home || b == home })
			member.stood.Add(int64(stood))
			before.Sender.Sequence++
			member.peers.HandleHeartbeat(before)
			f.only.Store(member)
		})
	}
}
