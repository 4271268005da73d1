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
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// inForce is the promised time until a change is in force everywhere.
	inForce    = 7 * time.Second
	faultTime  = 20 * time.Second
	logAddress = "log"
)

var errCut = errors.New("cut off")

// siteWorld is a log and some nodes that replicate its configuration.
type siteWorld struct {
	mu      sync.Mutex
	records [][]byte
	oldest  uint64
	kept    []configurator.Snapshot
	nodes   map[string]*siteNode
	// cut holds the pairs of names that can't reach each other.
	cut   map[[2]string]bool
	slow  map[string]time.Duration
	stale map[string]bool
	// doubled makes every read bring its records twice.
	doubled bool
	found   []string
}

type siteNode struct {
	world   *siteWorld
	name    string
	address netip.AddrPort
	control *control
	stop    context.CancelFunc
	frozen  bool
	highest uint64
	// verdicts holds what the node decided, by offset.
	verdicts map[uint64]bool
}

func newSiteWorld() *siteWorld {
	return &siteWorld{nodes: map[string]*siteNode{}, cut: map[[2]string]bool{}, slow: map[string]time.Duration{}, stale: map[string]bool{}}
}

func (w *siteWorld) start(name string) *siteNode {
	ctx, stop := context.WithCancel(context.Background())
	n := &siteNode{world: w, name: name, stop: stop, verdicts: map[uint64]bool{}}
	n.control = &control{
		journal: &recorder.Ring{Node: name, Capacity: 1024}, cell: &publisher.Cell{}, now: time.Now,
		messages: make(chan message, messageBacklog), changed: n.changed, state: configurator.New(),
		table: registrar.New(), view: &observer.View{}, records: &recordsCell{},
	}
	n.control.records.Store(&heldPage{})
	n.control.publish()
	w.mu.Lock()
	n.address = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(w.nodes)+1))
	w.nodes[name] = n
	w.mu.Unlock()
	r := &replicator.Replicator{Log: n, Peers: n, Sink: n.control, Snapshots: func() bool { return true }, Failed: func(error) {}}
	go n.control.run(ctx)
	go r.Run(ctx)
	return n
}

// changed checks that what is in force never falls.
func (n *siteNode) changed(snapshot *publisher.Snapshot) {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	next := snapshot.Configuration.Next()
	if next < n.highest {
		n.world.found = append(n.world.found, fmt.Sprintf("%s fell from %d to %d", n.name, n.highest, next))
	}
	n.highest = next
}

// reach waits out slowness and freezes, and tells whether two ends can talk.
func (w *siteWorld) reach(ctx context.Context, from, to string) error {
	w.mu.Lock()
	wait := w.slow[to]
	cut := w.cut[[2]string{from, to}] || w.cut[[2]string{to, from}]
	w.mu.Unlock()
	if cut {
		return errCut
	}
	if wait > 0 {
		return retrier.Sleep(ctx, wait)
	}
	return nil
}

// thaw holds a frozen node's calls until it is woken.
func (n *siteNode) thaw(ctx context.Context) {
	for {
		n.world.mu.Lock()
		frozen := n.frozen
		n.world.mu.Unlock()
		if !frozen || retrier.Sleep(context.WithoutCancel(ctx), 100*time.Millisecond) != nil {
			return
		}
	}
}

// Read implements replicator.Log.
func (n *siteNode) Read(ctx context.Context, from uint64, wait time.Duration) (replicator.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		n.thaw(ctx)
		if err := n.world.reach(ctx, n.name, logAddress); err != nil {
			return replicator.Page{}, err
		}
		page := n.world.page(n.name, from)
		if len(page.Records) > 0 || !time.Now().Before(deadline) {
			return page, ctx.Err()
		}
		if err := retrier.Sleep(ctx, 50*time.Millisecond); err != nil {
			return replicator.Page{}, err
		}
	}
}

func (w *siteWorld) page(node string, from uint64) replicator.Page {
	w.mu.Lock()
	defer w.mu.Unlock()
	end := uint64(len(w.records))
	if w.stale[node] && end > w.oldest {
		end--
	}
	page := replicator.Page{Oldest: w.oldest, Next: end}
	for offset := max(from, w.oldest); offset < end; offset++ {
		page.Records = append(page.Records, replicator.Record{Offset: offset, Data: w.records[offset]})
	}
	if w.doubled {
		page.Records = append(page.Records, page.Records...)
	}
	return page
}

