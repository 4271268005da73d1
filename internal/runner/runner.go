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
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/parser"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/dialer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/gossiper"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/listener"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/meter"
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
	meter     *meter.Meter

	incarnation uint64
	process     uint64
	sequence    atomic.Uint64
	greetings   greetings
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
	// Peers may have forwarded requests under this node's tickets.
	err = errors.CombineErrors(err, servers.peers.Shutdown(limit))
	n.callers.Wait()
	n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindStop})
	ending, cancelEnding := context.WithTimeout(ctx, stopTimeout)
	defer cancelEnding()
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
			if !row.ReportedAt.IsZero() {
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
