package runner

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// maxRecentRecords is the maximum number of configuration records kept for
	// peers.
	maxRecentRecords = 1024
	// publishInterval is the minimum interval between two snapshots that only
	// contain new load reports or heartbeats.
	publishInterval = 100 * time.Millisecond
	// sameDomainTimeout and otherDomainTimeout are the times without heartbeat
	// after which a peer of the same or of another failure domain is considered
	// dead.
	sameDomainTimeout  = 10 * time.Second
	otherDomainTimeout = time.Minute
	// peerRetention is the time without heartbeat after which a peer is removed
	// from the view.
	peerRetention = 10 * time.Minute
)

// message is an update that the control goroutine applies.
type message interface {
	apply(c *control)
}

// control owns a node's control state. Unless a field is safe for concurrent
// use, only the goroutine of run accesses it.
type control struct {
	journal  *recorder.Ring
	current  *publisher.SnapshotPointer
	now      func() time.Time
	messages chan message
	// onSnapshot is called after each published snapshot.
	onSnapshot func(snapshot *publisher.Snapshot)

	state *configurator.State
	table *registrar.Table
	view  *peertracker.View
	// recentRecords are the latest records of the configuration stream.
	recentRecords []replicator.Record
	teams         map[string]configurator.Team
	ready         bool
	leaving       bool
	alarm         string
	// publishNow requests a snapshot immediately, dirty one at the next tick.
	publishNow bool
	dirty      bool
	// publishedPeers is the number of peers in the last snapshot.
	publishedPeers int
	// records publishes recentRecords for calls from peers.
	records *recordPagePointer
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-c.messages:
			received.apply(c)
			if c.publishNow {
				c.publish()
			}
		case <-ticker.C:
			c.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick publishes a snapshot if the state has changed since the last one or peers
// have reached their heartbeat timeout.
func (c *control) tick() {
	c.view.Prune(c.now(), peerRetention)
	if c.dirty || len(c.view.Alive(c.now())) != c.publishedPeers {
		c.publish()
	}
}

// send queues a message for the control goroutine. It blocks while the queue is
// full.
func (c *control) send(ctx context.Context, m message) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

// State implements replicator.Sink.
func (c *control) State() *configurator.State { return c.current.Load().Configuration }

// Ready implements replicator.Sink.
func (c *control) Ready() bool { return c.current.Load().Ready }

// Apply implements replicator.Sink.
func (c *control) Apply(ctx context.Context, records []replicator.Record, source string) {
	applied := make(chan struct{})
	c.send(ctx, recordsRead{records: records, source: source, applied: applied})
	waitApplied(ctx, applied)
}

// Restore implements replicator.Sink.
func (c *control) Restore(ctx context.Context, state *configurator.State, source string) {
	applied := make(chan struct{})
	c.send(ctx, stateRestored{state: state, source: source, applied: applied})
	waitApplied(ctx, applied)
}

// CaughtUp implements replicator.Sink.
func (c *control) CaughtUp(ctx context.Context, source string) {
	if !c.Ready() {
		c.send(ctx, caughtUp{source: source})
	}
}

func waitApplied(ctx context.Context, applied <-chan struct{}) {
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

func (c *control) publish() {
	snapshot := publisher.Build(c.state, c.teams, c.table.Rows())
	c.teams = snapshot.Teams
	snapshot.Peers = c.view.Alive(c.now())
	snapshot.Ready = c.ready
	snapshot.Leaving = c.leaving
	snapshot.Alarm = c.alarm
	c.publishNow, c.dirty = false, false
	c.publishedPeers = len(snapshot.Peers)
	c.current.Store(snapshot)
	c.onSnapshot(snapshot)
}

// recordsRead applies records of the configuration stream that were read from
// the log or received from a peer. Records out of order are ignored.
type recordsRead struct {
	records []replicator.Record
	// source is the name of where the records came from, for events.
	source string
	// applied is closed once the records have been applied.
	applied chan struct{}
}

func (m recordsRead) apply(c *control) {
	defer c.acknowledge(m.applied)
	for _, record := range m.records {
		if record.Offset != c.state.Next() {
			continue
		}
		if !c.applyRecord(record, m.source) {
			return
		}
	}
}

// acknowledge publishes pending changes and closes the sender's channel.
func (c *control) acknowledge(applied chan struct{}) {
	if c.publishNow {
		c.publish()
	}
	close(applied)
}

// applyRecord applies the next record. It reports false and leaves the state
// unchanged if the record can't be evaluated by this program.
func (c *control) applyRecord(record replicator.Record, source string) bool {
	next, _, verdict, err := transcoder.ApplyRecord(c.state, record.Offset, record.Data)
	if err != nil {
		c.raiseAlarm(err)
		return false
	}
	c.state = next
	c.teams = nil
	c.publishNow = true
	c.retain(record)
	event := recorder.Event{Kind: recorder.KindApply, Offset: verdict.Offset, Detail: verdict.ID + " from " + source}
	if !verdict.Accepted() {
		event.Kind = recorder.KindReject
		event.Detail = verdict.ID + ": " + verdict.Reason.Error()
	}
	c.journal.Record(c.now(), event)
	return true
}

func (c *control) raiseAlarm(err error) {
	if c.alarm == err.Error() {
		return
	}
	c.alarm = err.Error()
	c.publishNow = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindAlarm, Offset: c.state.Next(), Detail: c.alarm})
}

