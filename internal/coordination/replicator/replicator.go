// Package replicator replicates the configuration stream to a node, from the
// log or, while the log is unreachable, from peers.
//
// The sink applies records in stream order without gaps, so the applied offset
// only increases. Pages from several peers may reach it concurrently and
// overlap. New records are pushed to peers in the same failure domain before
// this node applies them, so that they survive the loss of this node while the
// domain is cut off from the log.
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
	// pollWait and readTimeout limit a read of the log. A connection that has
	// stopped responding is given up after their sum, well within the time in
	// which a change must take effect.
	pollWait    = 2 * time.Second
	readTimeout = time.Second
	retryDelay  = 200 * time.Millisecond
	pushTimeout = 500 * time.Millisecond
	// fetchTimeout limits the requests to peers, maxFetchPeers the number of
	// peers that are queried at once.
	fetchTimeout  = time.Second
	maxFetchPeers = 6
	// maxPushPeers is the maximum number of peers that new records are pushed
	// to.
	maxPushPeers = 3
	// snapshotInterval is the number of records between two snapshots.
	snapshotInterval = 256
)

// errNoProgress is returned when records or a snapshot were read but the
// applied offset did not increase.
var errNoProgress = errors.New("configuration offset did not advance")

// Record is an encoded configuration record with its offset.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is the result of one read of the stream.
type Page struct {
	// Oldest is the first offset that the source still holds.
	Oldest uint64
	// Next is the offset after the source's newest record.
	Next    uint64
	Records []Record
}

// Log accesses the log's streams of configuration records and snapshots.
type Log interface {
	// Read returns records starting at offset from. If there are none, it waits
	// for new records for at most the given time.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// NewestSnapshot returns the newest snapshot.
	NewestSnapshot(ctx context.Context) (configurator.Snapshot, error)
	// AppendSnapshot appends a snapshot.
	AppendSnapshot(ctx context.Context, snapshot configurator.Snapshot) error
}

// Peers accesses the other nodes.
type Peers interface {
	// SameDomain returns the peers in the same failure domain, All returns all
	// peers. Both are in random order, but All lists those in the same failure
	// domain first.
	SameDomain() []netip.AddrPort
	All() []netip.AddrPort
	Records(ctx context.Context, peer netip.AddrPort, from uint64) (Page, error)
	Push(ctx context.Context, peer netip.AddrPort, records []Record) error
	Snapshot(ctx context.Context, peer netip.AddrPort) (configurator.Snapshot, error)
}

// Sink holds the node's configuration. It must be safe for concurrent use and
// ignore records that are already applied. Apply and Restore return once the new
// configuration is in effect or ctx ends. Ready reports whether the node has been
// caught up before; CaughtUp records that it is. source names where the data came
// from.
type Sink interface {
	State() *configurator.State
	Ready() bool
	Apply(ctx context.Context, records []Record, source string)
	Restore(ctx context.Context, state *configurator.State, source string)
	CaughtUp(ctx context.Context, source string)
}

// Replicator follows the configuration stream. Its fields are set before Run.
type Replicator struct {
	Log   Log
	Peers Peers
	Sink  Sink
	// KeepsSnapshots reports whether this node is responsible for appending
	// snapshots.
	KeepsSnapshots func() bool
	// OnError is called when the log can't be followed or a snapshot can't be
	// appended. Errors of peers are not reported.
	OnError func(err error)
}

// Run follows the stream until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		next, err := r.followLog(ctx, wait)
		if err != nil {
			r.OnError(err)
			r.followPeers(ctx)
			_ = retrier.Sleep(ctx, retryDelay)
			continue
		}
		if r.next() >= next {
			r.Sink.CaughtUp(ctx, "log")
			wait = pollWait
		}
	}
}

func (r *Replicator) next() uint64 { return r.Sink.State().Next() }

