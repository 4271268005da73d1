package leaser_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/leaser"
)

const (
	term     = 500 * time.Millisecond
	handover = 3 * time.Second
)

func newLease(self string) *leaser.Lease {
	return &leaser.Lease{Self: self, Term: term, HandoverDelay: handover}
}

// at returns a position of the first era.
func at(offset int64) leaser.Position { return leaser.Position{Offset: offset} }

func assertClaimable(t *testing.T, l *leaser.Lease, now time.Duration, want bool) {
	t.Helper()
	assert.Equal(t, want, l.Claimable(now))
}

func TestClaimable(t *testing.T) {
	t.Run("not before the log has been read", func(t *testing.T) { assertClaimable(t, newLease("a"), time.Hour, false) })
	t.Run("an empty log", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, at(0))
		assertClaimable(t, l, 0, true)
	})
	t.Run("own last claim", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, []leaser.Claim{{Offset: 4, Holder: "a"}}, at(5))
		assertClaimable(t, l, 0, true)
	})
	t.Run("another node's claim, timed from when it was seen", func(t *testing.T) {
		l := newLease("a")
		l.Observe(time.Second, []leaser.Claim{{Offset: 4, Holder: "b"}}, at(5))
		assertClaimable(t, l, time.Second+term+handover-1, false)
		assertClaimable(t, l, time.Second+term+handover, true)
	})
	t.Run("another node's renewal restarts the wait", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, []leaser.Claim{{Offset: 4, Holder: "b"}}, at(5))
		l.Observe(3*time.Second, []leaser.Claim{{Offset: 5, Holder: "b"}}, at(6))
		assertClaimable(t, l, term+handover, false)
	})
}

func TestWait(t *testing.T) {
	t.Run("zero once claimable", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, at(0))
		assert.Zero(t, l.Wait(time.Second))
	})
	t.Run("until another node's claim and the pause are over", func(t *testing.T) {
		l := newLease("a")
		l.Observe(time.Second, []leaser.Claim{{Offset: 4, Holder: "b"}}, at(5))
		assert.Equal(t, time.Millisecond, l.Wait(time.Second+term+handover-time.Millisecond))
		assert.Zero(t, l.Wait(time.Minute))
	})
}

func TestValid(t *testing.T) {
	l := newLease("a")
	l.Observe(0, nil, at(0))
	l.Claimed(time.Second, at(0))
	assert.True(t, l.Valid(time.Second+term-1))
	assert.False(t, l.Valid(time.Second+term), "the claim is timed from the start of its append")
	assert.EqualValues(t, 1, l.Token())
	assert.Equal(t, at(1), l.Next())
	t.Run("lost to another node", func(t *testing.T) {
		l.Observe(time.Second, []leaser.Claim{{Offset: 1, Holder: "b"}}, at(2))
		assert.False(t, l.Valid(time.Second+1))
	})
}

// TestRestoredLog covers a log that comes back from an older copy: the newest claims are
// lost, and their offsets are given out again.
func TestRestoredLog(t *testing.T) {
	restored := leaser.Position{Era: 1, Offset: 3}
	t.Run("the lease ends and no node claims for the pause between holders", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, at(5))
		l.Claimed(time.Second, at(5))
		l.Observe(time.Second, nil, restored)
		assert.False(t, l.Valid(time.Second+1))
		assertClaimable(t, l, time.Second+term+handover-1, false)
		assertClaimable(t, l, time.Second+term+handover, true)
		assert.Equal(t, restored, l.Next(), "claims are appended at the end of the copy")
	})
	t.Run("a claim of an earlier era does not show the last holder", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, []leaser.Claim{{Offset: 2, Holder: "a"}}, restored)
		assertClaimable(t, l, term+handover-1, false)
	})
	t.Run("a copy without claims does not show that there was no holder", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, leaser.Position{Era: 1})
		assertClaimable(t, l, term+handover-1, false)
	})
	t.Run("a claim that was appended after the restoration gives no lease", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, at(3))
		l.Claimed(time.Second, restored)
		assert.False(t, l.Valid(time.Second))
		assert.False(t, l.Known(), "the log is read again")
	})
	t.Run("a claim that was under way at the restoration gives no lease, although the copy was read meanwhile", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, at(0))
		l.Observe(time.Minute, nil, leaser.Position{Era: 1})
		l.Claimed(time.Second, leaser.Position{Era: 1})
		assert.False(t, l.Valid(time.Second))
		assert.False(t, l.Known(), "the log is read again")
	})
	t.Run("tokens rise although offsets begin lower", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, at(900))
		l.Claimed(0, at(900))
		before := l.Token()
		l.Observe(0, nil, restored)
		l.Claimed(time.Minute, restored)
		assert.Greater(t, l.Token(), before)
	})
}

// simulation is a log with nodes that read and claim in random order, may be
// paused between any two steps, and act whenever their lease is valid. The log may be
// restored from a copy at any time.
type simulation struct {
	now   time.Duration
	log   []leaser.Claim
	era   int64
	copy  int
	nodes []*participant
	acts  []act
}

type act struct {
	holder string
	token  int64
	at     time.Duration
}

type participant struct {
	lease *leaser.Lease
	// appendStarted is when the append in progress started; zero for none.
	appendStarted time.Duration
	appendAt      leaser.Position
}

func (w *simulation) end() leaser.Position {
	return leaser.Position{Era: w.era, Offset: int64(len(w.log))}
}

