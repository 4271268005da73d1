// Package runner puts a node together from its parts and runs it.
//
// One goroutine, the control, owns the configuration, the endpoint table and
// the view of the peers. It publishes immutable snapshots, which the goroutines
// that serve traffic read.
//
// # Usage
//
//	node := &runner.Node{Settings: settings, Log: logger}
//	err := node.Run(ctx) // a planned stop begins when ctx ends
package runner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ticketer"
	"github.com/lacewingrelay/lacewingrelay/internal/parser"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/dialer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/gossiper"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/listener"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	dialTimeout  = time.Second
	peerCall     = 2 * time.Second
	ticketCall   = time.Minute
	logTimeout   = 2 * time.Second
	hostsTimeout = 2 * time.Second
	pauseLimit   = 10 * time.Second
	stopTimeout  = 5 * time.Second

	eventCapacity  = 16384
	hintCapacity   = 8192
	messageBacklog = 256
	retryShare     = 0.1
	retryReserve   = 20
	suspectExpiry  = 10 * time.Minute
	evictionPolicy = "learned"

	readHeaderTimeout = 10 * time.Second
)

// Node is one node of the system. Its exported fields are set before Run.
type Node struct {
	Settings parser.Settings
	Log      zerolog.Logger

	journal  *recorder.Ring
	cell     *publisher.Cell
	control  *control
	records  *recordsCell
	flight   *dispatcher.Flight
	limiter  *limiter.Limiter
	hints    *hinter.Table
	suspects *retrier.Suspects
	claims   *claimer.Claimer
	engine   *dialer.Engine
	pools    *dialer.Pools
	store    *dialer.Store
	links    *archiver.Links
	archive  *archiver.Archive
	freer    *archiver.Freer
	hosts    *dialer.Hosts
	log      *follower.Client
	gossip   *gossiper.Gossiper
	peers    *messenger.Client
	// slowPeers waits for calls that run requests.
	slowPeers *messenger.Client
	tickets   *dispatcher.Tickets
	callers   *listener.Server
	metrics   tally.Scope
	closer    func()
	reporter  prometheus.Reporter

	incarnation uint64
	process     uint64
	sequence    atomic.Uint64
	once        sync.Once
	buildErr    error
	drainOnce   sync.Once
	freeRounds  int
	drain       chan struct{}
}

// Run serves until ctx ends or an operator asks for a planned stop, finishes
// the requests that run, and returns.
func (n *Node) Run(ctx context.Context) error {
	if err := n.prepare(); err != nil {
		return err
	}
	defer n.closer()
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	servers, failed, err := n.listen(work)
	if err != nil {
		return err
	}
	n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindStart})
	n.Log.Info().Str("node", n.Settings.Name).Stringer("callers", n.Settings.Callers).Msg("node started")
	n.loops(work)
	select {
	case <-ctx.Done():
	case <-n.drain:
	case err := <-failed:
		return err
	}
	return n.stop(work, servers)
}

// stop is the planned stop: it tells the balancer and the peers, waits for them
// to notice, and ends once every running request has its answer.
func (n *Node) stop(ctx context.Context, servers *servers) error {
	applied := make(chan struct{})
	n.control.send(ctx, drainAsked{applied: applied})
	await(ctx, applied)
	n.tellAll()
	n.Log.Info().Msg("planned stop begins")
	if err := retrier.Sleep(ctx, n.Settings.Grace); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, n.Settings.DrainLimit)
	defer cancel()
	err := servers.callers.Shutdown(limit)
	n.callers.Wait()
	n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindStop})
	ending, cancelEnding := context.WithTimeout(ctx, stopTimeout)
	defer cancelEnding()
	_ = servers.peers.Shutdown(ending)
	_ = servers.operators.Shutdown(ending)
	n.Log.Info().Msg("node stopped")
	return errors.Wrap(err, "requests were still running at the end of the drain limit")
}

// prepare builds the node once, for Run or for whoever looks at it before.
func (n *Node) prepare() error {
	n.once.Do(func() { n.buildErr = n.build() })
	return n.buildErr
}

