package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/leaser"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/upgrader"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

var store = netip.MustParseAddrPort("10.0.9.1:80")

func engine(id string, version int64) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{ID: id, Service: "llm", Domain: "d1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Weights: map[string]int64{"m": version}}
}

func catalog(version int64) *cataloger.Catalog {
	services := []cataloger.Service{
		{Name: "llm", Engine: &cataloger.Engine{}},
		{Name: "store", Store: &cataloger.Store{Address: store, Capacity: 1000}},
	}
	return cataloger.New(version, nil, services, nil, cataloger.Limits{})
}

// host is the clock of the host of a node: the fake time of its test, and how long the host
// was suspended.
type host struct {
	booted    time.Time
	suspended atomic.Int64
}

func newHost() *host { return &host{booted: time.Now().Add(-time.Hour)} }

func (h *host) suspend(d time.Duration) { h.suspended.Add(int64(d)) }

func (h *host) uptime() (time.Duration, bool) {
	return time.Since(h.booted) + time.Duration(h.suspended.Load()), true
}

// newNode returns a running node with engines.
func newNode(t *testing.T, endpoints ...endpointtracker.Endpoint) *relayer.Relayer {
	t.Helper()
	return newNodeOn(t, newHost(), endpoints...)
}

// newNodeOn is newNode on a given host.
func newNodeOn(t *testing.T, host *host, endpoints ...endpointtracker.Endpoint) *relayer.Relayer {
	t.Helper()
	node := startNode(t, host)
	node.Configure(catalog(1), "test")
	listEndpoints(node, endpoints...)
	synctest.Wait()
	return node
}

// startNode runs a node that knows nothing yet.
func startNode(t *testing.T, host *host) *relayer.Relayer {
	t.Helper()
	node := relayer.New(zerolog.Nop(), time.Now)
	node.Uptime = host.uptime
	node.OnLoaded, node.RecordLoading = func(string) {}, func(string) {}
	node.OnTargetChange, node.OnWeightsUpdate = func() {}, func(endpointtracker.Endpoint, string, int64) {}
	node.OnLeaving = func(endpointtracker.Endpoint) {}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go node.Run(ctx)
	return node
}

// listEndpoints gives a node a full listing of the directory of endpoints.
func listEndpoints(node *relayer.Relayer, endpoints ...endpointtracker.Endpoint) {
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		node.PutEndpoint(endpoint)
		listed[endpoint.ID] = true
	}
	node.RemoveUnlistedEndpoints(listed, time.Time{})
}

func assertVersion(t *testing.T, node *relayer.Relayer, want int64) {
	t.Helper()
	synctest.Wait()
	assert.Equal(t, want, node.View().Catalog.Version)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t)
		node.Configure(catalog(5), "log")
		node.Configure(catalog(3), "peer")
		assertVersion(t, node, 5)
	})
}

// staleConfigurations applies versions in order, alternately from the log and from a
// peer, and returns each case in which the active version is not the newest one
// applied so far. configure applies a version and returns the one then active.
func staleConfigurations(versions []int64, configure func(version int64, source string) int64) []string {
	var violations []string
	newest := int64(1)
	for i, version := range versions {
		newest = max(newest, version)
		if got := configure(version, []string{"log", "peer"}[i%2]); got != newest {
			violations = append(violations, fmt.Sprintf("%d active after %v", got, versions[:i+1]))
		}
	}
	return violations
}

// TestNewestConfigurationIsActive applies versions from the log and from peers in any order.
// After each of them the newest version so far must be active.
func TestNewestConfigurationIsActive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		versions := rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(rt, "versions")
		synctest.Test(t, func(t *testing.T) {
			node := newNode(t)
			assert.Empty(t, staleConfigurations(versions, func(version int64, source string) int64 {
				node.Configure(catalog(version), source)
				synctest.Wait()
				return node.View().Catalog.Version
			}))
		})
	})
}

