package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// logTimeout is how long a call to the log may take beyond its wait, as on the platform.
	logTimeout = 900 * time.Millisecond
	// readWaitShare and maxAgeShare are the shares of the limit for configurations that one read
	// waits, and for which what was read counts as current.
	readWaitShare = 0.4
	maxAgeShare   = 0.7
	logRoundTrip  = 4 * time.Millisecond
	// settleTime is longer than any message or call between nodes takes.
	settleTime = 20 * time.Second
)

// logFault is what a node's path to the log does.
type logFault int

const (
	logServes logFault = iota
	logSilent
	logRefuses
	logSlow
)

// slowLog is how much longer a slow log takes to answer.
const slowLog = 700 * time.Millisecond

// configurationSite is a fleet whose nodes follow the operators' records, and a log that
// serves some of them only.
type configurationSite struct {
	*fleet
	// apply is the time within which a version must be in force, and contact the time without
	// disturbance after which a node is in touch.
	apply, contact time.Duration

	mu       sync.Mutex
	versions []time.Time
	changed  chan struct{}
	faults   map[*fleetNode]logFault
	lags     map[*fleetNode]time.Duration
	gone     map[*fleetNode]bool
	// disturbed is when a node was last disturbed itself, and struck the last fault.
	disturbed map[*fleetNode]time.Time
	struck    string
	late      []string
	seen      map[string]bool
}

// nodeLog is a node's path to the log.
type nodeLog struct {
	site *configurationSite
	n    *fleetNode
}

// Newest implements relayer.KeyedLog.
func (l nodeLog) Newest(ctx context.Context) (relayer.Batch, error) {
	return l.read(ctx, 0, 0)
}

// Read implements relayer.KeyedLog.
func (l nodeLog) Read(ctx context.Context, from relayer.Position, wait time.Duration) (relayer.Batch, error) {
	return l.read(ctx, from.Offset, wait)
}

func (l nodeLog) read(ctx context.Context, from int64, wait time.Duration) (relayer.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+logTimeout)
	defer cancel()
	if err := l.pass(ctx); err != nil {
		return relayer.Batch{}, err
	}
	batch, changed := l.site.records(from)
	if len(batch.Records) == 0 && wait > 0 {
		select {
		case <-changed:
			batch, _ = l.site.records(from)
		case <-time.After(wait):
		case <-ctx.Done():
			return relayer.Batch{}, ctx.Err()
		}
	}
	return batch, l.pass(ctx)
}

// pass carries a message over the path.
func (l nodeLog) pass(ctx context.Context) error {
	l.site.mu.Lock()
	fault, gone := l.site.faults[l.n], l.site.gone[l.n]
	lag := l.site.lags[l.n]
	l.site.mu.Unlock()
	switch {
	case gone, fault == logSilent:
		<-ctx.Done()
		return ctx.Err()
	case fault == logRefuses:
		return errStandin
	case fault == logSlow:
		lag += slowLog
	}
	return retrier.Sleep(ctx, logRoundTrip/2+lag)
}

// records returns the newest configuration, if it is at or after an offset, and a channel that
// is closed when there is a newer one.
func (s *configurationSite) records(from int64) (relayer.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.versions))
	batch := relayer.Batch{Next: position(1, end)}
	if end > from {
		batch.Records = append(batch.Records, record("config", strconv.FormatInt(end+1, 10), end-1))
	}
	return batch, s.changed
}

// publish appends a configuration to the log.
func (s *configurationSite) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// required returns the newest version that must be in force at a time.
func (s *configurationSite) required(now time.Time) int64 {
	version := int64(1)
	for _, at := range s.versions {
		if now.Sub(at) > s.apply {
			version++
		}
	}
	return version
}

// OperatorState implements relayer.OperatorStateClient.
func (c nodeLog) OperatorState(ctx context.Context, peer netip.AddrPort, known int64) (messenger.OperatorState, error) {
	target, err := c.site.roundTrip(ctx, c.n, peer)
	if err != nil {
		return messenger.OperatorState{}, err
	}
	state := messenger.OperatorState{}
	if version := target.node.View().Catalog.Version; version > known {
		state.Version = version
	}
	return state, nil
}

