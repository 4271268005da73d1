// Package claimer makes a request with an idempotency key run at most once.
//
// A claim is a record on a stream of the log; the first claim of a free key in
// the order of the log wins. The verdict is a fact of the log, so no lease, no
// clock and no view of who is alive takes part in it. Only the winner
// dispatches, once. A dead or paused winner is never replaced.
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

// Partitions is the number of claim streams. Nodes that disagreed on it would
// look for a key in different streams, so it is no setting.
const Partitions = 64

// Sentinel errors.
var (
	// ErrNotAppended is returned by a Stream when a record provably did not
	// reach the log.
	ErrNotAppended = errors.New("record was not appended")
	// ErrInDoubt is returned by a Stream when a record may have reached the log.
	ErrInDoubt = errors.New("append is in doubt")
	// ErrUnavailable marks a claim that could not be settled for now.
	ErrUnavailable = errors.New("claim log is unavailable")
	// ErrPaused marks a won claim whose process was paused for too long.
	ErrPaused = errors.New("process was paused since the claim")
)

// Page is a part of a claim stream as it was read.
type Page struct {
	// Oldest is the first offset that the log still holds.
	Oldest uint64
	// Next is the offset after the newest record of the log.
	Next    uint64
	Records []Positioned
}

// Positioned is a record at its offset. Err is set in place of the record when
// it could not be decoded.
type Positioned struct {
	Offset uint64
	Record indexer.Record
	Err    error
}

// Stream reads and appends claim records.
type Stream interface {
	Append(ctx context.Context, partition int, records []indexer.Record) (first uint64, err error)
	// Read returns at most limit records from an offset on.
	Read(ctx context.Context, partition int, from uint64, limit int) (Page, error)
}

// Owner answers for a claim stream in place of the log. It returns an error
// when it can't, and the claimer then reads the stream itself: an owner saves
// work and decides nothing.
type Owner interface {
	Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error)
}

// State is what a claim found.
type State int

// The states of a claimed key.
const (
	// StateWon lets this attempt dispatch.
	StateWon State = iota
	// StateClaimed means that another attempt holds the key without an answer.
	StateClaimed
	// StateDone means that the key has an answer.
	StateDone
	// StateMismatch means that the key was used for another request.
	StateMismatch
	// StateFree means that nothing holds the key.
	StateFree
)

// Decision is the verdict on one claim.
type Decision struct {
	State     State
	Key       indexer.Key
	Attempt   indexer.Attempt
	Partition int
	// Answer is set for StateDone.
	Answer *indexer.Answer
	// Offset is where the log holds the winning claim.
	Offset uint64

	started time.Time
}