func TestNewestConfigurationCheckerDetectsFaults(t *testing.T) {
	run := func(name string, broken func(current, version int64, source string) int64) {
		t.Run(name, func(t *testing.T) {
			current := int64(1)
			assert.NotEmpty(t, staleConfigurations([]int64{5, 3, 2, 9}, func(version int64, source string) int64 {
				current = broken(current, version, source)
				return current
			}))
		})
	}
	run("applies the last version", func(_, version int64, _ string) int64 { return version })
	run("ignores peers", func(current, version int64, source string) int64 {
		if source == "peer" {
			return current
		}
		return max(current, version)
	})
	run("keeps the first version", func(current, version int64, _ string) int64 {
		if current == 1 {
			return version
		}
		return current
	})
}

func TestRetainedVersions(t *testing.T) {
	assertRetained := func(t *testing.T, want int64, versions ...int64) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			var endpoints []endpointtracker.Endpoint
			for i, version := range versions {
				endpoints = append(endpoints, engine(string(rune('a'+i)), version))
			}
			assert.Equal(t, want, newNode(t, endpoints...).View().OldestRetained["m"])
		})
	}
	t.Run("old version while half of the engines have it", func(t *testing.T) { assertRetained(t, 1, 1, 1, 2, 2) })
	t.Run("new version once more than half have it", func(t *testing.T) { assertRetained(t, 2, 1, 2, 2) })
}

// gossipRecorder records the addresses that heartbeats were sent to.
type gossipRecorder struct {
	mu   sync.Mutex
	sent map[netip.AddrPort]bool
}

// Send implements relayer.Gossip.
func (g *gossipRecorder) Send(to []netip.AddrPort, _ packer.Message) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range to {
		g.sent[address] = true
	}
	return nil
}

func (g *gossipRecorder) peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sent)
}

// standinStateClient stands in for the peers' configuration calls and counts
// them.
type standinStateClient struct {
	calls atomic.Int64
	// err is returned by all calls; nil if they succeed.
	err error
}

// OperatorState implements relayer.OperatorStateClient.
func (s *standinStateClient) OperatorState(context.Context, netip.AddrPort, int64) (messenger.OperatorState, error) {
	s.calls.Add(1)
	return messenger.OperatorState{Version: 9, Weights: map[string]int64{"m": 4}}, s.err
}

func newPeers(t *testing.T, node *relayer.Relayer, client *standinStateClient) *relayer.Peers {
	t.Helper()
	return &relayer.Peers{
		Name: "n1", Domain: "d1", Address: netip.MustParseAddrPort("10.0.1.1:80"), GossipPort: 7000,
		Gossip: &gossipRecorder{sent: map[netip.AddrPort]bool{}}, Client: client, Node: node,
		Balancer: &balancer.Balancer{}, Suspects: &retrier.Suspects{Node: "n1", Expiry: time.Hour},
		HandleParts:        func(netip.AddrPort, peertracker.PartUpdates) {},
		ApplyOperatorState: func(state messenger.OperatorState) { node.Configure(catalog(state.Version), "peer") },
		Log:                zerolog.Nop(), Now: time.Now, Stopping: &atomic.Bool{},
	}
}

func heartbeat(sequence uint64, changes ...peertracker.Change) packer.Message {
	return packer.Message{Sender: peertracker.Heartbeat{
		Name: "n2", Domain: "d1", Address: netip.MustParseAddrPort("10.0.1.2:80"), Sequence: sequence, Changes: changes,
	}}
}

// TestIsBehind guards against nodes that take an older configuration for the newest one, and against
// those that count on a peer that is gone.
func TestIsBehind(t *testing.T) {
	run := func(name string, applied uint64, check func(t *testing.T, peers *relayer.Peers, node *relayer.Relayer)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newNode(t)
				peers := newPeers(t, node, &standinStateClient{err: context.DeadlineExceeded})
				node.Configure(catalog(7), "log")
				synctest.Wait()
				message := heartbeat(1)
				message.Sender.Applied = applied
				peers.HandleHeartbeat(message)
				check(t, peers, node)
				// The call to the peer ends.
				time.Sleep(time.Second)
			})
		})
	}
	assertBehind := func(want bool) func(*testing.T, *relayer.Peers, *relayer.Relayer) {
		return func(t *testing.T, peers *relayer.Peers, _ *relayer.Relayer) { assert.Equal(t, want, peers.IsBehind()) }
	}
	run("a peer has a newer version", 8, assertBehind(true))
	run("a peer has the same version", 7, assertBehind(false))
	run("a peer has an older version", 6, assertBehind(false))
	run("the version arrives", 8, func(t *testing.T, peers *relayer.Peers, node *relayer.Relayer) {
		node.Configure(catalog(8), "log")
		synctest.Wait()
		assert.False(t, peers.IsBehind())
	})
	run("the peer is gone", 8, func(t *testing.T, peers *relayer.Peers, _ *relayer.Relayer) {
		time.Sleep(2 * time.Second)
		assert.False(t, peers.IsBehind())
	})
}

