package exchanger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// again returns nil if another attempt may follow the failed one.
func (r *run) again(ctx context.Context, cause error) error {
	switch {
	case errors.Is(cause, ErrCaller), errors.Is(cause, ErrTimeout), errors.Is(cause, ErrUnavailable), errors.Is(cause, scheduler.ErrBusy):
		return cause
	case r.sends >= maxSends:
		return cause
	case context.Cause(ctx) != nil:
		return errors.Mark(cause, context.Cause(ctx))
	case errors.Is(cause, ErrNotSent):
		return nil
	case errors.Is(cause, errRefused):
		return r.spend(cause)
	}
	if r.Route.Repeat == cataloger.RepeatOnce || r.ran >= r.Route.Attempts {
		return cause
	}
	if r.Suspects.Judge(r.Now(), r.print) == retrier.VerdictRefuse {
		return errors.Mark(cause, ErrPoison)
	}
	return r.spend(cause)
}

// spend takes another arrival at an endpoint from the retry budget.
func (r *run) spend(cause error) error {
	if r.Budget.Spend(r.Now(), r.Service) {
		return nil
	}
	r.Log.Warn().Str("request", r.ID).Str("service", r.Service).Msg("retry budget is used up")
	return cause
}

// finish turns the last attempt's error into the exchange's.
func (r *run) finish(cause error) error {
	if errors.Is(cause, ErrCaller) {
		return cause
	}
	if r.fallback != nil && !r.begun {
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