func (n *Node) build() error {
	policy, err := router.Get(n.Settings.Policy)
	if err != nil {
		return err
	}
	n.drain = make(chan struct{})
	n.incarnation = uint64(time.Now().UnixNano())
	n.process = randomUint64()
	n.journal = &recorder.Ring{Node: n.Settings.Name, Capacity: eventCapacity}
	n.cell = &publisher.Cell{}
	n.records = &recordsCell{}
	n.records.Store(&heldPage{})
	n.flight = &dispatcher.Flight{}
	n.hints = &hinter.Table{Limit: hintCapacity}
	n.suspects = &retrier.Suspects{Node: n.Settings.Name, Expiry: suspectExpiry}
	n.limiter = &limiter.Limiter{Slots: n.slots}
	n.buildMetrics()
	n.buildTransport()
	n.buildControl()
	n.buildCallers(policy)
	return nil
}

func (n *Node) buildMetrics() {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.reporter = prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "lacewingrelay",
		Tags:            map[string]string{"node": n.Settings.Name, "domain": n.Settings.Domain},
		CachedReporter:  n.reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,

		OmitCardinalityMetrics: true,
	}, time.Second)
	n.metrics = scope
	n.closer = func() { _ = closer.Close() }
}

func (n *Node) buildTransport() {
	n.pools = &dialer.Pools{DialTimeout: dialTimeout}
	n.engine = &dialer.Engine{Pools: n.pools}
	platform := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: claimer.Partitions}
	n.hosts = &dialer.Hosts{Address: n.Settings.Hosts, HTTP: &http.Client{Transport: platform, Timeout: hostsTimeout}}
	n.log = &follower.Client{Address: n.Settings.Log, HTTP: &http.Client{Transport: platform}}
	n.claims = &claimer.Claimer{
		Stream:     &follower.Claims{Client: n.log},
		Process:    n.process,
		Timeout:    logTimeout,
		PauseLimit: pauseLimit,
		Owner:      &streamOwner{node: n},
		Keep:       func() time.Duration { return n.retention().Keep },
		Now:        time.Now,
	}
	learner := &evictor.Learner{}
	n.links = &archiver.Links{Budget: n.linkBudget}
	n.store = &dialer.Store{Pools: n.pools}
	n.archive = &archiver.Archive{Store: n.store, Mover: n.engine, Links: n.links, Process: n.process, Learner: learner, Now: time.Now}
	n.freer = &archiver.Freer{Store: n.store, Policy: evictor.Must(evictionPolicy, learner), Now: time.Now}
	n.gossip = &gossiper.Gossiper{Address: n.Settings.Peers, Packer: packer.Packer{Key: n.Settings.PeerKey}, Receive: n.hear}
	between := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	n.peers = messenger.NewClient(between, peerCall, n.Settings.PeerKey)
	n.slowPeers = messenger.NewClient(between, ticketCall, n.Settings.PeerKey)
}

func (n *Node) buildControl() {
	n.control = &control{
		journal:  n.journal,
		cell:     n.cell,
		now:      time.Now,
		messages: make(chan message, messageBacklog),
		changed:  n.changed,
		state:    configurator.New(),
		table:    registrar.New(),
		view:     &observer.View{Domain: n.Settings.Domain, Near: nearTimeout, Far: farTimeout},
		records:  n.records,
	}
	n.control.publish()
}

func (n *Node) buildCallers(policy router.Policy) {
	budget := &retrier.Budget{Share: retryShare, Reserve: retryReserve}
	prompts := &dispatcher.Prompts{
		Cell:     n.cell,
		Engine:   n.engine,
		Flight:   n.flight,
		Policy:   policy,
		Hints:    n.hints,
		Budget:   budget,
		Jitter:   retrier.Random,
		Suspects: n.suspects,
		Background: func(work func(ctx context.Context)) {
			n.callers.Background(work)
		},
		Spread:  n.tellAll,
		Journal: n.journal,
		Domain:  n.Settings.Domain,
		Now:     time.Now,
	}
	if n.Settings.Stores {
		prompts.Archive = n.archive
	}
	calls := &dispatcher.Calls{
		Cell:    n.cell,
		Caller:  &dialer.Service{Pools: n.pools},
		Flight:  n.flight,
		Budget:  budget,
		Jitter:  retrier.Random,
		Journal: n.journal,
		Domain:  n.Settings.Domain,
		Now:     time.Now,
	}
	n.tickets = &dispatcher.Tickets{
		Calls: calls,
		Ticketer: &ticketer.Ticketer{
			Node: n.Settings.Name, Process: n.process, Key: n.Settings.PeerKey, Window: ticketWindow, Now: time.Now,
		},
		Forward: n,
	}
	n.callers = &listener.Server{
		Node:     n.Settings.Name,
		Cell:     n.cell,
		Limiter:  n.limiter,
		Prompts:  prompts,
		Calls:    calls,
		Orders:   &dispatcher.Orders{Calls: calls, Claims: n.claims},
		Tickets:  n.tickets,
		Inspect:  n.claims,
		Journal:  n.journal,
		Metrics:  n.metrics,
		Log:      n.Log,
		Now:      time.Now,
		Instance: n.process,
	}
}