// peerTopic reads the log at a peer.
type peerTopic struct{ nodeLog }

// Newest implements relayer.PeerLog.
func (p peerTopic) Newest(ctx context.Context, peer netip.AddrPort, _ string) (relayer.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, relayer.OperatorStateTimeout)
	defer cancel()
	return p.call(ctx, peer, func(replica *relayer.Replica) (relayer.Batch, error) { return replica.Newest(ctx) })
}

// Read implements relayer.PeerLog.
func (p peerTopic) Read(ctx context.Context, peer netip.AddrPort, _ string, from relayer.Position, wait time.Duration) (relayer.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayer.OperatorStateTimeout)
	defer cancel()
	return p.call(ctx, peer, func(replica *relayer.Replica) (relayer.Batch, error) { return replica.Read(ctx, from, wait) })
}

func (p peerTopic) call(ctx context.Context, peer netip.AddrPort, read func(replica *relayer.Replica) (relayer.Batch, error)) (relayer.Batch, error) {
	f := p.site.fleet
	target, delay, ok := f.link(p.n, peer)
	if !ok {
		<-ctx.Done()
		return relayer.Batch{}, ctx.Err()
	}
	if err := retrier.Sleep(ctx, delay); err != nil {
		return relayer.Batch{}, err
	}
	batch, err := read(target.replica)
	if err != nil {
		return batch, err
	}
	if _, delay, ok = f.link(target, p.n.address); !ok {
		<-ctx.Done()
		return relayer.Batch{}, ctx.Err()
	}
	return batch, retrier.Sleep(ctx, delay)
}

// newConfigurationSite returns a running site.
func newConfigurationSite(t *testing.T, nodes, domains int, apply, contact time.Duration) *configurationSite {
	t.Helper()
	s := &configurationSite{
		fleet: buildFleet(t, nodes, domains), apply: apply, contact: contact, changed: make(chan struct{}),
		faults: map[*fleetNode]logFault{}, lags: map[*fleetNode]time.Duration{}, gone: map[*fleetNode]bool{},
		disturbed: map[*fleetNode]time.Time{}, seen: map[string]bool{},
	}
	t.Cleanup(s.settle)
	s.cut = func(a, b *fleetNode) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gone[a] || s.gone[b]
	}
	s.lag = func(n *fleetNode) time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lags[n]
	}
	for _, n := range s.nodes {
		s.start(t, n)
		s.disturb(n)
	}
	return s
}

// settle lets messages that are under way arrive, and calls end.
func (s *configurationSite) settle() {
	for _, n := range s.nodes {
		setGone(true)(s, n)
	}
	time.Sleep(settleTime)
}

// start runs a node that has been built.
func (s *configurationSite) start(t *testing.T, n *fleetNode) {
	t.Helper()
	maxAge := time.Duration(maxAgeShare * float64(s.apply))
	node, peers, link := n.node, n.peers, nodeLog{s, n}
	n.replica = &relayer.Replica{Clock: time.Now, Prompt: true}
	peers.Client = link
	peers.ApplyOperatorState = func(state messenger.OperatorState) {
		if state.Version > 0 {
			node.Configure(catalog(state.Version), "peer")
		}
	}
	n.run(t.Context())
	feed := &relayer.Feed{
		Name: "operators", Wait: time.Duration(readWaitShare * float64(s.apply)), MaxAge: maxAge, Replica: n.replica,
		Log: &relayer.SharedLog{
			Topic: "operators", Direct: link, Peer: peerTopic{link}, Source: peers.Source, IsHub: peers.IsHub,
			RecordLogContact: peers.RecordLogContact, RecordFed: peers.RecordFed, MaxAge: maxAge, Clock: time.Now,
		},
		Apply: func(record relayer.Record, _ time.Time) {
			version, err := strconv.ParseInt(string(record.Value), 10, 64)
			assert.NoError(t, err)
			node.Configure(catalog(version), "log")
		},
		Logger: zerolog.Nop(), Clock: time.Now,
	}
	go feed.Run(t.Context())
}

