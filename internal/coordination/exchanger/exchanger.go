package exchanger

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// MaxSends bounds the endpoints that one request is offered to, refusals
	// included.
	MaxSends = 5
	// minLeft is the least time worth giving to an endpoint.
	minLeft = 10 * time.Millisecond
	// retryAfter is when a refused caller may come back: by then an endpoint
	// that was full has finished some of its requests.
	retryAfter = 300 * time.Millisecond
)

// Budget limits how often requests are sent again.
type Budget interface {
	// Request counts a caller's request for a service.
	Request(now time.Time, service string)
	// Spend takes one repeat and reports whether there was room for it.
	Spend(now time.Time, service string) bool
}

// Exchanger runs exchanges. Its fields are set before use.
type Exchanger struct {
	Placer   Placer
	Sender   Sender
	Budget   Budget
	Suspects *retrier.Suspects
	// Spread tells the peers about a new suspect at once.
	Spread func()
	// Backoff returns the wait before the next attempt after a failed one, counted
	// from zero; nil for none.
	Backoff func(attempt int, cause error) time.Duration
	// Meter is nil if no figures are kept.
	Meter Meter
	Log   zerolog.Logger
	Now   func() time.Time
}

// run is one exchange on its way through its attempts.
type run struct {
	*Exchanger
	*Exchange
	Progress
	sink Sink
	// placement is the attempt under way.
	placement Placement
	// waited is the time in the queue, first when the first event came.
	waited time.Duration
	first  time.Time
	// sends counts all attempts, ran those that may have run.
	sends int
	ran   int
	// fallback is a failure of an endpoint that is delivered if nothing better
	// comes.
	fallback *Answer
	// fingerprint recognizes the request among suspects.
	fingerprint uint64
}

// Run carries an exchange to its end. Without error the caller has a complete
// answer. An error is a *limiter.Refusal if the request has not run, or marked
// with one of the sentinels.
func (e *Exchanger) Run(ctx context.Context, exchange *Exchange, sink Sink) error {
	r := &run{
		Exchanger: e, Exchange: exchange, sink: sink, fingerprint: exchange.fingerprint(),
		Progress: Progress{Tried: map[string]bool{}, Misdirected: map[string]bool{}, After: exchange.After},
	}
	if limit := exchange.Limit(); !limit.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, limit, ErrTimeout)
		defer cancel()
	}
	e.Budget.Request(e.Now(), exchange.Service)
	err := r.run(ctx)
	r.note(err)
	return err
}

func (r *run) run(ctx context.Context) error {
	if r.poison() {
		return ErrPoison
	}
	for {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		if err := r.again(ctx, err); err != nil {
			return r.finish(err)
		}
	}
}

// poison reports whether the request has crashed too many endpoints.
func (r *run) poison() bool { return r.Suspects.Check(r.Now(), r.fingerprint) == retrier.VerdictRefuse }
