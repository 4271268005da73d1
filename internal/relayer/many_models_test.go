package relayer_test

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
)

// modelGossip records the models whose retained versions a node has announced to each peer.
type modelGossip struct {
	mu        sync.Mutex
	announced map[netip.Addr]map[uint32]bool
}

// Send implements relayer.Gossip.
func (g *modelGossip) Send(to []netip.AddrPort, message packer.Message) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, change := range message.Sender.Changes {
		// 1 is relayer's retainedMarker.
		if change.Endpoint != 1 {
			continue
		}
		for _, peer := range to {
			if g.announced[peer.Addr()] == nil {
				g.announced[peer.Addr()] = map[uint32]bool{}
			}
			g.announced[peer.Addr()][change.Model] = true
		}
	}
	return nil
}

// TestManyModels guards against models that a hub with members never announces to some of its
// peers: with more models than a heartbeat holds, each kind of heartbeat got the same ones always.
func TestManyModels(t *testing.T) {
	for _, models := range []int{8, 16, 20, 24} {
		t.Run(fmt.Sprintf("%d models", models), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := engine("a", 1)
				e.Weights = map[string]int64{}
				for i := range models {
					e.Weights[fmt.Sprintf("m%d", i)] = 1
				}
				node := newNode(t, e)
				peers, gossip := newPeers(t, node, &standinStateClient{}), &modelGossip{announced: map[netip.Addr]map[uint32]bool{}}
				peers.Gossip = gossip
				go peers.Run(t.Context())
				hub, other, member := heartbeat(1), heartbeat(1), heartbeat(1)
				hub.Sender.Hub, other.Sender.Hub, member.Sender.Homed = true, true, true
				other.Sender.Name, other.Sender.Domain, other.Sender.Address = "n4", "d2", netip.MustParseAddrPort("10.0.2.1:80")
				member.Sender.Name, member.Sender.Address = "n3", netip.MustParseAddrPort("10.0.1.3:80")
				for sequence := range uint64(12) {
					for _, message := range []*packer.Message{&hub, &other, &member} {
						message.Sender.Sequence = sequence + 1
						peers.HandleHeartbeat(*message)
					}
					time.Sleep(500 * time.Millisecond)
					synctest.Wait()
				}
				gossip.mu.Lock()
				defer gossip.mu.Unlock()
				for _, message := range []packer.Message{hub, other, member} {
					announced := gossip.announced[message.Sender.Address.Addr()]
					for i := range models {
						assert.True(t, announced[balancer.IDHash(fmt.Sprintf("m%d", i))], "m%d is announced to %s", i, message.Sender.Name)
					}
				}
			})
		})
	}
}

// TestReplacedVersionIsAnnouncedFirst guards against other nodes that adopt a retained version late, as
// there are more models than a heartbeat holds.
func TestReplacedVersionIsAnnouncedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := map[string]int64{}
		for i := range 40 {
			weights[fmt.Sprintf("m%d", i)] = 1
		}
		e := engine("a", 1)
		e.Weights = weights
		node := newNode(t, e)
		peers, gossip := newPeers(t, node, &standinStateClient{}), &reachedGossip{}
		peers.Gossip = gossip
		go peers.Run(t.Context())
		other := heartbeat(1)
		other.Sender.Hub, other.Sender.Domain = true, "d2"
		peers.HandleHeartbeat(other)
		time.Sleep(700 * time.Millisecond)
		node.UpdateWeights(e, "m39", 2)
		// Hubs of other domains get a heartbeat each 600 ms.
		time.Sleep(700 * time.Millisecond)
		gossip.mu.Lock()
		defer gossip.mu.Unlock()
		assert.Positive(t, gossip.reached[balancer.IDHash("m39")])
	})
}

// reachedGossip counts the heartbeats in which a node named a retained version that it has just
// reached, by model.
type reachedGossip struct {
	mu      sync.Mutex
	reached map[uint32]int
}

// Send implements relayer.Gossip.
func (g *reachedGossip) Send(_ []netip.AddrPort, message packer.Message) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, change := range message.Sender.Changes {
		// 5 is relayer's reachedMarker.
		if change.Endpoint == 5 && change.Version == 2 {
			if g.reached == nil {
				g.reached = map[uint32]int{}
			}
			g.reached[change.Model]++
		}
	}
	return nil
}
