package relayer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable is returned by a peer that can't say what a log contains: it has not
// listed it yet, or knows only an earlier era.
var ErrUnavailable = errors.New("peer has no such state of the log")

// maxDeletions is the number of deleted keys that a Replica remembers. With more, peers
// must list it again.
const maxDeletions = 2000

// Replica keeps the newest record of each key of a log, for peers that follow the log
// through this node. It implements KeyedLog, and is safe for concurrent use. Its exported
// fields are set before use.
type Replica struct {
	// Clock is that of the Feed that fills the replica.
	Clock func() time.Time
	// Prompt is set if a read also ends when this node has read the log and found nothing
	// new: its peers need to know that too.
	Prompt bool

	mu      sync.Mutex
	listed  bool
	records map[string]Record
	// from is the position from which changes are complete, and next the end.
	from      Position
	next      Position
	deletions int
	// readAt is the time as of which this node has read the log.
	readAt time.Time
	// interrupted is when this node last had no contact with the log.
	interrupted time.Time
	// graceEnd is until when missing entries may have expired in an outage of the log, by Clock.
	graceEnd time.Time
	changed  chan struct{}
}

// Put adds a batch that is complete as of a time. A full listing replaces all records.
func (r *Replica) Put(batch Batch, at time.Time, listing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listing {
		r.listed, r.records, r.deletions, r.from = true, map[string]Record{}, 0, batch.Next
	}
	for _, record := range batch.Records {
		if r.records[record.Key].Value == nil && record.Value == nil {
			r.deletions++
		}
		r.records[record.Key] = Record{Key: record.Key, Value: record.Value, Offset: record.Offset}
	}
	if r.deletions > maxDeletions {
		r.dropDeletions(batch.Next)
	}
	moved := r.next != batch.Next
	r.next = batch.Next
	if at.After(r.readAt) {
		r.readAt = at
	}
	if (moved || r.Prompt) && r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func (r *Replica) dropDeletions(next Position) {
	for key, record := range r.records {
		if record.Value == nil {
			delete(r.records, key)
		}
	}
	r.deletions, r.from = 0, next
}

// SetInterrupted records that this node has no contact with the log.
func (r *Replica) SetInterrupted(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted = now
}

// SetGraceEnd sets until when missing entries may have expired in an outage of the log.
func (r *Replica) SetGraceEnd(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.graceEnd = at
}

// Newest implements KeyedLog. It returns ErrUnavailable before the first listing.
func (r *Replica) Newest(context.Context) (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed {
		return Batch{}, ErrUnavailable
	}
	batch := r.batch(r.Clock())
	for _, record := range r.records {
		if record.Value != nil {
			batch.Records = append(batch.Records, record)
		}
	}
	sortByOffset(batch.Records)
	return batch, nil
}

// Read implements KeyedLog. Of several records of one key it returns the last one. It
// returns ErrUnavailable if this node is still in an earlier era.
func (r *Replica) Read(ctx context.Context, from Position, wait time.Duration) (Batch, error) {
	arrived := r.Clock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		batch, changed, err := r.read(from, arrived)
		if err != nil || over || len(batch.Records) > 0 || batch.Next.Offset > from.Offset || r.Prompt && batch.Since > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// read returns the records from a position on for a call that arrived at a time, and a channel
// that is closed when there are more.
func (r *Replica) read(from Position, arrived time.Time) (Batch, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.listed || r.next.Era < from.Era:
		return Batch{}, nil, ErrUnavailable
	case r.next.Era > from.Era:
		return Batch{}, nil, ErrRestored
	case from.Offset < r.from.Offset:
		return Batch{}, nil, ErrDropped
	}
	batch := r.batch(arrived)
	// A peer that has read the log itself may be ahead of this node.
	batch.Next.Offset = max(batch.Next.Offset, from.Offset)
	for _, record := range r.records {
		if record.Offset >= from.Offset {
			batch.Records = append(batch.Records, record)
		}
	}
	sortByOffset(batch.Records)
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return batch, r.changed, nil
}

// batch returns a batch without records for a call that arrived at a time.
func (r *Replica) batch(arrived time.Time) Batch {
	return Batch{
		Next: r.next, Interrupted: !r.interrupted.IsZero() && time.Since(r.interrupted) < interruptionWindow,
		Since: r.readAt.Sub(arrived), Grace: max(r.graceEnd.Sub(r.Clock()), 0),
	}
}

func sortByOffset(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
}
