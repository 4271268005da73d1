package forwarder

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

// attempt places the request on an endpoint, sends it and delivers the answer.
func (r *run) attempt(ctx context.Context) error {
	if err := r.place(ctx); err != nil {
		return err
	}
	defer r.placement.Release()
	if r.isPoison() {
		// The last crash was reported while the request waited for its endpoint.
		return ErrPoison
	}
	attempt := r.placement.Attempt()
	// What is read ahead may have reached the caller since it was placed.
	attempt.LastEventID = r.Progress.LastEventID
	r.attempts++
	r.attemptEvent, r.survived = time.Time{}, false
	r.Tried[attempt.Endpoint.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancelAttempt = cancel
	if r.delivery != nil {
		r.delivery.setCancel(cancel)
	}
	timer := r.startStallTimer(ctx, cancel)
	defer timer.end()
	r.beginTimer = startBeginTimer(cancel, attempt)
	defer r.beginTimer.Stop()
	answer, err := r.Sender.Send(ctx, attempt)
	if err != nil {
		return r.handleFailure(ctx, attempt, err)
	}
	defer answer.Close()
	timer.restart()
	r.placement.OnAnswer(answer)
	return r.deliver(ctx, attempt, answer, timer)
}

// place waits until the Placer returns an endpoint for the next attempt.
func (r *run) place(ctx context.Context) error {
	if r.next != nil {
		r.placement, r.next = r.next, nil
		return nil
	}
	started := r.Now()
	if deadline := r.EffectiveDeadline(); !deadline.IsZero() && deadline.Sub(started) < minTimeLeft {
		return ErrTimeout
	}
	if err := r.refusal(started); err != nil {
		return err
	}
	r.Exclusive = r.Exclusive || r.Suspects.Check(started, r.fingerprint) == retrier.VerdictExclusive
	placement, err := r.Placer.Place(ctx, r.Exchange, r.Progress)
	if err != nil {
		return r.markCancelled(ctx, err)
	}
	now := r.Now()
	if err := r.refusal(now); err != nil {
		// The stop began, or went on, while the request waited.
		placement.Release()
		return err
	}
	r.placement, r.queueTime = placement, r.queueTime+now.Sub(started)
	return nil
}

// refusal returns the refusal of an attempt by a stopping node, or nil. An answer that has begun goes on, as a
// refusal would end it.
func (r *run) refusal(now time.Time) error {
	if r.StreamStarted {
		return nil
	}
	return r.Stop.refusal(now, r.Exchange)
}
