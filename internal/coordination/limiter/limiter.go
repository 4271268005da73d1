// Package limiter decides which requests may start: by their team's limits, by
// the node's share of the power ceiling, and by free endpoint slots.
//
// A request that can't start now waits in a single queue ordered by priority
// and deadline. A request that can't start by its deadline is refused at once,
// with the time after which it can be retried.
//
// # Usage
//
//	ticket, err := l.Submit(now, limiter.Request{Team: team, Priority: priority, Watts: 40})
//	if err != nil {
//		// Refused; a *Refusal holds the time to wait before a retry.
//	}
//	defer l.Release(now, ticket)
//	<-ticket.Ready()
package limiter

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// Reasons for a refusal.
var (
	ErrRate        = errors.New("team is over its request rate")
	ErrConcurrency = errors.New("team is over its concurrency")
	ErrDeadline    = errors.New("queue is longer than the deadline allows")
	ErrPower       = errors.New("request needs more power than the node's share")
)

// Refusal is an error with the time after which the request can be retried.
type Refusal struct {
	Cause      error
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Cause.Error() }

// Unwrap returns the reason, one of the sentinel errors.
func (r *Refusal) Unwrap() error { return r.Cause }

// Request describes a request that asks for admission.
type Request struct {
	Team     configurator.Team
	Priority configurator.Priority
	Service  string
	// Watts is the additional power drawn while the request runs.
	Watts float64
}

// Capacity holds the limits currently in effect for the node.
type Capacity struct {
	// Watts is the node's share of the power ceiling for running requests;
	// negative means no ceiling.
	Watts float64
	// Nodes is the number of nodes that teams' limits are divided among.
	Nodes int
}

// Slots returns the number of this node's requests that a service can run at
// once. It must not call the limiter.
type Slots func(service string) int

// Ticket represents a request that is waiting or running.
type Ticket struct {
	request  Request
	queuedAt time.Time
	ready    chan struct{}
	admitted bool
	done     bool
}

// Ready returns a channel that is closed when the request may start.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Deadline returns the time by which the request must start.
func (t *Ticket) Deadline() time.Time {
	return t.queuedAt.Add(t.request.Priority.Deadline)
}

type teamState struct {
	rateTokens float64
	refilledAt time.Time
	running    int
}

// Limiter admits requests. Its fields are set before use, and it is safe for
// concurrent use.
type Limiter struct {
	Slots Slots

	mu          sync.Mutex
	capacity    Capacity
	teams       map[string]*teamState
	queue       []*Ticket
	running     map[string]int
	watts       float64
	peakWatts   float64
	completions completions
}

// Configure sets the capacity and admits waiting requests that now fit.
func (l *Limiter) Configure(capacity Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
	l.admitWaiting()
}

// AdmitWaiting admits waiting requests that can start now.
func (l *Limiter) AdmitWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitWaiting()
}

// Watts returns the power drawn by running requests and its peak, in watts.
func (l *Limiter) Watts() (current, peakWatts float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watts, l.peakWatts
}

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Submit admits a request, queues it, or refuses it with a *Refusal.
func (l *Limiter) Submit(now time.Time, request Request) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.capacity.Watts >= 0 && request.Watts > l.capacity.Watts {
		return nil, &Refusal{Cause: ErrPower, RetryAfter: request.Priority.Deadline}
	}
	if err := l.admitTeam(now, request.Team); err != nil {
		return nil, err
	}
	ticket := &Ticket{request: request, queuedAt: now, ready: make(chan struct{})}
	l.enqueue(ticket)
	l.admitWaiting()
	if ticket.admitted {
		return ticket, nil
	}
	if wait := l.expectedWait(ticket); wait > request.Priority.Deadline {
		l.removeWaiting(ticket)
		return nil, &Refusal{Cause: ErrDeadline, RetryAfter: wait - request.Priority.Deadline}
	}
	return ticket, nil
}

// Expire removes a waiting ticket and returns its refusal. It returns nil if
// the ticket has already been admitted.
func (l *Limiter) Expire(ticket *Ticket) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ticket.admitted {
		return nil
	}
	wait := l.expectedWait(ticket)
	l.removeWaiting(ticket)
	return &Refusal{Cause: ErrDeadline, RetryAfter: wait}
}

