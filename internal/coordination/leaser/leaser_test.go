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

func assertClaimable(t *testing.T, l *leaser.Lease, now time.Duration, want bool) {
	t.Helper()
	assert.Equal(t, want, l.Claimable(now))
}

func TestClaimable(t *testing.T) {
	t.Run("not before the log has been read", func(t *testing.T) { assertClaimable(t, newLease("a"), time.Hour, false) })
	t.Run("an empty log", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, 0)
		assertClaimable(t, l, 0, true)
	})
	t.Run("own last claim", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, []leaser.Claim{{Offset: 4, Holder: "a"}}, 5)
		assertClaimable(t, l, 0, true)
	})
	t.Run("another node's claim, timed from when it was seen", func(t *testing.T) {
		l := newLease("a")
		l.Observe(time.Second, []leaser.Claim{{Offset: 4, Holder: "b"}}, 5)
		assertClaimable(t, l, time.Second+term+handover-1, false)
		assertClaimable(t, l, time.Second+term+handover, true)
	})
	t.Run("another node's renewal restarts the wait", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, []leaser.Claim{{Offset: 4, Holder: "b"}}, 5)
		l.Observe(3*time.Second, []leaser.Claim{{Offset: 5, Holder: "b"}}, 6)
		assertClaimable(t, l, term+handover, false)
	})
}

func TestWait(t *testing.T) {
	t.Run("zero once claimable", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, 0)
		assert.Zero(t, l.Wait(time.Second))
	})
	t.Run("until another node's claim and the pause are over", func(t *testing.T) {
		l := newLease("a")
		l.Observe(time.Second, []leaser.Claim{{Offset: 4, Holder: "b"}}, 5)
		assert.Equal(t, time.Millisecond, l.Wait(time.Second+term+handover-time.Millisecond))
		assert.Zero(t, l.Wait(time.Minute))
	})
}

func TestValid(t *testing.T) {
	l := newLease("a")
	l.Observe(0, nil, 0)
	l.Claimed(time.Second, 0)
	assert.True(t, l.Valid(time.Second+term-1))
	assert.False(t, l.Valid(time.Second+term), "the claim is timed from the start of its append")
	assert.EqualValues(t, 1, l.Token())
	assert.EqualValues(t, 1, l.NextOffset())
	t.Run("lost to another node", func(t *testing.T) {
		l.Observe(time.Second, []leaser.Claim{{Offset: 1, Holder: "b"}}, 2)
		assert.False(t, l.Valid(time.Second+1))
	})
}

// simulation is a log with nodes that read and claim in random order, may be
// paused between any two steps, and act whenever their lease is valid.
type simulation struct {
	now   time.Duration
	log   []leaser.Claim
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
	appendOffset  int64
}

func (w *simulation) read(a *participant) {
	end := a.lease.NextOffset()
	a.lease.Observe(w.now, append([]leaser.Claim{}, w.log[end:]...), int64(len(w.log)))
}

func (w *simulation) beginClaim(a *participant) {
	if a.appendStarted == 0 && a.lease.Claimable(w.now) {
		a.appendStarted, a.appendOffset = w.now, a.lease.NextOffset()
	}
}

// endClaim completes the append at any later time, since the node may have been
// paused.
func (w *simulation) endClaim(a *participant) {
	if a.appendStarted == 0 {
		return
	}
	if a.appendOffset == int64(len(w.log)) {
		w.log = append(w.log, leaser.Claim{Offset: a.appendOffset, Holder: a.lease.Self})
		a.lease.Claimed(a.appendStarted, a.appendOffset)
	} else {
		a.lease.Conflict()
	}
	a.appendStarted = 0
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

// step is one operation of a node after a pause.
type step struct {
	node, kind int
	pause      time.Duration
}

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
		[]func(*participant){w.read, w.beginClaim, w.endClaim, w.act, w.claimAndAct}[s.kind](node)
	}
	return violation(w.acts)
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		anyStep := rapid.Custom(func(rt *rapid.T) step {
			return step{
				node:  rapid.IntRange(0, 1).Draw(rt, "node"),
				kind:  rapid.IntRange(0, 4).Draw(rt, "move"),
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
			steps[i] = step{node: random.IntN(2), kind: random.IntN(5), pause: pauses[random.IntN(len(pauses))]}
		}
		if simulate(steps, modify) != "" {
			return true
		}
	}
	return false
}

func TestLeaseCheckerDetectsFaults(t *testing.T) {
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
