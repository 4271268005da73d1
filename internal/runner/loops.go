package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/reconciler"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/dialer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
)

// Intervals and timeouts of the background tasks. loadInterval is the minimum
// interval between two polls of the endpoints; polling an endpoint takes
// requestsPerPoll requests, each limited by loadTimeout.
const (
	hostsInterval = 500 * time.Millisecond
	loadInterval  = 250 * time.Millisecond
	// pollRate limits the requests for load reports and cache events, in
	// requests per second over all endpoints.
	pollRate         = 60
	requestsPerPoll  = 2
	loadTimeout      = time.Second
	sweepInterval    = time.Second
	orderInterval    = 250 * time.Millisecond
	orderTimeout     = 2 * time.Second
	evictionInterval = time.Second
	// orphanDeletionRounds is the number of eviction rounds between two
	// searches for data without manifest.
	orphanDeletionRounds = 600
	gaugeInterval        = time.Second
)

// startLoops starts the node's background tasks, which run until ctx ends.
func (n *Node) startLoops(ctx context.Context) {
	go n.control.run(ctx)
	go n.replicator().Run(ctx)
	go n.sendHeartbeats(ctx)
	go runEvery(ctx, hostsInterval, n.refreshHosts)
	go n.pollLoop(ctx)
	go runEvery(ctx, sweepInterval, n.sweepClaims)
	orders := n.reconciler()
	go runEvery(ctx, orderInterval, func(ctx context.Context) { orders.Step(ctx, n.current.Load()) })
	go runEvery(ctx, renewInterval, n.renewClaims)
	go runEvery(ctx, evictionInterval, n.evictBlocks)
	go runEvery(ctx, gaugeInterval, n.updateGauges)
}

func runEvery(ctx context.Context, interval time.Duration, task func(ctx context.Context)) {
	for {
		task(ctx)
		if retrier.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// owns reports whether this node is the owner of a task among the nodes that it
// considers alive.
func (n *Node) owns(task string) bool {
	_, own := n.ownerOf(task)
	return own
}

func (n *Node) refreshHosts(ctx context.Context) {
	endpoints, err := n.hosts.List(ctx)
	if errors.Is(err, dialer.ErrUnchanged) {
		return
	}
	if err != nil {
		n.Log.Debug().Err(err).Msg("failed to read the host list")
		return
	}
	n.control.send(ctx, hostsListed{endpoints: endpoints})
}

// pollLoop polls the endpoints until ctx ends. The interval grows with the number
// of endpoints, so that the rate of requests stays below pollRate.
func (n *Node) pollLoop(ctx context.Context) {
	for {
		endpoints := 0
		for _, rows := range n.current.Load().Services {
			endpoints += len(rows)
		}
		n.pollEndpoints(ctx)
		wait := time.Duration(endpoints) * requestsPerPoll * time.Second / pollRate
		if retrier.Sleep(ctx, max(wait, loadInterval)) != nil {
			return
		}
	}
}

// pollEndpoints requests the load and the cache events of all endpoints.
func (n *Node) pollEndpoints(ctx context.Context) {
	snapshot := n.current.Load()
	var polls sync.WaitGroup
	for name, rows := range snapshot.Services {
		service, declared := snapshot.Service(name)
		if !declared {
			continue
		}
		for _, row := range rows {
			polls.Go(func() { n.pollEndpoint(ctx, service, row) })
		}
	}
	polls.Wait()
	n.limiter.AdmitWaiting()
}

func (n *Node) pollEndpoint(ctx context.Context, service configurator.Service, row registrar.EndpointState) {
	own := n.inFlight.Running(row.Name)
	report, err := n.engine.Load(ctx, row.Address, loadTimeout)
	report.OwnRunning = own
	n.control.send(ctx, loadReported{endpoint: row.Name, report: report, err: err})
	if err != nil || service.Type != configurator.ServiceModel {
		return
	}
	events, err := n.engine.Events(ctx, row.Address, n.hints.Next(row.Name), loadTimeout)
	if err != nil {
		return
	}
	n.hints.Apply(row.Name, events)
}

func (n *Node) sweepClaims(ctx context.Context) {
	if err := n.claims.Sweep(ctx); err != nil {
		n.Log.Debug().Err(err).Msg("failed to settle claims with unknown outcome")
	}
}

// reconciler returns the reconciler, which sends orders to endpoints until they
// serve the configured weights.
func (n *Node) reconciler() *reconciler.Reconciler {
	return &reconciler.Reconciler{
		Sender:     n,
		IsCaughtUp: n.configurationCaughtUp,
		Owns:       n.owns,
		OnSent:     n.recordOrder,
	}
}

// Order implements reconciler.Sender.
func (n *Node) Order(ctx context.Context, endpoint registrar.Endpoint, fencingToken uint64, weights string) error {
	return n.engine.Order(ctx, endpoint.Address, fencingToken, weights, orderTimeout)
}

// recordOrder records a sent order or logs its error.
func (n *Node) recordOrder(order reconciler.Order, err error) {
	if err != nil {
		n.Log.Info().Err(err).Str("endpoint", order.Endpoint.Name).Msg("endpoint did not accept the order")
		return
	}
	n.journal.Record(time.Now(), recorder.Event{
		Kind:     recorder.KindOrder,
		Endpoint: order.Endpoint.Name,
		Offset:   order.FencingToken,
		Detail:   "weights " + order.Weights,
	})
}

// configurationCaughtUp reports whether the node has applied all records of the
// configuration stream.
func (n *Node) configurationCaughtUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	own := n.current.Load().Configuration.Next()
	page, err := n.log.Read(ctx, follower.ConfigurationStream, own, 0)
	return err == nil && page.Next == own
}

// evictBlocks evicts blocks from the store hosts that this node owns if they are
// nearly full.
func (n *Node) evictBlocks(ctx context.Context) {
	n.evictionRounds++
	for _, row := range n.current.Load().Stores() {
		if row.IsLeaving() || !n.owns("store/"+row.Name) {
			continue
		}
		evicted, err := n.storeCleaner.Evict(ctx, row.Endpoint)
		if err != nil {
			n.Log.Debug().Err(err).Str("store", row.Name).Msg("failed to evict blocks from the store host")
			continue
		}
		if evicted > 0 {
			n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindFree, Endpoint: row.Name, Detail: fmt.Sprintf("%d blocks", evicted)})
		}
		if n.evictionRounds%orphanDeletionRounds == 0 {
			n.deleteOrphans(ctx, row.Endpoint)
		}
	}
}