func TestPeers(t *testing.T) {
	t.Run("a peer's newer configuration is fetched", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			node, client := newNode(t), &standinStateClient{}
			message := heartbeat(1)
			message.Sender.Applied = 9
			newPeers(t, node, client).HandleHeartbeat(message)
			time.Sleep(time.Second)
			assertVersion(t, node, 9)
		})
	})
	t.Run("a peer without configuration is not asked", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			node, client := newNode(t), &standinStateClient{}
			newPeers(t, node, client).HandleHeartbeat(heartbeat(1))
			synctest.Wait()
			assert.Zero(t, client.calls.Load())
		})
	})
	t.Run("a newer target version is fetched", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			client := &standinStateClient{}
			newPeers(t, newNode(t), client).HandleHeartbeat(heartbeat(1, peertracker.Change{Model: balancer.IDHash("m"), Version: 4}))
			time.Sleep(time.Second)
			synctest.Wait()
			assert.EqualValues(t, 1, client.calls.Load())
		})
	})
	t.Run("an announced change of an endpoint's weights is applied", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			node := newNode(t, engine("a", 1))
			peers := newPeers(t, node, &standinStateClient{})
			peers.HandleHeartbeat(heartbeat(1, peertracker.Change{Endpoint: balancer.IDHash("a"), Model: balancer.IDHash("m"), Version: 2}))
			synctest.Wait()
			assert.EqualValues(t, 2, node.View().Endpoints["llm"][0].Weights["m"])
		})
	})
	t.Run("reordered heartbeats are ignored", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			node, client := newNode(t), &standinStateClient{}
			peers := newPeers(t, node, client)
			peers.HandleHeartbeat(heartbeat(5))
			message := heartbeat(4)
			message.Sender.Applied = 9
			peers.HandleHeartbeat(message)
			time.Sleep(time.Second)
			assertVersion(t, node, 1)
		})
	})
	t.Run("a restarted peer whose clock was set back is accepted after the timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			node := newNode(t)
			peers := newPeers(t, node, &standinStateClient{})
			before, after := heartbeat(5), heartbeat(1)
			before.Sender.Incarnation, after.Sender.Incarnation = 2, 1
			after.Sender.Applied = 9
			peers.HandleHeartbeat(before)
			peers.HandleHeartbeat(after)
			time.Sleep(time.Second)
			assertVersion(t, node, 1)
			time.Sleep(3 * time.Second)
			after.Sender.Sequence++
			peers.HandleHeartbeat(after)
			time.Sleep(time.Second)
			assertVersion(t, node, 9)
		})
	})
	t.Run("all nodes ever seen count for shared budgets", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			peers := newPeers(t, newNode(t), &standinStateClient{})
			assert.Equal(t, 1, peers.Count())
			peers.HandleHeartbeat(heartbeat(1))
			peers.AddPeer(netip.MustParseAddrPort("10.0.1.3:80"), "d2", 1)
			time.Sleep(time.Hour)
			assert.Equal(t, 3, peers.Count())
		})
	})
}

// sentHeartbeats keeps the heartbeats sent.
type sentHeartbeats struct{ messages []packer.Message }

// Send implements relayer.Gossip.
func (s *sentHeartbeats) Send(_ []netip.AddrPort, message packer.Message) error {
	s.messages = append(s.messages, message)
	return nil
}