// servers are the HTTP servers of a node.
type servers struct {
	callers, peers, operators *http.Server
}

func (n *Node) listen(ctx context.Context) (*servers, <-chan error, error) {
	failed := make(chan error, 4)
	running := &servers{}
	for _, binding := range []struct {
		server  **http.Server
		address netip.AddrPort
		handler http.Handler
	}{
		{&running.callers, n.Settings.Callers, n.callers.Handler()},
		{&running.peers, n.Settings.Peers, messenger.NewHandler(n, n.Settings.PeerKey)},
		{&running.operators, n.Settings.Operators, n.operators()},
	} {
		bound, err := net.Listen("tcp", binding.address.String())
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen")
		}
		server := &http.Server{Handler: binding.handler, ReadHeaderTimeout: readHeaderTimeout}
		*binding.server = server
		go func() { serve(server, bound, failed) }()
	}
	go func() {
		if err := n.gossip.Run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	}()
	return running, failed, nil
}

func serve(server *http.Server, bound net.Listener, failed chan<- error) {
	if err := server.Serve(bound); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// slots implements limiter.Slots.
func (n *Node) slots(name string) int {
	snapshot := n.cell.Load()
	service, ok := snapshot.Service(name)
	if !ok {
		return 0
	}
	return n.flight.Slots(service, snapshot.Services[name])
}

// changed brings the limits up to date with a new snapshot.
func (n *Node) changed(snapshot *publisher.Snapshot) {
	n.limiter.Configure(capacity(snapshot, n.Settings.Name, n.Settings.Domain))
}

// capacity works out a node's fixed share of the power ceiling: its failure
// domain's share, less what the domain's endpoints draw idle, divided by the
// configured number of entry hosts. The shares of all nodes never add up to
// more than the ceiling, whoever can reach whom. While more nodes are known than
// are configured, as when a replacement runs beside a predecessor that may only
// be paused, the share is divided among all of them.
func capacity(snapshot *publisher.Snapshot, name, domain string) limiter.Capacity {
	found := limiter.Capacity{Watts: -1}
	for _, declared := range configurator.All[configurator.Domain](snapshot.Configuration) {
		found.Nodes += declared.Hosts
	}
	ceilings := configurator.All[configurator.Ceiling](snapshot.Configuration)
	if len(ceilings) == 0 {
		return found
	}
	own, _ := configurator.Find[configurator.Domain](snapshot.Configuration, configurator.KindDomain, domain)
	known := len(knownNodes(snapshot, name, domain))
	found.Watts = 0
	for _, ceiling := range ceilings {
		share := ceiling.Shares[domain] - idleWatts(snapshot, domain)
		found.Watts = max(share/float64(max(own.Hosts, known, 1)), 0)
	}
	return found
}

// knownNodes returns the names of a failure domain's nodes that the host list
// or heartbeats show, the node itself among them.
func knownNodes(snapshot *publisher.Snapshot, name, domain string) map[string]bool {
	names := map[string]bool{name: true}
	for _, row := range snapshot.Nodes {
		if row.Domain == domain {
			names[row.Name] = true
		}
	}
	for _, peer := range snapshot.Peers {
		if peer.Domain == domain {
			names[peer.Name] = true
		}
	}
	return names
}

func idleWatts(snapshot *publisher.Snapshot, domain string) float64 {
	sum := 0.0
	for name, rows := range snapshot.Services {
		service, _ := snapshot.Service(name)
		for _, row := range rows {
			if row.Domain == domain {
				sum += service.IdleWatts
			}
		}
	}
	return sum
}

func randomUint64() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}

// Ready reports whether the node has its configuration and at least the given
// number of endpoints with a load report.
func (n *Node) Ready(endpoints int) bool {
	if n.prepare() != nil || !n.cell.Load().Ready {
		return false
	}
	reported := 0
	for _, rows := range n.cell.Load().Services {
		for _, row := range rows {
			if !row.Reported.IsZero() {
				reported++
			}
		}
	}
	return reported >= endpoints
}

// Settle returns when the answers given so far are recorded.
func (n *Node) Settle() {
	if n.prepare() == nil {
		n.callers.Wait()
	}
}
