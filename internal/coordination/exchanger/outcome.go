package exchanger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// errFailed marks an attempt that ran and failed by the endpoint's own word.
var errFailed = errors.New("endpoint failed the request")

// pause is the longest time without progress before an endpoint is given up.
// It follows the callers' patience.
func (r *run) pause() time.Duration {
	return max(2*time.Second, 4*r.Route.Objective, 8*r.Route.Pause)
}

// watch cancels an attempt at an endpoint that makes no progress.
func (r *run) watch(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(r.pause(), func() {
		if !r.Watched {
			cancel(ErrStalled)
		}
	})
}

// failed classifies the error of an attempt.
func (r *run) failed(ctx context.Context, attempt Attempt, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(err, ErrNotSent) {
		if cause != nil {
			return r.ended(ctx, err)
		}
		r.placement.Failed(err)
		r.decide("not sent", attempt).Err(err).Send()
		return err
	}
	r.ran++
	switch {
	case errors.Is(cause, ErrStalled):
		r.Sender.Drop(attempt.Endpoint)
		err = errors.Mark(err, ErrStalled)
		r.placement.Failed(err)
	case cause != nil:
		err = r.ended(ctx, err)
	case errors.Is(err, ErrStalled):
		r.placement.Failed(err)
	case !errors.Is(err, ErrVersionGone):
		err = errors.Mark(err, ErrBroken)
		r.placement.Failed(err)
		r.Suspects.RecordCrash(r.Now(), r.fingerprint)
		r.Spread()
	}
	r.decide("attempt failed", attempt).Err(err).Send()
	return err
}

// ended marks an error with what ended the request from outside, if anything
// did: its time is over, or its caller is gone.
func (r *run) ended(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return err
	case errors.Is(cause, ErrTimeout):
		return errors.Mark(err, ErrTimeout)
	default:
		return errors.Mark(err, ErrCaller)
	}
}

// deliver passes an answer on to the caller.
func (r *run) deliver(ctx context.Context, attempt Attempt, answer Answer, stall *time.Timer) error {
	if answer.Run != RunDone {
		r.Misdirected[attempt.Endpoint.ID] = answer.Run == RunMisdirected
		r.decide("endpoint refused", attempt).Int("status", answer.Status).Send()
		return ErrRefused
	}
	r.ran++
	if answer.Events != nil {
		return r.relay(ctx, attempt, answer, stall)
	}
	if r.Begun {
		return errors.Wrapf(ErrBroken, "status %d in the middle of a stream", answer.Status)
	}
	if answer.Failed && r.Route.Repeat != cataloger.RepeatOnce {
		r.fallback = &answer
		r.decide("endpoint failed", attempt).Int("status", answer.Status).Send()
		return errFailed
	}
	r.Suspects.Clear(r.fingerprint)
	r.decide("answered", attempt).Int("status", answer.Status).Send()
	r.placement.Completed()
	return r.whole(answer)
}

func (r *run) whole(answer Answer) error {
	if err := r.sink.Whole(answer); err != nil {
		return errors.Mark(err, ErrCaller)
	}
	return nil
}
