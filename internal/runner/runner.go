// Package runner builds a node from its components and runs it.
//
// One goroutine, the control goroutine, owns the configuration, the endpoint
// table and the view of the peers. It publishes immutable snapshots, which the
// goroutines that serve requests read.
//
// # Usage
//
//	node := &runner.Node{Settings: settings, Log: logger}
//	err := node.Run(ctx) // ending ctx starts a graceful shutdown
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

// Timeouts and capacities of a node.
//
// peerTimeout limits calls to peers that answer from their own state, and
// ticketTimeout those that run requests. pauseLimit is the longest time that the
// process may be paused between a claim and the dispatch of its request; after a
// longer pause the claim is released. stopTimeout limits the shutdown of the
// operators' server.
//
// eventCapacity is the maximum number of recorded events, hintCapacity the number
// of cached blocks remembered per endpoint, and messageBacklog the capacity of the
// control goroutine's queue. retryShare is the number of retries earned per
// request, and retryReserve the maximum number of unused retries.
const (
	dialTimeout   = time.Second
	peerTimeout   = 2 * time.Second
	ticketTimeout = time.Minute
	logTimeout    = 2 * time.Second
	hostsTimeout  = 2 * time.Second
	pauseLimit    = 10 * time.Second
	stopTimeout   = 5 * time.Second

	eventCapacity  = 16384
	hintCapacity   = 8192
	messageBacklog = 256
	retryShare     = 0.1
	retryReserve   = 20
	suspectExpiry  = 10 * time.Minute
	evictionPolicy = "learned"

	readHeaderTimeout = 10 * time.Second
)

// Node is one node. Its exported fields are set before Run.
type Node struct {
	Settings parser.Settings
	Log      zerolog.Logger

	// journal records the node's events.
	journal *recorder.Ring
	// current holds the current snapshot.
	current      *publisher.SnapshotPointer
	control      *control
	records      *recordPagePointer
	inFlight     *dispatcher.InFlight
	limiter      *limiter.Limiter
	hints        *hinter.Table
	suspects     *retrier.Suspects
	claims       *claimer.Claimer
	engine       *dialer.Engine
	pools        *dialer.Pools
	store        *dialer.Store
	links        *archiver.Links
	archive      *archiver.Archive
	storeCleaner *archiver.StoreCleaner
	hosts        *dialer.Hosts
	log          *follower.Client
	gossip       *gossiper.Gossiper
	peers        *messenger.Client
	// ticketPeers has a longer timeout, for calls that run requests.
	ticketPeers  *messenger.Client
	tickets      *dispatcher.TicketCallRunner
	callers      *listener.Server
	metrics      tally.Scope
	closeMetrics func()
	meter        *meter.Meter

	incarnation       uint64
	process           uint64
	sequence          atomic.Uint64
	knownIncarnations knownIncarnations
	buildOnce         sync.Once
	buildErr          error
	drainOnce         sync.Once
	evictionRounds    int
	drain             chan struct{}
}

// Run serves until ctx ends or an operator requests a graceful shutdown, waits for
// the running requests, and returns. It returns an error if the node can't be
// built, a server fails, or requests are still running after the drain limit.
func (n *Node) Run(ctx context.Context) error {
	if err := n.ensureBuilt(); err != nil {
		return err
	}
	defer n.closeMetrics()
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	servers, failed, err := n.listen(loopCtx)
	if err != nil {
		return err
	}
	n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindStart})
	n.Log.Info().Str("node", n.Settings.Name).Stringer("callers", n.Settings.Callers).Msg("node started")
	n.startLoops(loopCtx)
	select {
	case <-ctx.Done():
	case <-n.drain:
	case err := <-failed:
		return err
	}
	return n.stop(loopCtx, servers)
}

// stop performs a graceful shutdown: it marks the node as leaving for the load
// balancer and the peers, waits for the grace period so that they stop sending
// requests, and returns once every running request has been answered or the
// drain limit is reached.
func (n *Node) stop(ctx context.Context, servers *servers) error {
	applied := make(chan struct{})
	n.control.send(ctx, drainRequested{applied: applied})
	waitApplied(ctx, applied)
	n.broadcastHeartbeat()
	n.Log.Info().Msg("graceful shutdown started")
	if err := retrier.Sleep(ctx, n.Settings.Grace); err != nil {
		return err
	}
	drainCtx, cancelDrain := context.WithTimeout(ctx, n.Settings.DrainLimit)
	defer cancelDrain()
	err := servers.callers.Shutdown(drainCtx)
	// Peers may have forwarded requests for tickets that this node issued.
	err = errors.CombineErrors(err, servers.peers.Shutdown(drainCtx))
	n.callers.Wait()
	n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindStop})
	stopCtx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()
	_ = servers.operators.Shutdown(stopCtx)
	n.Log.Info().Msg("node stopped")
	return errors.Wrap(err, "requests were still running at the end of the drain limit")
}

// ensureBuilt builds the node on the first call. Callers of Ready or
// WaitRecorded may need the components before Run.
func (n *Node) ensureBuilt() error {
	n.buildOnce.Do(func() { n.buildErr = n.build() })
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
	n.current = &publisher.SnapshotPointer{}
	n.records = &recordPagePointer{}
	n.records.Store(&recordPage{})
	n.inFlight = &dispatcher.InFlight{}
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
	started := &servers{}
	for _, binding := range []struct {
		server  **http.Server
		address netip.AddrPort
		handler http.Handler
	}{
		{&started.callers, n.Settings.Callers, n.callers.Handler()},
		{&started.peers, n.Settings.Peers, messenger.NewHandler(n, n.Settings.PeerKey)},
		{&started.operators, n.Settings.Operators, n.operators()},
	} {
		socket, err := net.Listen("tcp", binding.address.String())
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen")
		}
		server := &http.Server{Handler: binding.handler, ReadHeaderTimeout: readHeaderTimeout}
		*binding.server = server
		go func() { serve(server, socket, failed) }()
	}
	go func() {
		if err := n.gossip.Run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	}()
	return started, failed, nil
}

func serve(server *http.Server, socket net.Listener, failed chan<- error) {
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// slots implements limiter.Slots. It returns 0 for an unknown service.
func (n *Node) slots(name string) int {
	snapshot := n.current.Load()
	service, ok := snapshot.Service(name)
	if !ok {
		return 0
	}
	return n.inFlight.Slots(service, snapshot.Services[name])
}

func randomUint64() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}

// Ready reports whether the node has read the configuration and has load reports
// of at least the given number of endpoints.
func (n *Node) Ready(endpoints int) bool {
	if n.ensureBuilt() != nil || !n.current.Load().Ready {
		return false
	}
	reported := 0
	for _, rows := range n.current.Load().Services {
		for _, row := range rows {
			if !row.ReportedAt.IsZero() {
				reported++
			}
		}
	}
	return reported >= endpoints
}

// WaitRecorded waits until the outcomes of all answered requests are recorded.
func (n *Node) WaitRecorded() {
	if n.ensureBuilt() == nil {
		n.callers.Wait()
	}
}
