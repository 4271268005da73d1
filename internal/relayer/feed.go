package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/leaser"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

// Errors of a KeyedLog.
var (
	// ErrDropped is returned for records that a log no longer retains.
	ErrDropped = errors.New("log has dropped the requested records")
	// ErrRestored is returned for a position of an era that is over: the log was restored
	// from an older copy, so its offsets mean other records now.
	ErrRestored = errors.New("log was restored from a copy")
)

const (
	retryBase  = 100 * time.Millisecond
	retryLimit = 400 * time.Millisecond
	// interruptionWindow is how long after a failed call a node counts as one that recently
	// had no contact with the log.
	interruptionWindow = 3 * time.Second
)

// Record is a value of a key in a keyed log. A nil value means the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Era is set by a Feed: the era of the log in which the record was read.
	Era int64
	// Initial is set by a Feed for records of its first listing, which may be of any
	// age, and Restored for those of its first listing after the log was restored.
	Initial  bool
	Restored bool
}

// Position is a place in a log.
type Position = leaser.Position

// Batch is the result of one call to a log.
type Batch struct {
	Records []Record
	// Next is the position from which to read on.
	Next Position
	// Interrupted is set if the records come from a peer that recently had no contact with
	// the log.
	Interrupted bool
	// Grace is how much longer, at a peer that answers, missing entries may have expired in an
	// outage of the log.
	Grace time.Duration
	// Since is the time after the call reached the log as of which the records are complete.
	// It is negative if they come from a peer that read the log longer ago.
	Since time.Duration
	// Peer is the peer that answered; invalid for the log itself.
	Peer netip.AddrPort
}

// KeyListing is a full listing of a keyed log.
type KeyListing struct {
	// Keys says of each key whether it has a value.
	Keys map[string]bool
	// Next is the listing's end: records that are not in it are at or after Next.
	Next Position
}

// KeyedLog is a compacted log: it retains at least the newest record of each key.
type KeyedLog interface {
	// Newest returns the newest record of each key. Records that are not in the listing
	// are at or after its Next. All records are of one era.
	Newest(ctx context.Context) (Batch, error)
	// Read returns the records from a position on. It waits at most wait for the first
	// record. It returns ErrDropped if records from the position on were dropped, and
	// ErrRestored if the log is in another era.
	Read(ctx context.Context, from Position, wait time.Duration) (Batch, error)
}

// Feed follows a keyed log. It retries with backoff during outages, and lists the log
// again when records were dropped or the log was restored from a copy. After that it
// applies records with lower offsets than before, and older values: Apply must not
// take back what is in force. Its exported fields are set before Run.
type Feed struct {
	Name string
	Log  KeyedLog
	// Wait is how long a read waits for new records; zero returns at once.
	Wait time.Duration
	// Period is the pause between reads.
	Period time.Duration
	// Apply is called for each record that is newer than the last one of its key.
	// Until graceEnd, keys without a value may have expired in an outage of the log and may be
	// written again; it is in the past or zero if there was no outage.
	Apply func(record Record, graceEnd time.Time)
	// Replica gets what the feed reads, for peers; nil for none.
	Replica *Replica
	// OnListed is called with each full listing: its keys, and whether each has a value;
	// nil if not needed.
	OnListed func(keys map[string]bool, graceEnd time.Time)
	// OnListing is called like OnListed, for users that compare listings by their positions;
	// nil if not needed.
	OnListing func(listing KeyListing)
	// RecordRead is called after the records of a successful call have been applied, unless they
	// come from a peer that recently had no contact with the log. All records that were
	// appended before at, by Clock, have been applied; nil if not needed.
	RecordRead func(at time.Time)
	// MaxAge is the age of what was read over which it is old. Reads are made so that it gets no
	// older than Wait and Period together while the log answers. Zero if any age will do.
	MaxAge time.Duration
	// ContactLimit is how long after an outage this node may still take entries that were removed
	// for expired ones. Zero for no limit.
	ContactLimit time.Duration
	// Clock counts the time for which the host was suspended.
	Clock  func() time.Time
	Logger zerolog.Logger

	offsets map[string]int64
	// sourceInterrupted is Batch.Interrupted of the last call.
	sourceInterrupted bool
	listedBefore      bool
	next              Position
	// readAt is the time by Clock as of which the log was last read, and since Batch.Since of the
	// last call.
	readAt time.Time
	since  time.Duration
	// outage is that of the log itself, and sourceGraceEnd what a peer said of its own.
	outage         outage
	sourceGraceEnd time.Time
	// callBegan is when the last call began, by Clock.
	callBegan time.Time
	down      bool
	tries     int
	// old is set while what was last read is older than MaxAge.
	old bool
}

// Run follows the log until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.offsets = map[string]int64{}
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = f.handleResult(ctx, f.list(ctx))
			continue
		}
		err := f.read(ctx)
		if errors.IsAny(err, ErrDropped, ErrRestored) {
			listed = false
			continue
		}
		if f.handleResult(ctx, err) {
			_ = retrier.Sleep(ctx, f.pause())
		}
	}
}

// recordRead records that all records which were appended before a time have been applied, as
// a peer or the log itself said.
func (f *Feed) recordRead(at time.Time, peer netip.AddrPort) {
	if at.After(f.readAt) {
		f.readAt = at
	}
	f.logAge(peer)
	if f.RecordRead != nil && !f.sourceInterrupted {
		f.RecordRead(at)
	}
}