// Release ends a ticket, whether its request ran or not. It may be called twice.
func (l *Limiter) Release(now time.Time, ticket *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ticket.done {
		return
	}
	if !ticket.admitted {
		l.removeWaiting(ticket)
		return
	}
	ticket.done = true
	l.watts -= ticket.request.Watts
	l.running[ticket.request.Service]--
	l.teams[ticket.request.Team.Name].running--
	l.completions.record(now)
	l.admitWaiting()
}

func (l *Limiter) removeWaiting(ticket *Ticket) {
	if ticket.done {
		return
	}
	ticket.done = true
	l.teams[ticket.request.Team.Name].running--
	if i := slices.Index(l.queue, ticket); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
}

func (l *Limiter) admitTeam(now time.Time, limits configurator.Team) error {
	nodes := float64(max(l.capacity.Nodes, 1))
	rate, burst := limits.Rate/nodes, math.Max(float64(limits.Burst)/nodes, 1)
	concurrency := int(math.Ceil(float64(limits.Concurrency) / nodes))
	state := l.teamState(limits.Name, now, burst)
	state.rateTokens = math.Min(state.rateTokens+now.Sub(state.refilledAt).Seconds()*rate, burst)
	state.refilledAt = now
	if state.running >= concurrency {
		return &Refusal{Cause: ErrConcurrency, RetryAfter: l.completions.interval()}
	}
	if state.rateTokens < 1 {
		waitSeconds := (1 - state.rateTokens) / rate
		return &Refusal{Cause: ErrRate, RetryAfter: time.Duration(waitSeconds * float64(time.Second))}
	}
	state.rateTokens--
	state.running++
	return nil
}

func (l *Limiter) teamState(name string, now time.Time, burst float64) *teamState {
	if l.teams == nil {
		l.teams = map[string]*teamState{}
	}
	state, ok := l.teams[name]
	if !ok {
		state = &teamState{rateTokens: burst, refilledAt: now}
		l.teams[name] = state
	}
	return state
}

func (l *Limiter) enqueue(ticket *Ticket) {
	i, _ := slices.BinarySearchFunc(l.queue, ticket, func(a, b *Ticket) int {
		if order := cmp.Compare(a.request.Priority.Rank, b.request.Priority.Rank); order != 0 {
			return order
		}
		if order := a.Deadline().Compare(b.Deadline()); order != 0 {
			return order
		}
		return -1
	})
	l.queue = slices.Insert(l.queue, i, ticket)
}

// admitWaiting admits requests in queue order. Power is allocated strictly in
// order, so that small requests can't starve a large one. A service without
// free slots blocks only its own requests.
func (l *Limiter) admitWaiting() {
	waiting := l.queue[:0]
	blocked := false
	for _, ticket := range l.queue {
		service := ticket.request.Service
		if blocked || !l.fitsPower(ticket) {
			blocked = true
			waiting = append(waiting, ticket)
			continue
		}
		if l.running[service] >= l.Slots(service) {
			waiting = append(waiting, ticket)
			continue
		}
		l.admit(ticket)
	}
	clear(l.queue[len(waiting):])
	l.queue = waiting
}

func (l *Limiter) fitsPower(ticket *Ticket) bool {
	return l.capacity.Watts < 0 || l.watts+ticket.request.Watts <= l.capacity.Watts
}

func (l *Limiter) admit(ticket *Ticket) {
	ticket.admitted = true
	l.countRunning(ticket.request.Service)
	l.watts += ticket.request.Watts
	l.peakWatts = math.Max(l.peakWatts, l.watts)
	close(ticket.ready)
}

func (l *Limiter) countRunning(service string) {
	if l.running == nil {
		l.running = map[string]int{}
	}
	l.running[service]++
}

// expectedWait estimates the time until the ticket starts from the recent rate
// of completions.
func (l *Limiter) expectedWait(ticket *Ticket) time.Duration {
	position := slices.Index(l.queue, ticket)
	if position < 0 {
		position = len(l.queue)
	}
	return time.Duration(position+1) * l.completions.interval()
}
