// Package replicator brings the configuration stream to a node: from the log,
// or from peers while the log can't be reached.
//
// What it hands on is always the next record of the stream, so the applied
// offset only rises. New records are offered to peers of the failure domain
// before this node puts them in force, so that a domain that is cut off does
// not forget them when the node dies.
//
// # Usage
//
//	r := &replicator.Replicator{Log: log, Peers: peers, Sink: sink, …}
//	r.Run(ctx)
package replicator

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// followWait and readTimeout bound a read: a connection that has gone
	// silent is given up after their sum, well within the time in which a
	// change has to be in force.
	followWait  = 2 * time.Second
	readTimeout = time.Second
	retryWait   = 200 * time.Millisecond
	pushTimeout = 500 * time.Millisecond
	// fetchTimeout bounds a peer's answers, fetchCount the peers asked at once.
	fetchTimeout = time.Second
	fetchCount   = 6
	// pushCount is the number of peers that a new record is offered to.
	pushCount = 3
	// snapshotEvery is the number of records between two snapshots.
	snapshotEvery = 256
)

// errNoAdvance is returned when records were read and none could be applied.
var errNoAdvance = errors.New("configuration does not advance")

// Record is an encoded configuration record at its offset.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is a part of the stream.
type Page struct {
	// Oldest is the first offset that the source still holds.
	Oldest uint64
	// Next is the offset after the source's newest record.
	Next    uint64
	Records []Record
}

// Log is the log's streams of configuration records and of whole states.
type Log interface {
	// Read returns records from an offset on; it waits for one at most for the
	// given time.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// Newest returns the newest whole state.
	Newest(ctx context.Context) (configurator.Snapshot, error)
	// Keep appends a whole state.
	Keep(ctx context.Context, snapshot configurator.Snapshot) error
}

// Peers are the other nodes.
type Peers interface {
	// Near returns peers of the own failure domain, All returns all of them,
	// both in random order and All with the near ones first.
	Near() []netip.AddrPort
	All() []netip.AddrPort
	Records(ctx context.Context, peer netip.AddrPort, from uint64) (Page, error)
	Push(ctx context.Context, peer netip.AddrPort, records []Record) error
	Snapshot(ctx context.Context, peer netip.AddrPort) (configurator.Snapshot, error)
}

// Sink holds the node's state. Its methods return once what they bring is in
// force.
type Sink interface {
	State() *configurator.State
	Ready() bool
	Take(ctx context.Context, records []Record, source string)
	Restore(ctx context.Context, state *configurator.State, source string)
	CaughtUp(ctx context.Context, source string)
}

// Replicator follows the configuration stream. Its fields are set before Run.
type Replicator struct {
	Log   Log
	Peers Peers
	Sink  Sink
	// Snapshots tells whether this node saves the others the work of keeping
	// snapshots.
	Snapshots func() bool
	// Failed is told about errors.
	Failed func(err error)
}

// Run follows until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		next, err := r.follow(ctx, wait)
		if err != nil {
			r.Failed(err)
			r.followPeers(ctx)
			_ = retrier.Sleep(ctx, retryWait)
			continue
		}
		if r.next() >= next {
			r.Sink.CaughtUp(ctx, "log")
			wait = followWait
		}
	}
}

func (r *Replicator) next() uint64 { return r.Sink.State().Next() }

// follow takes one page of the log and returns the offset after the log's end.
func (r *Replicator) follow(ctx context.Context, wait time.Duration) (uint64, error) {
	own := r.next()
	page, err := r.read(ctx, own, wait)
	if err != nil {
		return 0, err
	}
	if page.Oldest > own {
		return page.Next, r.restoreNewest(ctx)
	}
	if len(page.Records) == 0 {
		return page.Next, nil
	}
	r.offer(ctx, page.Records)
	r.Sink.Take(ctx, page.Records, "log")
	if r.next() == own {
		return page.Next, errNoAdvance
	}
	r.keep(ctx, own)
	return page.Next, nil
}

func (r *Replicator) read(ctx context.Context, from uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return r.Log.Read(ctx, from, wait)
}

// offer pushes records to near peers. One acknowledgement is enough, and the
// wait is bounded: records must also come into force on a node that is alone.
func (r *Replicator) offer(ctx context.Context, records []Record) {
	near := r.Peers.Near()
	if !r.Sink.Ready() || len(near) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	near = near[:min(pushCount, len(near))]
	acknowledged := make(chan error, len(near))
	for _, peer := range near {
		go func() { acknowledged <- r.Peers.Push(ctx, peer, records) }()
	}
	for range near {
		select {
		case err := <-acknowledged:
			if err == nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// restoreNewest takes the newest whole state, since the records between are
// gone.
func (r *Replicator) restoreNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot, err := r.Log.Newest(ctx)
	if err != nil {
		return err
	}
	return r.restore(ctx, snapshot, "log")
}

func (r *Replicator) restore(ctx context.Context, snapshot configurator.Snapshot, source string) error {
	state, err := configurator.Restore(snapshot)
	if err != nil {
		return err
	}
	if state.Next() <= r.next() {
		return errors.Wrapf(errNoAdvance, "snapshot ends at offset %d", state.Next())
	}
	r.Sink.Restore(ctx, state, source)
	return nil
}

// keep appends a whole state when the last page has crossed a multiple of
// snapshotEvery. The fold is the same on all nodes, so a doubled snapshot does
// no harm.
func (r *Replicator) keep(ctx context.Context, before uint64) {
	state := r.Sink.State()
	if before/snapshotEvery == state.Next()/snapshotEvery || !r.Snapshots() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := r.Log.Keep(ctx, state.Snapshot()); err != nil {
		r.Failed(errors.Wrap(err, "keep snapshot"))
	}
}

// followPeers takes configuration from some peers at once. A node that has
// never been ready becomes so with the highest state among those that it reaches.
func (r *Replicator) followPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := r.some()
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			next, err := r.fetch(ctx, peer)
			answers <- answer{next, err}
		}()
	}
	highest, reached := uint64(0), false
	for range peers {
		got := <-answers
		if got.err == nil {
			reached = true
			highest = max(highest, got.next)
		}
	}
	if own := r.next(); reached && own > 0 && own >= highest {
		r.Sink.CaughtUp(ctx, "peers")
	}
}

// answer is a peer's next offset.
type answer struct {
	next uint64
	err  error
}

// some returns peers to ask: near ones and, so that a failure domain does not
// only ask itself, the last of the far ones.
func (r *Replicator) some() []netip.AddrPort {
	all := r.Peers.All()
	if len(all) <= fetchCount {
		return all
	}
	return append(slices.Clone(all[:fetchCount/2]), all[len(all)-fetchCount/2:]...)
}

// fetch takes what a peer has and this node lacks, and returns the peer's next
// offset.
func (r *Replicator) fetch(ctx context.Context, peer netip.AddrPort) (uint64, error) {
	for {
		own := r.next()
		page, err := r.Peers.Records(ctx, peer, own)
		if err != nil {
			return 0, err
		}
		if page.Next <= own {
			return page.Next, nil
		}
		if page.Oldest > own {
			snapshot, err := r.Peers.Snapshot(ctx, peer)
			if err != nil {
				return 0, err
			}
			return page.Next, r.restore(ctx, snapshot, peer.String())
		}
		r.Sink.Take(ctx, page.Records, peer.String())
		if r.next() == own {
			return page.Next, nil
		}
	}
}
