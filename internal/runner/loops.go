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

const (
	hostsInterval = 500 * time.Millisecond
	loadInterval  = 250 * time.Millisecond
	// pollRate bounds the requests for load reports and cache events, in
	// requests per second, whatever the number of endpoints.
	pollRate      = 60
	requestsAPoll = 2
	loadTimeout   = time.Second
	sweepInterval = time.Second
	orderInterval = 250 * time.Millisecond
	orderTimeout  = 2 * time.Second
	freeInterval  = time.Second
	// collectEvery is the number of rounds of freeing between two searches for
	// data without manifest.
	collectEvery   = 600
	metricInterval = time.Second
)

// loops starts the node's background work, which ends with ctx.
func (n *Node) loops(ctx context.Context) {
	go n.control.run(ctx)
	go n.replicator().Run(ctx)
	go n.beat(ctx)
	go every(ctx, hostsInterval, n.listHosts)
	go n.poll(ctx)
	go every(ctx, sweepInterval, n.sweep)
	orders := n.reconciler()
	go every(ctx, orderInterval, func(ctx context.Context) { orders.Step(ctx, n.cell.Load()) })
	go every(ctx, carryInterval, n.carry)
	go every(ctx, freeInterval, n.free)
	go every(ctx, metricInterval, n.gauge)
}

func every(ctx context.Context, interval time.Duration, work func(ctx context.Context)) {
	for {
		work(ctx)
		if retrier.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// owns reports whether this node is the owner of a piece of work among the
// nodes that it believes to be alive.
func (n *Node) owns(work string) bool {
	_, own := n.ownerOf(work)
	return own
}

func (n *Node) listHosts(ctx context.Context) {
	endpoints, err := n.hosts.List(ctx)
	if errors.Is(err, dialer.ErrUnchanged) {
		return
	}
	if err != nil {
		n.Log.Debug().Err(err).Msg("host list can't be read")
		return
	}
	n.control.send(ctx, hostsListed{endpoints: endpoints})
}

// poll asks the endpoints for their load until ctx ends, the more seldom the
// more of them there are.
func (n *Node) poll(ctx context.Context) {
	for {
		endpoints := 0
		for _, rows := range n.cell.Load().Services {
			endpoints += len(rows)
		}
		n.pollLoads(ctx)
		wait := time.Duration(endpoints) * requestsAPoll * time.Second / pollRate
		if retrier.Sleep(ctx, max(wait, loadInterval)) != nil {
			return
		}
	}
}

// pollLoads asks all endpoints for their load and their cache events.
func (n *Node) pollLoads(ctx context.Context) {
	snapshot := n.cell.Load()
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
	n.limiter.Pump()
}

func (n *Node) pollEndpoint(ctx context.Context, service configurator.Service, row registrar.Row) {
	own := n.flight.Running(row.Name)
	report, err := n.engine.Load(ctx, row.Address, loadTimeout)
	report.Own = own
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

func (n *Node) sweep(ctx context.Context) {
	if err := n.claims.Sweep(ctx); err != nil {
		n.Log.Debug().Err(err).Msg("claims in doubt are not settled yet")
	}
}

// reconciler sends the orders that bring endpoints to the configured weights.
func (n *Node) reconciler() *reconciler.Reconciler {
	return &reconciler.Reconciler{
		Sender: n,
		AtEnd:  n.atEnd,
		Owns:   n.owns,
		Sent:   n.ordered,
	}
}

// Order implements reconciler.Sender.
func (n *Node) Order(ctx context.Context, endpoint registrar.Endpoint, fence uint64, weights string) error {
	return n.engine.Order(ctx, endpoint.Address, fence, weights, orderTimeout)
}

// ordered records an order.
func (n *Node) ordered(order reconciler.Order, err error) {
	if err != nil {
		n.Log.Info().Err(err).Str("endpoint", order.Endpoint.Name).Msg("order was not taken")
		return
	}
	n.journal.Record(time.Now(), recorder.Event{
		Kind:     recorder.KindOrder,
		Endpoint: order.Endpoint.Name,
		Offset:   order.Fence,
		Detail:   "weights " + order.Weights,
	})
}

// atEnd reports whether the node has applied all of the configuration stream.
func (n *Node) atEnd(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	own := n.cell.Load().Configuration.Next()
	page, err := n.log.Read(ctx, follower.ConfigurationStream, own, 0)
	return err == nil && page.Next == own
}

// free makes room on the store hosts that this node owns.
func (n *Node) free(ctx context.Context) {
	n.freeRounds++
	for _, row := range n.cell.Load().Stores() {
		if row.Left() || !n.owns("store/"+row.Name) {
			continue
		}
		freed, err := n.freer.Free(ctx, row.Endpoint)
		if err != nil {
			n.Log.Debug().Err(err).Str("store", row.Name).Msg("store host can't be freed")
			continue
		}
		if freed > 0 {
			n.journal.Record(time.Now(), recorder.Event{Kind: recorder.KindFree, Endpoint: row.Name, Detail: fmt.Sprintf("%d blocks", freed)})
		}
		if n.freeRounds%collectEvery == 0 {
			n.collect(ctx, row.Endpoint)
		}
	}
}

func (n *Node) collect(ctx context.Context, host registrar.Endpoint) {
	names, err := n.store.Data(ctx, host.Address)
	if err != nil {
		return
	}
	listed, err := n.store.List(ctx, host.Address)
	if err != nil {
		return
	}
	if _, err := n.freer.Collect(ctx, host, names, listed); err != nil {
		n.Log.Debug().Err(err).Str("store", host.Name).Msg("data without manifest was not deleted")
	}
}

// linkBudget is this node's fixed share of a store host's link.
func (n *Node) linkBudget(host string) int64 {
	snapshot := n.cell.Load()
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

func (n *Node) gauge(context.Context) {
	watts, peak := n.limiter.Watts()
	counts := n.gossip.Counts()
	imported, exported := n.links.Totals()
	n.metrics.Gauge("store_imported_bytes").Update(float64(imported))
	n.metrics.Gauge("store_exported_bytes").Update(float64(exported))
	n.metrics.Gauge("watts").Update(watts)
	n.metrics.Gauge("watts_peak").Update(peak)
	n.metrics.Gauge("queued").Update(float64(n.limiter.Queued()))
	n.metrics.Gauge("claims_abandoned").Update(float64(n.claims.Abandoned()))
	n.metrics.Gauge("claim_keys").Update(float64(n.claims.Keys()))
	n.metrics.Gauge("configuration_next").Update(float64(n.cell.Load().Configuration.Next()))
	n.metrics.Gauge("peers").Update(float64(len(n.cell.Load().Peers)))
	n.metrics.Gauge("gossip_sent_bytes").Update(float64(counts.SentBytes))
	n.metrics.Gauge("gossip_received_bytes").Update(float64(counts.ReceivedBytes))
	n.metrics.Gauge("gossip_refused").Update(float64(counts.Refused))
}
