// Package claimer makes a request with an idempotency key run at most once.
//
// A claim is a record on a stream of the log; the first claim of a free key in
// log order wins. The result depends only on the log's contents and not on
// leases, clocks or the set of live nodes. Only the winner dispatches, once. A
// winner that crashed or was paused is never replaced, since its request may
// have run; its key stays claimed until it is released or expires.
//
// # Usage
//
//	c := &claimer.Claimer{Stream: stream, Process: random, Now: time.Now}
//	decision, err := c.Claim(ctx, key, digest)
//	if err == nil && decision.State == claimer.StateWon {
//		// Dispatch once, then:
//		err = c.Finish(ctx, decision, answer)
//	}
package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// Partitions is the number of claim streams, each of which is called a
// partition. It is not configurable, because nodes with different values would
// look up the same key in different streams.
const Partitions = 64

// Sentinel errors.
var (
	// ErrNotAppended is returned by a Stream when a record is certain not to
	// have reached the log.
	ErrNotAppended = errors.New("record was not appended")
	// ErrAppendUnknown is returned by a Stream when it is unknown whether a record
	// reached the log.
	ErrAppendUnknown = errors.New("append is in doubt")
	// ErrUnavailable marks a claim whose result can't be determined now.
	ErrUnavailable = errors.New("claim log is unavailable")
	// ErrPaused marks a claim or read that is too old to act on because the
	// process was paused meanwhile.
	ErrPaused = errors.New("process was paused since the claim")
)

// Page is the result of one read of a claim stream.
type Page struct {
	// Oldest is the first offset that the log still holds.
	Oldest uint64
	// Next is the offset after the newest record in the log.
	Next    uint64
	Records []OffsetRecord
}

// OffsetRecord is a record with its offset. Err is set instead of the record when
// it could not be decoded.
type OffsetRecord struct {
	Offset uint64
	Record indexer.Record
	Err    error
}

// Stream reads and appends claim records.
type Stream interface {
	Append(ctx context.Context, partition int, records []indexer.Record) (first uint64, err error)
	// Read returns at most limit records, starting at offset from.
	Read(ctx context.Context, partition int, from uint64, limit int) (Page, error)
}

// Owner asks the node that owns a claim stream for a key's entry, which saves
// this node from reading the log. offset has the meaning that it has in
// Claimer.Resolve. When Owner returns an error, the claimer reads the stream
// itself; correctness does not depend on the owner.
type Owner interface {
	Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error)
}

// State is the state of a key as a claim found it.
type State int

// The states of a claimed key.
const (
	// StateWon means that this attempt holds the key and may dispatch.
	StateWon State = iota
	// StateClaimed means that another attempt holds the key without an answer.
	StateClaimed
	// StateDone means that the key's request has finished and has an answer.
	StateDone
	// StateMismatch means that the key was used for a different request.
	StateMismatch
	// StateFree means that no attempt holds the key.
	StateFree
)

// Decision is the result of one claim.
type Decision struct {
	State     State
	Key       indexer.Key
	Attempt   indexer.Attempt
	Partition int
	// Answer is set for StateDone.
	Answer *indexer.Answer
	// Offset is the log offset of the winning claim or of its latest renewal.
	Offset uint64

	started time.Time
}

// Claimer claims keys on behalf of one process. Its fields are set before use.
type Claimer struct {
	Stream Stream
	// Process is a random ID of this process.
	Process uint64
	// Timeout limits one append to the log or one read from it.
	Timeout time.Duration
	// PauseLimit is the maximum time between a claim and its dispatch, and
	// between a read and an append that relies on it.
	PauseLimit time.Duration
	// Owner is queried before the stream is read; nil for none.
	Owner Owner
	// Keep returns the minimum time for which a key is remembered.
	Keep func() time.Duration
	Now  func() time.Time

	counter    atomic.Uint64
	once       sync.Once
	partitions []*partition
}

