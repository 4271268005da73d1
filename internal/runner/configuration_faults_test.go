package runner

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// propagationLimit is the guaranteed time until a change is active on all
	// nodes.
	propagationLimit = 7 * time.Second
	faultDuration    = 20 * time.Second
	logAddress       = "log"
)

var errUnreachable = errors.New("unreachable")

// testCluster simulates a log and the nodes that replicate its configuration
// stream.
type testCluster struct {
	mu        sync.Mutex
	records   [][]byte
	oldest    uint64
	snapshots []configurator.Snapshot
	nodes     map[string]*testNode
	// partitioned contains the pairs of names that can't reach each other.
	partitioned map[[2]string]bool
	delays      map[string]time.Duration
	staleReads  map[string]bool
	// duplicateRecords makes every read return its records twice.
	duplicateRecords bool
	violations       []string
}

type testNode struct {
	cluster *testCluster
	name    string
	address netip.AddrPort
	control *control
	stop    context.CancelFunc
	paused  bool
	highest uint64
	// verdicts maps the offset of a record to whether the node accepted it.
	verdicts map[uint64]bool
}

func newTestCluster() *testCluster {
	return &testCluster{nodes: map[string]*testNode{}, partitioned: map[[2]string]bool{}, delays: map[string]time.Duration{}, staleReads: map[string]bool{}}
}

func (c *testCluster) start(name string) *testNode {
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{cluster: c, name: name, stop: stop, verdicts: map[uint64]bool{}}
	n.control = &control{
		journal: &recorder.Ring{Node: name, Capacity: 1024}, current: &publisher.SnapshotPointer{}, now: time.Now,
		messages: make(chan message, messageBacklog), onSnapshot: n.onSnapshot, state: configurator.New(),
		table: registrar.New(), view: &peertracker.View{}, records: &recordPagePointer{},
	}
	n.control.records.Store(&recordPage{})
	n.control.publish()
	c.mu.Lock()
	n.address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(c.nodes)+1))
	c.nodes[name] = n
	c.mu.Unlock()
	r := &replicator.Replicator{Log: n, Peers: n, Sink: n.control, KeepsSnapshots: func() bool { return true }, OnError: func(error) {}}
	go n.control.run(ctx)
	go r.Run(ctx)
	return n
}

// onSnapshot checks that the offset of the active configuration never decreases.
func (n *testNode) onSnapshot(snapshot *publisher.Snapshot) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	next := snapshot.Configuration.Next()
	if next < n.highest {
		n.cluster.violations = append(n.cluster.violations, fmt.Sprintf("%s went back from offset %d to %d", n.name, n.highest, next))
	}
	n.highest = next
}

// reach simulates a connection from one name to another: it waits for the
// configured delay and returns errUnreachable during a partition.
func (c *testCluster) reach(ctx context.Context, from, to string) error {
	c.mu.Lock()
	wait := c.delays[to]
	partitioned := c.partitioned[[2]string{from, to}] || c.partitioned[[2]string{to, from}]
	c.mu.Unlock()
	if partitioned {
		return errUnreachable
	}
	if wait > 0 {
		return retrier.Sleep(ctx, wait)
	}
	return nil
}

// waitWhilePaused blocks the calls of a paused node until it is resumed.
func (n *testNode) waitWhilePaused(ctx context.Context) {
	for {
		n.cluster.mu.Lock()
		paused := n.paused
		n.cluster.mu.Unlock()
		if !paused || retrier.Sleep(context.WithoutCancel(ctx), 100*time.Millisecond) != nil {
			return
		}
	}
}

// Read implements replicator.Log.
func (n *testNode) Read(ctx context.Context, from uint64, wait time.Duration) (replicator.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		n.waitWhilePaused(ctx)
		if err := n.cluster.reach(ctx, n.name, logAddress); err != nil {
			return replicator.Page{}, err
		}
		page := n.cluster.page(n.name, from)
		if len(page.Records) > 0 || !time.Now().Before(deadline) {
			return page, ctx.Err()
		}
		if err := retrier.Sleep(ctx, 50*time.Millisecond); err != nil {
			return replicator.Page{}, err
		}
	}
}

func (c *testCluster) page(node string, from uint64) replicator.Page {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := uint64(len(c.records))
	if c.staleReads[node] && end > c.oldest {
		end--
	}
	page := replicator.Page{Oldest: c.oldest, Next: end}
	for offset := max(from, c.oldest); offset < end; offset++ {
		page.Records = append(page.Records, replicator.Record{Offset: offset, Data: c.records[offset]})
	}
	if c.duplicateRecords {
		page.Records = append(page.Records, page.Records...)
	}
	return page
}

// NewestSnapshot implements replicator.Log.
func (n *testNode) NewestSnapshot(ctx context.Context) (configurator.Snapshot, error) {
	if err := n.cluster.reach(ctx, n.name, logAddress); err != nil {
		return configurator.Snapshot{}, err
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if len(n.cluster.snapshots) == 0 {
		return configurator.Snapshot{}, errUnreachable
	}
	return n.cluster.snapshots[len(n.cluster.snapshots)-1], nil
}

// AppendSnapshot implements replicator.Log.
func (n *testNode) AppendSnapshot(_ context.Context, snapshot configurator.Snapshot) error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.snapshots = append(n.cluster.snapshots, snapshot)
	return nil
}

