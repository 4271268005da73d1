// Package indexer derives the state of the idempotency keys of one claim stream
// by applying the stream's records in order.
//
// The state is a pure function of the stream's prefix. The first claim of a free
// key wins; a later claim is lost permanently, even if the winner releases the
// key afterwards. A release frees the key for claims after it in the stream, and
// only the holder can release a key or record its answer.
//
// The log drops old records. A renewal record appends an entry again before the
// log drops the entry's first record. A tick record measures time: it states how
// much time has passed since the preceding tick.
//
// # Usage
//
//	index := indexer.New()
//	err := index.Apply(index.Next(), record)
//	entry, found := index.Lookup(key)
package indexer

import (
	"crypto/sha256"
	"iter"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutOfOrder marks a record that is not the next one of the stream.
var ErrOutOfOrder = errors.New("claim record is out of order")

// HashBytes is the size of keys and digests in bytes.
const HashBytes = 16

// Key is the hash of a team's name and an idempotency key.
type Key [HashBytes]byte

// Digest is the hash of a request's method, path and body.
type Digest [HashBytes]byte

// NewKey returns the Key of a team's idempotency key.
func NewKey(team, idempotencyKey string) Key {
	return Key(hash([]byte(team), []byte(idempotencyKey)))
}

// NewDigest returns the digest of a request.
func NewDigest(method, target string, body []byte) Digest {
	return Digest(hash([]byte(method), []byte(target), body))
}

func hash(parts ...[]byte) [HashBytes]byte {
	state := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		state.Write(sum[:])
	}
	return [HashBytes]byte(state.Sum(nil)[:HashBytes])
}

// Partition returns the index of the key's claim stream among n streams.
func (k Key) Partition(n int) int {
	return (int(k[0])<<8 | int(k[1])) % n
}

// Attempt identifies one claim record of one process. It is unrelated to the
// attempts to send a request to an endpoint.
type Attempt struct {
	// Process is a random identifier of the process.
	Process uint64
	Counter uint64
}

// Type is the type of a claim record.
type Type string

// The types of claim records.
const (
	TypeClaim   Type = "claim"
	TypeOutcome Type = "outcome"
	TypeRelease Type = "release"
	// TypeRenewal renews an entry before the log drops its first record.
	TypeRenewal Type = "carry"
	// TypeTick states how much time has passed since the preceding tick.
	TypeTick Type = "tick"
)

// Answer is the response to a finished request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Omitted is set when the body was too large to store.
	Omitted bool
}

// Record is one entry of a claim stream.
type Record struct {
	Type    Type
	Key     Key
	Attempt Attempt
	// Digest is set for claims and renewals.
	Digest Digest
	// Remaining is the remaining retention time of the key. It is set for claims
	// and renewals.
	Remaining time.Duration
	// Base is, for a renewal, the offset of the first record that its sender had
	// not read yet and, for a tick, the offset after the preceding tick; zero for
	// the first tick.
	Base uint64
	// Elapsed is the time that the sender of a tick measured on its own clock
	// since it read the preceding tick.
	Elapsed time.Duration
	// Answer is set for outcomes, and for renewals of keys that have an answer.
	Answer *Answer
}

// Entry is the state of a claimed key.
type Entry struct {
	Attempt Attempt
	Digest  Digest
	// Claimed is the offset of the claim or of its latest renewal.
	Claimed uint64
	// Finished is the offset after the record that contains the answer; zero while
	// there is no answer.
	Finished uint64
	// Remaining is the remaining retention time of the key, counted from the record
	// at Claimed.
	Remaining time.Duration
}

// HasAnswer reports whether the key has an answer.
func (e Entry) HasAnswer() bool { return e.Finished > 0 }

// AnswerOffset returns the offset of the record that contains the answer. It is
// valid only if HasAnswer reports true.
func (e Entry) AnswerOffset() uint64 { return e.Finished - 1 }

// Index is the state of the keys of one claim stream. It is not safe for
// concurrent use.
type Index struct {
	next    uint64
	entries map[Key]Entry
	// keysByOffset lists claims and renewals in stream order, for Trim and
	// EntriesByAge. It also contains entries that have been renewed or released
	// since.
	keysByOffset []keyAtOffset
	// released maps a key to the offset of its last release record, also of one
	// whose attempt does not hold the key in this index. A renewal whose sender had
	// not read that record is ignored.
	released map[Key]uint64
	// nextReleaseTrim is the offset that the log's oldest offset must exceed
	// before released is trimmed again.
	nextReleaseTrim uint64
	ticks           []tick
}

// tick is an accepted tick record with the sum of all elapsed times up to it.
type tick struct {
	offset uint64
	total  time.Duration
}

type keyAtOffset struct {
	offset uint64
	key    Key
}

// New returns an empty index whose next record is at offset 0.
func New() *Index {
	return &Index{entries: map[Key]Entry{}, released: map[Key]uint64{}}
}

// Next returns the offset of the next record to apply.
func (x *Index) Next() uint64 { return x.next }

// Len returns the number of claimed keys.
func (x *Index) Len() int { return len(x.entries) }

// Lookup returns the entry of a claimed key.
func (x *Index) Lookup(key Key) (Entry, bool) {
	entry, ok := x.entries[key]
	return entry, ok
}

