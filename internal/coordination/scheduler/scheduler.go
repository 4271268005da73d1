// Package scheduler queues requests that wait for an endpoint. It decides in
// which order they start and which ones are refused.
//
// It protects the engines from overload: more requests than they can run, caused
// by bursts, crashed engines or callers that retry. If engines received all of
// them, the memory of the running requests would displace cached prompt parts;
// the engines would have to prefill every prompt again and would slow down for
// all callers. Therefore requests wait here, and an engine receives only what it
// has room for.
//
// # Usage
//
//	s := &scheduler.Scheduler{Now: time.Now}
//	choice, err := s.Acquire(ctx, scheduler.Request{Pick: pick, …})
package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
)

// ErrBusy is returned for a request that can't start within its maximum queue
// time.
var ErrBusy = errors.New("all endpoints are busy for longer than the request can wait")

// ErrHeld is returned for a request whose endpoints have all asked for no requests, or take
// no more by their limits, for longer than the request can wait.
var ErrHeld = errors.New("all endpoints have asked for no requests, or have limited them")

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// Rank is the priority of the request; lower ranks start first.
	Rank     int
	Received time.Time
	// Objective is the latency target for the answer or, for a stream, for its
	// first event; zero for none. Deadline is when the caller stops waiting. It
	// must be set: without it, a request that can't start at once is refused.
	Objective time.Duration
	Deadline  time.Time
	// Urgent requests start before all others, because their callers already have a part of
	// the answer. Begun is set for those whose answer has begun, so that a refusal is of no use
	// to the caller: they wait until the deadline.
	Urgent bool
	Begun  bool
	// Hold returns how long all endpoints take no requests, because they asked for none or
	// limit them; zero if one takes some now. It is called with the Scheduler's lock held;
	// nil if endpoints never ask for that.
	Hold func() time.Duration
	// Check returns an error once the request need not wait any longer, since no endpoint will
	// run it. It is called with the Scheduler's lock held; nil if not needed.
	Check func() error
	// Tokens is the endpoint memory that the request needs, in tokens.
	Tokens int
	// Group names the requests that may use the same endpoints of the service; empty if the request
	// may use all of them.
	Group string
	// Pick chooses an endpoint that has room now and counts the request on it. It
	// reports false if there is none. It is called with the Scheduler's lock held.
	Pick func() (balancer.Choice, bool)
}

// waiter is a queued request.
type waiter struct {
	request Request
	// sequence is the order of arrival; it breaks ties.
	sequence uint64
	queuedAt time.Time
	result   chan result
	// ended is set once result holds the result.
	ended bool
}

// result is how the wait of a queued request ended.
type result struct {
	choice balancer.Choice
	err    error
}

func (w *waiter) end(choice balancer.Choice, err error) {
	w.ended = true
	w.result <- result{choice, err}
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	waiting   []*waiter
	startRate startRate
}

// Scheduler holds the queues. Its fields are set before use, and it is safe for
// concurrent use.
type Scheduler struct {
	Now func() time.Time

	mu       sync.Mutex
	queues   map[string]*serviceQueue
	sequence uint64
}

// Acquire waits for an endpoint. It returns a *limiter.Refusal at once if the
// expected wait is too long, or after the maximum queue time if the request has
// not started by then. It returns the error of ctx if ctx ends.
func (s *Scheduler) Acquire(ctx context.Context, request Request) (balancer.Choice, error) {
	s.mu.Lock()
	w, choice, err := s.startOrQueue(request)
	s.mu.Unlock()
	if w == nil {
		return choice, err
	}
	timer := time.NewTimer(maxQueueTime(request))
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result.choice, result.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.stopWaiting(ctx, w)
}

// startOrQueue starts a request, queues it, or refuses it. The caller holds the
// lock.
func (s *Scheduler) startOrQueue(request Request) (*waiter, balancer.Choice, error) {
	now := s.Now()
	q := s.serviceQueue(request.Service)
	if err := refuseHeld(request, maxQueueTime(request)); err != nil {
		return nil, balancer.Choice{}, err
	}
	if request.Urgent || len(q.waiting) == 0 {
		if choice, ok := request.Pick(); ok {
			q.startRate.start(now, request.Tokens)
			return nil, choice, nil
		}
	}
	if err := request.check(); err != nil {
		return nil, balancer.Choice{}, err
	}
	s.sequence++
	w := &waiter{request: request, sequence: s.sequence, queuedAt: now, result: make(chan result, 1)}
	q.waiting = insert(q.waiting, w, now)
	q.startWaiting(now)
	if w.ended {
		result := <-w.result
		return nil, result.choice, result.err
	}
	if wait := q.expectedWait(w, now); !request.Begun && wait > maxQueueTime(request) {
		return nil, balancer.Choice{}, q.refuse(w, wait)
	}
	return w, balancer.Choice{}, nil
}

