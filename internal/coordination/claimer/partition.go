package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// partition is one claim stream with its index and its batch of appends.
type partition struct {
	number  int
	stream  Stream
	timeout time.Duration

	// reading lets one goroutine read the stream at a time. It is a channel,
	// so that those who wait for a slow read can give up.
	reading chan struct{}

	mu        sync.Mutex
	index     *indexer.Index
	abandoned map[indexer.Attempt]abandonedClaim
	// ticked is when this process read the newest tick, or the stream for the
	// first time.
	ticked time.Time

	batchMu  sync.Mutex
	pending  []*pendingAppend
	flushing bool
}

// pageLimit is the number of records read at once.
const pageLimit = 1000

// abandonedWindow is the time after which an append in doubt is taken for lost.
// A claim that arrives later still leaves its key held, and so never run twice.
const abandonedWindow = time.Hour

// abandonedClaim is a claim that may be in the log and will never dispatch.
type abandonedClaim struct {
	key   indexer.Key
	since time.Time
}

// pendingAppend is a record that waits for its batch.
type pendingAppend struct {
	record indexer.Record
	// lead tells the waiter to flush the next batch.
	lead   chan struct{}
	done   chan struct{}
	offset uint64
	err    error
}

func newPartition(number int, stream Stream, timeout time.Duration) *partition {
	return &partition{
		number:    number,
		stream:    stream,
		timeout:   timeout,
		reading:   make(chan struct{}, 1),
		index:     indexer.New(),
		abandoned: map[indexer.Attempt]abandonedClaim{},
	}
}

// append adds a record to the next batch and returns its offset. One batch is
// in flight at a time; whoever finds none in flight sends it for all.
func (p *partition) append(ctx context.Context, record indexer.Record) (uint64, error) {
	item := &pendingAppend{record: record, lead: make(chan struct{}, 1), done: make(chan struct{})}
	p.batchMu.Lock()
	p.pending = append(p.pending, item)
	if !p.flushing {
		p.flushing = true
		item.lead <- struct{}{}
	}
	p.batchMu.Unlock()
	select {
	case <-item.lead:
		p.flush(ctx)
		return item.offset, item.err
	case <-item.done:
		return item.offset, item.err
	}
}

// flush sends the pending batch, which holds the caller's own record, and hands
// the next one to its first waiter.
func (p *partition) flush(ctx context.Context) {
	p.batchMu.Lock()
	batch := p.pending
	p.pending = nil
	p.batchMu.Unlock()
	records := make([]indexer.Record, len(batch))
	for i, item := range batch {
		records[i] = item.record
	}
	// The batch serves other callers too, so it outlives this one's context.
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
	p.pending[0].lead <- struct{}{}
}

// catchUp reads the stream until the index has folded all records below until;
// zero stands for the end of the stream at the time of the call.
func (p *partition) catchUp(ctx context.Context, now time.Time, until uint64) error {
	select {
	case p.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.reading }()
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
	before := p.index.LastTick()
	defer func() {
		if p.ticked.IsZero() || p.index.LastTick() != before {
			p.ticked = now
		}
	}()
	for _, positioned := range page.Records {
		if positioned.Offset < p.index.Next() {
			continue
		}
		if positioned.Err != nil {
			p.index.Skip(positioned.Offset)
			continue
		}
		if err := p.index.Apply(positioned.Offset, positioned.Record); err != nil {
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

// answer reads the record that holds a finished key's answer.
func (p *partition) answer(ctx context.Context, entry indexer.Entry) (*indexer.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	page, err := p.stream.Read(ctx, p.number, entry.AnswerOffset(), 1)
	if err != nil {
		return nil, err
	}
	for _, positioned := range page.Records {
		if positioned.Offset == entry.AnswerOffset() && positioned.Record.Answer != nil {
			return positioned.Record.Answer, nil
		}
	}
	return nil, errors.Newf("claim stream %d has no answer at offset %d", p.number, entry.AnswerOffset())
}

// abandon remembers an attempt that will never dispatch and may be in the log.
func (p *partition) abandon(now time.Time, key indexer.Key, attempt indexer.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned[attempt] = abandonedClaim{key: key, since: now}
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
		if now.Sub(claim.since) >= abandonedWindow {
			delete(p.abandoned, attempt)
		}
	}
}

// abandonedKeys returns the abandoned attempts with their keys.
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