// TestHeartbeatFitsDatagram checks heartbeats with load on hundreds of endpoints, many
// models and many announced changes: each datagram keeps to the size limit, and together
// they hold all loads and changes.
func TestHeartbeatFitsDatagram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t, engine("a", 1))
		for i := range 30 {
			node.SetTargetVersion(fmt.Sprintf("model-%d", i), 2, true)
		}
		peers := newPeers(t, node, &standinStateClient{})
		sent := &sentHeartbeats{}
		peers.Gossip = sent
		for i := range 300 {
			endpoint := engine(fmt.Sprintf("e%d", i), 1)
			_, ok := peers.Balancer.Pick(time.Now(), balancer.Request{Endpoints: []endpointtracker.Endpoint{endpoint}, Tokens: 100_000 + i})
			require.True(t, ok)
		}
		message := heartbeat(1)
		message.Sender.Hub = true
		peers.HandleHeartbeat(message)
		for i := range 60 {
			peers.Announce(engine(fmt.Sprintf("e%d", i), 1), "m", 2)
		}
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		loads, changes := map[uint32]bool{}, map[uint32]bool{}
		last := uint32(0)
		for _, message := range sent.messages {
			_, err := packer.Packer{}.Pack(message)
			assert.NoError(t, err)
			for _, change := range message.Sender.Changes {
				changes[change.Endpoint] = true
			}
			if message.Sender.Loads == nil {
				continue
			}
			if last > 0 {
				assert.Equal(t, last+1, message.Sender.Loads.First, "ranges follow each other")
			}
			last = message.Sender.Loads.Last
			for _, load := range message.Sender.Loads.Loads {
				loads[load.Endpoint] = true
			}
		}
		assert.Len(t, loads, 300)
		for i := range 60 {
			assert.True(t, changes[balancer.IDHash(fmt.Sprintf("e%d", i))], "change of e%d", i)
		}
	})
}

// partLog records the holders that events were read from.
type partLog struct {
	mu       sync.Mutex
	followed map[netip.AddrPort]bool
}

// List implements relayer.PartLog.
func (p *partLog) List(context.Context, netip.AddrPort) (relayer.Listing, error) {
	return relayer.Listing{}, nil
}

// Changes implements relayer.PartLog.
func (p *partLog) Changes(ctx context.Context, holder netip.AddrPort, _ int64, _ time.Duration) (relayer.PartChanges, error) {
	p.mu.Lock()
	p.followed[holder] = true
	p.mu.Unlock()
	<-ctx.Done()
	return relayer.PartChanges{}, ctx.Err()
}

// TestFollowersPerHolder counts the nodes that follow a holder of parts: all nodes at
// first, at most ten with many nodes.
func TestFollowersPerHolder(t *testing.T) {
	followers := func(t *testing.T, nodes int) int {
		t.Helper()
		n := 0
		synctest.Test(t, func(t *testing.T) {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprintf("n%d", i))
			}
			view := newNode(t).View()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for _, name := range names {
				log := &partLog{followed: map[netip.AddrPort]bool{}}
				follower := &relayer.PartFollower{
					Log: log, Locator: locator.New(), Self: name, Logger: zerolog.Nop(),
					Hubs: func() []string { return names }, FollowsEngines: func() bool { return true },
				}
				follower.Follow(ctx, view)
				time.Sleep(time.Second)
				synctest.Wait()
				log.mu.Lock()
				n += len(log.followed)
				log.mu.Unlock()
			}
		})
		return n
	}
	assert.Equal(t, 7, followers(t, 7))
	assert.Equal(t, 10, followers(t, 60))
}

// settleBound is the time in which other nodes adopt a retained version, 3 s, and the longest fetch,
// 5 s.
const settleBound = 8 * time.Second

// acknowledgements runs Peers of a node that retains the second version.
type acknowledgements struct {
	peers    *relayer.Peers
	sequence uint64
}

func newAcknowledgements(t *testing.T) *acknowledgements {
	t.Helper()
	node := newNode(t, engine("a", 1))
	a := &acknowledgements{peers: newPeers(t, node, &standinStateClient{})}
	a.peers.Uptime = simulatedUptime
	go a.peers.Run(t.Context())
	time.Sleep(time.Second)
	node.UpdateWeights(engine("a", 1), "m", 2)
	return a
}

// announce delivers heartbeats of a peer that retains a version for a while.
func (a *acknowledgements) announce(version int64, d time.Duration, changes ...peertracker.Change) {
	// 1 is relayer's retainedMarker.
	changes = append(changes, peertracker.Change{Endpoint: 1, Model: balancer.IDHash("m"), Version: version})
	for range d / (500 * time.Millisecond) {
		a.sequence++
		a.peers.HandleHeartbeat(heartbeat(a.sequence, changes...))
		time.Sleep(500 * time.Millisecond)
	}
}