// followLog reads and applies one page of the log and returns the offset after
// the end of the log.
func (r *Replicator) followLog(ctx context.Context, wait time.Duration) (uint64, error) {
	applied := r.next()
	page, err := r.read(ctx, applied, wait)
	if err != nil {
		return 0, err
	}
	if page.Oldest > applied {
		return page.Next, r.restoreNewest(ctx)
	}
	if len(page.Records) == 0 {
		return page.Next, nil
	}
	r.pushToSameDomainPeers(ctx, page.Records)
	r.Sink.Apply(ctx, page.Records, "log")
	if r.next() == applied {
		return page.Next, errNoProgress
	}
	r.appendSnapshot(ctx, applied)
	return page.Next, nil
}

func (r *Replicator) read(ctx context.Context, from uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return r.Log.Read(ctx, from, wait)
}

// pushToSameDomainPeers pushes records to peers in the same failure domain. It
// returns after the first acknowledgement or after pushTimeout, so that a node
// without reachable peers still applies the records.
func (r *Replicator) pushToSameDomainPeers(ctx context.Context, records []Record) {
	sameDomain := r.Peers.SameDomain()
	if !r.Sink.Ready() || len(sameDomain) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	sameDomain = sameDomain[:min(maxPushPeers, len(sameDomain))]
	acknowledged := make(chan error, len(sameDomain))
	for _, peer := range sameDomain {
		go func() { acknowledged <- r.Peers.Push(ctx, peer, records) }()
	}
	for range sameDomain {
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

// restoreNewest restores the newest snapshot, because the log no longer holds
// the records before its oldest offset.
func (r *Replicator) restoreNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot, err := r.Log.NewestSnapshot(ctx)
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
		return errors.Wrapf(errNoProgress, "snapshot ends at offset %d", state.Next())
	}
	r.Sink.Restore(ctx, state, source)
	return nil
}

// appendSnapshot appends a snapshot when the last page crossed a multiple of
// snapshotInterval. All nodes derive the same state from the same records, so a
// duplicate snapshot is harmless.
func (r *Replicator) appendSnapshot(ctx context.Context, previous uint64) {
	state := r.Sink.State()
	if previous/snapshotInterval == state.Next()/snapshotInterval || !r.KeepsSnapshots() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := r.Log.AppendSnapshot(ctx, state.Snapshot()); err != nil {
		r.OnError(errors.Wrap(err, "append configuration snapshot"))
	}
}

// followPeers fetches configuration from several peers in parallel. If it
// reaches at least one and has applied the highest offset among them, the node
// counts as caught up; this is how a new node becomes ready without the log.
func (r *Replicator) followPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := r.selectPeers()
	results := make(chan fetchResult, len(peers))
	for _, peer := range peers {
		go func() {
			next, err := r.fetch(ctx, peer)
			results <- fetchResult{next, err}
		}()
	}
	highest, reached := uint64(0), false
	for range peers {
		result := <-results
		if result.err == nil {
			reached = true
			highest = max(highest, result.next)
		}
	}
	if applied := r.next(); reached && applied > 0 && applied >= highest {
		r.Sink.CaughtUp(ctx, "peers")
	}
}

// fetchResult is the outcome of a fetch: the peer's next offset or an error.
type fetchResult struct {
	next uint64
	err  error
}

// selectPeers returns the peers to query: peers in the same failure domain and
// the last ones in the list, so that nodes of a domain do not only query each
// other.
func (r *Replicator) selectPeers() []netip.AddrPort {
	all := r.Peers.All()
	if len(all) <= maxFetchPeers {
		return all
	}
	return append(slices.Clone(all[:maxFetchPeers/2]), all[len(all)-maxFetchPeers/2:]...)
}

// fetch applies the records that a peer has and this node lacks, and returns
// the peer's next offset.
func (r *Replicator) fetch(ctx context.Context, peer netip.AddrPort) (uint64, error) {
	for {
		applied := r.next()
		page, err := r.Peers.Records(ctx, peer, applied)
		if err != nil {
			return 0, err
		}
		if page.Next <= applied {
			return page.Next, nil
		}
		if page.Oldest > applied {
			snapshot, err := r.Peers.Snapshot(ctx, peer)
			if err != nil {
				return 0, err
			}
			return page.Next, r.restore(ctx, snapshot, peer.String())
		}
		r.Sink.Apply(ctx, page.Records, peer.String())
		if r.next() == applied {
			return page.Next, nil
		}
	}
}
