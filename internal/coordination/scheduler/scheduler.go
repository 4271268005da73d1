// Package scheduler decides which requests wait for an endpoint, in which order
// they start, and which are turned away.
//
// It answers load at its worst: more requests than the engines can run, from
// bursts, crashed engines or callers that repeat. Engines that are given all of
// them lose their cached parts to the memory of running requests, read every
// prompt again and slow down for all. So requests wait here, and an engine gets
// only what fits it.
//
// # Usage
//
//	s := &scheduler.Scheduler{Now: time.Now}
//	choice, err := s.Acquire(ctx, scheduler.Request{Pick: pick, …})
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
)

// ErrBusy is returned for a request that can't start in time.
var ErrBusy = errors.New("all endpoints are busy for longer than the request can wait")

// Request asks for an endpoint.
type Request struct {
	Service string
	// Rank orders requests; 0 comes first.
	Rank     int
	Received time.Time
	// Objective is the time to the answer for full value, Deadline when the caller
	// stops waiting.
	Objective time.Duration
	Deadline  time.Time
	// Urgent requests go before all others and are never turned away: their
	// callers have a part of the answer.
	Urgent bool
	// Tokens is the memory that the request takes.
	Tokens int
	// Pick chooses an endpoint with room now.
	Pick func() (balancer.Choice, bool)
}

// waiter is a request in the queue.
type waiter struct {
	request Request
	// turn orders requests that are equal otherwise.
	turn    uint64
	ready   chan balancer.Choice
	started bool
}

// lane is the queue of one service.
type lane struct {
	waiting []*waiter
	pace    pace
}

// Scheduler holds the queues. Its fields are set before use, and it is safe for
// concurrent use.
type Scheduler struct {
	Now func() time.Time

	mu    sync.Mutex
	lanes map[string]*lane
	turn  uint64
}

// Acquire waits for an endpoint. It returns a *limiter.Refusal at once if the
// wait is expected to be too long, and later if it turns out to be.
func (s *Scheduler) Acquire(ctx context.Context, request Request) (balancer.Choice, error) {
	s.mu.Lock()
	w, choice, err := s.enter(request)
	s.mu.Unlock()
	if w == nil {
		return choice, err
	}
	timer := time.NewTimer(patience(request))
	defer timer.Stop()
	select {
	case choice := <-w.ready:
		return choice, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.leave(ctx, w)
}

// enter starts a request, refuses it, or queues it.
func (s *Scheduler) enter(request Request) (*waiter, balancer.Choice, error) {
	now := s.Now()
	l := s.lane(request.Service)
	if request.Urgent || len(l.waiting) == 0 {
		if choice, ok := request.Pick(); ok {
			l.pace.start(now, request.Tokens)
			return nil, choice, nil
		}
	}
	s.turn++
	w := &waiter{request: request, turn: s.turn, ready: make(chan balancer.Choice, 1)}
	l.waiting = insert(l.waiting, w, now)
	l.pump(now)
	if w.started {
		return nil, <-w.ready, nil
	}
	if wait := l.expected(w, now); !request.Urgent && wait > patience(request) {
		return nil, balancer.Choice{}, l.refuse(w, wait)
	}
	return w, balancer.Choice{}, nil
}

// leave gives a waiting request up.
func (s *Scheduler) leave(ctx context.Context, w *waiter) (balancer.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.started {
		return <-w.ready, nil
	}
	l := s.lane(w.request.Service)
	if err := ctx.Err(); err != nil {
		l.drop(w)
		return balancer.Choice{}, err
	}
	// It has waited in vain for this long, whatever the pace promises.
	return balancer.Choice{}, l.refuse(w, max(l.expected(w, s.Now()), patience(w.request)))
}

// Pump starts waiting requests for which there is room now.
func (s *Scheduler) Pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, l := range s.lanes {
		l.pump(now)
	}
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.lanes {
		n += len(l.waiting)
	}
	return n
}

func (s *Scheduler) lane(service string) *lane {
	if s.lanes == nil {
		s.lanes = map[string]*lane{}
	}
	l, ok := s.lanes[service]
	if !ok {
		l = &lane{}
		s.lanes[service] = l
	}
	return l
}

// pump starts requests in order until one finds no room.
func (l *lane) pump(now time.Time) {
	resort(l.waiting, now)
	for len(l.waiting) > 0 {
		w := l.waiting[0]
		choice, ok := w.request.Pick()
		if !ok {
			return
		}
		l.waiting = l.waiting[1:]
		l.pace.start(now, w.request.Tokens)
		w.started = true
		w.ready <- choice
	}
}

// refuse turns a waiting request away, with what decided it.
func (l *lane) refuse(w *waiter, wait time.Duration) error {
	cause := errors.Wrapf(ErrBusy, "%d waiting, %d tokens started in the last second, start expected in %s, patience %s",
		len(l.waiting)-1, l.pace.sum, wait.Round(time.Millisecond), patience(w.request))
	l.drop(w)
	return &limiter.Refusal{Cause: cause, Retry: comeback(wait)}
}

func (l *lane) drop(w *waiter) {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// expected is the time until a queued request starts, by the pace at which
// requests have started lately.
func (l *lane) expected(w *waiter, now time.Time) time.Duration {
	ahead := 0
	for _, other := range l.waiting {
		if other == w {
			break
		}
		ahead += max(other.request.Tokens, 1)
	}
	return l.pace.wait(now, ahead)
}