// SameDomain implements replicator.Peers.
func (n *testNode) SameDomain() []netip.AddrPort { return n.All() }

// All implements replicator.Peers.
func (n *testNode) All() []netip.AddrPort {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var all []netip.AddrPort
	for _, other := range n.cluster.nodes {
		if other != n {
			all = append(all, other.address)
		}
	}
	slices.SortFunc(all, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return all
}

func (n *testNode) peer(ctx context.Context, address netip.AddrPort) (*testNode, error) {
	n.waitWhilePaused(ctx)
	n.cluster.mu.Lock()
	var target *testNode
	for _, other := range n.cluster.nodes {
		if other.address == address {
			target = other
		}
	}
	n.cluster.mu.Unlock()
	if target == nil {
		return nil, errUnreachable
	}
	if err := n.cluster.reach(ctx, n.name, target.name); err != nil {
		return nil, err
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if target.paused {
		return nil, errUnreachable
	}
	return target, nil
}

// Records implements replicator.Peers.
func (n *testNode) Records(ctx context.Context, address netip.AddrPort, from uint64) (replicator.Page, error) {
	other, err := n.peer(ctx, address)
	if err != nil {
		return replicator.Page{}, err
	}
	return (&Node{records: other.control.records}).Records(from), nil
}

// Push implements replicator.Peers.
func (n *testNode) Push(ctx context.Context, address netip.AddrPort, records []replicator.Record) error {
	other, err := n.peer(ctx, address)
	if err != nil {
		return err
	}
	other.control.Apply(ctx, records, n.name)
	return nil
}

// Snapshot implements replicator.Peers.
func (n *testNode) Snapshot(ctx context.Context, address netip.AddrPort) (configurator.Snapshot, error) {
	other, err := n.peer(ctx, address)
	if err != nil {
		return configurator.Snapshot{}, err
	}
	return other.control.State().Snapshot(), nil
}

// publishHosts appends a record with the given base that changes the number of
// hosts of one domain object.
func (c *testCluster) publishHosts(id string, base uint64, hosts int) {
	record := configurator.Record{ID: id, Base: base, Rules: configurator.RulesVersion}
	record.Changes = []configurator.Change{configurator.Put(configurator.Domain{Name: "bursa", Hosts: hosts})}
	c.append(record)
}

func (c *testCluster) append(record configurator.Record) {
	data, err := transcoder.EncodeRecord(record)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, data)
}

// configurationFaults are the faults of the replication of the configuration.
// Each begins before a change is published and ends before the propagation limit
// is measured.
var configurationFaults = map[string]func(c *testCluster) (heal func()){
	"none":    func(*testCluster) func() { return func() {} },
	"restart": func(c *testCluster) func() { c.nodes["a"].stop(); return func() { c.restart("a") } },
	"pause": func(c *testCluster) func() {
		return c.set(func() { c.nodes["b"].paused = true }, func() { c.nodes["b"].paused = false })
	},
	"partition from log": func(c *testCluster) func() { return c.partition([2]string{"a", logAddress}) },
	"all partitioned from log": func(c *testCluster) func() {
		return c.partition([2]string{"a", logAddress}, [2]string{"b", logAddress}, [2]string{"c", logAddress})
	},
	"partition from peers": func(c *testCluster) func() { return c.partition([2]string{"a", "b"}, [2]string{"a", "c"}) },
	"partition from all": func(c *testCluster) func() {
		return c.partition([2]string{"c", logAddress}, [2]string{"a", "c"}, [2]string{"b", "c"})
	},
	"slow log":  func(c *testCluster) func() { return c.delay(logAddress, 1500*time.Millisecond) },
	"hung log":  func(c *testCluster) func() { return c.delay(logAddress, time.Hour) },
	"slow peer": func(c *testCluster) func() { return c.delay("b", 3*time.Second) },
	"stale reads": func(c *testCluster) func() {
		return c.set(func() { c.staleReads["b"] = true }, func() { c.staleReads["b"] = false })
	},
	"duplicate records": func(c *testCluster) func() {
		return c.set(func() { c.duplicateRecords = true }, func() { c.duplicateRecords = false })
	},
	"trimmed log": func(c *testCluster) func() { c.nodes["c"].stop(); return func() { c.trimLog(); c.restart("c") } },
}

// set begins a fault and returns the function that ends it, both under the lock.
func (c *testCluster) set(begin, end func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	begin()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		end()
	}
}

func (c *testCluster) delay(name string, wait time.Duration) func() {
	return c.set(func() { c.delays[name] = wait }, func() { delete(c.delays, name) })
}

func (c *testCluster) partition(pairs ...[2]string) func() {
	begin := func() {
		for _, pair := range pairs {
			c.partitioned[pair] = true
		}
	}
	end := func() {
		for _, pair := range pairs {
			delete(c.partitioned, pair)
		}
	}
	return c.set(begin, end)
}