func (n *Node) deleteOrphans(ctx context.Context, host registrar.Endpoint) {
	names, err := n.store.ListData(ctx, host.Address)
	if err != nil {
		return
	}
	listed, err := n.store.ListManifests(ctx, host.Address)
	if err != nil {
		return
	}
	if _, err := n.storeCleaner.DeleteOrphans(ctx, host, names, listed); err != nil {
		n.Log.Debug().Err(err).Str("store", host.Name).Msg("failed to delete data without manifest")
	}
}

// linkBudget returns this node's fixed share of the bandwidth of a store host's
// link in bytes per second, or 0 for an unknown host.
func (n *Node) linkBudget(host string) int64 {
	snapshot := n.current.Load()
	nodes := int64(max(capacity(snapshot, n.Settings.Name, n.Settings.Domain).Nodes, 1))
	for _, store := range configurator.All[configurator.Store](snapshot.Configuration) {
		for _, row := range snapshot.Services[store.Name] {
			if row.Name == host {
				return store.LinkBytes / nodes
			}
		}
	}
	return 0
}

func (n *Node) updateGauges(context.Context) {
	watts, peak := n.limiter.Watts()
	counts := n.gossip.Counts()
	imported, exported := n.links.Totals()
	n.metrics.Gauge("store_imported_bytes").Update(float64(imported))
	n.metrics.Gauge("store_exported_bytes").Update(float64(exported))
	n.metrics.Gauge("watts").Update(watts)
	n.metrics.Gauge("watts_peak").Update(peak)
	n.metrics.Gauge("queued").Update(float64(n.limiter.Queued()))
	n.metrics.Gauge("claims_abandoned").Update(float64(n.claims.AbandonedCount()))
	n.metrics.Gauge("claim_keys").Update(float64(n.claims.KeyCount()))
	n.metrics.Gauge("configuration_next").Update(float64(n.current.Load().Configuration.Next()))
	n.metrics.Gauge("peers").Update(float64(len(n.current.Load().Peers)))
	n.metrics.Gauge("gossip_sent_bytes").Update(float64(counts.SentBytes))
	n.metrics.Gauge("gossip_received_bytes").Update(float64(counts.ReceivedBytes))
	n.metrics.Gauge("gossip_refused").Update(float64(counts.Refused))
}
