package forwarder

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// checkRetry waits for the backoff and returns nil if another attempt may follow
// the failed one.
func (r *run) checkRetry(ctx context.Context, cause error) error {
	var refusal *limiter.Refusal
	switch {
	case errors.IsAny(cause, ErrNoPath, ErrCallerGone, ErrTimeout, ErrStopping, ErrUnavailable, ErrVersionGone, ErrBuildGone, ErrPoison), errors.As(cause, &refusal):
		return cause
	case r.attempts >= MaxSends:
		return cause
	case context.Cause(ctx) != nil:
		return errors.Mark(cause, context.Cause(ctx))
	case r.next != nil:
		// It has been placed, and counts against the budget.
		return nil
	case errors.Is(cause, ErrNotSent):
		// The attempt put no load on an endpoint and did not run, so it counts
		// neither against the budget nor as an attempt of the route.
		return r.waitToRetry(ctx, cause)
	case errors.Is(cause, ErrRefused):
		// The request did not run, but the refusal put load on the endpoint, so
		// the next attempt counts against the budget.
	case r.Route.RetryPolicy == cataloger.RetryIfNotRun, r.executed >= r.Route.Attempts:
		return cause
	case r.isPoison():
		return errors.Mark(cause, ErrPoison)
	}
	if !r.Budget.Spend(r.Now(), r.Service) {
		r.Log.Warn().Str("request", r.ID).Str("service", r.Service).Msg("retry budget is exhausted; request is not retried")
		return errors.Mark(cause, ErrRetryBudget)
	}
	return r.waitToRetry(ctx, cause)
}

// waitToRetry waits before the next attempt. It then checks for poison again,
// because peers may have reported crashes of the same request meanwhile.
func (r *run) waitToRetry(ctx context.Context, cause error) error {
	if r.Backoff == nil {
		return nil
	}
	if err := retrier.Sleep(ctx, r.Backoff(r.attempts-1, cause)); err != nil {
		return r.markCancelled(ctx, cause)
	}
	if r.executed > 0 && r.isPoison() {
		return errors.Mark(cause, ErrPoison)
	}
	return nil
}

// finalError turns the error of the last attempt into that of the exchange. If
// there is a fallback answer, it is delivered instead.
func (r *run) finalError(cause error) error {
	if errors.Is(cause, ErrCallerGone) {
		if r.executed == 0 {
			return errors.Mark(cause, ErrNotSent)
		}
		return cause
	}
	if r.fallback != nil && !r.StreamStarted {
		return r.deliverComplete(*r.fallback)
	}
	var refusal *limiter.Refusal
	refused := errors.As(cause, &refusal)
	switch {
	case errors.Is(cause, ErrPoison):
		return cause
	case r.executed == 0 && refused:
		return refusal
	case r.executed == 0 && errors.Is(cause, ErrBuildGone):
		// Nobody knows when the build is back.
		return &limiter.Refusal{Cause: cause}
	case r.executed == 0:
		return &limiter.Refusal{Cause: cause, RetryAfter: retryAfter}
	case refused:
		// An earlier attempt may have run, so this is not a refusal.
		return errors.Wrapf(ErrBroken, "no other endpoint: %v", refusal.Cause)
	default:
		return cause
	}
}