// disturb records that a node was disturbed itself.
func (s *configurationSite) disturb(nodes ...*fleetNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range nodes {
		s.disturbed[n] = time.Now()
	}
}

// inTouch reports whether a node was undisturbed for the contact time.
func (s *configurationSite) inTouch(n *fleetNode, now time.Time) bool {
	return now.Sub(s.disturbed[n]) > s.contact && s.faults[n] == logServes && s.lags[n] == 0 && !s.gone[n]
}

// check notes the nodes in touch that lack a version which must be in force.
func (s *configurationSite) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	required := s.required(now)
	for _, n := range s.nodes {
		version := n.node.View().Catalog.Version
		if version >= required || !s.inTouch(n, now) {
			continue
		}
		if key := fmt.Sprint(n.name, required); !s.seen[key] {
			s.seen[key] = true
			s.late = append(s.late, fmt.Sprintf("%s: %s has version %d instead of %d after %s", time.Since(s.versions[0]), n.name, version, required, s.struck))
		}
	}
}

// nodeFault is a fault of some nodes.
type nodeFault struct {
	name  string
	begin func(s *configurationSite, n *fleetNode)
	end   func(s *configurationSite, n *fleetNode)
}

func logFaultOf(name string, fault logFault) nodeFault {
	set := func(fault logFault) func(s *configurationSite, n *fleetNode) {
		return func(s *configurationSite, n *fleetNode) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faults[n] = fault
		}
	}
	return nodeFault{name, set(fault), set(logServes)}
}

func setGone(gone bool) func(s *configurationSite, n *fleetNode) {
	return func(s *configurationSite, n *fleetNode) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.gone[n] = gone
	}
}

func setLag(lag time.Duration) func(s *configurationSite, n *fleetNode) {
	return func(s *configurationSite, n *fleetNode) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lags[n] = lag
	}
}

var nodeFaults = []nodeFault{
	logFaultOf("the log does not answer", logSilent),
	logFaultOf("the log refuses", logRefuses),
	logFaultOf("the log is slow", logSlow),
	{"stands still or is cut off", setGone(true), setGone(false)},
	{"is slow by 0.3 s", setLag(300 * time.Millisecond), setLag(0)},
	{"is slow by 1 s", setLag(time.Second), setLag(0)},
	{"is slow by 3 s", setLag(3 * time.Second), setLag(0)},
}

// victims picks the nodes of a fault.
func (s *configurationSite) victims(random *rand.Rand) []*fleetNode {
	domain := fmt.Sprintf("d%d", random.IntN(s.domains))
	switch random.IntN(4) {
	case 0: // a hub
		hubs := s.hubs()
		return []*fleetNode{hubs[random.IntN(len(hubs))]}
	case 1: // the hubs of a domain
		return slices.DeleteFunc(s.hubs(), func(n *fleetNode) bool { return n.domain != domain })
	case 2: // a third of the nodes
		return slices.DeleteFunc(slices.Clone(s.nodes), func(*fleetNode) bool { return random.IntN(3) > 0 })
	default: // all hubs but one
		hubs := s.hubs()
		i := random.IntN(len(hubs))
		return slices.Delete(hubs, i, i+1)
	}
}

// logFault notes a fault for the reports of late nodes.
func (s *configurationSite) logFault(name string, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.struck = fmt.Sprintf("%s: %s at %d nodes", time.Since(s.versions[0]), name, nodes)
}

// strike makes one fault after the other.
func (s *configurationSite) strike(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		fault := nodeFaults[random.IntN(len(nodeFaults))]
		nodes := s.victims(random)
		s.logFault(fault.name, len(nodes))
		s.disturb(nodes...)
		for _, n := range nodes {
			fault.begin(s, n)
		}
		time.Sleep(time.Duration(1+random.IntN(8000)) * time.Millisecond)
		for _, n := range nodes {
			fault.end(s, n)
		}
		s.disturb(nodes...)
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
}

