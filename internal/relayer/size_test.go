package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	largeHosts = 3
	// linkDelay is the one-way delay of simulated links, and membershipBound the time
	// within which all nodes must agree on who is live.
	linkDelay       = 500 * time.Microsecond
	membershipBound = 3 * time.Second
)

// fleet is a site with many nodes in one process, connected by simulated links.
type fleet struct {
	nodes   []*fleetNode
	domains int
	byIP    map[netip.Addr]*fleetNode
	// cut reports whether datagrams from a to b are lost.
	cut func(a, b *fleetNode) bool
	// lag returns how much longer a node's messages and answers take; nil for none.
	lag func(n *fleetNode) time.Duration
	mu  sync.Mutex
}

// link returns the node at an address and the delay of a message to it, or false if messages
// do not arrive.
func (f *fleet) link(from *fleetNode, to netip.AddrPort) (*fleetNode, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target, ok := f.byIP[to.Addr()]
	if !ok || f.cut(from, target) {
		return nil, 0, false
	}
	delay := linkDelay
	if f.lag != nil {
		delay += f.lag(from)
	}
	return target, delay, true
}

// roundTrip waits for the time that a call to a peer takes. It fails when ctx ends if the call
// or its answer is lost.
func (f *fleet) roundTrip(ctx context.Context, from *fleetNode, to netip.AddrPort) (*fleetNode, error) {
	target, delay, ok := f.link(from, to)
	if ok {
		if err := retrier.Sleep(ctx, delay); err != nil {
			return nil, err
		}
		_, delay, ok = f.link(target, from.peers.Address)
	}
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return target, retrier.Sleep(ctx, delay)
}

// fleetNode is one node of a fleet.
type fleetNode struct {
	fleet    *fleet
	name     string
	domain   string
	address  netip.AddrPort
	large    bool
	peers    *relayer.Peers
	balancer *balancer.Balancer
	limits   *throttler.Limits
	permits  *throttler.Permits
	streams  *resumer.Streams
	replica  *relayer.Replica
	node     *relayer.Relayer
	sent     atomic.Int64
	received atomic.Int64
	lost     atomic.Int64
	tooLarge atomic.Int64
	parts    atomic.Int64
	bytes    atomic.Int64
	// asked counts the calls for permits.
	asked atomic.Int64
	// old is set for a node of a build that does not know of shared hosts.
	old atomic.Bool
	// mute is set for a node that does not tell when it last got data from endpoints.
	mute atomic.Bool
	// stood is the time for which the node stood still, in nanoseconds.
	stood atomic.Int64
}

// Send implements relayer.Gossip.
func (n *fleetNode) Send(to []netip.AddrPort, message packer.Message) error {
	datagram, err := packer.Packer{}.Pack(message)
	if err != nil {
		n.tooLarge.Add(1)
		return err
	}
	for _, address := range to {
		n.sent.Add(1)
		n.bytes.Add(int64(len(datagram)))
		target, delay, ok := n.fleet.link(n, address)
		if !ok {
			continue
		}
		sent := message
		if n.old.Load() || target.old.Load() {
			sent = asOlderBuild(message)
		}
		if n.mute.Load() {
			sent = withoutSilences(message)
		}
		time.AfterFunc(delay, func() {
			target.received.Add(1)
			target.peers.HandleHeartbeat(sent)
		})
	}
	return nil
}

// pacedMarker is relayer's marker for changes that older builds ignore.
const pacedMarker = 8

// asOlderBuild returns what an older build sends or understands of a message.
func asOlderBuild(message packer.Message) packer.Message {
	message.Sender.Changes = slices.DeleteFunc(slices.Clone(message.Sender.Changes), func(change peertracker.Change) bool {
		return change.Endpoint == pacedMarker
	})
	return withoutSilences(message)
}

// withoutSilences returns a message without the times since the last data from endpoints.
func withoutSilences(message packer.Message) packer.Message {
	if message.Sender.Loads == nil {
		return message
	}
	loads := *message.Sender.Loads
	loads.Loads = slices.Clone(loads.Loads)
	for i := range loads.Loads {
		loads.Loads[i].Silent, loads.Loads[i].HasSilent = 0, false
	}
	message.Sender.Loads = &loads
	return message
}