// Newest implements replicator.Log.
func (n *siteNode) Newest(ctx context.Context) (configurator.Snapshot, error) {
	if err := n.world.reach(ctx, n.name, logAddress); err != nil {
		return configurator.Snapshot{}, err
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if len(n.world.kept) == 0 {
		return configurator.Snapshot{}, errCut
	}
	return n.world.kept[len(n.world.kept)-1], nil
}

// Keep implements replicator.Log.
func (n *siteNode) Keep(_ context.Context, snapshot configurator.Snapshot) error {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	n.world.kept = append(n.world.kept, snapshot)
	return nil
}

// Near implements replicator.Peers.
func (n *siteNode) Near() []netip.AddrPort { return n.All() }

// All implements replicator.Peers.
func (n *siteNode) All() []netip.AddrPort {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	var all []netip.AddrPort
	for _, other := range n.world.nodes {
		if other != n {
			all = append(all, other.address)
		}
	}
	slices.SortFunc(all, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return all
}

func (n *siteNode) peer(ctx context.Context, address netip.AddrPort) (*siteNode, error) {
	n.thaw(ctx)
	n.world.mu.Lock()
	var found *siteNode
	for _, other := range n.world.nodes {
		if other.address == address {
			found = other
		}
	}
	n.world.mu.Unlock()
	if found == nil {
		return nil, errCut
	}
	if err := n.world.reach(ctx, n.name, found.name); err != nil {
		return nil, err
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if found.frozen {
		return nil, errCut
	}
	return found, nil
}

// Records implements replicator.Peers.
func (n *siteNode) Records(ctx context.Context, address netip.AddrPort, from uint64) (replicator.Page, error) {
	other, err := n.peer(ctx, address)
	if err != nil {
		return replicator.Page{}, err
	}
	return (&Node{records: other.control.records}).Records(from), nil
}

// Push implements replicator.Peers.
func (n *siteNode) Push(ctx context.Context, address netip.AddrPort, records []replicator.Record) error {
	other, err := n.peer(ctx, address)
	if err != nil {
		return err
	}
	other.control.Take(ctx, records, n.name)
	return nil
}

// Snapshot implements replicator.Peers.
func (n *siteNode) Snapshot(ctx context.Context, address netip.AddrPort) (configurator.Snapshot, error) {
	other, err := n.peer(ctx, address)
	if err != nil {
		return configurator.Snapshot{}, err
	}
	return other.control.State().Snapshot(), nil
}

// publish appends a change of one domain object, made from base.
func (w *siteWorld) publish(id string, base uint64, hosts int) {
	record := configurator.Record{ID: id, Base: base, Rules: configurator.RulesVersion}
	record.Changes = []configurator.Change{configurator.Put(configurator.Domain{Name: "bursa", Hosts: hosts})}
	w.append(record)
}

func (w *siteWorld) append(record configurator.Record) {
	data, err := transcoder.EncodeRecord(record)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, data)
}

// siteFaults are the faults of the configuration's path; each begins before a
// change is published and ends before the promised time is counted.
var siteFaults = map[string]func(w *siteWorld) (heal func()){
	"none": func(*siteWorld) func() { return func() {} },
	"kill": func(w *siteWorld) func() { w.nodes["a"].stop(); return func() { w.restart("a") } },
	"freeze": func(w *siteWorld) func() {
		return w.set(func() { w.nodes["b"].frozen = true }, func() { w.nodes["b"].frozen = false })
	},
	"cut to log": func(w *siteWorld) func() { return w.cutOff([2]string{"a", logAddress}) },
	"cut all to log": func(w *siteWorld) func() {
		return w.cutOff([2]string{"a", logAddress}, [2]string{"b", logAddress}, [2]string{"c", logAddress})
	},
	"cut to peers": func(w *siteWorld) func() { return w.cutOff([2]string{"a", "b"}, [2]string{"a", "c"}) },
	"cut to all": func(w *siteWorld) func() {
		return w.cutOff([2]string{"c", logAddress}, [2]string{"a", "c"}, [2]string{"b", "c"})
	},
	"slow log":  func(w *siteWorld) func() { return w.slowDown(logAddress, 1500*time.Millisecond) },
	"hung log":  func(w *siteWorld) func() { return w.slowDown(logAddress, time.Hour) },
	"slow peer": func(w *siteWorld) func() { return w.slowDown("b", 3*time.Second) },
	"stale reads": func(w *siteWorld) func() {
		return w.set(func() { w.stale["b"] = true }, func() { w.stale["b"] = false })
	},
	"doubled records": func(w *siteWorld) func() {
		return w.set(func() { w.doubled = true }, func() { w.doubled = false })
	},
	"records are gone": func(w *siteWorld) func() { w.nodes["c"].stop(); return func() { w.forget(); w.restart("c") } },
}

// set begins a fault and returns what ends it, both under the lock.
func (w *siteWorld) set(begin, end func()) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	begin()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		end()
	}
}

func (w *siteWorld) slowDown(name string, wait time.Duration) func() {
	return w.set(func() { w.slow[name] = wait }, func() { delete(w.slow, name) })
}

func (w *siteWorld) cutOff(pairs ...[2]string) func() {
	begin := func() {
		for _, pair := range pairs {
			w.cut[pair] = true
		}
	}
	end := func() {
		for _, pair := range pairs {
			delete(w.cut, pair)
		}
	}
	return w.set(begin, end)
}