func TestAcknowledged(t *testing.T) {
	run := func(name string, check func(t *testing.T, a *acknowledgements)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, newAcknowledgements(t)) })
		})
	}
	run("false while a peer fetches older parts", func(t *testing.T, a *acknowledgements) {
		a.announce(1, settleBound+time.Second)
		assert.False(t, a.peers.Acknowledged("m", 2))
		a.announce(2, 500*time.Millisecond)
		assert.True(t, a.peers.Acknowledged("m", 2))
	})
	run("an earlier heartbeat that made the node fetch records does not count again", func(t *testing.T, a *acknowledgements) {
		a.announce(2, settleBound+time.Second)
		a.announce(2, 500*time.Millisecond, peertracker.Change{Model: balancer.IDHash("m"), Version: 4})
		a.announce(1, 500*time.Millisecond)
		time.Sleep(time.Second)
		assert.False(t, a.peers.Acknowledged("m", 2))
	})
	run("a lost peer counts until its timeout", func(t *testing.T, a *acknowledgements) {
		a.announce(2, settleBound+time.Second)
		a.announce(1, 500*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		assert.False(t, a.peers.Acknowledged("m", 2))
		time.Sleep(2 * time.Second)
		assert.True(t, a.peers.Acknowledged("m", 2))
	})
	run("false until all nodes have adopted the version and their fetches have ended", func(t *testing.T, a *acknowledgements) {
		a.announce(2, settleBound-500*time.Millisecond)
		assert.False(t, a.peers.Acknowledged("m", 2))
		a.announce(2, time.Second)
		assert.True(t, a.peers.Acknowledged("m", 2))
	})
	run("time without contact does not count", func(t *testing.T, a *acknowledgements) {
		a.announce(2, 2*time.Second)
		time.Sleep(settleBound)
		a.announce(2, 2*time.Second)
		assert.False(t, a.peers.Acknowledged("m", 2))
	})
}

// freedParts records the freed parts.
type freedParts struct{ freed []locator.Key }

// Free implements relayer.PartFreer.
func (p *freedParts) Free(_ context.Context, _ netip.AddrPort, keys []locator.Key) error {
	p.freed = append(p.freed, keys...)
	return nil
}

// agreement stands in for the other nodes. It implements relayer.Agreement.
type agreement struct {
	acknowledged func() bool
	// lastJoin is a time in Unix nanoseconds; zero for none.
	lastJoin atomic.Int64
	delay    time.Duration
	// otherConfiguration is set if not all nodes have the same configuration.
	otherConfiguration bool
}

// Acknowledged implements relayer.Agreement.
func (a *agreement) Acknowledged(string, int64) bool { return a.acknowledged() }

// LastJoin implements relayer.Agreement.
func (a *agreement) LastJoin() time.Time {
	if at := a.lastJoin.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// SameConfiguration implements relayer.Agreement.
func (a *agreement) SameConfiguration(int64) bool { return !a.otherConfiguration }

// FreeDelay implements relayer.Agreement.
func (a *agreement) FreeDelay(*cataloger.Catalog) time.Duration { return a.delay }

// freedAfter runs a cleaner of a site on which no team is isolated, and returns which parts it
// has freed of one with a salt.
func freedAfter(t *testing.T, agreement *agreement, salt string, after time.Duration) []locator.Key {
	t.Helper()
	l, p := locator.New(), &freedParts{}
	l.Reset(store, map[locator.Key]int{{Salt: salt, Part: "a"}: 10}, 0)
	cleaner := &relayer.Cleaner{
		Node: newNode(t, engine("a", 2)), Locator: l, Parts: p, Self: "n1", Hubs: func() []string { return []string{"n1"} },
		Agreement: agreement, Logger: zerolog.Nop(), Now: time.Now,
	}
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	cleaner.Run(ctx)
	return p.freed
}

// TestUnusedScopes guards against stores that fill up with parts which no team uses any more
// since the set of isolated teams has changed, and against freeing them too early.
func TestUnusedScopes(t *testing.T) {
	run := func(name string, check func(t *testing.T, agreed *agreement)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, &agreement{acknowledged: func() bool { return true }}) })
		})
	}
	unused := placer.Salt(placer.SharedScope([]string{"t"}), "m", 2)
	run("parts are freed after a while", func(t *testing.T, agreed *agreement) {
		assert.Len(t, freedAfter(t, agreed, unused, 70*time.Second), 1)
	})
	run("parts are kept until the configuration is in force at all nodes", func(t *testing.T, agreed *agreement) {
		assert.Empty(t, freedAfter(t, agreed, unused, 50*time.Second))
	})
	run("parts are kept while a node has another configuration or shares by other rules", func(t *testing.T, agreed *agreement) {
		agreed.otherConfiguration = true
		assert.Empty(t, freedAfter(t, agreed, unused, 5*time.Minute))
	})
	run("parts of the scope in use are kept", func(t *testing.T, agreed *agreement) {
		assert.Empty(t, freedAfter(t, agreed, placer.Salt("", "m", 2), 5*time.Minute))
	})
}

