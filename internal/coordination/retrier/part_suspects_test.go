package retrier_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// step is a crash of an endpoint, or an answer if endpoint is zero, at a time since the
// start, as seen by a node: a, b or c.
type step struct {
	at       time.Duration
	node     string
	endpoint uint32
	parts    string
}

func hashes(parts string) []uint64 { return retrier.PartHashes(strings.Fields(parts)) }

// suspectsOf returns the tables of three nodes after the steps. All hear of each step.
func suspectsOf(start time.Time, steps []step) map[string]*retrier.PartSuspects {
	tables := map[string]*retrier.PartSuspects{}
	for _, node := range []string{"a", "b", "c"} {
		tables[node] = &retrier.PartSuspects{Node: node, Expiry: time.Hour}
	}
	for _, s := range steps {
		now := start.Add(s.at)
		if s.endpoint == 0 {
			tables[s.node].RecordSurvival(now, hashes(s.parts))
		} else {
			tables[s.node].RecordCrash(now, now, hashes(s.parts), s.endpoint)
		}
		exchange(now, tables)
	}
	return tables
}

// exchange makes each table tell all others what it knows.
func exchange(now time.Time, tables map[string]*retrier.PartSuspects) {
	for _, from := range tables {
		for _, suspect := range from.Known(now, 1000) {
			for _, to := range tables {
				to.Update(now, suspect)
			}
		}
	}
}

func assertVerdict(t *testing.T, tables map[string]*retrier.PartSuspects, now time.Time, parts string, want retrier.Verdict) {
	t.Helper()
	for node, table := range tables {
		got, _ := table.Check(now, hashes(parts))
		assert.Equal(t, want, got, "node %s, parts %s", node, parts)
	}
}

// after returns the steps later by a time.
func after(d time.Duration, steps []step) []step {
	var later []step
	for _, s := range steps {
		s.at += d
		later = append(later, s)
	}
	return later
}