// logAge logs when what has been read became older than MaxAge, and when it is current again.
func (f *Feed) logAge(peer netip.AddrPort) {
	age := f.Clock().Sub(f.readAt)
	old := f.MaxAge > 0 && age > f.MaxAge
	if old != f.old {
		f.Logger.Warn().Str("event", "topic age").Str("feed", f.Name).Bool("old", old).Dur("age", age).Stringer("peer", peer).
			Int64("era", f.next.Era).Int64("next", f.next.Offset).Send()
	}
	f.old = old
}

// pause returns the pause before the next read. It is short if a peer read the log so long ago that
// it may read it again in the pause: the next read would then wait for the one after that.
func (f *Feed) pause() time.Duration {
	if f.MaxAge > 0 && f.since < -freshAnswer {
		return min(hurriedPause, f.Period)
	}
	return f.Period
}

// wait returns how long the next read waits for new records: less than Wait if the log was
// read longer ago than Period, so that what has been read gets no older than both together.
func (f *Feed) wait() time.Duration {
	if f.down {
		// The time of the log's return is known the better the shorter the calls are.
		return 0
	}
	if f.MaxAge == 0 {
		return f.Wait
	}
	late := f.Clock().Sub(f.readAt) - f.Period
	return min(max(f.Wait-late, 0), f.Wait)
}

// handleResult logs the start and the end of an outage and reports whether the call
// succeeded. After a failure it waits for the backoff.
func (f *Feed) handleResult(ctx context.Context, err error) bool {
	if err == nil {
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
	if !errors.Is(err, errPeerCall) {
		f.outage.recordFailure(f.callBegan)
	}
	if f.Replica != nil {
		f.Replica.SetInterrupted(time.Now())
	}
	_ = retrier.Sleep(ctx, retrier.Backoff(f.tries, retryBase, retryLimit, retrier.UniformJitter))
	f.tries++
	return false
}

// graceEnd returns until when missing entries may have expired in an outage of the log.
func (f *Feed) graceEnd() time.Time {
	if f.sourceGraceEnd.After(f.outage.graceEnd) {
		return f.sourceGraceEnd
	}
	return f.outage.graceEnd
}

// endOutage records that a call succeeded, and logs until when entries may be missing.
func (f *Feed) endOutage() {
	now, failedCall := f.Clock(), f.outage.failedCall
	if f.outage.recordSuccess(now, f.readAt, f.ContactLimit) {
		f.Logger.Info().Str("event", "outage over").Str("feed", f.Name).Dur("since failed call", now.Sub(failedCall)).
			Dur("since read", now.Sub(f.readAt)).Dur("grace", f.outage.graceEnd.Sub(now)).Send()
	}
}

func (f *Feed) list(ctx context.Context) error {
	f.callBegan = f.Clock()
	batch, err := f.Log.Newest(ctx)
	if err != nil {
		return err
	}
	restored := f.listedBefore && batch.Next.Era != f.next.Era
	if restored {
		f.restart(batch.Next)
	}
	f.endOutage()
	at := f.callBegan.Add(batch.Since)
	f.share(batch, at, true)
	keys := map[string]bool{}
	initial := !f.listedBefore
	f.listedBefore = true
	for _, record := range batch.Records {
		record.Initial, record.Restored, record.Era = initial, restored, batch.Next.Era
		keys[record.Key] = record.Value != nil
		f.apply(record)
	}
	if f.OnListed != nil {
		f.OnListed(keys, f.graceEnd())
	}
	if f.OnListing != nil {
		f.OnListing(newKeyListing(batch))
	}
	f.next = batch.Next
	f.recordRead(at, batch.Peer)
	return nil
}

func newKeyListing(batch Batch) KeyListing {
	listing := KeyListing{Keys: map[string]bool{}, Next: batch.Next}
	for _, record := range batch.Records {
		// A listing of the log itself may have deleted keys with an empty value.
		listing.Keys[record.Key] = len(record.Value) > 0
	}
	return listing
}

// restart forgets the offsets of an era that is over. Keys that the copy lacks count as
// missing because of an outage, since they are written again.
func (f *Feed) restart(next Position) {
	f.Logger.Warn().Str("event", "log restored").Str("feed", f.Name).Int64("era", next.Era).Int64("end", next.Offset).
		Int64("previous era", f.next.Era).Int64("previous end", f.next.Offset).Send()
	clear(f.offsets)
	if f.outage.failedCall.IsZero() {
		f.outage.recordFailure(f.readAt)
	}
}

func (f *Feed) read(ctx context.Context) error {
	f.callBegan = f.Clock()
	batch, err := f.Log.Read(ctx, f.next, f.wait())
	if err != nil {
		return err
	}
	if batch.Since > nothingRead {
		f.endOutage()
	}
	at := f.callBegan.Add(batch.Since)
	f.share(batch, at, false)
	for _, record := range batch.Records {
		record.Era = batch.Next.Era
		f.apply(record)
	}
	f.next = batch.Next
	f.recordRead(at, batch.Peer)
	return nil
}

// share passes a batch that is complete as of a time on to the replica.
func (f *Feed) share(batch Batch, at time.Time, listing bool) {
	f.sourceInterrupted, f.since = batch.Interrupted, batch.Since
	if batch.Grace > 0 {
		f.sourceGraceEnd = f.Clock().Add(batch.Grace)
	}
	if f.Replica == nil {
		return
	}
	f.Replica.SetGraceEnd(f.graceEnd())
	f.Replica.Put(batch, at, listing)
	if batch.Interrupted {
		f.Replica.SetInterrupted(time.Now())
	}
}

// apply calls Apply unless the record is not newer than the last one of its key in the
// current era.
func (f *Feed) apply(record Record) {
	if last, ok := f.offsets[record.Key]; ok && record.Offset <= last {
		return
	}
	f.offsets[record.Key] = record.Offset
	f.Apply(record, f.graceEnd())
}