// stopWaiting removes a request from the queue because its maximum queue time is
// over or ctx has ended. If it was started meanwhile, its choice is returned.
func (s *Scheduler) stopWaiting(ctx context.Context, w *waiter) (balancer.Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.ended {
		result := <-w.result
		return result.choice, result.err
	}
	q := s.serviceQueue(w.request.Service)
	if err := ctx.Err(); err != nil {
		q.remove(w)
		return balancer.Choice{}, err
	}
	// The request has already waited this long without starting, so the suggested
	// retry time is no shorter, even if the start rate predicts less.
	return balancer.Choice{}, q.refuse(w, max(q.expectedWait(w, s.Now()), maxQueueTime(w.request), w.request.hold()))
}

// check returns an error if the request need not wait.
func (r Request) check() error {
	if r.Check == nil {
		return nil
	}
	return r.Check()
}

// hold returns how long all endpoints take no requests.
func (r Request) hold() time.Duration {
	if r.Hold == nil {
		return 0
	}
	return r.Hold()
}

// refuseHeld returns a refusal if all endpoints take no requests for longer than a request
// can still wait.
func refuseHeld(request Request, patience time.Duration) error {
	hold := request.hold()
	if request.Begun || hold <= patience {
		return nil
	}
	return &limiter.Refusal{
		Cause:      errors.Wrapf(ErrHeld, "the first of them for %s, patience %s", hold.Round(time.Millisecond), patience.Round(time.Millisecond)),
		RetryAfter: hold,
	}
}

// StartWaiting starts waiting requests for which endpoints have room now.
func (s *Scheduler) StartWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, q := range s.queues {
		q.startWaiting(now)
	}
}

// StartOrRefuseWaiting starts waiting requests, and refuses those whose endpoints take no
// requests for longer than they can still wait, or that need not wait any longer.
func (s *Scheduler) StartOrRefuseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, q := range s.queues {
		q.startWaiting(now)
		q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
			err := w.request.check()
			if err == nil {
				err = refuseHeld(w.request, maxQueueTime(w.request)-now.Sub(w.queuedAt))
			}
			if err != nil {
				w.end(balancer.Choice{}, err)
			}
			return err != nil
		})
	}
}

// QueueLength returns the number of queued requests of all services.
func (s *Scheduler) QueueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, q := range s.queues {
		n += len(q.waiting)
	}
	return n
}

func (s *Scheduler) serviceQueue(service string) *serviceQueue {
	if s.queues == nil {
		s.queues = map[string]*serviceQueue{}
	}
	q, ok := s.queues[service]
	if !ok {
		q = &serviceQueue{}
		s.queues[service] = q
	}
	return q
}

// startWaiting starts requests in queue order until one finds no endpoint with room. One that may
// use only some of the endpoints holds up only those of its group, since others may have room.
func (q *serviceQueue) startWaiting(now time.Time) {
	sortWaiting(q.waiting, now)
	var full []string
	for i := 0; i < len(q.waiting); {
		w := q.waiting[i]
		if slices.Contains(full, w.request.Group) {
			i++
			continue
		}
		choice, ok := w.request.Pick()
		switch {
		case ok:
			q.waiting = slices.Delete(q.waiting, i, i+1)
			q.startRate.start(now, w.request.Tokens)
			w.end(choice, nil)
		case w.request.Group == "":
			return
		default:
			full = append(full, w.request.Group)
			i++
		}
	}
}

// refuse removes a waiting request and returns a refusal whose cause states the
// queue length, the start rate and the expected wait.
func (q *serviceQueue) refuse(w *waiter, wait time.Duration) error {
	cause := errors.Wrapf(ErrBusy, "%d waiting, %d tokens started in the last second, start expected in %s, patience %s",
		len(q.waiting)-1, q.startRate.startedTokens, wait.Round(time.Millisecond), maxQueueTime(w.request))
	q.remove(w)
	return &limiter.Refusal{Cause: cause, RetryAfter: retryAfter(wait)}
}

func (q *serviceQueue) remove(w *waiter) {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// expectedWait estimates the time until a queued request starts, from the tokens
// queued before it and the recent start rate.
func (q *serviceQueue) expectedWait(w *waiter, now time.Time) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if other == w {
			break
		}
		ahead += max(other.request.Tokens, 1)
	}
	return q.startRate.estimate(now, ahead)
}