func TestPartVerdicts(t *testing.T) {
	const second = time.Second
	x3 := []step{{0, "a", 1, "system x"}, {second, "b", 2, "system x tools"}, {2 * second, "a", 3, "system x"}}
	for _, c := range []struct {
		name            string
		steps           []step
		refused, served []string
	}{
		{
			"three crashes seen by two nodes",
			[]step{{0, "a", 1, "system x"}, {second, "b", 2, "x tools"}, {2 * second, "a", 3, "other x"}},
			[]string{"x", "system x", "y x", "x tools"},
			[]string{"system", "system tools", "y"},
		},
		// Either may be the cause, or both.
		{"two parts that are always together", x3, []string{"system x", "system x tools"}, []string{"system", "system tools", "x", "y x"}},
		{"two crashes", x3[:2], nil, []string{"x", "system x"}},
		{
			"crashes seen by one node alone",
			[]step{{0, "a", 1, "x"}, {second, "a", 2, "x"}, {2 * second, "a", 3, "x"}, {3 * second, "a", 4, "x"}, {4 * second, "a", 5, "x"}, {5 * second, "a", 6, "x"}},
			nil,
			[]string{"x"},
		},
		{
			"one crash seen by many nodes",
			[]step{{0, "a", 1, "x"}, {second, "b", 1, "x"}, {2 * second, "c", 1, "x"}},
			nil,
			[]string{"x"},
		},
		{
			"endpoints that end together",
			[]step{{0, "a", 1, "x"}, {0, "b", 2, "x"}, {50 * time.Millisecond, "c", 3, "x"}, {90 * time.Millisecond, "c", 4, "x"}},
			nil,
			[]string{"x"},
		},
		{
			"answered between the crashes",
			[]step{{0, "a", 1, "x"}, {second, "b", 2, "x"}, {1500 * time.Millisecond, "c", 0, "x"}, {2 * second, "a", 3, "x"}},
			nil,
			[]string{"x"},
		},
		{"answered before three crashes", append([]step{{0, "c", 0, "system x"}}, after(second, x3)...), nil, []string{"x", "system x"}},
		{
			"answered before five crashes",
			append(append([]step{{0, "c", 0, "x"}}, after(second, x3)...), step{4 * second, "b", 4, "x"}, step{5 * second, "a", 5, "x"}),
			[]string{"x", "system x"},
			[]string{"system"},
		},
		{"answered after the crashes", append(x3[:3:3], step{3 * second, "c", 0, "system x"}), nil, []string{"x", "system x"}},
		{
			"first part with an unrelated crash more",
			append(x3[:3:3], step{3 * second, "c", 9, "system"}),
			[]string{"system x"},
			[]string{"system", "system tools"},
		},
		{
			"first part is the cause",
			append(x3[:3:3], step{3 * second, "c", 4, "system y"}, step{4 * second, "c", 5, "system z"}),
			[]string{"system", "system y", "system x"},
			[]string{"y", "z"},
		},
		{
			"part with several first parts",
			append(x3[:3:3], step{3 * second, "c", 4, "other x"}, step{4 * second, "c", 5, "other x"}),
			[]string{"x", "third x", "other x"},
			[]string{"other", "system"},
		},
		{
			"six crashes, the first five seen by one node",
			[]step{{0, "a", 1, "x"}, {second, "a", 2, "x"}, {2 * second, "a", 3, "x"}, {3 * second, "a", 4, "x"}, {4 * second, "a", 5, "x"}, {5 * second, "b", 6, "x"}},
			[]string{"x"},
			nil,
		},
		{
			"five endpoints at two times",
			[]step{{0, "a", 1, "x"}, {0, "b", 2, "x"}, {0, "b", 3, "x"}, {100 * time.Millisecond, "a", 4, "x"}, {100 * time.Millisecond, "c", 5, "x"}},
			[]string{"x"},
			nil,
		},
		{
			"four endpoints at two times",
			[]step{{0, "a", 1, "x"}, {0, "b", 2, "x"}, {100 * time.Millisecond, "a", 3, "x"}, {100 * time.Millisecond, "c", 4, "x"}},
			nil,
			[]string{"x"},
		},
		{
			"many endpoints at once, then two more",
			[]step{{0, "a", 1, "x"}, {0, "a", 2, "x"}, {0, "a", 3, "x"}, {0, "b", 4, "x"}, {0, "b", 5, "x"}, {second, "b", 6, "x"}, {2 * second, "a", 7, "x"}},
			[]string{"x"},
			nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			tables := suspectsOf(start, c.steps)
			now := start.Add(10 * second)
			for _, parts := range c.refused {
				assertVerdict(t, tables, now, parts, retrier.VerdictRefuse)
			}
			for _, parts := range c.served {
				assertVerdict(t, tables, now, parts, retrier.VerdictAllow)
			}
		})
	}
}

// crashesOfX returns three crashes of part x, the last of which node b saw.
func crashesOfX() []step {
	return []step{{0, "a", 1, "x"}, {time.Second, "a", 2, "x"}, {2 * time.Second, "b", 3, "x"}}
}

func TestPartRefusal(t *testing.T) {
	start := time.Now()
	_, refusal := suspectsOf(start, crashesOfX())["c"].Check(start.Add(5*time.Second), hashes("system x"))
	assert.Equal(t, retrier.PartRefusal{Index: 1, Crashes: 3, Observers: 2, SinceFirst: 5 * time.Second, SinceLast: 3 * time.Second}, refusal)
}

// TestPartProbe shows that a refused part is tried again by one node, and ever less often.
func TestPartProbe(t *testing.T) {
	check := func(t *testing.T, table *retrier.PartSuspects, now time.Time, want retrier.Verdict) {
		t.Helper()
		got, _ := table.Check(now, hashes("x"))
		assert.Equal(t, want, got)
	}
	start := time.Now()
	last := start.Add(2 * time.Second)
	t.Run("by the node that saw the last crash, once", func(t *testing.T) {
		tables := suspectsOf(start, crashesOfX())
		check(t, tables["b"], last.Add(119*time.Second), retrier.VerdictRefuse)
		check(t, tables["a"], last.Add(121*time.Second), retrier.VerdictRefuse)
		check(t, tables["b"], last.Add(121*time.Second), retrier.VerdictExclusive)
		check(t, tables["b"], last.Add(122*time.Second), retrier.VerdictRefuse)
	})
	t.Run("by another node if that one is gone", func(t *testing.T) {
		check(t, suspectsOf(start, crashesOfX())["a"], last.Add(241*time.Second), retrier.VerdictExclusive)
	})
	t.Run("later after another crash", func(t *testing.T) {
		tables := suspectsOf(start, append(crashesOfX(), step{122 * time.Second, "b", 4, "x"}))
		check(t, tables["b"], start.Add(122*time.Second+479*time.Second), retrier.VerdictRefuse)
		check(t, tables["b"], start.Add(122*time.Second+481*time.Second), retrier.VerdictExclusive)
	})
	t.Run("an answer lets all requests run", func(t *testing.T) {
		tables := suspectsOf(start, append(crashesOfX(), step{123 * time.Second, "b", 0, "x"}))
		assertVerdict(t, tables, start.Add(124*time.Second), "x", retrier.VerdictAllow)
	})
}

