// Package limiter decides which requests may start: by their team's limits, by
// the node's share of the power ceiling, and by free endpoint slots.
//
// A request that can't start now waits in one queue ordered by priority and
// deadline. A request whose deadline can't be met is refused at once, with the
// time after which a new try is sensible.
//
// # Usage
//
//	ticket, err := l.Enter(now, limiter.Request{Team: team, Priority: priority, Watts: 40})
//	if err != nil {
//		// Refused; a *Refusal tells when to come back.
//	}
//	defer l.Leave(now, ticket)
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

// Sentinel errors of refusals.
var (
	ErrRate        = errors.New("team is over its request rate")
	ErrConcurrency = errors.New("team is over its concurrency")
	ErrDeadline    = errors.New("queue is longer than the deadline allows")
	ErrPower       = errors.New("request needs more power than the node's share")
)

// Refusal is an error with the time after which a new try is sensible.
type Refusal struct {
	Cause error
	Retry time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Cause.Error() }

// Unwrap returns the sentinel.
func (r *Refusal) Unwrap() error { return r.Cause }

// Request asks for admission.
type Request struct {
	Team     configurator.Team
	Priority configurator.Priority
	Service  string
	// Watts is the power that the request adds while it runs.
	Watts float64
}

// Capacity is what the node may use now.
type Capacity struct {
	// Watts is the node's share of the ceiling for running requests; negative
	// for no ceiling.
	Watts float64
	// Nodes is the number of nodes among which teams' limits are divided.
	Nodes int
}

// Slots tells how many requests of this node a service has room for. It must
// not call the limiter.
type Slots func(service string) int

// Ticket is a request that waits or runs.
type Ticket struct {
	request  Request
	entered  time.Time
	ready    chan struct{}
	admitted bool
	done     bool
}

// Ready is closed when the request may start.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Deadline returns the time by which the request must have started.
func (t *Ticket) Deadline() time.Time {
	return t.entered.Add(t.request.Priority.Deadline)
}

type team struct {
	tokens  float64
	updated time.Time
	running int
}

// Limiter admits requests. Its fields are set before use, and it is safe for
// concurrent use.
type Limiter struct {
	Slots Slots

	mu       sync.Mutex
	capacity Capacity
	teams    map[string]*team
	queue    []*Ticket
	running  map[string]int
	watts    float64
	peak     float64
	pace     pace
}

// Configure sets the capacity in force.
func (l *Limiter) Configure(capacity Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
	l.pump()
}

// Pump admits waiting requests for which there is room now.
func (l *Limiter) Pump() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pump()
}

// Watts returns the power of the running requests, and its peak.
func (l *Limiter) Watts() (now, peak float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watts, l.peak
}

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Enter admits a request, queues it, or refuses it with a *Refusal.
func (l *Limiter) Enter(now time.Time, request Request) (*Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.capacity.Watts >= 0 && request.Watts > l.capacity.Watts {
		return nil, &Refusal{Cause: ErrPower, Retry: request.Priority.Deadline}
	}
	if err := l.takeTeam(now, request.Team); err != nil {
		return nil, err
	}
	ticket := &Ticket{request: request, entered: now, ready: make(chan struct{})}
	l.insert(ticket)
	l.pump()
	if ticket.admitted {
		return ticket, nil
	}
	if wait := l.expected(ticket); wait > request.Priority.Deadline {
		l.drop(ticket)
		return nil, &Refusal{Cause: ErrDeadline, Retry: wait - request.Priority.Deadline}
	}
	return ticket, nil
}

// Expire gives up a waiting ticket and returns its refusal; it returns nil when
// the ticket has been admitted meanwhile.
func (l *Limiter) Expire(ticket *Ticket) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ticket.admitted {
		return nil
	}
	wait := l.expected(ticket)
	l.drop(ticket)
	return &Refusal{Cause: ErrDeadline, Retry: wait}
}

// Leave ends a ticket, whether it ran or not. It may be called twice.
func (l *Limiter) Leave(now time.Time, ticket *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ticket.done {
		return
	}
	if !ticket.admitted {
		l.drop(ticket)
		return
	}
	ticket.done = true
	l.watts -= ticket.request.Watts
	l.running[ticket.request.Service]--
	l.teams[ticket.request.Team.Name].running--
	l.pace.left(now)
	l.pump()
}

func (l *Limiter) drop(ticket *Ticket) {
	if ticket.done {
		return
	}
	ticket.done = true
	l.teams[ticket.request.Team.Name].running--
	if i := slices.Index(l.queue, ticket); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
}

func (l *Limiter) takeTeam(now time.Time, limits configurator.Team) error {
	nodes := float64(max(l.capacity.Nodes, 1))
	rate, burst := limits.Rate/nodes, math.Max(float64(limits.Burst)/nodes, 1)
	concurrency := int(math.Ceil(float64(limits.Concurrency) / nodes))
	held := l.team(limits.Name, now, burst)
	held.tokens = math.Min(held.tokens+now.Sub(held.updated).Seconds()*rate, burst)
	held.updated = now
	if held.running >= concurrency {
		return &Refusal{Cause: ErrConcurrency, Retry: l.pace.interval()}
	}
	if held.tokens < 1 {
		missing := (1 - held.tokens) / rate
		return &Refusal{Cause: ErrRate, Retry: time.Duration(missing * float64(time.Second))}
	}
	held.tokens--
	held.running++
	return nil
}

func (l *Limiter) team(name string, now time.Time, burst float64) *team {
	if l.teams == nil {
		l.teams = map[string]*team{}
	}
	held, ok := l.teams[name]
	if !ok {
		held = &team{tokens: burst, updated: now}
		l.teams[name] = held
	}
	return held
}

func (l *Limiter) insert(ticket *Ticket) {
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

// pump admits requests in queue order. Power is given strictly in order, so
// that a small request never overtakes a large one for good; a service without
// slots holds up only its own requests.
func (l *Limiter) pump() {
	kept := l.queue[:0]
	blocked := false
	for _, ticket := range l.queue {
		service := ticket.request.Service
		if blocked || !l.fits(ticket) {
			blocked = true
			kept = append(kept, ticket)
			continue
		}
		if l.running[service] >= l.Slots(service) {
			kept = append(kept, ticket)
			continue
		}
		l.admit(ticket)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
}

func (l *Limiter) fits(ticket *Ticket) bool {
	return l.capacity.Watts < 0 || l.watts+ticket.request.Watts <= l.capacity.Watts
}

func (l *Limiter) admit(ticket *Ticket) {
	ticket.admitted = true
	l.start(ticket.request.Service)
	l.watts += ticket.request.Watts
	l.peak = math.Max(l.peak, l.watts)
	close(ticket.ready)
}

func (l *Limiter) start(service string) {
	if l.running == nil {
		l.running = map[string]int{}
	}
	l.running[service]++
}

// expected returns the time until the ticket starts at the current pace.
func (l *Limiter) expected(ticket *Ticket) time.Duration {
	place := slices.Index(l.queue, ticket)
	if place < 0 {
		place = len(l.queue)
	}
	return time.Duration(place+1) * l.pace.interval()
}
