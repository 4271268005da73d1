package indexer

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A fixed seed makes the random tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	firstAttempt  = Attempt{Process: 1, Counter: 1}
	secondAttempt = Attempt{Process: 2, Counter: 1}
	key           = NewKey("team", "key")
)

// applyAll applies records to a new index, starting at offset zero.
func applyAll(records ...Record) *Index {
	index := New()
	for offset, record := range records {
		_ = index.Apply(uint64(offset), record)
	}
	return index
}

func claim(attempt Attempt) Record {
	return Record{Type: TypeClaim, Key: key, Attempt: attempt, Remaining: time.Hour}
}

func recordOf(recordType Type, attempt Attempt) Record {
	return Record{Type: recordType, Key: key, Attempt: attempt, Answer: &Answer{Status: 201}}
}

func TestApply(t *testing.T) {
	renewal := Record{Type: TypeRenewal, Key: key, Attempt: firstAttempt, Remaining: time.Minute, Base: 1}
	cases := []struct {
		name    string
		records []Record
		holder  Attempt
		held    bool
		done    bool
	}{
		{"the first claim wins", []Record{claim(firstAttempt), claim(secondAttempt)}, firstAttempt, true, false},
		{"a release frees the key for later claims", []Record{claim(firstAttempt), recordOf(TypeRelease, firstAttempt), claim(secondAttempt)}, secondAttempt, true, false},
		{"a lost claim stays lost after a release", []Record{claim(firstAttempt), claim(secondAttempt), recordOf(TypeRelease, firstAttempt)}, Attempt{}, false, false},
		{"only the holder releases", []Record{claim(firstAttempt), recordOf(TypeRelease, secondAttempt)}, firstAttempt, true, false},
		{"only the holder finishes", []Record{claim(firstAttempt), recordOf(TypeOutcome, secondAttempt)}, firstAttempt, true, false},
		{"an answered key can't be released or claimed", []Record{claim(firstAttempt), recordOf(TypeOutcome, firstAttempt), recordOf(TypeRelease, firstAttempt), claim(secondAttempt)}, firstAttempt, true, true},
		{"a duplicate claim has no effect", []Record{claim(firstAttempt), claim(firstAttempt)}, firstAttempt, true, false},
		{"a renewal keeps the holder", []Record{claim(firstAttempt), renewal, claim(secondAttempt)}, firstAttempt, true, false},
		{"a renewal does not undo a release that its sender had not read", []Record{claim(firstAttempt), recordOf(TypeRelease, firstAttempt), renewal}, Attempt{}, false, false},
		{"a renewal corrects the holder for a reader that missed the first claim", []Record{claim(secondAttempt), renewal}, firstAttempt, true, false},
		{"a renewal does not replace a later holder", []Record{claim(firstAttempt), recordOf(TypeRelease, firstAttempt), claim(secondAttempt), renewal}, secondAttempt, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry, held := applyAll(c.records...).Lookup(key)
			assert.Equal(t, c.held, held)
			assert.Equal(t, c.holder, entry.Attempt)
			assert.Equal(t, c.done, entry.Done())
		})
	}
}

func TestTicks(t *testing.T) {
	tick := func(base uint64) Record { return Record{Type: TypeTick, Base: base, Elapsed: time.Minute} }
	index := applyAll(claim(firstAttempt), tick(0), tick(2), tick(2), tick(3))
	t.Run("only the first of two ticks for the same interval counts", func(t *testing.T) {
		assert.Equal(t, 2*time.Minute, index.Age(0))
	})
	t.Run("the interval that contains the claim does not count", func(t *testing.T) {
		assert.Equal(t, time.Duration(0), applyAll(claim(firstAttempt), tick(0)).Age(0))
	})
}

func TestTrim(t *testing.T) {
	index := applyAll(claim(firstAttempt), claim(secondAttempt))
	index.Trim(1)
	assert.Equal(t, 0, index.Len())
	assert.Equal(t, uint64(2), index.Next())
}

// TestKeyHasOneHolder checks on random streams that the holder of a key changes
// only by a release, and that applying the same records again gives the same
// entry.
func TestKeyHasOneHolder(t *testing.T) {
	recordTypes := []Type{TypeClaim, TypeClaim, TypeOutcome, TypeRelease, TypeRenewal, TypeTick}
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		// holders contains the holder of the key before each offset. A renewal
		// names the holder at the offset up to which its sender had read.
		holders := []Attempt{{}}
		index := New()
		var holder Attempt
		held := false
		for offset := range rapid.IntRange(0, 40).Draw(t, "length") {
			attempt := Attempt{Process: rapid.Uint64Range(1, 3).Draw(t, "process")}
			record := recordOf(rapid.SampledFrom(recordTypes).Draw(t, "type"), attempt)
			if record.Type == TypeRenewal {
				record.Base = rapid.Uint64Range(0, uint64(offset)).Draw(t, "through")
				record.Attempt = holders[record.Base]
				record.Answer = nil
			}
			if record.Attempt == (Attempt{}) {
				record.Type = TypeTick
			}
			records = append(records, record)
			_ = index.Apply(uint64(offset), record)
			entry, heldNow := index.Lookup(key)
			if held && heldNow && entry.Attempt != holder {
				t.Fatalf("holder changed from %v to %v at offset %d without a release", holder, entry.Attempt, offset)
			}
			if held && !heldNow && (record.Type != TypeRelease || record.Attempt != holder) {
				t.Fatalf("key was released by record %v, which is no release of its holder", record)
			}
			holder, held = entry.Attempt, heldNow
			holders = append(holders, holder)
		}
		replayed, _ := applyAll(records...).Lookup(key)
		incremental, _ := index.Lookup(key)
		if replayed != incremental {
			t.Fatalf("two readers disagree: %v and %v", incremental, replayed)
		}
	})
}