func (c *control) retain(record replicator.Record) {
	c.recentRecords = append(c.recentRecords, record)
	// Half of the records are dropped at once, so that the slice is not copied
	// for every record.
	if len(c.recentRecords) > maxRecentRecords {
		c.recentRecords = append([]replicator.Record(nil), c.recentRecords[len(c.recentRecords)-maxRecentRecords/2:]...)
	}
	c.records.Store(&recordPage{next: c.state.Next(), records: c.recentRecords})
}

// stateRestored replaces the configuration by a state from a snapshot, if that is
// newer.
type stateRestored struct {
	state   *configurator.State
	source  string
	applied chan struct{}
}

func (m stateRestored) apply(c *control) {
	defer c.acknowledge(m.applied)
	if m.state.Next() <= c.state.Next() {
		return
	}
	c.state = m.state
	c.teams = nil
	c.recentRecords = nil
	c.records.Store(&recordPage{next: c.state.Next()})
	c.publishNow = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindApply, Offset: c.state.Next(), Detail: "snapshot from " + m.source})
}

// caughtUp makes the node ready: the configuration has been read up to the end of
// the stream or up to the highest offset of the reachable peers.
type caughtUp struct{ source string }

func (m caughtUp) apply(c *control) {
	if c.ready {
		return
	}
	c.ready = true
	c.publishNow = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindReady, Offset: c.state.Next(), Detail: "configuration from " + m.source})
}

// hostsListed applies a new host list.
type hostsListed struct{ endpoints []registrar.Endpoint }

func (m hostsListed) apply(c *control) {
	wasLeaving := map[string]bool{}
	for _, row := range c.table.Rows() {
		wasLeaving[row.Name] = row.IsLeaving()
	}
	c.table.Replace(m.endpoints)
	for _, row := range c.table.Rows() {
		leavingBefore, known := wasLeaving[row.Name]
		switch {
		case !known:
			c.recordEndpointEvent(recorder.KindJoin, row)
		case row.IsLeaving() && !leavingBefore:
			c.recordEndpointEvent(recorder.KindLeave, row)
		}
		delete(wasLeaving, row.Name)
	}
	for name, alreadyLeaving := range wasLeaving {
		if !alreadyLeaving {
			c.recordEndpointEvent(recorder.KindLeave, registrar.EndpointState{Endpoint: registrar.Endpoint{Name: name}})
		}
	}
	c.publishNow = true
}

func (c *control) recordEndpointEvent(kind recorder.Kind, row registrar.EndpointState) {
	c.journal.Record(c.now(), recorder.Event{Kind: kind, Endpoint: row.Name, Detail: row.Service})
}

// loadReported applies an endpoint's load report or, if err is set, counts a
// failed request for it.
type loadReported struct {
	endpoint string
	report   registrar.Report
	err      error
}

func (m loadReported) apply(c *control) {
	if m.err != nil {
		c.table.RecordFailure(m.endpoint)
	} else {
		c.table.Report(m.endpoint, c.now(), m.report)
	}
	c.dirty = true
}

// heartbeatsReceived applies heartbeats of peers.
type heartbeatsReceived struct{ heartbeats []peertracker.Heartbeat }

func (m heartbeatsReceived) apply(c *control) {
	for _, heartbeat := range m.heartbeats {
		if c.view.Observe(c.now(), heartbeat) {
			c.dirty = true
		}
	}
}

// drainRequested marks the node as leaving, for a graceful shutdown.
type drainRequested struct{ applied chan struct{} }

func (m drainRequested) apply(c *control) {
	defer c.acknowledge(m.applied)
	if c.leaving {
		return
	}
	c.leaving = true
	c.publishNow = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindDrain})
}
