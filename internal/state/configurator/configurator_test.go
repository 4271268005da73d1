package configurator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes the random tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

func putDomain(name string, hosts int) Change { return Put(Domain{Name: name, Hosts: hosts}) }

func record(base uint64, changes ...Change) Record {
	return Record{ID: "id", Base: base, Rules: RulesVersion, Changes: changes}
}

// apply applies records in order and returns the state after the last one and
// its verdict.
func apply(t require.TestingT, state *State, records ...Record) (*State, Verdict) {
	var verdict Verdict
	for _, r := range records {
		next, v, err := state.Apply(state.Next(), r)
		require.NoError(t, err)
		state, verdict = next, v
	}
	return state, verdict
}

func assertIs(t *testing.T, err, sentinel error) {
	t.Helper()
	assert.True(t, errors.Is(err, sentinel), "%v is not %v", err, sentinel)
}

func TestApply(t *testing.T) {
	initial, _ := apply(t, New(), record(0, putDomain("bursa", 1), putDomain("izmit", 1)))
	cases := []struct {
		name   string
		record Record
		reason error
	}{
		{"a change based on the latest state", record(1, putDomain("bursa", 2)), nil},
		{"a change of another object with an old base", record(0, putDomain("kadikoy", 2)), nil},
		{"a change of an object that changed after the base", record(0, putDomain("bursa", 2)), ErrConflict},
		{"a deletion of an object that changed after the base", record(0, Delete(Ref{KindDomain, "bursa"})), ErrConflict},
		{"an invalid object", record(1, putDomain("bursa", 0)), ErrInvalid},
		{"a dangling reference", record(1, Put(Model{Name: "m", Service: "s", Version: "v"})), ErrInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, verdict := apply(t, initial, c.record)
			assert.Equal(t, initial.Next()+1, next.Next())
			assert.Equal(t, c.reason == nil, verdict.Accepted())
			if c.reason != nil {
				assertIs(t, verdict.Reason, c.reason)
				assert.Equal(t, initial.Objects(), next.Objects())
			}
		})
	}
	t.Run("a change of a deleted object conflicts", func(t *testing.T) {
		deleted, _ := apply(t, initial, record(1, Delete(Ref{KindDomain, "bursa"})))
		_, verdict := apply(t, deleted, record(1, putDomain("bursa", 5)))
		assertIs(t, verdict.Reason, ErrConflict)
	})
	t.Run("a record with newer rules is not applied", func(t *testing.T) {
		next, _, err := initial.Apply(1, Record{Rules: RulesVersion + 1})
		assertIs(t, err, ErrUnknownRules)
		assert.Same(t, initial, next)
	})
	t.Run("a record after a gap is not applied", func(t *testing.T) {
		_, _, err := initial.Apply(5, record(1))
		assertIs(t, err, ErrOutOfOrder)
	})
}

func TestDiff(t *testing.T) {
	state, _ := apply(t, New(), record(0, putDomain("bursa", 1), putDomain("izmit", 1)))
	declared := []Object{Domain{Name: "bursa", Hosts: 3}}
	assert.Equal(t, []Change{putDomain("bursa", 3)}, state.Diff(declared, false))
	assert.Equal(t, []Change{putDomain("bursa", 3), Delete(Ref{KindDomain, "izmit"})}, state.Diff(declared, true))
	assert.Empty(t, state.Diff(state.Objects(), true))
}

// TestRestoredSnapshotMatchesFullReplay checks on random streams that a node that
// starts from a snapshot reaches the same verdicts and the same state as one that
// applies all records.
func TestRestoredSnapshotMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			change := putDomain(name, rapid.IntRange(0, 3).Draw(t, "hosts"))
			if rapid.Bool().Draw(t, "delete") {
				change = Delete(Ref{KindDomain, name})
			}
			return record(rapid.Uint64Range(0, 20).Draw(t, "base"), change)
		}), 1, 20).Draw(t, "records")
		snapshotAt := rapid.IntRange(0, len(records)).Draw(t, "cut")
		replayed, _ := apply(t, New(), records[:snapshotAt]...)
		restored, err := Restore(replayed.Snapshot())
		require.NoError(t, err)
		for _, r := range records[snapshotAt:] {
			var replayedVerdict, restoredVerdict Verdict
			replayed, replayedVerdict = apply(t, replayed, r)
			restored, restoredVerdict = apply(t, restored, r)
			require.Equal(t, replayedVerdict.Accepted(), restoredVerdict.Accepted())
		}
		require.Equal(t, replayed.Snapshot(), restored.Snapshot())
	})
}

func BenchmarkApply(b *testing.B) {
	for _, teams := range []int{360, 3600} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			state := newStateWithTeams(b, teams)
			b.ResetTimer()
			for i := range b.N {
				state, _ = apply(b, state, record(state.Next(), Put(benchTeam(i%teams, float64(i+1)))))
			}
		})
	}
}

func newStateWithTeams(b *testing.B, teams int) *State {
	var changes []Change
	for i := range teams {
		changes = append(changes, Put(benchTeam(i, 1)))
	}
	state, verdict := apply(b, New(), record(0, changes...))
	require.NoError(b, verdict.Reason)
	return state
}

func benchTeam(i int, rate float64) Team {
	return Team{Name: fmt.Sprintf("team-%d", i), KeyHash: fmt.Sprintf("%064x", i), Rate: rate, Burst: 10, Concurrency: 10}
}

func TestValidationErrorNamesTheObject(t *testing.T) {
	_, verdict := apply(t, New(), record(0, Put(Service{Name: "shop", Type: ServicePlain, Priority: "none", Concurrency: 1, Timeout: time.Second})))
	assert.EqualError(t, verdict.Reason, `service/shop: priority/none does not exist`)
}
