package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// partition is one claim stream with its index and its pending appends.
type partition struct {
	number  int
	stream  Stream
	timeout time.Duration

	// readLock lets one goroutine read the stream at a time. It is a channel
	// rather than a mutex so that waiters can stop waiting when their context
	// ends.
	readLock chan struct{}

	mu        sync.Mutex
	index     *indexer.Index
	abandoned map[indexer.Attempt]abandonedClaim
	// lastTickRead is when this process read the newest tick, or, before any
	// tick, when it first read the stream.
	lastTickRead time.Time

	batchMu  sync.Mutex
	pending  []*pendingAppend
	flushing bool
}

// pageLimit is the maximum number of records per read.
const pageLimit = 1000

// abandonedTTL is the time after which an append with unknown outcome is assumed
// not to have reached the log. If it arrives later, its key stays held, so the
// request is still not run twice.
const abandonedTTL = time.Hour

// abandonedClaim is a claim that may be in the log but whose request will never
// be dispatched.
type abandonedClaim struct {
	key         indexer.Key
	abandonedAt time.Time
}

// pendingAppend is a record that waits to be sent in a batch.
type pendingAppend struct {
	record indexer.Record
	// flushNext signals the waiting goroutine to send the next batch.
	flushNext chan struct{}
	done      chan struct{}
	offset    uint64
	err       error
}

func newPartition(number int, stream Stream, timeout time.Duration) *partition {
	return &partition{
		number:    number,
		stream:    stream,
		timeout:   timeout,
		readLock:  make(chan struct{}, 1),
		index:     indexer.New(),
		abandoned: map[indexer.Attempt]abandonedClaim{},
	}
}

// append adds a record to the next batch and returns its offset. At most one
// batch is in flight at a time; a caller that finds none in flight sends the
// next one for all waiting callers.
func (p *partition) append(ctx context.Context, record indexer.Record) (uint64, error) {
	item := &pendingAppend{record: record, flushNext: make(chan struct{}, 1), done: make(chan struct{})}
	p.batchMu.Lock()
	p.pending = append(p.pending, item)
	if !p.flushing {
		p.flushing = true
		item.flushNext <- struct{}{}
	}
	p.batchMu.Unlock()
	select {
	case <-item.flushNext:
		p.flush(ctx)
		return item.offset, item.err
	case <-item.done:
		return item.offset, item.err
	}
}

// flush sends the pending batch, which includes the caller's own record, and
// then signals the first waiting caller to send the next one.
func (p *partition) flush(ctx context.Context) {
	p.batchMu.Lock()
	batch := p.pending
	p.pending = nil
	p.batchMu.Unlock()
	records := make([]indexer.Record, len(batch))
	for i, item := range batch {
		records[i] = item.record
	}
	// The batch contains records of other callers, so it must not be cancelled
	// with this caller's context.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.timeout)
	defer cancel()
	first, err := p.stream.Append(ctx, p.number, records)
	for i, item := range batch {
		item.offset = first + uint64(i)
		item.err = err
		close(item.done)
	}
	p.batchMu.Lock()
	defer p.batchMu.Unlock()
	if len(p.pending) == 0 {
		p.flushing = false
		return
	}
	p.pending[0].flushNext <- struct{}{}
}

// catchUp reads the stream until the index has applied all records below offset
// until, or, if until is zero, all records up to the end of the stream as of
// the call.
func (p *partition) catchUp(ctx context.Context, now time.Time, until uint64) error {
	select {
	case p.readLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.readLock }()
	for until == 0 || p.next() < until {
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		page, err := p.stream.Read(ctx, p.number, p.next(), pageLimit)
		cancel()
		if err != nil {
			return err
		}
		if err := p.apply(now, page); err != nil {
			return err
		}
		if p.next() >= page.Next {
			break
		}
	}
	if p.next() < until {
		return errors.Newf("claim stream %d ends before offset %d", p.number, until)
	}
	return nil
}

func (p *partition) apply(now time.Time, page Page) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	previousTick := p.index.TickEnd()
	defer func() {
		if p.lastTickRead.IsZero() || p.index.TickEnd() != previousTick {
			p.lastTickRead = now
		}
	}()
	for _, offsetRecord := range page.Records {
		if offsetRecord.Offset < p.index.Next() {
			continue
		}
		if offsetRecord.Err != nil {
			p.index.Skip(offsetRecord.Offset)
			continue
		}
		if err := p.index.Apply(offsetRecord.Offset, offsetRecord.Record); err != nil {
			return err
		}
	}
	p.index.Trim(page.Oldest)
	return nil
}

func (p *partition) next() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Next()
}

func (p *partition) lookup(key indexer.Key) (indexer.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Lookup(key)
}

// answer reads the record that holds the answer of a finished key.
func (p *partition) answer(ctx context.Context, entry indexer.Entry) (*indexer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	page, err := p.stream.Read(ctx, p.number, entry.AnswerOffset(), 1)
	if err != nil {
		return nil, err
	}
	for _, offsetRecord := range page.Records {
		if offsetRecord.Offset == entry.AnswerOffset() && offsetRecord.Record.Answer != nil {
			return offsetRecord.Record.Answer, nil
		}
	}
	return nil, errors.Newf("claim stream %d has no answer at offset %d", p.number, entry.AnswerOffset())
}

// abandon remembers an attempt that may be in the log and will never dispatch.
func (p *partition) abandon(now time.Time, key indexer.Key, attempt indexer.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned[attempt] = abandonedClaim{key: key, abandonedAt: now}
}

func (p *partition) abandonedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.abandoned)
}

func (p *partition) keys() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Len()
}

func (p *partition) release(ctx context.Context, key indexer.Key, attempt indexer.Attempt) error {
	_, err := p.append(ctx, indexer.Record{Type: indexer.TypeRelease, Key: key, Attempt: attempt})
	return err
}

func (p *partition) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for attempt, claim := range p.abandoned {
		if now.Sub(claim.abandonedAt) >= abandonedTTL {
			delete(p.abandoned, attempt)
		}
	}
}

// abandonedKeys returns the keys of the abandoned attempts.
func (p *partition) abandonedKeys() map[indexer.Attempt]indexer.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := make(map[indexer.Attempt]indexer.Key, len(p.abandoned))
	for attempt, claim := range p.abandoned {
		keys[attempt] = claim.key
	}
	return keys
}

func (p *partition) forget(attempt indexer.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.abandoned, attempt)
}
