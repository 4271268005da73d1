package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

const (
	// carryLimit is the number of entries carried by one append.
	carryLimit = 100
	// ticksPerWindow is the number of ticks in the shorter of the two windows.
	ticksPerWindow = 32
	// carryPart is the part of the log's window after which an entry is
	// carried; the rest is left for failures of the carrying.
	carryPart = 4
)

// Carry keeps a claim stream's entries from leaving the log before their keys
// may be forgotten: it appends ticks, by which all readers know the least age
// of an entry, and appends entries anew when they have reached a part of the
// log's window. logWindow is the time for which the log keeps records.
//
// The owner of the stream calls it from time to time. A second caller does no
// harm, and the elapsed time of a tick is what one process has seen pass
// itself, so no clocks are compared.
func (c *Claimer) Carry(ctx context.Context, number int, logWindow time.Duration) (carried int, err error) {
	p := c.partition(number)
	began := c.Now()
	if err := p.catchUp(ctx, began, 0); err != nil {
		return 0, err
	}
	records := p.carries(logWindow)
	carried = len(records)
	for i := range records {
		if err := p.addAnswer(ctx, &records[i]); err != nil {
			return 0, err
		}
	}
	if tick, due := p.tick(c.Now(), min(c.Keep(), logWindow)/ticksPerWindow); due {
		records = append(records, tick)
	}
	if len(records) == 0 {
		return 0, nil
	}
	if paused := c.Now().Sub(began); paused > c.PauseLimit {
		return 0, errors.Wrapf(ErrPaused, "%s since the reading", paused)
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, err = p.stream.Append(ctx, p.number, records)
	return carried, err
}

// tick returns the next tick when the interval has passed. A stream without
// entries needs none.
func (p *partition) tick(now time.Time, interval time.Duration) (indexer.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := now.Sub(p.ticked)
	if p.index.Len() == 0 || elapsed < interval {
		return indexer.Record{}, false
	}
	return indexer.Record{Type: indexer.TypeTick, Through: p.index.LastTick(), Elapsed: elapsed}, true
}

// carries returns the records that are due, without their answers.
func (p *partition) carries(logWindow time.Duration) []indexer.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []indexer.Record
	for key, entry := range p.index.Oldest() {
		age := p.index.Age(entry.Claimed)
		if age < logWindow/carryPart || len(records) == carryLimit {
			break
		}
		if entry.Left <= age {
			continue
		}
		records = append(records, indexer.Record{
			Type:    indexer.TypeCarry,
			Key:     key,
			Attempt: entry.Attempt,
			Digest:  entry.Digest,
			Left:    entry.Left - age,
			Through: p.index.Next(),
		})
	}
	return records
}

func (p *partition) addAnswer(ctx context.Context, record *indexer.Record) error {
	entry, found := p.lookup(record.Key)
	if !found || !entry.Done() {
		return nil
	}
	answer, err := p.answer(ctx, entry)
	record.Answer = answer
	return err
}
