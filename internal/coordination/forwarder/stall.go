package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// stallTimeout returns the time without progress after which an attempt is
// cancelled. It grows with the route's targets for the latency of the answer or
// its first event and for the gap between events, which reflect how long
// callers are willing to wait.
func (r *run) stallTimeout() time.Duration {
	return max(2*time.Second, 4*r.Route.Objective, 8*r.Route.GapObjective)
}

// stallTimer cancels an attempt without progress. Once its answer has begun, it is cancelled only if the
// next attempt has been placed: the caller would otherwise lose the rest of an answer that may still come.
// If the Sender detects stalls itself, the timer has no effect.
type stallTimer struct {
	run    *run
	ctx    context.Context
	cancel context.CancelCauseFunc
	// begun is set if the answer has begun in an earlier attempt, and resumable if another attempt may
	// follow this one.
	begun, resumable bool

	// events counts the events of the attempt, and stopSearch ends the search for the next one; nil if there
	// was none.
	events     atomic.Int64
	stopSearch atomic.Pointer[context.CancelFunc]

	// mu is held while the next attempt is being placed.
	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// startStallTimer returns a timer for the attempt whose context and cancel function are given.
func (r *run) startStallTimer(ctx context.Context, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{
		run: r, ctx: ctx, cancel: cancel, begun: r.StreamStarted,
		resumable: r.Route.RetryPolicy == cataloger.RetryResumable && r.executed+1 < r.Route.Attempts && r.attempts < MaxSends,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(r.stallTimeout(), t.expire)
	return t
}

// restart restarts the timer after the head of an answer.
func (t *stallTimer) restart() { t.timer.Reset(t.run.stallTimeout()) }

// restartAfterEvent restarts the timer after an event. It stops the timer if the answer can't be
// resumed elsewhere: the caller then keeps it until its deadline.
func (t *stallTimer) restartAfterEvent() {
	t.events.Add(1)
	if stop := t.stopSearch.Load(); stop != nil {
		(*stop)()
	}
	if !t.resumable {
		t.timer.Stop()
		return
	}
	t.timer.Reset(t.run.stallTimeout())
}

// expire ends an attempt whose answer has not begun, and otherwise searches for another endpoint first.
func (t *stallTimer) expire() {
	events := t.events.Load()
	switch {
	case t.run.SenderDetectsStalls:
		return
	case events == 0 && !t.begun:
		t.cancel(ErrStalled)
		return
	case !t.resumable:
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	ctx, stop := context.WithCancel(t.ctx)
	defer stop()
	t.stopSearch.Store(&stop)
	next, err := t.run.placeNext(ctx)
	switch {
	case t.ctx.Err() != nil || t.events.Load() != events:
		if err == nil {
			next.Release()
		}
	case err != nil:
		t.run.keepSilent(err)
		t.timer.Reset(t.run.stallTimeout())
	default:
		t.run.next = next
		t.cancel(ErrStalled)
	}
}

// end cancels the attempt and stops the timer. No attempt is placed afterwards.
func (t *stallTimer) end() {
	t.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.timer.Stop()
}

// placeNext places the next attempt at an answer while the current one makes no progress. It is called by
// another goroutine than the run's, which changes nothing of the progress meanwhile but LastEventID.
func (r *run) placeNext(ctx context.Context) (Placement, error) {
	if err := r.Stop.refusal(r.Now(), r.Exchange); err != nil {
		return nil, err
	}
	build, known := r.nextBuild()
	if !known {
		return nil, ErrBuildUnknown
	}
	progress := Progress{
		Tried: r.Progress.Tried, Misdirected: r.Progress.Misdirected, StreamStarted: true, Build: build, Exclusive: r.Progress.Exclusive,
	}
	next, err := r.Placer.Place(ctx, r.Exchange, progress)
	if err != nil {
		return nil, err
	}
	if !r.Budget.Spend(r.Now(), r.Service) {
		next.Release()
		return nil, ErrRetryBudget
	}
	return next, nil
}

// keepSilent leaves an answer at its endpoint, which makes no progress.
func (r *run) keepSilent(err error) {
	r.placement.OnFailure(ErrStalled)
	r.Log.Warn().Str("event", "silent answer").Str("request", r.ID).Str("endpoint", r.placement.Attempt().Endpoint.ID).
		Dur("silence", r.stallTimeout()).Err(errors.Wrap(err, "no other endpoint can go on")).Send()
}
