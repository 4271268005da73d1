package exchanger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// again returns nil if another attempt may follow the failed one.
func (r *run) again(ctx context.Context, cause error) error {
	var refusal *limiter.Refusal
	switch {
	case errors.IsAny(cause, ErrCaller, ErrTimeout, ErrUnavailable, ErrVersionGone), errors.As(cause, &refusal):
		return cause
	case r.sends >= MaxSends:
		return cause
	case context.Cause(ctx) != nil:
		return errors.Mark(cause, context.Cause(ctx))
	case errors.Is(cause, ErrNotSent):
		return r.back(ctx, cause)
	case errors.Is(cause, ErrRefused):
		// Nothing ran, but the endpoint had to answer.
	case r.Route.Repeat == cataloger.RepeatOnce, r.ran >= r.Route.Attempts:
		return cause
	case r.poison():
		return errors.Mark(cause, ErrPoison)
	}
	if !r.Budget.Spend(r.Now(), r.Service) {
		r.Log.Warn().Str("request", r.ID).Str("service", r.Service).Msg("retry budget is used up")
		return errors.Mark(cause, ErrBudget)
	}
	return r.back(ctx, cause)
}

// back waits before the next attempt. Peers may see crashes of the same request
// meanwhile.
func (r *run) back(ctx context.Context, cause error) error {
	if r.Backoff == nil {
		return nil
	}
	if err := retrier.Sleep(ctx, r.Backoff(r.sends-1, cause)); err != nil {
		return r.ended(ctx, cause)
	}
	if r.ran > 0 && r.poison() {
		return errors.Mark(cause, ErrPoison)
	}
	return nil
}

// finish turns the last attempt's error into the exchange's.
func (r *run) finish(cause error) error {
	if errors.Is(cause, ErrCaller) {
		if r.ran == 0 {
			return errors.Mark(cause, ErrNotSent)
		}
		return cause
	}
	if r.fallback != nil && !r.Begun {
		return r.whole(*r.fallback)
	}
	var refusal *limiter.Refusal
	refused := errors.As(cause, &refusal)
	switch {
	case r.ran == 0 && refused:
		return refusal
	case r.ran == 0:
		return &limiter.Refusal{Cause: cause, Retry: retryAfter}
	case refused:
		// An earlier attempt may have run.
		return errors.Wrapf(ErrBroken, "no other endpoint: %v", refusal.Cause)
	default:
		return cause
	}
}
