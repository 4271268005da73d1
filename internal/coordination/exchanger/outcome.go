package exchanger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// Internal outcomes of attempts.
var (
	// errRefused marks an attempt that the endpoint has not run.
	errRefused = errors.New("endpoint refused the request")
	// errFailed marks an attempt that ran and failed by the endpoint's own word.
	errFailed = errors.New("endpoint failed the request")
)

// pause is the longest time without progress before an endpoint is given up.
// It follows the callers' patience.
func (r *run) pause() time.Duration {
	return max(2*time.Second, 4*r.Route.Objective, 8*r.Route.Pause)
}

// watch cancels an attempt at an endpoint that makes no progress.
func (r *run) watch(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(r.pause(), func() { cancel(ErrStalled) })
}

// failed classifies the error of an attempt.
func (r *run) failed(ctx context.Context, attempt Attempt, err error) error {
	id := attempt.Endpoint.ID
	if errors.Is(err, ErrNotSent) {
		if context.Cause(ctx) != nil {
			return r.ended(ctx, err)
		}
		r.Balancer.Fail(id, r.Now())
		r.decide("not sent", attempt).Err(err).Send()
		return err
	}
	r.ran++
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrStalled):
		r.Balancer.Fail(id, r.Now())
		r.Sender.Drop(attempt.Endpoint)
		err = errors.Mark(err, ErrStalled)
	case cause != nil:
		err = r.ended(ctx, err)
	default:
		err = errors.Mark(err, ErrBroken)
		r.Suspects.Crash(r.Now(), r.print)
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

// learn takes in what an answer tells of its endpoint.
func (r *run) learn(attempt Attempt, answer Answer) {
	id, now := attempt.Endpoint.ID, r.Now()
	r.Balancer.Heard(id, now)
	if answer.Load != nil {
		r.Balancer.Tell(id, now, *answer.Load)
	}
	switch answer.Run {
	case RunDone:
		r.Balancer.Recover(id)
	case RunRefused:
		r.Balancer.Full(id, now)
	case RunMisdirected:
		r.avoid[id] = true
		model := ""
		if r.Prompt != nil {
			model = r.Prompt.Model
		}
		r.Misdirected(attempt.Endpoint, model, answer.Weights)
	}
}

// deliver passes an answer on to the caller.
func (r *run) deliver(ctx context.Context, attempt Attempt, answer Answer, stall *time.Timer) error {
	if answer.Run != RunDone {
		r.decide("endpoint refused", attempt).Int("status", answer.Status).Send()
		return errRefused
	}
	r.ran++
	if answer.Events != nil {
		return r.relay(ctx, attempt, answer, stall)
	}
	if r.begun {
		return errors.Wrapf(ErrBroken, "status %d in the middle of a stream", answer.Status)
	}
	if answer.Status >= 500 && r.Route.Repeat != cataloger.RepeatOnce {
		r.fallback = &answer
		r.decide("endpoint failed", attempt).Int("status", answer.Status).Send()
		return errFailed
	}
	r.Suspects.Clear(r.print)
	r.decide("answered", attempt).Int("status", answer.Status).Send()
	return r.whole(answer)
}

func (r *run) whole(answer Answer) error {
	if err := r.sink.Whole(answer); err != nil {
		return errors.Mark(err, ErrCaller)
	}
	return nil
}
