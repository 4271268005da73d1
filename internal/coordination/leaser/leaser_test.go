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
	hold  = 500 * time.Millisecond
	apart = 3 * time.Second
)

func newLease(self string) *leaser.Lease {
	return &leaser.Lease{Self: self, Hold: hold, Apart: apart}
}

func assertClaimable(t *testing.T, l *leaser.Lease, now time.Duration, want bool) {
	t.Helper()
	assert.Equal(t, want, l.Claimable(now))
}

func TestClaimable(t *testing.T) {
	t.Run("not before the log is read", func(t *testing.T) { assertClaimable(t, newLease("a"), time.Hour, false) })
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
	t.Run("another's claim, counted from when it was seen", func(t *testing.T) {
		l := newLease("a")
		l.Observe(time.Second, []leaser.Claim{{Offset: 4, Holder: "b"}}, 5)
		assertClaimable(t, l, time.Second+hold+apart-1, false)
		assertClaimable(t, l, time.Second+hold+apart, true)
	})
	t.Run("another's renewal starts the wait again", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, []leaser.Claim{{Offset: 4, Holder: "b"}}, 5)
		l.Observe(3*time.Second, []leaser.Claim{{Offset: 5, Holder: "b"}}, 6)
		assertClaimable(t, l, hold+apart, false)
	})
}

func TestWait(t *testing.T) {
	t.Run("nothing once claimable", func(t *testing.T) {
		l := newLease("a")
		l.Observe(0, nil, 0)
		assert.Zero(t, l.Wait(time.Second))
	})
	t.Run("until another's claim and the pause are over", func(t *testing.T) {
		l := newLease("a")
		l.Observe(time.Second, []leaser.Claim{{Offset: 4, Holder: "b"}}, 5)
		assert.Equal(t, time.Millisecond, l.Wait(time.Second+hold+apart-time.Millisecond))
		assert.Zero(t, l.Wait(time.Minute))
	})
}

func TestValid(t *testing.T) {
	l := newLease("a")
	l.Observe(0, nil, 0)
	l.Claimed(time.Second, 0)
	assert.True(t, l.Valid(time.Second+hold-1))
	assert.False(t, l.Valid(time.Second+hold), "the claim counts from before its append")
	assert.EqualValues(t, 1, l.Token())
	assert.EqualValues(t, 1, l.End())
	t.Run("lost to another", func(t *testing.T) {
		l.Observe(time.Second, []leaser.Claim{{Offset: 1, Holder: "b"}}, 2)
		assert.False(t, l.Valid(time.Second+1))
	})
}

// world is a log with nodes that read and claim at random, are paused between
// any two steps, and act whenever their lease says so.
type world struct {
	now   time.Duration
	log   []leaser.Claim
	nodes []*actor
	acts  []act
}

type act struct {
	holder string
	token  int64
	at     time.Duration
}

type actor struct {
	lease *leaser.Lease
	// begun is when the append under way was begun; zero for none.
	begun time.Duration
	at    int64
}

func (w *world) read(a *actor) {
	end := a.lease.End()
	a.lease.Observe(w.now, append([]leaser.Claim{}, w.log[end:]...), int64(len(w.log)))
}

func (w *world) beginClaim(a *actor) {
	if a.begun == 0 && a.lease.Claimable(w.now) {
		a.begun, a.at = w.now, a.lease.End()
	}
}

// endClaim appends at any later time, when the node may have been paused.
func (w *world) endClaim(a *actor) {
	if a.begun == 0 {
		return
	}
	if a.at == int64(len(w.log)) {
		w.log = append(w.log, leaser.Claim{Offset: a.at, Holder: a.lease.Self})
		a.lease.Claimed(a.begun, a.at)
	} else {
		a.lease.Conflict()
	}
	a.begun = 0
}

func (w *world) act(a *actor) {
	if a.lease.Valid(w.now) {
		w.acts = append(w.acts, act{holder: a.lease.Self, token: a.lease.Token(), at: w.now})
	}
}

// claimAndAct is what an undisturbed node does.
func (w *world) claimAndAct(a *actor) {
	w.beginClaim(a)
	w.now += 10 * time.Millisecond
	w.endClaim(a)
	w.act(a)
}

// broken returns what is wrong with the acts: two holders closer than apart, or
// a token that went back.
func broken(acts []act) string {
	for i := 1; i < len(acts); i++ {
		a, b := acts[i-1], acts[i]
		if a.holder != b.holder && b.at-a.at < apart {
			return "two holders act within the pause"
		}
		if b.token < a.token || a.holder != b.holder && a.token == b.token {
			return "token went back or is shared"
		}
	}
	return ""
}

// step is one move of a node after a pause.
type step struct {
	node, move int
	pause      time.Duration
}

var pauses = []time.Duration{1, 50, 200, 600, 1500, 4000}

func play(steps []step, spoil func(*leaser.Lease)) string {
	w := &world{now: time.Second}
	for _, name := range []string{"a", "b"} {
		lease := newLease(name)
		spoil(lease)
		w.nodes = append(w.nodes, &actor{lease: lease})
	}
	for _, s := range steps {
		w.now += s.pause * time.Millisecond
		node := w.nodes[s.node]
		[]func(*actor){w.read, w.beginClaim, w.endClaim, w.act, w.claimAndAct}[s.move](node)
	}
	return broken(w.acts)
}

func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one := rapid.Custom(func(rt *rapid.T) step {
			return step{
				node:  rapid.IntRange(0, 1).Draw(rt, "node"),
				move:  rapid.IntRange(0, 4).Draw(rt, "move"),
				pause: rapid.SampledFrom(pauses).Draw(rt, "pause"),
			}
		})
		if wrong := play(rapid.SliceOfN(one, 50, 300).Draw(rt, "steps"), func(*leaser.Lease) {}); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// found reports whether random plays of a variant are caught.
func found(spoil func(*leaser.Lease)) bool {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2_000 {
		steps := make([]step, 300)
		for i := range steps {
			steps[i] = step{node: random.IntN(2), move: random.IntN(5), pause: pauses[random.IntN(len(pauses))]}
		}
		if play(steps, spoil) != "" {
			return true
		}
	}
	return false
}

func TestCheckerFindsBrokenLeases(t *testing.T) {
	t.Run("claims that last too long", func(t *testing.T) {
		assert.True(t, found(func(l *leaser.Lease) { l.Hold, l.Apart = 30*time.Second, apart-29*time.Second }))
	})
	t.Run("no pause between holders", func(t *testing.T) {
		assert.True(t, found(func(l *leaser.Lease) { l.Apart = 0 }))
	})
	t.Run("the lease itself is not caught", func(t *testing.T) {
		assert.False(t, found(func(*leaser.Lease) {}))
	})
}