func (c *testCluster) restart(name string) { c.start(name) }

// trimLog drops all records of the log that the latest snapshot contains.
func (c *testCluster) trimLog() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots = append(c.snapshots, c.nodes["a"].control.State().Snapshot())
	c.oldest = c.snapshots[len(c.snapshots)-1].Next
}

// runWithFaults publishes changes during faults, among them two that conflict
// and a truncated record. It returns how the nodes differ from the expected
// state after the faults have ended and the propagation limit has passed.
// breakCluster runs after the faults, for the tests of the check itself.
func runWithFaults(t *testing.T, faults []string, breakCluster func(c *testCluster)) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		c := newTestCluster()
		for _, name := range []string{"a", "b", "c"} {
			c.start(name)
		}
		c.publishHosts("first", 0, 1)
		time.Sleep(propagationLimit)
		var heals []func()
		for _, fault := range faults {
			heals = append(heals, configurationFaults[fault](c))
		}
		time.Sleep(time.Second)
		c.publishHosts("winner", 1, 2)
		c.publishHosts("loser", 1, 3)
		c.mu.Lock()
		c.records = append(c.records, []byte("{truncated"))
		c.mu.Unlock()
		time.Sleep(faultDuration)
		for _, heal := range heals {
			heal()
		}
		breakCluster(c)
		c.publishHosts("last", 4, 5)
		time.Sleep(propagationLimit)
		violations = c.check()
		for _, n := range c.nodes {
			n.stop()
		}
		time.Sleep(2 * time.Hour)
	})
	return violations
}

func (c *testCluster) check() []string {
	c.mu.Lock()
	violations := slices.Clone(c.violations)
	c.mu.Unlock()
	for name, n := range c.nodes {
		state := n.control.State()
		domain, _ := configurator.Find[configurator.Domain](state, configurator.KindDomain, "bursa")
		switch {
		case !n.control.Ready():
			violations = append(violations, name+" is not ready")
		case state.Next() != 5:
			violations = append(violations, fmt.Sprintf("%s has applied %d of 5 records", name, state.Next()))
		case domain.Hosts != 5:
			violations = append(violations, fmt.Sprintf("%s has the value %d active", name, domain.Hosts))
		}
		violations = append(violations, n.checkVerdicts()...)
	}
	return violations
}

// checkVerdicts checks that the node accepted and rejected the expected records.
func (n *testNode) checkVerdicts() []string {
	var violations []string
	accepted := map[uint64]bool{0: true, 1: true, 4: true}
	for _, event := range n.control.journal.Events(recorder.Filter{}) {
		applied := event.Kind == recorder.KindApply && event.Detail[:8] != "snapshot"
		if !applied && event.Kind != recorder.KindReject {
			continue
		}
		if applied != accepted[event.Offset] {
			violations = append(violations, fmt.Sprintf("%s: %s of offset %d", n.name, event.Kind, event.Offset))
		}
	}
	return violations
}

func TestConfigurationFaults(t *testing.T) {
	for fault := range configurationFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			assert.Empty(t, runWithFaults(t, []string{fault}, func(*testCluster) {}))
		})
	}
}

func TestConfigurationFaultPairs(t *testing.T) {
	for fault := range configurationFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for second := range configurationFaults {
				if second != fault {
					assert.Empty(t, runWithFaults(t, []string{fault, second}, func(*testCluster) {}), "with %s", second)
				}
			}
		})
	}
}

// TestConfigurationCheckerDetectsFaults checks that runWithFaults reports broken
// variants of the nodes.
func TestConfigurationCheckerDetectsFaults(t *testing.T) {
	variants := map[string]func(c *testCluster){
		"a node returns to an old configuration": func(c *testCluster) {
			c.nodes["a"].control.current.Store(publisher.Build(configurator.New(), nil, nil))
			c.nodes["a"].onSnapshot(c.nodes["a"].control.current.Load())
		},
		"a node stays partitioned": func(c *testCluster) {
			c.partition([2]string{"c", logAddress}, [2]string{"a", "c"}, [2]string{"b", "c"})
		},
		"a change with an old base is published": func(c *testCluster) { c.publishHosts("revert", 1, 9) },
	}
	for name, breakCluster := range variants {
		t.Run(name, func(t *testing.T) {
			require.NotEmpty(t, runWithFaults(t, []string{"none"}, breakCluster))
		})
	}
}

// TestUnknownRules checks that a node stops before a record that needs newer rules
// and keeps serving the configuration that it has.
func TestUnknownRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.start("a")
		c.publishHosts("first", 0, 1)
		time.Sleep(propagationLimit)
		c.append(configurator.Record{ID: "newer", Rules: configurator.RulesVersion + 1})
		c.publishHosts("after", 1, 2)
		time.Sleep(propagationLimit)
		snapshot := n.control.current.Load()
		assert.Equal(t, uint64(1), snapshot.Configuration.Next())
		assert.True(t, snapshot.Ready)
		assert.Contains(t, snapshot.Alarm, "newer rules")
		n.stop()
		time.Sleep(time.Hour)
	})
}
