// Package indexer folds the records of one claim stream into the state of its
// idempotency keys.
//
// The fold is a pure function of the stream's prefix. The first claim of a free
// key wins; a later claim loses for good, even when the winner releases the key
// afterwards. A release frees the key for claims after it in the stream, and
// only the holder can release or finish a key.
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
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutOfOrder marks a record that is not the next one of the stream.
var ErrOutOfOrder = errors.New("claim record is out of order")

// HashBytes is the size of keys and digests.
const HashBytes = 16

// Key is the hash of a team's name and its idempotency key.
type Key [HashBytes]byte

// Digest is the hash of a request's method, path and body.
type Digest [HashBytes]byte

// NewKey returns the key of an idempotency key within a team.
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

// Partition returns the claim stream of a key among n streams.
func (k Key) Partition(n int) int {
	return (int(k[0])<<8 | int(k[1])) % n
}

// Attempt identifies one claim of one process.
type Attempt struct {
	// Process is random per process.
	Process uint64
	Counter uint64
}

// Type tells claim records apart.
type Type string

// The types of claim records.
const (
	TypeClaim   Type = "claim"
	TypeOutcome Type = "outcome"
	TypeRelease Type = "release"
	// TypeCarry repeats an entry before its first record leaves the log.
	TypeCarry Type = "carry"
	// TypeTick tells that time has passed since the tick before it.
	TypeTick Type = "tick"
)

// Answer is the response to a finished request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Omitted is set when the body was too large to keep.
	Omitted bool
}

// Record is one entry of a claim stream.
type Record struct {
	Type    Type
	Key     Key
	Attempt Attempt
	// Digest is set for claims and carries.
	Digest Digest
	// Left is the time for which the key still has to be remembered. It is set
	// for claims and carries.
	Left time.Duration
	// Through is the offset up to which the sender of a carry had read, and
	// for a tick one more than the offset of the tick before it.
	Through uint64
	// Elapsed is the time that the sender of a tick has seen pass itself since
	// it read the tick before.
	Elapsed time.Duration
	// Answer is set for outcomes, and for carries of finished keys.
	Answer *Answer
}

// Entry is the state of a held key.
type Entry struct {
	Attempt Attempt
	Digest  Digest
	// Claimed is the offset of the claim or of its newest carry.
	Claimed uint64
	// Finished is one more than the offset of the record that holds the
	// answer; zero while there is none.
	Finished uint64
	// Left is the time for which the key has to be remembered, counted from
	// the record at Claimed.
	Left time.Duration
}

// Done reports whether the key has an answer.
func (e Entry) Done() bool { return e.Finished > 0 }

// AnswerOffset returns the offset of the record that holds the answer.
func (e Entry) AnswerOffset() uint64 { return e.Finished - 1 }

// Index is the state of the keys of one claim stream. It is not safe for
// concurrent use.
type Index struct {
	next    uint64
	entries map[Key]Entry
	// order lists claims and carries by offset, for Trim.
	order []positionedKey
	// released holds the offset of each key's last release, which outweighs a
	// carry that was under way.
	released map[Key]uint64
	trimmed  uint64
	ticks    []tick
}

// tick is an accepted tick with the sum of all elapsed times up to it.
type tick struct {
	offset uint64
	total  time.Duration
}

type positionedKey struct {
	offset uint64
	key    Key
}

// New returns an index before the first record.
func New() *Index {
	return &Index{entries: map[Key]Entry{}, released: map[Key]uint64{}}
}

// Next returns the offset of the next record to apply.
func (x *Index) Next() uint64 { return x.next }

// Len returns the number of held keys.
func (x *Index) Len() int { return len(x.entries) }

// Lookup returns the entry of a held key.
func (x *Index) Lookup(key Key) (Entry, bool) {
	entry, ok := x.entries[key]
	return entry, ok
}

