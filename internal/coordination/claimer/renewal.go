package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

const (
	// renewalLimit is the maximum number of entries renewed by one append.
	renewalLimit = 100
	// ticksPerWindow is the number of ticks in the shorter of the two windows:
	// the time for which keys are remembered and the log's retention.
	ticksPerWindow = 32
	// renewalDivisor sets the age at which an entry is renewed: the log's
	// retention divided by it. The remaining time allows for failed renewals.
	renewalDivisor = 4
)

// RenewEntries renews a claim stream's entries before the log drops their
// records, for as long as their keys must be remembered. It appends ticks, from
// which all readers derive the minimum age of an entry, and appends an entry
// again when its age reaches the renewal age. logWindow is the log's retention.
// It returns the number of renewed entries.
//
// The owner of the stream calls it periodically. A concurrent call by another
// node is harmless. The elapsed time of a tick is measured by a single process,
// so clocks of different hosts are never compared.
func (c *Claimer) RenewEntries(ctx context.Context, number int, logWindow time.Duration) (renewed int, err error) {
	p := c.partition(number)
	started := c.Now()
	if err := p.catchUp(ctx, started, 0); err != nil {
		return 0, err
	}
	records := p.dueRenewals(logWindow)
	renewed = len(records)
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
	if paused := c.Now().Sub(started); paused > c.PauseLimit {
		return 0, errors.Wrapf(ErrPaused, "%s since the reading", paused)
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	_, err = p.stream.Append(ctx, p.number, records)
	return renewed, err
}

// tick returns the next tick once the interval has passed. A stream without
// entries needs none.
func (p *partition) tick(now time.Time, interval time.Duration) (indexer.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := now.Sub(p.lastTickRead)
	if p.index.Len() == 0 || elapsed < interval {
		return indexer.Record{}, false
	}
	return indexer.Record{Type: indexer.TypeTick, Base: p.index.TickEnd(), Elapsed: elapsed}, true
}

// dueRenewals returns the records to append again, without their answers.
func (p *partition) dueRenewals(logWindow time.Duration) []indexer.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	var records []indexer.Record
	for key, entry := range p.index.EntriesByAge() {
		age := p.index.Age(entry.Claimed)
		if age < logWindow/renewalDivisor || len(records) == renewalLimit {
			break
		}
		if entry.Remaining <= age {
			continue
		}
		records = append(records, indexer.Record{
			Type:      indexer.TypeRenewal,
			Key:       key,
			Attempt:   entry.Attempt,
			Digest:    entry.Digest,
			Remaining: entry.Remaining - age,
			Base:      p.index.Next(),
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