func (w *simulation) read(a *participant) {
	from := a.lease.Next()
	if from.Era != w.era {
		from.Offset = 0
	}
	a.lease.Observe(w.now, append([]leaser.Claim{}, w.log[from.Offset:]...), w.end())
}

func (w *simulation) beginClaim(a *participant) {
	if a.appendStarted == 0 && a.lease.Claimable(w.now) {
		a.appendStarted, a.appendAt = w.now, a.lease.Next()
	}
}

// endClaim completes the append at any later time, since the node may have been
// paused. The log compares the offset only.
func (w *simulation) endClaim(a *participant) {
	if a.appendStarted == 0 {
		return
	}
	if a.appendAt.Offset == int64(len(w.log)) {
		w.log = append(w.log, leaser.Claim{Offset: a.appendAt.Offset, Holder: a.lease.Self, Era: a.appendAt.Era})
		a.lease.Claimed(a.appendStarted, leaser.Position{Era: w.era, Offset: a.appendAt.Offset})
	} else {
		a.lease.Conflict()
	}
	a.appendStarted = 0
}

// backUp makes the copy that restore brings back.
func (w *simulation) backUp(*participant) { w.copy = len(w.log) }

func (w *simulation) restore(*participant) {
	w.log, w.era = w.log[:min(w.copy, len(w.log)):min(w.copy, len(w.log))], w.era+1
}

// restart replaces a node's process, which knows nothing of before.
func (w *simulation) restart(a *participant) {
	self, term, handover := a.lease.Self, a.lease.Term, a.lease.HandoverDelay
	*a = participant{lease: &leaser.Lease{Self: self, Term: term, HandoverDelay: handover}}
}

func (w *simulation) act(a *participant) {
	if a.lease.Valid(w.now) {
		w.acts = append(w.acts, act{holder: a.lease.Self, token: a.lease.Token(), at: w.now})
	}
}

// claimAndAct claims and acts without a pause in between.
func (w *simulation) claimAndAct(a *participant) {
	w.beginClaim(a)
	w.now += 10 * time.Millisecond
	w.endClaim(a)
	w.act(a)
}

// violation describes the first violation among the acts: two holders that
// act less than the handover pause apart, or a fencing token that decreases or is
// shared.
func violation(acts []act) string {
	for i := 1; i < len(acts); i++ {
		a, b := acts[i-1], acts[i]
		if a.holder != b.holder && b.at-a.at < handover {
			return "two holders acted within the pause"
		}
		if b.token < a.token || a.holder != b.holder && a.token == b.token {
			return "fencing token decreased or is shared"
		}
	}
	return ""
}

// step is one operation of a node after a pause in milliseconds.
type step struct {
	node, kind int
	pause      time.Duration
}

// stepKinds is the number of operations of a simulation.
const stepKinds = 8

var pauses = []time.Duration{1, 50, 200, 600, 1500, 4000}

func simulate(steps []step, modify func(*leaser.Lease)) string {
	w := &simulation{now: time.Second}
	for _, name := range []string{"a", "b"} {
		lease := newLease(name)
		modify(lease)
		w.nodes = append(w.nodes, &participant{lease: lease})
	}
	for _, s := range steps {
		w.now += s.pause * time.Millisecond
		node := w.nodes[s.node]
		[]func(*participant){w.read, w.beginClaim, w.endClaim, w.act, w.claimAndAct, w.backUp, w.restore, w.restart}[s.kind](node)
	}
	return violation(w.acts)
}

// TestClaimUnderWayAtRestoration guards against two holders at a time, if a restored copy is read
// between the start and the end of an append.
func TestClaimUnderWayAtRestoration(t *testing.T) {
	steps := []step{{0, 0, 1}, {0, 1, 1}, {1, 0, 1}, {1, 4, 1}, {0, 6, 1}, {0, 0, 1}, {0, 4, 1}}
	assert.Empty(t, simulate(steps, func(*leaser.Lease) {}))
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		anyStep := rapid.Custom(func(rt *rapid.T) step {
			return step{
				node:  rapid.IntRange(0, 1).Draw(rt, "node"),
				kind:  rapid.IntRange(0, stepKinds-1).Draw(rt, "move"),
				pause: rapid.SampledFrom(pauses).Draw(rt, "pause"),
			}
		})
		if problem := simulate(rapid.SliceOfN(anyStep, 50, 300).Draw(rt, "steps"), func(*leaser.Lease) {}); problem != "" {
			rt.Fatal(problem)
		}
	})
}

// detected reports whether random simulations of a modified lease show a
// violation.
func detected(modify func(*leaser.Lease)) bool {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2_000 {
		steps := make([]step, 300)
		for i := range steps {
			steps[i] = step{node: random.IntN(2), kind: random.IntN(stepKinds), pause: pauses[random.IntN(len(pauses))]}
		}
		if simulate(steps, modify) != "" {
			return true
		}
	}
	return false
}

func TestLeaseCheckerDetectsFaults(t *testing.T) {
	// The holder acts for 30 s, but other nodes wait for 4 s only.
	t.Run("claims that last too long", func(t *testing.T) {
		assert.True(t, detected(func(l *leaser.Lease) { l.Term, l.HandoverDelay = 30*time.Second, handover-29*time.Second }))
	})
	t.Run("no pause between holders", func(t *testing.T) {
		assert.True(t, detected(func(l *leaser.Lease) { l.HandoverDelay = 0 }))
	})
	t.Run("the unmodified lease has no violation", func(t *testing.T) {
		assert.False(t, detected(func(*leaser.Lease) {}))
	})
}
