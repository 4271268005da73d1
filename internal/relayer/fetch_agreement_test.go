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

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// bounded is the change by which a peer announces that it bounds its fetches; 4 is relayer's
// boundedMarker.
var bounded = peertracker.Change{Endpoint: 4, Version: 1}

func assertFreeDelay(t *testing.T, peers *relayer.Peers, want time.Duration) {
	t.Helper()
	routes := []cataloger.Route{{Name: "r", Stream: true, Timeout: 15 * time.Second}, {Name: "s", Timeout: 3 * time.Second}}
	assert.Equal(t, want, peers.FreeDelay(cataloger.New(1, routes, nil, nil, cataloger.Limits{})))
}

// TestFreeDelay guards against stores that free parts while an engine fetches them for a node
// whose heartbeats do not arrive, or that runs an older build.
func TestFreeDelay(t *testing.T) {
	const (
		delay = 900 * time.Millisecond
		// olderBuild is for the longest timeout of the routes.
		olderBuild = 15*time.Second + delay
	)
	run := func(name string, check func(t *testing.T, peers *relayer.Peers)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, newPeers(t, newNode(t), &standinStateClient{})) })
		})
	}
	run("peers that bound their fetches", func(t *testing.T, peers *relayer.Peers) {
		assertFreeDelay(t, peers, delay)
		peers.HandleHeartbeat(heartbeat(1, bounded))
		assertFreeDelay(t, peers, delay)
		assert.Equal(t, placer.MaxFetchTime, peers.FetchLimit())
	})
	run("beside an older build, fetches end before it frees parts", func(t *testing.T, peers *relayer.Peers) {
		peers.HandleHeartbeat(heartbeat(1))
		assert.Less(t, peers.FetchLimit(), delay)
	})
	run("a peer that speaks for an older build now", func(t *testing.T, peers *relayer.Peers) {
		peers.HandleHeartbeat(heartbeat(1, bounded))
		for sequence := range uint64(4) {
			time.Sleep(time.Second)
			peers.HandleHeartbeat(heartbeat(2 + sequence))
		}
		assertFreeDelay(t, peers, olderBuild)
	})
	run("requests of an older build fetch for as long as they run", func(t *testing.T, peers *relayer.Peers) {
		peers.HandleHeartbeat(heartbeat(1))
		assertFreeDelay(t, peers, olderBuild)
	})
	run("requests of an older build that is lost run on", func(t *testing.T, peers *relayer.Peers) {
		peers.HandleHeartbeat(heartbeat(1))
		assertFreeDelay(t, peers, olderBuild)
		time.Sleep(14 * time.Second)
		assertFreeDelay(t, peers, olderBuild)
		time.Sleep(2 * time.Second)
		assertFreeDelay(t, peers, delay)
	})
	run("a process of an older build in place of a newer one", func(t *testing.T, peers *relayer.Peers) {
		peers.HandleHeartbeat(heartbeat(1, bounded))
		older := heartbeat(1)
		older.Sender.Incarnation = 9
		peers.HandleHeartbeat(older)
		assertFreeDelay(t, peers, olderBuild)
	})
	run("a missing hub may be in contact with others", func(t *testing.T, peers *relayer.Peers) {
		hub := heartbeat(1, bounded)
		hub.Sender.Hub = true
		peers.HandleHeartbeat(hub)
		time.Sleep(4 * time.Second)
		assertFreeDelay(t, peers, placer.MaxFetchTime)
	})
	run("a hub that has been missing for long is gone", func(t *testing.T, peers *relayer.Peers) {
		hub := heartbeat(1, bounded)
		hub.Sender.Hub = true
		peers.HandleHeartbeat(hub)
		time.Sleep(2 * time.Minute)
		assertFreeDelay(t, peers, delay)
	})
	run("a hub that has said that it stops does not count", func(t *testing.T, peers *relayer.Peers) {
		hub := heartbeat(1, bounded)
		hub.Sender.Hub, hub.Sender.Leaving = true, true
		peers.HandleHeartbeat(hub)
		time.Sleep(4 * time.Second)
		assertFreeDelay(t, peers, delay)
	})
	run("a member of an older build is announced by its home", func(t *testing.T, peers *relayer.Peers) {
		member := heartbeat(1)
		member.Sender.Homed = true
		peers.HandleHeartbeat(member)
		assertFreeDelay(t, peers, olderBuild)
	})
}

func TestLastJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newPeers(t, newNode(t), &standinStateClient{})
		assert.Zero(t, peers.LastJoin())
		peers.HandleHeartbeat(heartbeat(1))
		first := time.Now()
		time.Sleep(time.Second)
		peers.HandleHeartbeat(heartbeat(2))
		assert.Equal(t, first, peers.LastJoin(), "further heartbeats are no join")
		restarted := heartbeat(1)
		restarted.Sender.Incarnation = 9
		peers.HandleHeartbeat(restarted)
		assert.Equal(t, time.Now(), peers.LastJoin(), "a peer that was started again")
	})
}

// TestRetainedOfHubs guards against a hub that fetches parts which another one lets stores free.
func TestRetainedOfHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t, engine("a", 1))
		hub := heartbeat(1, peertracker.Change{Endpoint: 1, Model: balancer.IDHash("m"), Version: 2})
		hub.Sender.Hub = true
		newPeers(t, node, &standinStateClient{}).HandleHeartbeat(hub)
		synctest.Wait()
		assert.EqualValues(t, 2, node.View().OldestRetained["m"])
	})
}

// standinStore is a store of parts that nodes of a fleet list, follow and free. Engines fetch
// parts from it without asking whether they are kept.
type standinStore struct {
	address netip.AddrPort
	domain  string

	mu      sync.Mutex
	parts   map[locator.Key]int
	changes []relayer.PartChange
	// fetchedUntil is when the last fetch of a part ends.
	fetchedUntil map[locator.Key]time.Time
	freed        int
	violations   []string
}

// storeClient is a node's client of all stores. It implements relayer.PartLog and
// relayer.PartFreer.
type storeClient struct {
	node   *fleetNode
	stores map[netip.AddrPort]*standinStore
	isCut  func(domain string) bool
}

var errUnreachable = errors.New("store is out of reach")

// reach returns a store after the time that a call takes, or an error if its domain is cut off.
func (c storeClient) reach(ctx context.Context, address netip.AddrPort) (*standinStore, error) {
	store := c.stores[address]
	if c.isCut(c.node.domain) != c.isCut(store.domain) {
		_ = retrier.Sleep(ctx, 500*time.Millisecond)
		return nil, errUnreachable
	}
	return store, retrier.Sleep(ctx, 2*linkDelay)
}