func (w *siteWorld) restart(name string) { w.start(name) }

// forget drops all records of the log that a snapshot covers.
func (w *siteWorld) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kept = append(w.kept, w.nodes["a"].control.State().Snapshot())
	w.oldest = w.kept[len(w.kept)-1].Next
}

// runSite publishes changes, two of them racing, under faults, and checks that
// all nodes reach the same state in time once the faults are over.
func runSite(t *testing.T, faults []string, spoil func(w *siteWorld)) (found []string) {
	synctest.Test(t, func(*testing.T) {
		w := newSiteWorld()
		for _, name := range []string{"a", "b", "c"} {
			w.start(name)
		}
		w.publish("first", 0, 1)
		time.Sleep(inForce)
		var heals []func()
		for _, fault := range faults {
			heals = append(heals, siteFaults[fault](w))
		}
		time.Sleep(time.Second)
		w.publish("winner", 1, 2)
		w.publish("loser", 1, 3)
		w.mu.Lock()
		w.records = append(w.records, []byte("{truncated"))
		w.mu.Unlock()
		time.Sleep(faultTime)
		for _, heal := range heals {
			heal()
		}
		spoil(w)
		w.publish("last", 4, 5)
		time.Sleep(inForce)
		found = w.check()
		for _, n := range w.nodes {
			n.stop()
		}
		time.Sleep(2 * time.Hour)
	})
	return found
}

func (w *siteWorld) check() []string {
	w.mu.Lock()
	found := slices.Clone(w.found)
	w.mu.Unlock()
	for name, n := range w.nodes {
		state := n.control.State()
		domain, _ := configurator.Find[configurator.Domain](state, configurator.KindDomain, "bursa")
		switch {
		case !n.control.Ready():
			found = append(found, name+" is not ready")
		case state.Next() != 5:
			found = append(found, fmt.Sprintf("%s has applied %d of 5 records", name, state.Next()))
		case domain.Hosts != 5:
			found = append(found, fmt.Sprintf("%s has the value %d in force", name, domain.Hosts))
		}
		found = append(found, n.checkVerdicts()...)
	}
	return found
}

// checkVerdicts checks that the node accepted and rejected the same records as
// every other node must.
func (n *siteNode) checkVerdicts() []string {
	var found []string
	accepted := map[uint64]bool{0: true, 1: true, 4: true}
	for _, event := range n.control.journal.Events(recorder.Filter{}) {
		applied := event.Kind == recorder.KindApply && event.Detail[:8] != "snapshot"
		if !applied && event.Kind != recorder.KindReject {
			continue
		}
		if applied != accepted[event.Offset] {
			found = append(found, fmt.Sprintf("%s: %s of offset %d", n.name, event.Kind, event.Offset))
		}
	}
	return found
}

func TestConfigurationFaults(t *testing.T) {
	for fault := range siteFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			assert.Empty(t, runSite(t, []string{fault}, func(*siteWorld) {}))
		})
	}
}

func TestConfigurationFaultPairs(t *testing.T) {
	for fault := range siteFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for second := range siteFaults {
				if second != fault {
					assert.Empty(t, runSite(t, []string{fault, second}, func(*siteWorld) {}), "with %s", second)
				}
			}
		})
	}
}

// TestConfigurationCheckerFindsFaults shows that the matrix fails on broken
// variants.
func TestConfigurationCheckerFindsFaults(t *testing.T) {
	variants := map[string]func(w *siteWorld){
		"a node goes back": func(w *siteWorld) {
			w.nodes["a"].control.cell.Store(publisher.Build(configurator.New(), nil, nil))
			w.nodes["a"].changed(w.nodes["a"].control.cell.Load())
		},
		"a node is cut off for good": func(w *siteWorld) {
			w.cutOff([2]string{"c", logAddress}, [2]string{"a", "c"}, [2]string{"b", "c"})
		},
		"an old change is taken": func(w *siteWorld) { w.publish("revert", 1, 9) },
	}
	for name, spoil := range variants {
		t.Run(name, func(t *testing.T) {
			require.NotEmpty(t, runSite(t, []string{"none"}, spoil))
		})
	}
}

// TestUnknownRules shows that a node stops before a record that it can't judge
// and keeps serving what it has.
func TestUnknownRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSiteWorld()
		n := w.start("a")
		w.publish("first", 0, 1)
		time.Sleep(inForce)
		w.append(configurator.Record{ID: "newer", Rules: configurator.RulesVersion + 1})
		w.publish("after", 1, 2)
		time.Sleep(inForce)
		snapshot := n.control.cell.Load()
		assert.Equal(t, uint64(1), snapshot.Configuration.Next())
		assert.True(t, snapshot.Ready)
		assert.Contains(t, snapshot.Alarm, "newer rules")
		n.stop()
		time.Sleep(time.Hour)
	})
}