func TestCleaner(t *testing.T) {
	runWith := func(t *testing.T, agreement *agreement, check func(t *testing.T, freed []locator.Key)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			old := locator.Key{Salt: placer.Salt("", "m", 1), Part: "a"}
			current := locator.Key{Salt: placer.Salt("", "m", 2), Part: "a"}
			l, p := locator.New(), &freedParts{}
			l.Reset(store, map[locator.Key]int{old: 10, current: 10}, 0)
			cleaner := &relayer.Cleaner{
				Node: newNode(t, engine("a", 2)), Locator: l, Parts: p, Self: "n1", Hubs: func() []string { return []string{"n1"} },
				Agreement: agreement, Logger: zerolog.Nop(), Now: time.Now,
			}
			// A cleaner frees nothing in the first five seconds.
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			cleaner.Run(ctx)
			check(t, p.freed)
		})
	}
	run := func(t *testing.T, acknowledged bool, check func(t *testing.T, freed []locator.Key)) {
		t.Helper()
		runWith(t, &agreement{acknowledged: func() bool { return acknowledged }}, check)
	}
	t.Run("frees parts of versions that no node fetches", func(t *testing.T) {
		run(t, true, func(t *testing.T, freed []locator.Key) {
			assert.Equal(t, []locator.Key{{Salt: placer.Salt("", "m", 1), Part: "a"}}, freed)
		})
	})
	t.Run("keeps parts that a node may still fetch", func(t *testing.T) {
		run(t, false, func(t *testing.T, freed []locator.Key) { assert.Empty(t, freed) })
	})
	t.Run("keeps parts for as long as fetches may run", func(t *testing.T) {
		runWith(t, &agreement{acknowledged: func() bool { return true }, delay: time.Minute}, func(t *testing.T, freed []locator.Key) { assert.Empty(t, freed) })
	})
	t.Run("keeps parts of salts that another build writes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assert.Empty(t, freedAfter(t, &agreement{acknowledged: func() bool { return true }}, "a/new/form/1", time.Minute))
		})
	})
	t.Run("an agreement ends when a node appears that lags behind", func(t *testing.T) {
		var began time.Time
		lags := func() bool {
			if began.IsZero() {
				began = time.Now()
			}
			after := time.Since(began)
			return after >= 4*time.Second && after < 6*time.Second
		}
		agreement := &agreement{acknowledged: func() bool { return !lags() }, delay: 5 * time.Second}
		runWith(t, agreement, func(t *testing.T, freed []locator.Key) { assert.Empty(t, freed) })
	})
	t.Run("an agreement does not hold for a node that has just joined", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			agreement := &agreement{acknowledged: func() bool { return true }, delay: 7 * time.Second}
			time.AfterFunc(4*time.Second, func() { agreement.lastJoin.Store(time.Now().UnixNano()) })
			assert.Empty(t, freedAfter(t, agreement, placer.Salt("", "m", 1), 10*time.Second))
		})
	})
}

// claimLog is an in-memory claim log.
type claimLog struct {
	claims []leaser.Claim
	// first is the oldest offset that was not dropped.
	first int64
}