// Claimer claims keys for one process. Its fields are set before use.
type Claimer struct {
	Stream Stream
	// Process is random per process.
	Process uint64
	// Timeout bounds one append or read of the log.
	Timeout time.Duration
	// PauseLimit is the time after which an undispatched claim is dropped.
	PauseLimit time.Duration
	// Owner is asked before the stream is read; nil for none.
	Owner Owner
	// Keep is the least time for which a key is remembered.
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

// Claim claims a key and returns the log's verdict. It returns ErrUnavailable
// when the verdict can't be known now; this attempt then never dispatches, and
// a claim that reached the log all the same is released by Sweep.
func (c *Claimer) Claim(ctx context.Context, key indexer.Key, digest indexer.Digest) (Decision, error) {
	p := c.partition(key.Partition(Partitions))
	attempt := indexer.Attempt{Process: c.Process, Counter: c.counter.Add(1)}
	decision := Decision{Key: key, Attempt: attempt, Partition: p.number, started: c.Now()}
	record := indexer.Record{Type: indexer.TypeClaim, Key: key, Attempt: attempt, Digest: digest, Left: c.Keep()}
	offset, err := p.append(ctx, record)
	if errors.Is(err, ErrNotAppended) {
		return decision, errors.Mark(err, ErrUnavailable)
	}
	if err != nil {
		return c.settle(ctx, p, decision, digest, err)
	}
	entry, found, err := c.entry(ctx, p, key, offset+1)
	if err != nil {
		p.abandon(c.Now(), key, attempt)
		return decision, errors.Mark(err, ErrUnavailable)
	}
	return c.judge(ctx, p, decision, digest, entry, found)
}

// entry returns a key's entry once the stream has been read up to offset, or to
// its end for zero, from the owner or else from the stream.
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

// settle looks for a claim whose append was in doubt. A claim that the log does
// not show may still arrive, so the attempt is given up and left to Sweep.
func (c *Claimer) settle(ctx context.Context, p *partition, decision Decision, digest indexer.Digest, cause error) (Decision, error) {
	entry, found, err := c.entry(ctx, p, decision.Key, 0)
	if err != nil {
		p.abandon(c.Now(), decision.Key, decision.Attempt)
		return decision, errors.Mark(errors.CombineErrors(cause, err), ErrUnavailable)
	}
	if found && entry.Attempt == decision.Attempt {
		return c.judge(ctx, p, decision, digest, entry, found)
	}
	p.abandon(c.Now(), decision.Key, decision.Attempt)
	if found {
		return c.judge(ctx, p, decision, digest, entry, found)
	}
	return decision, errors.Mark(cause, ErrUnavailable)
}

func (c *Claimer) judge(ctx context.Context, p *partition, decision Decision, digest indexer.Digest, entry indexer.Entry, found bool) (Decision, error) {
	if !found {
		// The claim lost to one that was released since.
		decision.State = StateFree
		return decision, errors.Wrap(ErrUnavailable, "key was released meanwhile")
	}
	decision.Offset = entry.Claimed
	switch {
	case entry.Attempt == decision.Attempt:
		decision.State = StateWon
	case entry.Digest != digest:
		decision.State = StateMismatch
	case entry.Done():
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

// Check returns ErrPaused when the process has been paused for too long since
// the claim; the caller then releases it in place of dispatching.
func (c *Claimer) Check(decision Decision) error {
	if waited := c.Now().Sub(decision.started); waited > c.PauseLimit {
		return errors.Wrapf(ErrPaused, "%s since the claim", waited)
	}
	return nil
}

// Inspect returns the state of a key at the end of the log without claiming it.
func (c *Claimer) Inspect(ctx context.Context, key indexer.Key) (State, error) {
	p := c.partition(key.Partition(Partitions))
	entry, found, err := c.entry(ctx, p, key, 0)
	if err != nil {
		return StateFree, errors.Mark(err, ErrUnavailable)
	}
	switch {
	case !found:
		return StateFree, nil
	case entry.Done():
		return StateDone, nil
	default:
		return StateClaimed, nil
	}
}

// Finish records the answer of a won claim.
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

// Release frees the key of a won claim whose request provably never left for
// an endpoint. A release whose append fails is repeated by Sweep.
func (c *Claimer) Release(ctx context.Context, decision Decision) error {
	p := c.partition(decision.Partition)
	err := p.release(ctx, decision.Key, decision.Attempt)
	if err != nil {
		p.abandon(c.Now(), decision.Key, decision.Attempt)
	}
	return err
}

// Sweep releases the claims of this process that reached the log although
// their requests were refused. It is called from time to time.
func (c *Claimer) Sweep(ctx context.Context) error {
	var failed error
	for i := range Partitions {
		if err := c.sweep(ctx, c.partition(i)); err != nil {
			failed = errors.CombineErrors(failed, err)
		}
	}
	return failed
}

// sweep releases abandoned attempts that hold their keys. An attempt that the
// log does not show stays remembered, since its append may still arrive; a
// release is conditional, so it harms no other attempt.
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

// Abandoned returns the number of claims that Sweep has still to settle.
func (c *Claimer) Abandoned() int {
	sum := 0
	for i := range Partitions {
		sum += c.partition(i).abandonedCount()
	}
	return sum
}

// Keys returns the number of keys held in memory.
func (c *Claimer) Keys() int {
	sum := 0
	for i := range Partitions {
		sum += c.partition(i).keys()
	}
	return sum
}

// String returns the state in words.
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

// Resolve returns a key's entry once the stream has been read up to offset. An
// owner answers its peers with it.
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