func (c *Claimer) partition(i int) *partition {
	c.once.Do(func() {
		for n := range Partitions {
			c.partitions = append(c.partitions, newPartition(n, c.Stream, c.Timeout))
		}
	})
	return c.partitions[i]
}

// Claim claims a key and returns the result. It returns ErrUnavailable when the
// result can't be determined now; this attempt then never dispatches, and if
// its claim did reach the log, Sweep releases it.
func (c *Claimer) Claim(ctx context.Context, key indexer.Key, digest indexer.Digest) (Decision, error) {
	p := c.partition(key.Partition(Partitions))
	attempt := indexer.Attempt{Process: c.Process, Counter: c.counter.Add(1)}
	decision := Decision{Key: key, Attempt: attempt, Partition: p.number, started: c.Now()}
	record := indexer.Record{Type: indexer.TypeClaim, Key: key, Attempt: attempt, Digest: digest, Remaining: c.Keep()}
	offset, err := p.append(ctx, record)
	if errors.Is(err, ErrNotAppended) {
		return decision, errors.Mark(err, ErrUnavailable)
	}
	if err != nil {
		return c.settleUnknownAppend(ctx, p, decision, digest, err)
	}
	entry, found, err := c.entry(ctx, p, key, offset+1)
	if err != nil {
		p.abandon(c.Now(), key, attempt)
		return decision, errors.Mark(err, ErrUnavailable)
	}
	return c.decide(ctx, p, decision, digest, entry, found)
}

// entry returns a key's entry after the stream has been read up to offset, or
// to its end if offset is zero. It queries the owner first and falls back to
// reading the stream.
func (c *Claimer) entry(ctx context.Context, p *partition, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	if c.Owner != nil {
		entry, found, err := c.Owner.Resolve(ctx, p.number, key, offset)
		if err == nil {
			return entry, found, nil
		}
	}
	if err := p.catchUp(ctx, c.Now(), offset); err != nil {
		return indexer.Entry{}, false, err
	}
	entry, found := p.lookup(key)
	return entry, found, nil
}

// settleUnknownAppend handles a claim whose append had an unknown outcome. A
// claim that is not in the log may still arrive there, so the attempt is
// abandoned and left to Sweep.
func (c *Claimer) settleUnknownAppend(ctx context.Context, p *partition, decision Decision, digest indexer.Digest, cause error) (Decision, error) {
	entry, found, err := c.entry(ctx, p, decision.Key, 0)
	if err != nil {
		p.abandon(c.Now(), decision.Key, decision.Attempt)
		return decision, errors.Mark(errors.CombineErrors(cause, err), ErrUnavailable)
	}
	if found && entry.Attempt == decision.Attempt {
		return c.decide(ctx, p, decision, digest, entry, found)
	}
	p.abandon(c.Now(), decision.Key, decision.Attempt)
	if found {
		return c.decide(ctx, p, decision, digest, entry, found)
	}
	return decision, errors.Mark(cause, ErrUnavailable)
}

func (c *Claimer) decide(ctx context.Context, p *partition, decision Decision, digest indexer.Digest, entry indexer.Entry, found bool) (Decision, error) {
	if !found {
		// The claim lost to another one that has been released since.
		decision.State = StateFree
		return decision, errors.Wrap(ErrUnavailable, "key was released meanwhile")
	}
	decision.Offset = entry.Claimed
	switch {
	case entry.Attempt == decision.Attempt:
		decision.State = StateWon
	case entry.Digest != digest:
		decision.State = StateMismatch
	case entry.HasAnswer():
		decision.State = StateDone
		answer, err := p.answer(ctx, entry)
		if err != nil {
			return decision, errors.Mark(err, ErrUnavailable)
		}
		decision.Answer = answer
	default:
		decision.State = StateClaimed
	}
	return decision, nil
}