// Permits implements relayer.PermitClient.
func (n *fleetNode) Permits(ctx context.Context, peer netip.AddrPort, request messenger.PermitsRequest) (throttler.Grant, error) {
	n.asked.Add(1)
	target, err := n.fleet.roundTrip(ctx, n, peer)
	if err != nil {
		return throttler.Grant{}, err
	}
	return target.peers.IssuePermits(ctx, request)
}

// Origin implements relayer.OriginClient.
func (n *fleetNode) Origin(ctx context.Context, peer netip.AddrPort, stream uint64, forwarded bool) (resumer.Build, bool, error) {
	target, err := n.fleet.roundTrip(ctx, n, peer)
	if err != nil {
		return resumer.Build{}, false, err
	}
	build, known := target.peers.FindOrigin(ctx, stream, forwarded)
	return build, known, nil
}

// lossCounter counts the log lines that say that a peer was lost.
type lossCounter struct{ n *atomic.Int64 }

// Run implements zerolog.Hook.
func (c lossCounter) Run(e *zerolog.Event, level zerolog.Level, _ string) {
	if level == zerolog.WarnLevel {
		c.n.Add(1)
	}
	e.Discard()
}

// newFleet returns a running fleet with nodes spread evenly over domains, the first
// largeHosts of each domain on large hosts.
func newFleet(t *testing.T, nodes, domains int) *fleet {
	t.Helper()
	f := buildFleet(t, nodes, domains)
	for _, n := range f.nodes {
		n.run(t.Context())
	}
	return f
}

// buildFleet is newFleet for nodes that do not run yet.
func buildFleet(t *testing.T, nodes, domains int) *fleet {
	t.Helper()
	f := &fleet{domains: domains, byIP: map[netip.Addr]*fleetNode{}, cut: func(a, b *fleetNode) bool { return false }}
	perDomain := map[string]int{}
	for i := range nodes {
		domain := fmt.Sprintf("d%d", i%domains)
		n := &fleetNode{fleet: f, name: fmt.Sprintf("n%d", i), domain: domain, large: perDomain[domain] < largeHosts}
		perDomain[domain]++
		f.nodes = append(f.nodes, n)
		n.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(1 + i%250)}), 80)
		f.byIP[n.address.Addr()] = n
		n.build(t, 1)
	}
	return f
}

// build gives a node the state of a process that has just started.
func (n *fleetNode) build(t *testing.T, incarnation uint64) {
	t.Helper()
	n.node, n.balancer, n.limits = newNode(t), &balancer.Balancer{Domain: n.domain}, &throttler.Limits{}
	n.streams = &resumer.Streams{
		Processes: &resumer.Processes{MaxAge: time.Second, Now: time.Now},
		Ask:       func(ctx context.Context, stream uint64) (resumer.Build, bool) { return n.peers.AskOrigin(ctx, stream) },
	}
	n.peers = &relayer.Peers{
		Name: n.name, Domain: n.domain, Address: n.address, GossipPort: 7000, Cores: n.cores(), Bandwidth: n.bandwidth(), Domains: n.fleet.domains, Incarnation: incarnation,
		Gossip: n, Client: &standinStateClient{}, Node: n.node, Balancer: n.balancer,
		Suspects:           &retrier.Suspects{Node: n.name, Expiry: time.Hour},
		PartSuspects:       &retrier.PartSuspects{Node: n.name, Expiry: time.Hour},
		HandleParts:        func(netip.AddrPort, peertracker.PartUpdates) { n.parts.Add(1) },
		ApplyOperatorState: func(messenger.OperatorState) {},
		Limits:             n.limits, Issuer: &throttler.Issuer{Share: func() float64 { return n.peers.IssuerShare() }}, PermitClient: n, Streams: n.streams, OriginClient: n,
		Log: zerolog.New(nil).Hook(lossCounter{&n.lost}), Now: time.Now, Stopping: &atomic.Bool{}, Uptime: n.uptime,
	}
	n.permits = &throttler.Permits{
		Limits: n.limits, Ask: n.peers.AskPermits, OnChange: func() {}, OnError: func(throttler.Process, error) {}, Now: time.Now,
	}
	n.balancer.Permits = n.permits
}

// simulatedUptime is SinceBoot by the simulated clock.
func simulatedUptime() (time.Duration, bool) { return time.Since(time.Unix(0, 0)), true }

// uptime is simulatedUptime of a host on which the node's standstills took no simulated time.
func (n *fleetNode) uptime() (time.Duration, bool) {
	uptime, ok := simulatedUptime()
	return uptime + time.Duration(n.stood.Load()), ok
}