// Claims implements relayer.ClaimLog.
func (c *claimLog) Claims(_ context.Context, from relayer.Position, wait time.Duration) ([]leaser.Claim, relayer.Position, error) {
	if from.Offset < c.first {
		return nil, relayer.Position{Offset: c.first}, relayer.ErrDropped
	}
	end := relayer.Position{Offset: int64(len(c.claims))}
	if from == end {
		time.Sleep(wait)
	}
	return append([]leaser.Claim{}, c.claims[from.Offset:]...), end, nil
}

// Claim implements relayer.ClaimLog.
func (c *claimLog) Claim(_ context.Context, at relayer.Position, holder string) (relayer.Position, error) {
	if at.Offset != int64(len(c.claims)) {
		return relayer.Position{}, relayer.ErrConflict
	}
	c.claims = append(c.claims, leaser.Claim{Offset: at.Offset, Holder: holder})
	return at, nil
}

// engines stands in for engines that load weights. maxLoading is the most that were
// loading at the same time.
type engines struct {
	loadTime   time.Duration
	readyAt    map[string]time.Time
	orders     []string
	tokens     []int64
	maxLoading int
	outcome    relayer.Outcome
}

func (e *engines) loadingCount() int {
	n := 0
	for _, at := range e.readyAt {
		if time.Now().Before(at) {
			n++
		}
	}
	return n
}

// Report implements relayer.Endpoints.
func (e *engines) Report(_ context.Context, endpoint endpointtracker.Endpoint) (upgrader.Report, error) {
	at, ordered := e.readyAt[endpoint.ID]
	report := upgrader.Report{Weights: map[string]int64{"m": 1}}
	if ordered && !time.Now().Before(at) {
		report.Weights["m"], report.Sequence = 2, 1
	}
	report.Busy = ordered && time.Now().Before(at)
	return report, nil
}

// OrderWeights implements relayer.Endpoints.
func (e *engines) OrderWeights(_ context.Context, order upgrader.Order, _ string, token int64) relayer.Outcome {
	e.orders = append(e.orders, order.Endpoint.ID)
	e.tokens = append(e.tokens, token)
	e.readyAt[order.Endpoint.ID] = time.Now().Add(e.loadTime)
	e.maxLoading = max(e.maxLoading, e.loadingCount())
	return e.outcome
}

func TestRollout(t *testing.T) {
	if _, ok := relayer.SinceBoot(); !ok {
		t.Fatal("host has no clock that counts suspended time")
	}
	// The lease reads the host's boot-time clock, which synctest does not control, so
	// this test runs in real time.
	node := relayer.New(zerolog.Nop(), time.Now)
	node.OnLoaded, node.RecordLoading = func(string) {}, func(string) {}
	node.OnTargetChange, node.OnWeightsUpdate = func() {}, func(endpointtracker.Endpoint, string, int64) {}
	node.OnLeaving = func(endpointtracker.Endpoint) {}
	go node.Run(t.Context())
	node.Configure(catalog(1), "test")
	listEndpoints(node, engine("a", 1), engine("b", 1), engine("c", 1))
	// The log has dropped the oldest claim.
	log := &claimLog{claims: []leaser.Claim{{Offset: 0, Holder: "gone"}, {Offset: 1, Holder: "n1"}}, first: 1}
	standin := &engines{loadTime: 200 * time.Millisecond, readyAt: map[string]time.Time{}}
	rollout := &relayer.Rollout{
		Node: node, Log: log, Endpoints: standin, Self: "n1", Active: func() bool { return true }, HandoverDelay: time.Second, Logger: zerolog.Nop(),
		AnnounceLoading: func(endpointtracker.Endpoint) {}, OnLoaded: func(endpointtracker.Endpoint, string, int64) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		rollout.Run(ctx)
		close(done)
	}()
	node.SetTargetVersion("m", 2, true)
	assert.Eventually(t, func() bool {
		view := node.View()
		for _, endpoint := range view.Endpoints["llm"] {
			if endpoint.Weights["m"] != 2 {
				return false
			}
		}
		return len(view.Endpoints["llm"]) == 3
	}, 20*time.Second, 20*time.Millisecond)
	cancel()
	<-done
	assert.ElementsMatch(t, []string{"a", "b", "c"}, standin.orders)
	assert.LessOrEqual(t, standin.maxLoading, 2)
	assert.IsNonDecreasing(t, standin.tokens)
}