// Apply folds the record at offset. It returns ErrOutOfOrder for an offset
// below Next; a gap above Next is what the log has already dropped.
func (x *Index) Apply(offset uint64, record Record) error {
	if offset < x.next {
		return errors.Wrapf(ErrOutOfOrder, "offset %d, expected %d", offset, x.next)
	}
	x.next = offset + 1
	held, ok := x.entries[record.Key]
	switch record.Type {
	case TypeClaim:
		if !ok {
			x.hold(record.Key, Entry{Attempt: record.Attempt, Digest: record.Digest, Claimed: offset, Left: record.Left})
		}
	case TypeOutcome:
		if ok && held.Attempt == record.Attempt && !held.Done() {
			held.Finished = offset + 1
			x.entries[record.Key] = held
		}
	case TypeRelease:
		if ok && held.Attempt == record.Attempt && !held.Done() {
			delete(x.entries, record.Key)
		}
		if !ok || !held.Done() {
			x.released[record.Key] = offset
		}
	case TypeCarry:
		x.carry(offset, record, held, ok)
	case TypeTick:
		x.tick(offset, record)
	}
	return nil
}

// carry renews an entry. It also displaces another holder: a reader that began
// after the entry's first record may have taken a claim that lost for one that
// won. Only a release since the sender's reading outweighs a carry.
func (x *Index) carry(offset uint64, record Record, held Entry, ok bool) {
	if ok && held.Attempt != record.Attempt {
		held = Entry{}
	}
	freed, was := x.released[record.Key]
	if was && freed >= record.Through {
		return
	}
	entry := Entry{
		Attempt:  record.Attempt,
		Digest:   record.Digest,
		Claimed:  offset,
		Finished: held.Finished,
		Left:     record.Left,
	}
	if record.Answer != nil {
		entry.Finished = offset + 1
	}
	x.hold(record.Key, entry)
}

// tick accepts a tick that follows the newest one; of two owners' ticks for the
// same time only the first counts. A tick that names a newer one than the index
// holds is accepted too: a reader that began after that one lacks it.
func (x *Index) tick(offset uint64, record Record) {
	if record.Through < x.LastTick() || record.Elapsed <= 0 {
		return
	}
	total := record.Elapsed
	if len(x.ticks) > 0 {
		total += x.ticks[len(x.ticks)-1].total
	}
	x.ticks = append(x.ticks, tick{offset: offset, total: total})
}

// LastTick returns one more than the offset of the newest accepted tick, or
// zero.
func (x *Index) LastTick() uint64 {
	if len(x.ticks) == 0 {
		return 0
	}
	return x.ticks[len(x.ticks)-1].offset + 1
}

// Age returns the least time that has passed since the record at offset, by the
// ticks after it.
func (x *Index) Age(offset uint64) time.Duration {
	for _, t := range x.ticks {
		if t.offset > offset {
			return x.ticks[len(x.ticks)-1].total - t.total
		}
	}
	return 0
}

func (x *Index) hold(key Key, entry Entry) {
	x.entries[key] = entry
	x.order = append(x.order, positionedKey{offset: entry.Claimed, key: key})
}

// Skip advances the index past a record that could not be decoded.
func (x *Index) Skip(offset uint64) {
	x.next = max(x.next, offset+1)
}

// Trim drops the entries whose records the log no longer holds; first is the
// log's oldest offset.
func (x *Index) Trim(first uint64) {
	x.next = max(x.next, first)
	for len(x.order) > 0 && x.order[0].offset < first {
		oldest := x.order[0]
		x.order = x.order[1:]
		if entry, ok := x.entries[oldest.key]; ok && entry.Claimed == oldest.offset {
			delete(x.entries, oldest.key)
		}
	}
	// The newest tick stays, since the next one names it.
	for len(x.ticks) > 1 && x.ticks[0].offset < first {
		x.ticks = x.ticks[1:]
	}
	x.trimReleased(first)
}

func (x *Index) trimReleased(first uint64) {
	if first <= x.trimmed {
		return
	}
	x.trimmed = first + releasedSlack
	for key, freed := range x.released {
		if freed < first {
			delete(x.released, key)
		}
	}
}

// releasedSlack is the number of offsets between two looks at the releases.
const releasedSlack = 1000

// Oldest yields the held keys with their entries, the oldest first.
func (x *Index) Oldest() iter.Seq2[Key, Entry] {
	return func(yield func(Key, Entry) bool) {
		for _, claimed := range x.order {
			entry, ok := x.entries[claimed.key]
			if ok && entry.Claimed == claimed.offset && !yield(claimed.key, entry) {
				return
			}
		}
	}
}
