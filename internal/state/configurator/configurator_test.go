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

// Random tests draw the same values in every run.
func init() { _ = flag.Set("rapid.seed", "1") }

func domain(name string, hosts int) Change { return Put(Domain{Name: name, Hosts: hosts}) }

func record(base uint64, changes ...Change) Record {
	return Record{ID: "id", Base: base, Rules: RulesVersion, Changes: changes}
}

// apply folds records and returns the last verdict.
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
	start, _ := apply(t, New(), record(0, domain("bursa", 1), domain("izmit", 1)))
	cases := []struct {
		name   string
		record Record
		reason error
	}{
		{"a change from the newest base", record(1, domain("bursa", 2)), nil},
		{"a change of something else from an old base", record(0, domain("kadikoy", 2)), nil},
		{"a change of what has changed since", record(0, domain("bursa", 2)), ErrConflict},
		{"a deletion of what has changed since", record(0, Delete(Ref{KindDomain, "bursa"})), ErrConflict},
		{"an invalid whole", record(1, domain("bursa", 0)), ErrInvalid},
		{"a dangling reference", record(1, Put(Model{Name: "m", Service: "s", Version: "v"})), ErrInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, verdict := apply(t, start, c.record)
			assert.Equal(t, start.Next()+1, next.Next())
			assert.Equal(t, c.reason == nil, verdict.Accepted())
			if c.reason != nil {
				assertIs(t, verdict.Reason, c.reason)
				assert.Equal(t, start.Objects(), next.Objects())
			}
		})
	}
	t.Run("a deleted object conflicts like a changed one", func(t *testing.T) {
		deleted, _ := apply(t, start, record(1, Delete(Ref{KindDomain, "bursa"})))
		_, verdict := apply(t, deleted, record(1, domain("bursa", 5)))
		assertIs(t, verdict.Reason, ErrConflict)
	})
	t.Run("newer rules stop the fold", func(t *testing.T) {
		next, _, err := start.Apply(1, Record{Rules: RulesVersion + 1})
		assertIs(t, err, ErrUnknownRules)
		assert.Same(t, start, next)
	})
	t.Run("a gap stops the fold", func(t *testing.T) {
		_, _, err := start.Apply(5, record(1))
		assertIs(t, err, ErrOutOfOrder)
	})
}

func TestDiff(t *testing.T) {
	state, _ := apply(t, New(), record(0, domain("bursa", 1), domain("izmit", 1)))
	declared := []Object{Domain{Name: "bursa", Hosts: 3}}
	assert.Equal(t, []Change{domain("bursa", 3)}, state.Diff(declared, false))
	assert.Equal(t, []Change{domain("bursa", 3), Delete(Ref{KindDomain, "izmit"})}, state.Diff(declared, true))
	assert.Empty(t, state.Diff(state.Objects(), true))
}

// TestSnapshotsAreEqual checks on random streams that a node that starts from a
// snapshot reaches the same verdicts and state as one that reads everything.
func TestSnapshotsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			change := domain(name, rapid.IntRange(0, 3).Draw(t, "hosts"))
			if rapid.Bool().Draw(t, "delete") {
				change = Delete(Ref{KindDomain, name})
			}
			return record(rapid.Uint64Range(0, 20).Draw(t, "base"), change)
		}), 1, 20).Draw(t, "records")
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		whole, _ := apply(t, New(), records[:cut]...)
		restored, err := Restore(whole.Snapshot())
		require.NoError(t, err)
		for _, r := range records[cut:] {
			var left, right Verdict
			whole, left = apply(t, whole, r)
			restored, right = apply(t, restored, r)
			require.Equal(t, left.Accepted(), right.Accepted())
		}
		require.Equal(t, whole.Snapshot(), restored.Snapshot())
	})
}

func BenchmarkApply(b *testing.B) {
	for _, teams := range []int{360, 3600} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			state := withTeams(b, teams)
			b.ResetTimer()
			for i := range b.N {
				state, _ = apply(b, state, record(state.Next(), Put(benchTeam(i%teams, float64(i+1)))))
			}
		})
	}
}

func withTeams(b *testing.B, teams int) *State {
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

func TestValidateNamesTheObject(t *testing.T) {
	_, verdict := apply(t, New(), record(0, Put(Service{Name: "shop", Type: ServicePlain, Priority: "none", Concurrency: 1, Timeout: time.Second})))
	assert.EqualError(t, verdict.Reason, `service/shop: priority/none does not exist`)
}
