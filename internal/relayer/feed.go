package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

// ErrExpired is returned by a KeyedLog for records that it no longer keeps.
var ErrExpired = errors.New("records are no longer kept")

const (
	retryBase  = 100 * time.Millisecond
	retryLimit = 400 * time.Millisecond
	// interruption is how long after a failed call entries that lapsed are
	// taken as lapsed by the outage.
	interruption = 3 * time.Second
)

// Record is the newest value of a key; nil for a dropped key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Old is set by a Feed for records of its first listing, which may be of any
	// age.
	Old bool
}

// KeyedLog is a log of keys and values that keeps the newest value of each key.
type KeyedLog interface {
	// Newest returns the newest record of each key, and an offset such that all
	// later records are at or after it.
	Newest(ctx context.Context) ([]Record, int64, error)
	// Read returns the records from an offset on, waiting for the first at most
	// wait, and the offset after the last. It returns ErrExpired.
	Read(ctx context.Context, from int64, wait time.Duration) ([]Record, int64, error)
}

// Feed follows a keyed log through outages. Its fields are set before Run.
type Feed struct {
	Name string
	Log  KeyedLog
	// Wait is how long one read waits for news; zero polls.
	Wait time.Duration
	// Period is the pause between reads.
	Period time.Duration
	// Apply takes in one record. interrupted tells that the log was away not
	// long ago.
	Apply func(record Record, interrupted bool)
	// Listed takes in the keys of a full listing; nil if not needed.
	Listed func(keys map[string]bool, interrupted bool)
	// Contact is called after each call that was answered; nil if not needed.
	Contact func()
	Logger  zerolog.Logger
	Now     func() time.Time

	offsets map[string]int64
	listed  bool
	next    int64
	failed  time.Time
	down    bool
	tries   int
}

// Run follows the log until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.offsets = map[string]int64{}
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = f.ok(ctx, f.list(ctx))
			continue
		}
		err := f.read(ctx)
		if errors.Is(err, ErrExpired) {
			listed = false
			continue
		}
		if f.ok(ctx, err) {
			_ = retrier.Sleep(ctx, f.Period)
		}
	}
}

// ok notes the outcome of a call, and waits after a failure.
func (f *Feed) ok(ctx context.Context, err error) bool {
	if err == nil {
		if f.Contact != nil {
			f.Contact()
		}
		if f.down {
			f.Logger.Info().Str("event", "dependency regained").Str("feed", f.Name).Int("tries", f.tries).Send()
		}
		f.down, f.tries = false, 0
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	if !f.down {
		f.Logger.Warn().Str("event", "dependency lost").Str("feed", f.Name).Err(err).Send()
	}
	f.down = true
	f.failed = f.Now()
	_ = retrier.Sleep(ctx, retrier.Backoff(f.tries, retryBase, retryLimit, retrier.Random))
	f.tries++
	return false
}

func (f *Feed) interrupted() bool {
	return !f.failed.IsZero() && f.Now().Sub(f.failed) < interruption
}

func (f *Feed) list(ctx context.Context) error {
	records, next, err := f.Log.Newest(ctx)
	if err != nil {
		return err
	}
	keys := map[string]bool{}
	first := !f.listed
	f.listed = true
	for _, record := range records {
		record.Old = first
		keys[record.Key] = record.Value != nil
		f.apply(record)
	}
	if f.Listed != nil {
		f.Listed(keys, f.interrupted())
	}
	f.next = next
	return nil
}

func (f *Feed) read(ctx context.Context) error {
	records, next, err := f.Log.Read(ctx, f.next, f.Wait)
	if err != nil {
		return err
	}
	for _, record := range records {
		f.apply(record)
	}
	f.next = next
	return nil
}

// apply passes on a record that is newer than what is known of its key.
func (f *Feed) apply(record Record) {
	if held, ok := f.offsets[record.Key]; ok && record.Offset <= held {
		return
	}
	f.offsets[record.Key] = record.Offset
	f.Apply(record, f.interrupted())
}
