package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	backoffBase  = 20 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// share is a node's retry budget over all services. It implements
// exchanger.Budget.
type share struct{ *retrier.Budget }

// Request implements exchanger.Budget.
func (s share) Request(time.Time, string) { s.Budget.Request() }

// Spend implements exchanger.Budget.
func (s share) Spend(time.Time, string) bool { return s.Budget.Spend() }

// outcome turns the error of an exchange into the dispatcher's: overload as a
// *limiter.Refusal, another request that has not run marked ErrNotSent, and one
// that may have run marked ErrMayHaveRun.
func outcome(err error) error {
	var refusal *limiter.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && errors.Is(refusal, limiter.ErrDeadline):
		return refusal
	case errors.As(err, &refusal):
		return errors.Mark(refusal.Cause, ErrNotSent)
	case errors.Is(err, exchanger.ErrNotSent):
		// The caller left before the request was sent.
		return errors.Wrap(ErrNotSent, err.Error())
	default:
		return errors.Mark(err, ErrMayHaveRun)
	}
}