// CheckPause returns ErrPaused when more than PauseLimit has passed since the
// claim, for example because the process was suspended. The caller must then
// release the claim instead of dispatching.
func (c *Claimer) CheckPause(decision Decision) error {
	if waited := c.Now().Sub(decision.started); waited > c.PauseLimit {
		return errors.Wrapf(ErrPaused, "%s since the claim", waited)
	}
	return nil
}

// Inspect returns the state of a key as of the end of the log, without claiming
// it.
func (c *Claimer) Inspect(ctx context.Context, key indexer.Key) (State, error) {
	p := c.partition(key.Partition(Partitions))
	entry, found, err := c.entry(ctx, p, key, 0)
	if err != nil {
		return StateFree, errors.Mark(err, ErrUnavailable)
	}
	switch {
	case !found:
		return StateFree, nil
	case entry.HasAnswer():
		return StateDone, nil
	default:
		return StateClaimed, nil
	}
}

// Finish appends the answer of a won claim to the log.
func (c *Claimer) Finish(ctx context.Context, decision Decision, answer indexer.Answer) error {
	record := indexer.Record{
		Type:    indexer.TypeOutcome,
		Key:     decision.Key,
		Attempt: decision.Attempt,
		Answer:  &answer,
	}
	_, err := c.partition(decision.Partition).append(ctx, record)
	return err
}

// Release frees the key of a won claim whose request is certain not to have
// been sent to an endpoint. Sweep repeats a release whose append failed.
func (c *Claimer) Release(ctx context.Context, decision Decision) error {
	p := c.partition(decision.Partition)
	err := p.release(ctx, decision.Key, decision.Attempt)
	if err != nil {
		p.abandon(c.Now(), decision.Key, decision.Attempt)
	}
	return err
}

// Sweep releases claims of this process that reached the log although their
// requests were refused. It is called periodically.
func (c *Claimer) Sweep(ctx context.Context) error {
	var errs error
	for i := range Partitions {
		if err := c.sweep(ctx, c.partition(i)); err != nil {
			errs = errors.CombineErrors(errs, err)
		}
	}
	return errs
}

// sweep releases abandoned attempts that hold their keys. An attempt that is
// not in the log stays on the list, since its append may still arrive. A
// release applies only to its own attempt, so it can't affect another one.
func (c *Claimer) sweep(ctx context.Context, p *partition) error {
	p.expire(c.Now())
	for attempt, key := range p.abandonedKeys() {
		entry, found, err := c.entry(ctx, p, key, 0)
		if err != nil {
			return err
		}
		if !found || entry.Attempt != attempt {
			continue
		}
		if err := p.release(ctx, key, attempt); err != nil {
			return err
		}
		p.forget(attempt)
	}
	return nil
}

// AbandonedCount returns the number of claims that Sweep has not settled yet.
func (c *Claimer) AbandonedCount() int {
	sum := 0
	for i := range Partitions {
		sum += c.partition(i).abandonedCount()
	}
	return sum
}

// KeyCount returns the number of keys in memory.
func (c *Claimer) KeyCount() int {
	sum := 0
	for i := range Partitions {
		sum += c.partition(i).keys()
	}
	return sum
}

// String returns a description of the state.
func (s State) String() string {
	switch s {
	case StateWon:
		return "won"
	case StateClaimed:
		return "held by another attempt"
	case StateDone:
		return "done"
	case StateMismatch:
		return "key of another request"
	default:
		return "free"
	}
}

// Resolve returns a key's entry after the stream has been read up to offset, or
// to its end if offset is zero. The owner of a stream uses it to answer its
// peers.
func (c *Claimer) Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	if partition < 0 || partition >= Partitions {
		return indexer.Entry{}, false, errors.Newf("there is no claim stream %d", partition)
	}
	p := c.partition(partition)
	if err := p.catchUp(ctx, c.Now(), offset); err != nil {
		return indexer.Entry{}, false, errors.Mark(err, ErrUnavailable)
	}
	entry, found := p.lookup(key)
	return entry, found, nil
}
