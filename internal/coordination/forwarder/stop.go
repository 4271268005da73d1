package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
)

const (
	// stopAnswerTime is the time before the end of a stop at which requests are given up that
	// still run, so that their callers get an answer.
	stopAnswerTime = 200 * time.Millisecond
	// stopRetryAfter is the time after which a caller may retry that was refused by a node which
	// is stopping. Other nodes have room at once.
	stopRetryAfter = 20 * time.Millisecond
)

// ErrStopping marks a request that the node's planned stop has refused or ended.
var ErrStopping = errors.New("node is stopping")

// Stop is the planned stop of a node, after which its process ends. Late requests that
// could be cut by the end are refused, since they have not run, and those that still run
// shortly before the end are answered with an error. How long requests run is taken from the
// last answers of their kind.
//
// Its fields are set before use. It is safe for concurrent use. A nil Stop never begins.
type Stop struct {
	// AcceptTime is how long after its begin requests are accepted that may run longer
	// than the node. They count from the end of their bodies.
	AcceptTime time.Duration

	mu    sync.Mutex
	begun time.Time
	ends  time.Time
	// ending is done shortly before the end.
	ending context.Context
	end    context.CancelFunc

	durations durations
}

// Begin begins the stop of a node whose process ends at the given time.
func (s *Stop) Begin(now, ends time.Time) {
	s.mu.Lock()
	s.begun, s.ends = now, ends
	s.init()
	end := s.end
	s.mu.Unlock()
	time.AfterFunc(ends.Add(-stopAnswerTime).Sub(now), end)
}

// init sets ending. The caller holds the lock.
func (s *Stop) init() {
	if s.ending == nil {
		s.ending, s.end = context.WithCancel(context.Background())
	}
}

// recordAnswer records a complete answer.
func (s *Stop) recordAnswer(now time.Time, x *Exchange) {
	if s != nil {
		s.durations.record(kindOf(x), now.Sub(x.Received))
	}
}

// refusal returns the refusal of a request that is about to be sent to an endpoint, or nil. A
// request that arrived late is refused unless its caller stops waiting before the
// node ends, and an earlier one if it would be late by then or, as others of its kind, still run.
func (s *Stop) refusal(now time.Time, x *Exchange) error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	begun, last := s.begun, s.ends.Add(-stopAnswerTime)
	s.mu.Unlock()
	if begun.IsZero() {
		return nil
	}
	deadline := x.EffectiveDeadline()
	outlasts := deadline.IsZero() || deadline.After(last)
	late := x.completed().Sub(begun) >= s.AcceptTime
	if outlasts && (late || now.Add(max(x.Route.Objective, s.durations.typical(kindOf(x)))).After(last)) {
		return &limiter.Refusal{Cause: ErrStopping, RetryAfter: stopRetryAfter}
	}
	return nil
}

// since returns the time from the begin of the stop to another one, negative if that was before; false
// if the node does not stop.
func (s *Stop) since(at time.Time) (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.Sub(s.begun), !s.begun.IsZero()
}

// context returns a context that ends with ErrStopping shortly before the process ends.
func (s *Stop) context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if s == nil {
		return ctx, func() { cancel(nil) }
	}
	s.mu.Lock()
	s.init()
	ending := s.ending
	s.mu.Unlock()
	forget := context.AfterFunc(ending, func() { cancel(ErrStopping) })
	return ctx, func() {
		forget()
		cancel(nil)
	}
}
