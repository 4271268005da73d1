package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	backoffBase  = 20 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// nodeBudget is a node's retry budget, shared by all services. It implements
// forwarder.Budget.
type nodeBudget struct{ *retrier.Budget }

// CountRequest implements forwarder.Budget.
func (b nodeBudget) CountRequest(time.Time, string) { b.Budget.CountRequest() }

// Spend implements forwarder.Budget.
func (b nodeBudget) Spend(time.Time, string) bool { return b.Budget.Spend() }

// translateError converts the error of an exchange to one of the dispatcher.
// Overload is a *limiter.Refusal. Other errors of a request that did not run are
// marked ErrNotSent, those of a request that may have run ErrMayHaveRun.
func translateError(err error) error {
	var refusal *limiter.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal) && errors.Is(refusal, limiter.ErrDeadline):
		return refusal
	case errors.As(err, &refusal):
		return errors.Mark(refusal.Cause, ErrNotSent)
	case errors.Is(err, forwarder.ErrNotSent):
		// The caller cancelled before the request was sent.
		return errors.Wrap(ErrNotSent, err.Error())
	default:
		return errors.Mark(err, ErrMayHaveRun)
	}
}