// run runs a node until ctx ends.
func (n *fleetNode) run(ctx context.Context) {
	for _, other := range n.fleet.nodes {
		n.peers.AddPeer(other.address, other.domain, other.cores())
	}
	go n.peers.Run(ctx)
	go n.peers.RunStreams(ctx)
}

// cores returns the share of processors of the node's host.
func (n *fleetNode) cores() float64 {
	if n.large {
		return 0.8
	}
	return 0.2
}

// bandwidth returns that of the link of the node's host, in bytes per second: 200 or 10 Mbit/s.
func (n *fleetNode) bandwidth() float64 {
	if n.large {
		return 25e6
	}
	return 1.25e6
}

func (f *fleet) setCut(cut func(a, b *fleetNode) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fleet) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// assertLive checks that each of the nodes knows how many are live.
func (f *fleet) assertLive(t *testing.T, nodes []*fleetNode, want int) {
	t.Helper()
	wrong := map[int]int{}
	for _, n := range nodes {
		if live := n.peers.Live(); live != want {
			wrong[live]++
		}
	}
	assert.Empty(t, wrong, "nodes by the number of live nodes they see, other than %d", want)
}

func (f *fleet) hubs() []*fleetNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *fleetNode) bool { return !n.peers.IsHub() })
}

// traffic returns the datagrams that each member sends and receives in a second, at most.
func (f *fleet) traffic(members bool) (most int64) {
	for _, n := range f.nodes {
		n.sent.Store(0)
		n.received.Store(0)
	}
	const seconds = 3
	f.wait(seconds * time.Second)
	for _, n := range f.nodes {
		if n.peers.IsHub() != members {
			most = max(most, (n.sent.Load()+n.received.Load())/seconds)
		}
	}
	return most
}

func runFleet(t *testing.T, name string, nodes, domains int, check func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { check(t, newFleet(t, nodes, domains)) })
	})
}

// TestMembershipAtSize runs sites of hundreds of nodes. With heartbeats from each node to
// each other one, nodes of other domains were taken for dead and alive by turns.
func TestMembershipAtSize(t *testing.T) {
	for _, site := range []struct{ nodes, domains int }{{7, 3}, {60, 3}, {195, 5}, {350, 8}} {
		runFleet(t, fmt.Sprintf("%d nodes", site.nodes), site.nodes, site.domains, func(t *testing.T, f *fleet) {
			f.wait(membershipBound)
			f.assertLive(t, f.nodes, site.nodes)
			for _, n := range f.nodes {
				n.lost.Store(0)
			}
			f.wait(4 * time.Second)
			f.assertLive(t, f.nodes, site.nodes)
			for _, n := range f.nodes {
				assert.Zero(t, n.lost.Load(), "%s lost peers although none died", n.name)
				assert.Zero(t, n.tooLarge.Load(), "%s sent a datagram over the limit", n.name)
			}
		})
	}
	t.Run("hubs are on large hosts, and few", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 195, 5)
			f.wait(membershipBound)
			assert.Len(t, f.hubs(), 10)
			for _, hub := range f.hubs() {
				assert.True(t, hub.large, hub.name)
			}
		})
	})
}

// TestHeartbeatsPerNode shows that what a member sends and receives does not grow with the
// number of nodes, and that a hub's grows with the nodes of its domain only.
func TestHeartbeatsPerNode(t *testing.T) {
	traffic := func(nodes, domains int, members bool) (most int64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, nodes, domains)
			f.wait(membershipBound)
			most = f.traffic(members)
		})
		return most
	}
	assert.LessOrEqual(t, traffic(60, 3, true), int64(16))
	assert.LessOrEqual(t, traffic(350, 8, true), int64(16))
	perMember := traffic(350, 8, false) / (350 / 8)
	assert.LessOrEqual(t, perMember, int64(16))
}