// List implements relayer.PartLog.
func (c storeClient) List(ctx context.Context, address netip.AddrPort) (relayer.Listing, error) {
	store, err := c.reach(ctx, address)
	if err != nil {
		return relayer.Listing{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	held := map[locator.Key]int{}
	for key, tokens := range store.parts {
		held[key] = tokens
	}
	return relayer.Listing{Epoch: 1, Next: int64(len(store.changes)), Held: held}, nil
}

// Changes implements relayer.PartLog.
func (c storeClient) Changes(ctx context.Context, address netip.AddrPort, since int64, wait time.Duration) (relayer.PartChanges, error) {
	if err := retrier.Sleep(ctx, wait); err != nil {
		return relayer.PartChanges{}, err
	}
	store, err := c.reach(ctx, address)
	if err != nil {
		return relayer.PartChanges{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	changes := append([]relayer.PartChange{}, store.changes[since:]...)
	return relayer.PartChanges{Epoch: 1, Next: int64(len(store.changes)), Changes: changes}, nil
}

// Free implements relayer.PartFreer.
func (c storeClient) Free(ctx context.Context, address netip.AddrPort, keys []locator.Key) error {
	store, err := c.reach(ctx, address)
	if err != nil {
		return err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, key := range keys {
		if left := time.Until(store.fetchedUntil[key]); left > 0 {
			store.violations = append(store.violations, fmt.Sprintf("%s frees %v, which is fetched for %s more", c.node.name, key, left))
		}
		delete(store.parts, key)
		store.changes = append(store.changes, relayer.PartChange{Key: key})
		store.freed++
	}
	return nil
}

// partsFleet is a fleet whose nodes fetch parts of the first version all the time, as long as
// they take it for retained.
type partsFleet struct {
	*fleet
	stores map[netip.AddrPort]*standinStore
	old    locator.Key
	// only is the one node that fetches; nil for all.
	only atomic.Pointer[fleetNode]

	cut sync.Map
}

func (f *partsFleet) isCut(domain string) bool {
	_, ok := f.cut.Load(domain)
	return ok
}

// fetch lets an engine of a node's domain fetch the old part from each store that the node
// knows to have it, through its home if it is a member.
func (f *partsFleet) fetch(n *fleetNode, directories map[netip.AddrPort]*locator.Locator) {
	if only := f.only.Load(); only != nil {
		if only == n {
			f.fetchFromAll(n)
		}
		return
	}
	view, directory := n.node.View(), directories[n.address]
	if home := n.peers.Home(); home.IsValid() {
		directory = directories[home]
	}
	if view.OldestRetained["m"] > 1 {
		return
	}
	until := time.Now().Add(n.peers.FetchLimit())
	n.peers.Fetches.Record("m", 1, until)
	if n.node.View().OldestRetained["m"] > 1 {
		return
	}
	for _, inventory := range directory.Inventories(func() {}) {
		store := f.stores[inventory.Holder]
		if inventory.Parts[f.old] == 0 || f.isCut(n.domain) != f.isCut(store.domain) {
			continue
		}
		store.mu.Lock()
		store.fetchedUntil[f.old] = until
		store.mu.Unlock()
	}
}

// fetchFromAll lets an engine fetch the old part from each store within reach of a node, if the
// node may fetch. A member goes on by the directory of its last home while it has none.
func (f *partsFleet) fetchFromAll(n *fleetNode) {
	if n.node.View().OldestRetained["m"] > 1 {
		return
	}
	until := time.Now().Add(n.peers.FetchLimit())
	n.peers.Fetches.Record("m", 1, until)
	if n.node.View().OldestRetained["m"] > 1 || !n.peers.MayFetch() {
		return
	}
	for _, store := range f.stores {
		if f.isCut(n.domain) != f.isCut(store.domain) {
			continue
		}
		store.mu.Lock()
		if store.parts[f.old] > 0 && until.After(store.fetchedUntil[f.old]) {
			store.fetchedUntil[f.old] = until
		}
		store.mu.Unlock()
	}
}

// assertFreed checks that all stores have freed the old part, and none while it was fetched.
func (f *partsFleet) assertFreed(t *testing.T) {
	t.Helper()
	for _, store := range f.stores {
		assert.Empty(t, store.violations, store.domain)
		assert.Equal(t, 1, store.freed, "parts freed in %s", store.domain)
	}
}

func newPartsFleet(t *testing.T, nodes, domains int) *partsFleet {
	t.Helper()
	f := &partsFleet{stores: map[netip.AddrPort]*standinStore{}, old: locator.Key{Salt: placer.Salt("", "m", 1), Part: "a"}}
	var services []cataloger.Service
	services = append(services, cataloger.Service{Name: "llm", Engine: &cataloger.Engine{}})
	for i := range domains {
		store := &standinStore{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 80), domain: fmt.Sprintf("d%d", i),
			parts: map[locator.Key]int{f.old: 100}, fetchedUntil: map[locator.Key]time.Time{},
		}
		f.stores[store.address] = store
		services = append(services, cataloger.Service{Name: store.domain, Store: &cataloger.Store{Address: store.address, Domain: store.domain, Capacity: 1000}})
	}
	f.fleet = newFleet(t, nodes, domains)
	directories := map[netip.AddrPort]*locator.Locator{}
	for _, n := range f.nodes {
		n.peers.Fetches = &relayer.Fetches{}
		directories[n.address] = locator.New()
	}
	for _, n := range f.nodes {
		n.node.Configure(cataloger.New(2, nil, services, nil, cataloger.Limits{}), "test")
		for i := range 3 * domains {
			e := engine(fmt.Sprintf("e%d", i), 1)
			e.Domain = fmt.Sprintf("d%d", i%domains)
			n.node.PutEndpoint(e)
		}
		client := storeClient{node: n, stores: f.stores, isCut: f.isCut}
		follower := &relayer.PartFollower{
			Log: client, Locator: directories[n.address], Domain: n.domain, Self: n.name, Hubs: n.peers.Hubs, Logger: zerolog.Nop(),
			FollowsEngines: func() bool { return false },
		}
		cleaner := &relayer.Cleaner{
			Node: n.node, Locator: directories[n.address], Parts: client, Self: n.name, Hubs: n.peers.Hubs, Agreement: n.peers,
			Logger: zerolog.Nop(), Now: time.Now,
		}
		go cleaner.Run(t.Context())
		go every(t.Context(), 300*time.Millisecond, func() { follower.Follow(t.Context(), n.node.View()) })
		go every(t.Context(), 50*time.Millisecond, func() { f.fetch(n, directories) })
	}
	return f
}

func every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// loadSecondVersion lets nodes know that the engines of some domains have the second version.
func (f *partsFleet) loadSecondVersion(knows func(n *fleetNode) bool, loaded func(domain string) bool) {
	for _, n := range f.nodes {
		if !knows(n) {
			continue
		}
		for _, endpoint := range n.node.View().Endpoints["llm"] {
			if loaded(endpoint.Domain) {
				n.node.UpdateWeights(endpoint, "m", 2)
			}
		}
	}
}

// TestDomainIsBack guards against parts that a domain fetches after a cut, while others free
// them: they had agreed without it.
func TestDomainIsBack(t *testing.T) {
	t.Parallel()
	const cutDomain = "d1"
	run := func(nodes, domains int, cutFor time.Duration) {
		t.Run(fmt.Sprintf("%d nodes, cut for %s", nodes, cutFor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPartsFleet(t, nodes, domains)
				f.wait(8 * time.Second)
				f.cut.Store(cutDomain, true)
				f.setCut(func(a, b *fleetNode) bool { return (a.domain == cutDomain) != (b.domain == cutDomain) })
				f.wait(500 * time.Millisecond)
				outside := func(domain string) bool { return domain != cutDomain }
				f.loadSecondVersion(func(n *fleetNode) bool { return outside(n.domain) }, outside)
				f.wait(cutFor)
				f.cut.Delete(cutDomain)
				f.setCut(func(a, b *fleetNode) bool { return false })
				// The directory of endpoints reaches the domain later than heartbeats do.
				f.wait(3 * time.Second)
				f.loadSecondVersion(func(*fleetNode) bool { return true }, func(string) bool { return true })
				f.wait(20 * time.Second)
				f.assertFreed(t)
			})
		})
	}
	for _, cutFor := range []time.Duration{4 * time.Second, 6100 * time.Millisecond, 6500 * time.Millisecond, 6900 * time.Millisecond, 8500 * time.Millisecond, 10 * time.Second, 12 * time.Second, 20 * time.Second} {
		run(7, 3, cutFor)
	}
	run(195, 5, 6500*time.Millisecond)
}

// TestStoreIsBack guards against the use of a store at once after a long outage.
func TestStoreIsBack(t *testing.T) {
	listedAfter := func(t *testing.T, connected, outage time.Duration) (paused time.Duration) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			var down atomic.Bool
			part := locator.Key{Salt: "s", Part: "a"}
			address := netip.MustParseAddrPort("10.9.0.0:80")
			client := storeClient{
				node:   &fleetNode{domain: "d1"},
				stores: map[netip.AddrPort]*standinStore{address: {address: address, domain: "d2", parts: map[locator.Key]int{part: 1}}},
				isCut:  func(domain string) bool { return down.Load() && domain == "d2" },
			}
			l := locator.New()
			follower := &relayer.PartFollower{
				Log: client, Locator: l, Self: "n", Hubs: func() []string { return []string{"n"} }, Logger: zerolog.Nop(),
				FollowsEngines: func() bool { return false },
			}
			services := []cataloger.Service{{Name: "store", Store: &cataloger.Store{Address: address, Domain: "d2", Capacity: 1}}}
			view := placer.View{Catalog: cataloger.New(1, nil, services, nil, cataloger.Limits{}), Endpoints: map[string][]endpointtracker.Endpoint{}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			follower.Follow(ctx, view)
			time.Sleep(connected)
			require.Len(t, l.Holders(), 1)
			down.Store(true)
			time.Sleep(outage)
			require.Empty(t, l.Holders())
			down.Store(false)
			back := time.Now()
			for len(l.Holders()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			paused = time.Since(back)
		})
		return paused
	}
	// A read of events takes almost a second, and may be under way when the outage begins.
	for connected := time.Second; connected < 2*time.Second; connected += 90 * time.Millisecond {
		t.Run(fmt.Sprintf("a short outage/after %s", connected), func(t *testing.T) {
			assert.Less(t, listedAfter(t, connected, 2*time.Second), 2500*time.Millisecond)
			assert.Less(t, listedAfter(t, connected, 2400*time.Millisecond), 2500*time.Millisecond)
		})
		t.Run(fmt.Sprintf("a long outage/after %s", connected), func(t *testing.T) {
			assert.GreaterOrEqual(t, listedAfter(t, connected, 6*time.Second), 2500*time.Millisecond)
		})
	}
}
