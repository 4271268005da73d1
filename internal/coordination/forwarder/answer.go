package forwarder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// errEndpointFailed marks an attempt that the endpoint ran and reported as
// failed.
var errEndpointFailed = errors.New("endpoint failed the request")

// startBeginTimer returns a timer that cancels an attempt whose answer does not begin in
// time.
func startBeginTimer(cancel context.CancelCauseFunc, attempt Attempt) *time.Timer {
	if attempt.BeginTimeout == 0 {
		timer := time.NewTimer(0)
		timer.Stop()
		return timer
	}
	return time.AfterFunc(attempt.BeginTimeout, func() { cancel(ErrNotBegun) })
}

// handleFailure classifies the error of an attempt, records it and returns it
// with the matching sentinel. An interrupted answer that was not cancelled is
// recorded in Suspects if the endpoint may have crashed.
func (r *run) handleFailure(ctx context.Context, attempt Attempt, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(err, ErrNotSent) {
		switch {
		case errors.Is(cause, ErrNotBegun):
			// The caller still waits, and the endpoint is not to blame.
		case cause != nil:
			return r.markCancelled(ctx, err)
		default:
			r.placement.OnFailure(err)
		}
		r.logAttempt("not sent", attempt).Err(err).Send()
		return err
	}
	r.executed++
	switch {
	case errors.Is(cause, ErrStalled):
		r.Sender.CloseIdle(attempt.Endpoint)
		err = errors.Mark(err, ErrStalled)
		r.placement.OnFailure(err)
	case errors.Is(cause, ErrNotBegun):
		err = errors.Mark(err, ErrNotBegun)
	case cause != nil:
		err = r.markCancelled(ctx, err)
	case errors.Is(err, ErrStalled):
		r.placement.OnFailure(err)
	case !errors.Is(err, ErrVersionGone):
		err = errors.Mark(err, ErrBroken)
		r.placement.OnFailure(err)
		if mayBeCrash(err) && (r.Gone == nil || r.Gone(ctx, attempt.Endpoint)) {
			r.Suspects.RecordCrash(r.Now(), r.fingerprint)
			r.Broadcast()
			r.reportCrash(attempt)
		}
	}
	r.withParts(r.logAttempt("attempt failed", attempt), r.Now()).AnErr("cause", cause).Err(err).Send()
	return err
}

// mayBeCrash reports whether the error of an interrupted answer may be due to a crash of
// the endpoint: its connection ended. A malformed answer says nothing about the request.
func mayBeCrash(err error) bool { return !errors.Is(err, ErrMalformed) }

// markCancelled marks an error with ErrTimeout if the deadline passed, with ErrStopping if the
// node ends, and with ErrCallerGone if ctx was cancelled for another reason.
func (r *run) markCancelled(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return err
	case errors.Is(cause, ErrTimeout):
		return errors.Mark(err, ErrTimeout)
	case errors.Is(cause, ErrStopping):
		return errors.Mark(err, ErrStopping)
	default:
		return errors.Mark(err, ErrCallerGone)
	}
}

// deliver passes an answer to the caller, a complete one after the attempt. It returns an error if the endpoint
// refused or failed the request, the stream was interrupted, or the caller did
// not accept the answer.
func (r *run) deliver(ctx context.Context, attempt Attempt, answer Answer, timer *stallTimer) error {
	if answer.RunStatus != RunExecuted {
		r.Misdirected[attempt.Endpoint.ID] = answer.RunStatus == RunMisdirected
		r.logAttempt("endpoint refused", attempt).Int("status", answer.Status).Send()
		return ErrRefused
	}
	r.executed++
	if answer.EventStream != nil {
		return r.relayEvents(ctx, attempt, answer, timer)
	}
	if r.StreamStarted {
		return errors.Wrapf(ErrBroken, "status %d in the middle of a stream", answer.Status)
	}
	if answer.Failed && r.Route.RetryPolicy != cataloger.RetryIfNotRun {
		r.fallback = &answer
		r.logAttempt("endpoint failed", attempt).Int("status", answer.Status).Send()
		return errEndpointFailed
	}
	r.Suspects.Clear(r.fingerprint)
	if !answer.Failed {
		r.recordEnd(attempt, answer)
	}
	r.logAttempt("answered", attempt).Int("status", answer.Status).Send()
	r.placement.OnComplete()
	r.complete = &answer
	return nil
}