// runSite runs a site whose configuration changes again and again during check, and returns the
// cases in which a node in touch lacked a version that had to be in force.
func runSite(t *testing.T, size siteSize, seed uint64, check func(s *configurationSite)) (late []string) {
	t.Helper()
	if testing.Short() && size.nodes > 60 {
		t.Skip("takes minutes under the race detector")
	}
	if testing.Short() && size.nodes > 7 && runtime.GOARCH == "arm64" {
		t.Skip("the race detector itself crashes on arm64: CHECK failed: tsan_rtl.cpp")
	}
	synctest.Test(t, func(t *testing.T) {
		s := newConfigurationSite(t, size.nodes, size.domains, size.apply, size.contact)
		s.wait(size.contact)
		s.publish()
		random := rand.New(rand.NewPCG(31, seed))
		go func() {
			for retrier.Sleep(t.Context(), time.Duration(random.IntN(5000))*time.Millisecond) == nil {
				s.publish()
			}
		}()
		go func() {
			for retrier.Sleep(t.Context(), 50*time.Millisecond) == nil {
				s.check()
			}
		}()
		check(s)
		s.wait(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		late = s.late
	})
	return late
}

// siteSize is the size of a site, with its limits.
type siteSize struct {
	nodes, domains int
	apply, contact time.Duration
}

var siteSizes = []siteSize{
	{7, 3, 2 * time.Second, 3 * time.Second},
	{60, 3, 3 * time.Second, 4 * time.Second},
	{195, 5, 4 * time.Second, 5 * time.Second},
}

// TestMembersOfSlowHubs covers nodes in touch whose hubs live, but are late with all that they
// say. The nodes went on following them, and served by older configurations.
func TestMembersOfSlowHubs(t *testing.T) {
	for _, size := range siteSizes {
		for _, lag := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, slow by %s", size.nodes, lag), func(t *testing.T) {
				assert.Empty(t, runSite(t, size, 1, func(s *configurationSite) {
					hubs := s.hubs()
					for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						s.disturb(hubs...)
						for _, n := range hubs {
							setLag(lag)(s, n)
						}
					}
				}))
			})
		}
	}
}

// TestConfigurationsAtSize covers nodes in touch while others lose the log, stand still, are cut
// off or are slow, one fault after the other.
func TestConfigurationsAtSize(t *testing.T) {
	for _, size := range siteSizes {
		for _, seed := range []uint64{2, 7, 10} {
			t.Run(fmt.Sprintf("%d nodes, seed %d", size.nodes, seed), func(t *testing.T) {
				assert.Empty(t, runSite(t, size, seed, func(s *configurationSite) {
					s.strike(rand.New(rand.NewPCG(30, seed)), time.Now().Add(90*time.Second))
				}))
			})
		}
	}
}

// TestConfigurationCheckDetectsFaults shows which nodes with an old version are reported.
func TestConfigurationCheckDetectsFaults(t *testing.T) {
	run := func(name string, late bool, age time.Duration, disturb func(s *configurationSite, n *fleetNode)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fleetNode{name: "n1", node: newNode(t)}
				s := &configurationSite{
					fleet: &fleet{nodes: []*fleetNode{n}}, apply: time.Second, contact: time.Second, changed: make(chan struct{}),
					faults: map[*fleetNode]logFault{}, lags: map[*fleetNode]time.Duration{}, gone: map[*fleetNode]bool{},
					disturbed: map[*fleetNode]time.Time{}, seen: map[string]bool{},
				}
				s.publish()
				time.Sleep(age)
				disturb(s, n)
				s.check()
				assert.Equal(t, late, len(s.late) > 0)
			})
		})
	}
	run("an old version", true, 1100*time.Millisecond, func(*configurationSite, *fleetNode) {})
	run("not yet due", false, 900*time.Millisecond, func(*configurationSite, *fleetNode) {})
	run("a node that was just disturbed", false, 3*time.Second, func(s *configurationSite, n *fleetNode) { s.disturb(n) })
	run("a node without the log", false, 3*time.Second, func(s *configurationSite, n *fleetNode) { s.faults[n] = logSilent })
	run("a slow node", false, 3*time.Second, func(s *configurationSite, n *fleetNode) { s.lags[n] = time.Second })
	run("the newest version", false, 3*time.Second, func(_ *configurationSite, n *fleetNode) {
		n.node.Configure(catalog(2), "log")
		synctest.Wait()
	})
}
