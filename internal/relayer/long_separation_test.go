package relayer_test

import (
	"bytes"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// keepLogContact lets all nodes be in contact with the log.
func (f *partsFleet) keepLogContact(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		go every(t.Context(), 500*time.Millisecond, n.peers.RecordLogContact)
	}
}

// replaceIn lets some nodes know that all engines have the second version.
func (f *partsFleet) replaceIn(nodes func(n *fleetNode) bool) {
	f.loadSecondVersion(nodes, func(string) bool { return true })
}

// replaceLater is replaceIn, and all other nodes know it after the lag.
func (f *partsFleet) replaceLater(first func(n *fleetNode) bool, lag time.Duration) {
	f.replaceIn(first)
	f.wait(lag)
	f.replaceIn(func(*fleetNode) bool { return true })
}

// TestLongSeparation guards against parts that are freed while they are fetched for a node with contact
// to a hub, if neither of them has contact to those that free parts. All nodes are in contact
// with the log and the stores.
func TestLongSeparation(t *testing.T) {
	t.Parallel()
	for _, cutFor := range few(19, []time.Duration{65 * time.Second, 10 * time.Second}) {
		for _, lag := range []time.Duration{3500 * time.Millisecond, inForceBound} {
			name := "cut for " + cutFor.String() + ", others learn " + lag.String() + " later"
			runLostMember(t, "halves, "+name, 19, 3, func(t *testing.T, f *partsFleet, member *fleetNode) {
				t.Helper()
				f.keepLogContact(t)
				apart := func(n *fleetNode) bool { return n.domain == "d0" }
				f.setCut(func(a, b *fleetNode) bool { return apart(a) != apart(b) })
				f.wait(cutFor)
				f.replaceLater(apart, lag)
			})
			runLostMember(t, "home in contact with its members only, "+name, 19, 3, func(t *testing.T, f *partsFleet, member *fleetNode) {
				t.Helper()
				f.keepLogContact(t)
				home := f.byIP[member.peers.Home().Addr()]
				apart := map[*fleetNode]bool{}
				for _, n := range f.nodes {
					apart[n] = n == home || n.peers.Home() == home.address
				}
				f.setCut(func(a, b *fleetNode) bool { return apart[a] != apart[b] })
				f.wait(cutFor)
				f.replaceLater(func(n *fleetNode) bool { return !apart[n] }, lag)
			})
			runLostMember(t, "node that frees parts is alone, "+name, 7, 3, func(t *testing.T, f *partsFleet, member *fleetNode) {
				t.Helper()
				f.keepLogContact(t)
				alone := f.nodes[0]
				f.setCut(func(a, b *fleetNode) bool { return a == alone || b == alone })
				f.wait(cutFor)
				f.replaceLater(func(n *fleetNode) bool { return n == alone }, lag)
			})
		}
	}
}

// TestHalfWithoutLog guards against parts that are freed while they are fetched for nodes that hear
// each other, and neither those that free parts nor the log.
func TestHalfWithoutLog(t *testing.T) {
	t.Parallel()
	runLostMember(t, "cut for 30 s", 19, 3, func(t *testing.T, f *partsFleet, _ *fleetNode) {
		t.Helper()
		apart := func(n *fleetNode) bool { return n.domain == "d0" }
		f.setCut(func(a, b *fleetNode) bool { return apart(a) != apart(b) })
		f.wait(10 * time.Second)
		f.replaceIn(apart)
		f.wait(20 * time.Second)
		f.setCut(func(*fleetNode, *fleetNode) bool { return false })
	})
}

// TestSlowNodes guards against parts that are freed while they are fetched for a member that learns
// late of the new version, as messages of nodes take long or arrive rarely.
func TestSlowNodes(t *testing.T) {
	t.Parallel()
	run := func(name string, delay time.Duration, isSlow func(f *partsFleet, n, member *fleetNode) bool) {
		runLostMember(t, name, 19, 3, func(t *testing.T, f *partsFleet, member *fleetNode) {
			t.Helper()
			f.keepLogContact(t)
			slow := map[*fleetNode]bool{}
			for _, n := range f.nodes {
				slow[n] = isSlow(f, n, member)
			}
			f.mu.Lock()
			f.lag = func(n *fleetNode) time.Duration {
				if slow[n] {
					return delay
				}
				return 0
			}
			f.mu.Unlock()
			f.wait(300 * time.Millisecond)
			f.replaceLater(func(n *fleetNode) bool { return n != member }, inForceBound)
		})
	}
	run("home", 4*time.Second, func(f *partsFleet, n, member *fleetNode) bool { return n == f.byIP[member.peers.Home().Addr()] })
	run("member", 4*time.Second, func(_ *partsFleet, n, member *fleetNode) bool { return n == member })
	run("all nodes", 2500*time.Millisecond, func(*partsFleet, *fleetNode, *fleetNode) bool { return true })
	runLostMember(t, "heartbeats of 300 ms in each 2.5 s arrive", 19, 3, func(t *testing.T, f *partsFleet, member *fleetNode) {
		t.Helper()
		f.keepLogContact(t)
		start := time.Now()
		f.setCut(func(a, b *fleetNode) bool {
			return (a == member || b == member) && time.Since(start)%(2500*time.Millisecond) < 2200*time.Millisecond
		})
		f.wait(time.Second)
		f.replaceLater(func(n *fleetNode) bool { return n != member }, inForceBound)
		f.wait(20 * time.Second)
		f.setCut(func(*fleetNode, *fleetNode) bool { return false })
	})
}