// Apply applies the record at offset. It returns ErrOutOfOrder for an offset
// below Next. An offset above Next is accepted, since the log may already have
// dropped the records in between.
func (x *Index) Apply(offset uint64, record Record) error {
	if offset < x.next {
		return errors.Wrapf(ErrOutOfOrder, "offset %d, expected %d", offset, x.next)
	}
	x.next = offset + 1
	current, ok := x.entries[record.Key]
	switch record.Type {
	case TypeClaim:
		if !ok {
			x.put(record.Key, Entry{Attempt: record.Attempt, Digest: record.Digest, Claimed: offset, Remaining: record.Remaining})
		}
	case TypeOutcome:
		if ok && current.Attempt == record.Attempt && !current.HasAnswer() {
			current.Finished = offset + 1
			x.entries[record.Key] = current
		}
	case TypeRelease:
		if ok && current.Attempt == record.Attempt && !current.HasAnswer() {
			delete(x.entries, record.Key)
		}
		if !ok || !current.HasAnswer() {
			x.released[record.Key] = offset
		}
	case TypeRenewal:
		x.applyRenewal(offset, record, current, ok)
	case TypeTick:
		x.tick(offset, record)
	}
	return nil
}

// applyRenewal renews an entry. It also replaces a different holder: a reader
// that started after the entry's first record may have accepted a claim that had
// lost. A renewal has no effect if its sender had not read the key's last release
// yet.
func (x *Index) applyRenewal(offset uint64, record Record, current Entry, ok bool) {
	if ok && current.Attempt != record.Attempt {
		current = Entry{}
	}
	releasedAt, wasReleased := x.released[record.Key]
	if wasReleased && releasedAt >= record.Base {
		return
	}
	entry := Entry{
		Attempt:   record.Attempt,
		Digest:    record.Digest,
		Claimed:   offset,
		Finished:  current.Finished,
		Remaining: record.Remaining,
	}
	if record.Answer != nil {
		entry.Finished = offset + 1
	}
	x.put(record.Key, entry)
}

// tick accepts a tick that refers to the latest accepted tick, so that if two
// nodes that both consider themselves the owner of the stream send ticks for the
// same interval only the first counts. It also accepts a tick that refers to a
// later tick than the latest accepted one: a reader that started in between has
// not read that tick.
func (x *Index) tick(offset uint64, record Record) {
	if record.Base < x.TickEnd() || record.Elapsed <= 0 {
		return
	}
	total := record.Elapsed
	if len(x.ticks) > 0 {
		total += x.ticks[len(x.ticks)-1].total
	}
	x.ticks = append(x.ticks, tick{offset: offset, total: total})
}

// TickEnd returns the offset of the latest accepted tick plus one, or zero if
// there is none.
func (x *Index) TickEnd() uint64 {
	if len(x.ticks) == 0 {
		return 0
	}
	return x.ticks[len(x.ticks)-1].offset + 1
}

// Age returns a lower bound of the time that has passed since the record at
// offset, according to the ticks after it. The interval of the first of them is
// left out, since it may have begun before the record.
func (x *Index) Age(offset uint64) time.Duration {
	for _, t := range x.ticks {
		if t.offset > offset {
			return x.ticks[len(x.ticks)-1].total - t.total
		}
	}
	return 0
}

func (x *Index) put(key Key, entry Entry) {
	x.entries[key] = entry
	x.keysByOffset = append(x.keysByOffset, keyAtOffset{offset: entry.Claimed, key: key})
}

// Skip advances the index past a record that could not be decoded.
func (x *Index) Skip(offset uint64) {
	x.next = max(x.next, offset+1)
}

// Trim drops the entries whose records the log no longer contains. oldestOffset
// is the offset of the oldest record in the log; Trim advances Next to it if it is
// higher.
func (x *Index) Trim(oldestOffset uint64) {
	x.next = max(x.next, oldestOffset)
	for len(x.keysByOffset) > 0 && x.keysByOffset[0].offset < oldestOffset {
		head := x.keysByOffset[0]
		x.keysByOffset = x.keysByOffset[1:]
		if entry, ok := x.entries[head.key]; ok && entry.Claimed == head.offset {
			delete(x.entries, head.key)
		}
	}
	// The latest tick is kept, since the next tick refers to it.
	for len(x.ticks) > 1 && x.ticks[0].offset < oldestOffset {
		x.ticks = x.ticks[1:]
	}
	x.trimReleased(oldestOffset)
}

func (x *Index) trimReleased(oldestOffset uint64) {
	if oldestOffset <= x.nextReleaseTrim {
		return
	}
	x.nextReleaseTrim = oldestOffset + releaseTrimInterval
	for key, releasedAt := range x.released {
		if releasedAt < oldestOffset {
			delete(x.released, key)
		}
	}
}

// releaseTrimInterval is the number of offsets by which the log's oldest offset
// must advance between two scans of the released keys.
const releaseTrimInterval = 1000

// EntriesByAge yields the claimed keys with their entries in the order of
// Claimed.
func (x *Index) EntriesByAge() iter.Seq2[Key, Entry] {
	return func(yield func(Key, Entry) bool) {
		for _, item := range x.keysByOffset {
			entry, ok := x.entries[item.key]
			if ok && entry.Claimed == item.offset && !yield(item.key, entry) {
				return
			}
		}
	}
}