// TestFleetFaults covers losses of many nodes at once: within the bound all others know
// how many are left, and so again after their return.
func TestFleetFaults(t *testing.T) {
	t.Parallel()
	isolated := func(gone func(n *fleetNode) bool) func(a, b *fleetNode) bool {
		return func(a, b *fleetNode) bool { return gone(a) || gone(b) }
	}
	// One bound covers the detection and, as homes have to be found anew, one the report.
	const bound = 2 * membershipBound
	lose := func(name string, gone func(f *fleet, n *fleetNode) bool) {
		runFleet(t, name, 195, 5, func(t *testing.T, f *fleet) {
			f.wait(membershipBound)
			dead := map[*fleetNode]bool{}
			var left []*fleetNode
			for _, n := range f.nodes {
				if dead[n] = gone(f, n); !dead[n] {
					left = append(left, n)
				}
			}
			f.setCut(isolated(func(n *fleetNode) bool { return dead[n] }))
			f.wait(bound)
			f.assertLive(t, left, len(left))
			f.setCut(func(a, b *fleetNode) bool { return false })
			f.wait(bound)
			f.assertLive(t, f.nodes, len(f.nodes))
		})
	}
	lose("a third of the nodes", func(_ *fleet, n *fleetNode) bool { return n.peers.Address.Addr().As4()[3]%3 == 0 })
	lose("all large hosts", func(_ *fleet, n *fleetNode) bool { return n.large })
	lose("all hubs", func(_ *fleet, n *fleetNode) bool { return n.peers.IsHub() })
	lose("a domain", func(_ *fleet, n *fleetNode) bool { return n.domain == "d1" })
	runFleet(t, "a domain that is cut off and joined again", 195, 5, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		f.setCut(func(a, b *fleetNode) bool { return (a.domain == "d1") != (b.domain == "d1") })
		f.wait(bound)
		for _, n := range f.nodes {
			want := 39
			if n.domain != "d1" {
				want = 195 - 39
			}
			f.assertLive(t, []*fleetNode{n}, want)
		}
		f.setCut(func(a, b *fleetNode) bool { return false })
		f.wait(bound)
		f.assertLive(t, f.nodes, 195)
	})
}

// TestPartsAtSize shows that changes of the directory of parts reach all members from their
// hubs, and that these datagrams leave what is known of loads and nodes as it is.
func TestPartsAtSize(t *testing.T) {
	runFleet(t, "parts", 195, 5, func(t *testing.T, f *fleet) {
		target := engine("e", 1)
		f.wait(membershipBound)
		for _, n := range f.nodes {
			_, ok := n.balancer.Pick(time.Now(), balancer.Request{Endpoints: []endpointtracker.Endpoint{target}, Urgent: true, Tokens: 16})
			require.True(t, ok)
		}
		f.wait(1500 * time.Millisecond)
		for _, hub := range f.hubs() {
			hub.peers.SendParts(hub.peers.Members(), peertracker.PartUpdates{Stream: 1})
		}
		f.wait(2 * linkDelay)
		f.assertLive(t, f.nodes, 195)
		for _, n := range f.nodes {
			want := int64(1)
			if n.peers.IsHub() {
				want = 0
			}
			assert.Equal(t, want, n.parts.Load(), n.name)
			total := n.balancer.Total(time.Now())
			if assert.Len(t, total, 1, n.name) {
				assert.Equal(t, 195, total[0].Running, n.name)
			}
		}
	})
}

// TestLoadAtSize shows that each node knows the load of all nodes on an endpoint, and that
// what one node learns of an endpoint reaches all.
func TestLoadAtSize(t *testing.T) {
	runFleet(t, "load and changes", 195, 5, func(t *testing.T, f *fleet) {
		target := engine("e", 1)
		for _, n := range f.nodes {
			n.node.PutEndpoint(target)
		}
		f.wait(membershipBound)
		for _, n := range f.nodes {
			_, ok := n.balancer.Pick(time.Now(), balancer.Request{Endpoints: []endpointtracker.Endpoint{target}, Urgent: true, Tokens: 16})
			require.True(t, ok)
		}
		f.wait(1500 * time.Millisecond)
		wrong := map[int]int{}
		for _, n := range f.nodes {
			if total := n.balancer.Total(time.Now()); len(total) != 1 || total[0].Running != 195 {
				wrong[len(total)]++
			}
		}
		assert.Empty(t, wrong, "nodes that don't see the load of all")
		f.nodes[100].peers.AnnounceLeaving(target)
		f.nodes[101].peers.Announce(target, "m", 2)
		f.wait(time.Second)
		for _, n := range f.nodes {
			if n == f.nodes[100] || n == f.nodes[101] {
				continue
			}
			known := n.node.View().Endpoints["llm"][0]
			assert.True(t, known.Leaving, n.name)
			assert.EqualValues(t, 2, known.Weights["m"], n.name)
		}
	})
}