// TestModelFirstSeenLate guards against a node without contact to others that gives up older
// versions of a model as soon as it first sees the model.
func TestModelFirstSeenLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t)
		peers := newPeers(t, node, &standinStateClient{})
		peers.Uptime = simulatedUptime
		go peers.Run(t.Context())
		hub := heartbeat(1)
		hub.Sender.Hub = true
		peers.HandleHeartbeat(hub)
		time.Sleep(10 * time.Second)
		node.PutEndpoint(engine("a", 2))
		time.Sleep(time.Second)
		assert.False(t, peers.Acknowledged("m", 2))
	})
}

// TestOlderBuildLostEarly guards against parts that are freed while requests of an older build run,
// which was lost before this node had first looked.
func TestOlderBuildLostEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers(t, newNode(t), &standinStateClient{})
		peers.Uptime = simulatedUptime
		go peers.Run(t.Context())
		older := heartbeat(1)
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			older.Sender.Sequence++
			peers.HandleHeartbeat(older)
		}
		// A Cleaner first calls FreeDelay 8 s after the start.
		time.Sleep(6 * time.Second)
		assertFreeDelay(t, peers, 15*time.Second+900*time.Millisecond)
	})
}

// TestSettlesDespiteStandstills guards against a node whose short standstills make it announce a
// replaced version for good, so that no node frees its parts.
func TestSettlesDespiteStandstills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t, engine("a", 1))
		peers, gossip := newPeers(t, node, &standinStateClient{}), &retainedGossip{last: map[bool]int64{}}
		var stood atomic.Int64
		peers.Uptime = func() (time.Duration, bool) {
			uptime, ok := simulatedUptime()
			return uptime + time.Duration(stood.Load()), ok
		}
		peers.Gossip = gossip
		go peers.Run(t.Context())
		go every(t.Context(), 6*time.Second, func() { stood.Add(int64(700 * time.Millisecond)) })
		hub := heartbeat(1)
		hub.Sender.Hub = true
		go every(t.Context(), 500*time.Millisecond, func() {
			hub.Sender.Sequence++
			peers.HandleHeartbeat(hub)
		})
		time.Sleep(time.Second)
		node.UpdateWeights(engine("a", 1), "m", 2)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		gossip.mu.Lock()
		defer gossip.mu.Unlock()
		assert.EqualValues(t, 2, gossip.last[false], "what hubs get")
	})
}

// TestRetainedLoggedOnce guards against a log line for each heartbeat while several members lag
// behind.
func TestRetainedLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		node := newNode(t, engine("a", 2))
		peers := newPeers(t, node, &standinStateClient{})
		peers.Uptime, peers.Log = simulatedUptime, zerolog.New(&lines)
		members := make([]packer.Message, 8)
		for i := range members {
			members[i] = heartbeat(1, peertracker.Change{Endpoint: 1, Model: balancer.IDHash("m"), Version: 1})
			members[i].Sender.Name, members[i].Sender.Homed = string(rune('a'+i)), true
			members[i].Sender.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(10 + i)}), 80)
		}
		hub := heartbeat(1)
		hub.Sender.Hub = true
		ctx := t.Context()
		go peers.Run(ctx)
		for range 40 {
			for i := range members {
				members[i].Sender.Sequence++
				peers.HandleHeartbeat(members[i])
			}
			hub.Sender.Sequence++
			peers.HandleHeartbeat(hub)
			time.Sleep(250 * time.Millisecond)
		}
		synctest.Wait()
		assert.LessOrEqual(t, bytes.Count(lines.Bytes(), []byte(`"retained version"`)), len(members)+1)
	})
}
