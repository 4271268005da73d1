package exchanger

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// maxSends bounds the endpoints that one request is offered to, refusals
	// included.
	maxSends = 5
	// minLeft is the least time worth giving to an endpoint.
	minLeft = 10 * time.Millisecond
	// fetchShare is the part of the objective within which a fetch must end; then
	// reading the prompt still leaves a chance to meet it.
	fetchShare = 0.45
	// retryAfter is when a refused caller may come back: by then an endpoint
	// that was full has finished some of its requests.
	retryAfter = 300 * time.Millisecond
)

// Exchanger runs exchanges. Its fields are set before use.
type Exchanger struct {
	View     func() View
	Sender   Sender
	Balancer *balancer.Balancer
	Locator  *locator.Locator
	// Scheduler decides what waits and what is turned away.
	Scheduler *scheduler.Scheduler
	Budget    *retrier.Window
	Suspects  *retrier.Suspects
	// Misdirected is told the version that an endpoint has when it was not the
	// expected one, or zero.
	Misdirected func(endpoint tracker.Endpoint, model string, version int64)
	// InTouch reports whether the node would have heard of new weights by now.
	InTouch func() bool
	// Spread tells the peers about a new suspect at once.
	Spread func()
	// StaleLimit is how long after new weights were named requests may begin on
	// the old ones.
	StaleLimit time.Duration
	Meter      Meter
	Log        zerolog.Logger
	Now        func() time.Time
}

// run is one exchange on its way through its attempts.
type run struct {
	*Exchanger
	*Exchange
	sink Sink
	// tried holds the endpoints that the request was sent to.
	tried map[string]bool
	avoid map[string]bool
	// choice is the endpoint of the attempt under way.
	choice balancer.Choice
	// waited is the time in the queue, first when the first event came.
	waited time.Duration
	first  time.Time
	// sends counts all attempts, ran those that may have run.
	sends int
	ran   int
	// begun is set once the caller has the head of a stream.
	begun bool
	after string
	// fallback is a failure of an endpoint that is delivered if nothing better
	// comes.
	fallback *Answer
	print    uint64
}

// Run carries an exchange to its end. Without error the caller has a complete
// answer. An error is a *limiter.Refusal if the request has not run, or marked
// with one of the sentinels.
func (e *Exchanger) Run(ctx context.Context, exchange *Exchange, sink Sink) error {
	r := &run{
		Exchanger: e, Exchange: exchange, sink: sink,
		tried: map[string]bool{}, avoid: map[string]bool{},
		after: exchange.After, print: exchange.fingerprint(),
	}
	ctx, cancel := context.WithDeadlineCause(ctx, exchange.Limit(), ErrTimeout)
	defer cancel()
	e.Budget.Request(e.Now(), exchange.Service)
	err := r.run(ctx)
	r.note(err)
	return err
}

func (r *run) run(ctx context.Context) error {
	if r.Suspects.Judge(r.Now(), r.print) == retrier.VerdictRefuse {
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