func TestPartExpiry(t *testing.T) {
	start := time.Now()
	table := suspectsOf(start, crashesOfX())["a"]
	table.Expiry = 10 * time.Second
	for i := range 6 {
		verdict, _ := table.Check(start.Add(time.Duration(2+9*i)*time.Second), hashes("x"))
		assert.Equal(t, retrier.VerdictRefuse, verdict, "requests come on")
	}
	verdict, _ := table.Check(start.Add(58*time.Second), hashes("x"))
	assert.Equal(t, retrier.VerdictAllow, verdict)
	assert.False(t, table.Update(start, peertracker.PartSuspect{Part: 1, Used: 10 * time.Second}), "an expired record is not learned anew")
}

// TestPartSuspectsBounds shows that the records stay bounded, and that the strongest evidence
// is kept and sent first.
func TestPartSuspectsBounds(t *testing.T) {
	start := time.Now()
	table := suspectsOf(start, crashesOfX())["a"]
	now := start.Add(3 * time.Second)
	for i := range 10_000 {
		table.RecordCrash(now, now, hashes(fmt.Sprint("part", i)), uint32(i+10))
		table.RecordCrash(now, now, hashes("y"), uint32(i+10))
	}
	assert.LessOrEqual(t, len(table.Known(now, 100_000)), 1024)
	known := table.Known(now, 5)
	assert.Len(t, known, 5)
	assert.Equal(t, retrier.PartHash("x"), known[0].Part)
	for _, suspect := range table.Known(now, 100_000) {
		assert.LessOrEqual(t, len(suspect.Crashes), 5)
	}
	long := peertracker.PartSuspect{Part: 7}
	for i := range 10_000 {
		long.Crashes = append(long.Crashes, peertracker.PartCrash{Endpoint: uint32(i), Observer: uint32(i), Age: time.Duration(i) * time.Second})
	}
	table.Update(now, long)
	for _, suspect := range table.Known(now, 100_000) {
		assert.LessOrEqual(t, len(suspect.Crashes), 5)
	}
}

// TestClearedPartIsTold shows that a peer with an outdated record of crashes learns that the
// part is sound, and does not bring the crashes back.
func TestClearedPartIsTold(t *testing.T) {
	start := time.Now()
	tables := suspectsOf(start, crashesOfX())
	now := start.Add(5 * time.Second)
	outdated := tables["a"].Known(now, 10)
	tables["a"].RecordSurvival(now, hashes("x"))
	for range 3 {
		exchange(now, tables)
		for _, suspect := range outdated {
			assert.False(t, tables["a"].Update(now, suspect))
		}
	}
	assertVerdict(t, tables, now, "x", retrier.VerdictAllow)
}

// TestSingleCrashIsToldForSomeTime shows that single crashes, of which most are bystanders',
// don't fill the heartbeats for long, and still count.
func TestSingleCrashIsToldForSomeTime(t *testing.T) {
	start := time.Now()
	tables := suspectsOf(start, []step{{0, "a", 1, "x"}})
	for _, table := range tables {
		assert.Len(t, table.Known(start.Add(29*time.Second), 10), 1)
		assert.Empty(t, table.Known(start.Add(31*time.Second), 10))
	}
	for endpoint, node := range []string{"b", "c"} {
		now := start.Add(time.Duration(40*(endpoint+1)) * time.Second)
		tables[node].RecordCrash(now, now, hashes("x"), uint32(endpoint+2))
		exchange(now, tables)
	}
	assertVerdict(t, tables, start.Add(2*time.Minute), "x", retrier.VerdictRefuse)
}
