package forwarder

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// MaxSends is the maximum number of attempts at one request, including those
	// that were refused or not sent. Route.Attempts limits only those that may
	// have run.
	MaxSends = 5
	// minTimeLeft is the least time before the deadline with which an attempt is
	// still started.
	minTimeLeft = 10 * time.Millisecond
	// retryAfter is the time after which a refused caller may retry. By then a
	// full endpoint has finished some of its requests.
	retryAfter = 300 * time.Millisecond
)

// Budget limits the number of retries.
type Budget interface {
	// CountRequest counts a request for a service.
	CountRequest(now time.Time, service string)
	// Spend takes one retry from the budget. It reports false if the budget is
	// exhausted.
	Spend(now time.Time, service string) bool
}

// Forwarder runs exchanges. Its fields are set before use.
type Forwarder struct {
	Placer   Placer
	Sender   Sender
	Budget   Budget
	Suspects *retrier.Suspects
	// PartSuspects and Crashes are nil if requests have no prompts. Crashes gets the parts
	// of requests at whose endpoint a crash is possible.
	PartSuspects *retrier.PartSuspects
	Crashes      *retrier.CrashConfirmer
	// Stop is the node's planned stop; nil if requests are to run to their end.
	Stop *Stop
	// Builds is nil if endpoints have no builds that differ.
	Builds Builds
	// Gone reports whether an endpoint is gone to which a connection broke. If it is not, or if that
	// can't be told, the request is not to blame. Nil if each broken connection counts.
	Gone func(ctx context.Context, endpoint endpointtracker.Endpoint) bool
	// Backlog limits what callers have not read yet. Streams are read ahead of them, and the sink
	// is called by another goroutine. If it is nil, an event is read once the caller has the last.
	Backlog *Backlog
	// Broadcast announces a new suspect to the peers at once.
	Broadcast func()
	// Backoff returns the wait after a failed attempt. Attempts are counted from
	// zero. If Backoff is nil, there is no wait.
	Backoff func(attempt int, cause error) time.Duration
	// Meter is nil if no metrics are recorded.
	Meter Meter
	Log   zerolog.Logger
	Now   func() time.Time
}

// run is the state of one exchange across its attempts.
type run struct {
	*Forwarder
	*Exchange
	Progress
	sink Sink
	// delivery passes events to the caller; nil before the first one. complete is a complete answer
	// that is delivered once the attempt has ended.
	delivery *delivery
	complete *Answer
	// cancelAttempt ends the current attempt.
	cancelAttempt context.CancelCauseFunc
	// next is the next attempt, if it has been placed already.
	next Placement
	// placement and beginTimer are those of the current attempt.
	placement  Placement
	beginTimer *time.Timer
	// queueTime is the total time spent waiting for endpoints. firstEvent is when
	// the first event arrived.
	queueTime  time.Duration
	firstEvent time.Time
	// attemptEvent is when the first event of the current attempt arrived; zero before.
	attemptEvent time.Time
	// probing is set if the request runs although a part of it is refused.
	probing bool
	// survived is set once the current attempt has shown that its parts crash no endpoint.
	survived bool
	// beginning is that of the stream, if this run began one.
	beginning *resumer.Beginning
	// attempts counts all attempts, executed those that may have run.
	attempts int
	executed int
	// fallback is a failure answer of an endpoint, which is delivered if no other
	// attempt succeeds.
	fallback *Answer
	// fingerprint identifies the request in Suspects.
	fingerprint uint64
	// parts are the hashes of the parts of the prompt that other requests may share.
	parts []uint64
}

// Run runs an exchange until its answer is delivered or it fails. If it returns
// nil, the caller has a complete answer. If it returns a *limiter.Refusal, the
// request did not run. Any other error is marked with one of the sentinels; the
// request may have run, unless the error is marked ErrNotSent. ErrPoison can be
// returned without an attempt, because earlier requests with the same
// fingerprint, or with the same part in their prompts, crashed endpoints.
func (f *Forwarder) Run(ctx context.Context, exchange *Exchange, sink Sink) error {
	r := &run{
		Forwarder: f, Exchange: exchange, sink: sink, fingerprint: exchange.fingerprint(), parts: retrier.PartHashes(exchange.partIDs()),
		Progress: Progress{Tried: map[string]bool{}, Misdirected: map[string]bool{}, LastEventID: exchange.LastEventID},
	}
	if deadline := exchange.EffectiveDeadline(); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, deadline, ErrTimeout)
		defer cancel()
	}
	ctx, release := f.Stop.context(ctx)
	defer release()
	err := r.findOrigin(ctx)
	f.Budget.CountRequest(f.Now(), exchange.Service)
	if err == nil {
		err = r.run(ctx)
	}
	if r.delivery != nil {
		r.delivery.close()
	}
	if r.next != nil {
		r.next.Release()
	}
	r.recordResult(err)
	return err
}

func (r *run) run(ctx context.Context) error {
	if r.isPoison() {
		return ErrPoison
	}
	for {
		err := r.settle(ctx, r.attempt(ctx))
		if err == nil && r.complete != nil {
			err = r.deliverComplete(*r.complete)
		}
		if err == nil {
			return nil
		}
		if err := r.checkRetry(ctx, err); err != nil {
			return r.finalError(err)
		}
		if err := r.keepBuild(); err != nil {
			return r.finalError(err)
		}
	}
}

// isPoison reports whether too many endpoints have crashed while running the
// request, or requests with a part of its prompt.
func (r *run) isPoison() bool {
	return r.Suspects.Check(r.Now(), r.fingerprint) == retrier.VerdictRefuse || r.hasRefusedPart()
}
