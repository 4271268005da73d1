package runner

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// heldRecords is the number of configuration records kept for peers.
	heldRecords = 1024
	// publishInterval bounds how often load reports make a new snapshot.
	publishInterval = 100 * time.Millisecond
	// nearTimeout and farTimeout are the silences after which a peer is taken
	// for dead.
	nearTimeout = 10 * time.Second
	farTimeout  = time.Minute
	// peerForget is the silence after which a peer is forgotten.
	peerForget = 10 * time.Minute
)

// message is something that the control goroutine takes in.
type message interface {
	apply(c *control)
}

// control owns a node's control state. Only its run method touches the fields.
type control struct {
	journal  *recorder.Ring
	cell     *publisher.Cell
	now      func() time.Time
	messages chan message
	// changed is called after each new snapshot.
	changed func(snapshot *publisher.Snapshot)

	state   *configurator.State
	table   *registrar.Table
	view    *observer.View
	held    []replicator.Record
	teams   map[string]configurator.Team
	ready   bool
	leaving bool
	alarm   string
	// urgent asks for a snapshot at once, dirty for one at the next tick.
	urgent bool
	dirty  bool
	// alive is the number of peers in the last snapshot.
	alive int
	// records publishes the held records for peers.
	records *recordsCell
}

func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-c.messages:
			received.apply(c)
			if c.urgent {
				c.publish()
			}
		case <-ticker.C:
			c.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick publishes what has changed since the last snapshot, and peers that have
// fallen silent.
func (c *control) tick() {
	c.view.Prune(c.now(), peerForget)
	if c.dirty || len(c.view.Alive(c.now())) != c.alive {
		c.publish()
	}
}

// send hands a message to the control goroutine.
func (c *control) send(ctx context.Context, m message) {
	select {
	case c.messages <- m:
	case <-ctx.Done():
	}
}

// State implements replicator.Sink.
func (c *control) State() *configurator.State { return c.cell.Load().Configuration }

// Ready implements replicator.Sink.
func (c *control) Ready() bool { return c.cell.Load().Ready }

// Take implements replicator.Sink.
func (c *control) Take(ctx context.Context, records []replicator.Record, source string) {
	applied := make(chan struct{})
	c.send(ctx, recordsRead{records: records, source: source, applied: applied})
	await(ctx, applied)
}

// Restore implements replicator.Sink.
func (c *control) Restore(ctx context.Context, state *configurator.State, source string) {
	applied := make(chan struct{})
	c.send(ctx, stateRestored{state: state, source: source, applied: applied})
	await(ctx, applied)
}

// CaughtUp implements replicator.Sink.
func (c *control) CaughtUp(ctx context.Context, source string) {
	if !c.Ready() {
		c.send(ctx, caughtUp{source: source})
	}
}

func await(ctx context.Context, applied <-chan struct{}) {
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
	c.urgent, c.dirty = false, false
	c.alive = len(snapshot.Peers)
	c.cell.Store(snapshot)
	c.changed(snapshot)
}

// recordsRead brings records of the configuration stream, from the log or from
// a peer.
type recordsRead struct {
	records []replicator.Record
	// source names where the records came from.
	source string
	// applied is closed once the records have been taken in.
	applied chan struct{}
}

func (m recordsRead) apply(c *control) {
	defer c.confirm(m.applied)
	for _, record := range m.records {
		if record.Offset != c.state.Next() {
			continue
		}
		if !c.fold(record, m.source) {
			return
		}
	}
}

// confirm publishes what has changed and tells the sender.
func (c *control) confirm(applied chan struct{}) {
	if c.urgent {
		c.publish()
	}
	close(applied)
}

// fold takes in the next record. It reports false when the record can't be
// judged, and the state then stays where it is.
func (c *control) fold(record replicator.Record, source string) bool {
	next, _, verdict, err := transcoder.FoldRecord(c.state, record.Offset, record.Data)
	if err != nil {
		c.raise(err)
		return false
	}
	c.state = next
	c.teams = nil
	c.urgent = true
	c.hold(record)
	event := recorder.Event{Kind: recorder.KindApply, Offset: verdict.Offset, Detail: verdict.ID + " from " + source}
	if !verdict.Accepted() {
		event.Kind = recorder.KindReject
		event.Detail = verdict.ID + ": " + verdict.Reason.Error()
	}
	c.journal.Record(c.now(), event)
	return true
}

func (c *control) raise(err error) {
	if c.alarm == err.Error() {
		return
	}
	c.alarm = err.Error()
	c.urgent = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindAlarm, Offset: c.state.Next(), Detail: c.alarm})
}

func (c *control) hold(record replicator.Record) {
	c.held = append(c.held, record)
	if len(c.held) > heldRecords {
		c.held = append([]replicator.Record(nil), c.held[len(c.held)-heldRecords/2:]...)
	}
	c.records.Store(&heldPage{next: c.state.Next(), records: c.held})
}

// stateRestored brings a whole state that is newer than the node's own.
type stateRestored struct {
	state   *configurator.State
	source  string
	applied chan struct{}
}

func (m stateRestored) apply(c *control) {
	defer c.confirm(m.applied)
	if m.state.Next() <= c.state.Next() {
		return
	}
	c.state = m.state
	c.teams = nil
	c.held = nil
	c.records.Store(&heldPage{next: c.state.Next()})
	c.urgent = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindApply, Offset: c.state.Next(), Detail: "snapshot from " + m.source})
}

// caughtUp tells that the configuration has been read to its end, or to the
// highest offset of the reachable peers.
type caughtUp struct{ source string }

func (m caughtUp) apply(c *control) {
	if c.ready {
		return
	}
	c.ready = true
	c.urgent = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindReady, Offset: c.state.Next(), Detail: "configuration from " + m.source})
}

// hostsListed brings a new host list.
type hostsListed struct{ endpoints []registrar.Endpoint }

func (m hostsListed) apply(c *control) {
	left := map[string]bool{}
	for _, row := range c.table.Rows() {
		left[row.Name] = row.Left()
	}
	c.table.Replace(m.endpoints)
	for _, row := range c.table.Rows() {
		before, known := left[row.Name]
		switch {
		case !known:
			c.note(recorder.KindJoin, row)
		case row.Left() && !before:
			c.note(recorder.KindLeave, row)
		}
		delete(left, row.Name)
	}
	for name, gone := range left {
		if !gone {
			c.note(recorder.KindLeave, registrar.Row{Endpoint: registrar.Endpoint{Name: name}})
		}
	}
	c.urgent = true
}

func (c *control) note(kind recorder.Kind, row registrar.Row) {
	c.journal.Record(c.now(), recorder.Event{Kind: kind, Endpoint: row.Name, Detail: row.Service})
}

// loadReported brings an endpoint's load report, or the failure to get one.
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

// heartbeatHeard brings heartbeats of peers.
type heartbeatHeard struct{ heartbeats []observer.Heartbeat }

func (m heartbeatHeard) apply(c *control) {
	for _, heartbeat := range m.heartbeats {
		if c.view.Observe(c.now(), heartbeat) {
			c.dirty = true
		}
	}
}

// drainAsked begins a planned stop.
type drainAsked struct{ applied chan struct{} }

func (m drainAsked) apply(c *control) {
	defer c.confirm(m.applied)
	if c.leaving {
		return
	}
	c.leaving = true
	c.urgent = true
	c.journal.Record(c.now(), recorder.Event{Kind: recorder.KindDrain})
}
