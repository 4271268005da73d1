package throttler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// permitTTL is how long after it became usable a permit may be used. The endpoint gets what
	// is issued in that time in addition to what its limit allows in any other.
	permitTTL = 400 * time.Millisecond
	// askTimeout bounds a call to the issuer, and askPause is the time after a failed one.
	askTimeout = 300 * time.Millisecond
	askPause   = 500 * time.Millisecond
)

// Ask asks the issuer of a process for permits.
type Ask func(ctx context.Context, demand Demand) (Grant, error)

// holding is what a node holds for one process.
type holding struct {
	// usable holds when each permit becomes usable, in order.
	usable []time.Time
	// answered is closed once the issuer has answered; nil while it is not asked.
	answered chan struct{}
	// wanted is the number of requests that wanted a permit since the node last asked.
	wanted int
	// askAt is the time before which the node does not ask again.
	askAt time.Time
}

// Permits holds the permits of this node. Its exported fields are set before use, and it is
// safe for concurrent use.
type Permits struct {
	Limits *Limits
	Ask    Ask
	// OnChange is called after permits arrived or became usable, or were denied.
	OnChange func()
	// OnError is called after the issuer could not be asked.
	OnError func(process Process, err error)
	Now     func() time.Time

	mu       sync.Mutex
	holdings map[Process]*holding
	leases   map[Process]*lease
}

// Any implements balancer.Permits.
func (p *Permits) Any() bool { return p.Limits.any.Load() }

// Ready reports whether a request may be sent to an endpoint: it has no limit, or there is a
// permit, and it is not brittle, or there is a lease.
func (p *Permits) Ready(now time.Time, endpoint endpointtracker.Endpoint) bool {
	if !p.Any() {
		return true
	}
	process, _, limited := p.limit(endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	return (!limited || p.holding(process).ready(now)) && p.leaseReady(now, endpoint)
}

// Take uses a permit for a request to an endpoint, if there is a limit, and a lease if it is
// brittle. It reports false if there is none.
func (p *Permits) Take(now time.Time, endpoint endpointtracker.Endpoint) bool {
	if !p.Any() {
		return true
	}
	process, _, limited := p.limit(endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	if limited && !p.holding(process).ready(now) || !p.leaseReady(now, endpoint) {
		return false
	}
	if limited {
		h := p.holding(process)
		h.usable = h.usable[1:]
	}
	p.takeLease(endpoint)
	return true
}

// Wait returns how long an endpoint gets no request for want of a permit; zero if it may get
// one now, or if the issuer has not answered yet.
func (p *Permits) Wait(now time.Time, endpoint endpointtracker.Endpoint) time.Duration {
	process, _, limited := p.limit(endpoint)
	if !limited {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.holding(process)
	h.expire(now)
	switch {
	case len(h.usable) > 0:
		return max(h.usable[0].Sub(now), 0)
	case h.answered != nil:
		return 0
	default:
		return max(h.askAt.Sub(now), 0)
	}
}

// Want implements balancer.Permits. A node asks for as many permits as were wanted since it
// last asked, and for one lease.
func (p *Permits) Want(now time.Time, endpoint endpointtracker.Endpoint, patient bool) <-chan struct{} {
	process, rate, limited := p.limit(endpoint)
	key, brittle := p.needsLease(endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	if brittle && (!limited || p.holding(process).ready(now)) {
		return p.wantLease(now, key)
	}
	if !limited {
		return nil
	}
	h := p.holding(process)
	h.expire(now)
	if patient {
		h.wanted++
	}
	if h.answered != nil {
		return h.answered
	}
	if len(h.usable) > 0 || now.Before(h.askAt) {
		return nil
	}
	demand := Demand{Process: process, Rate: rate, Permits: min(max(h.wanted, 1), MaxPermits), Patient: patient}
	h.wanted = 0
	h.answered = make(chan struct{})
	go p.ask(demand)
	return h.answered
}

// callContext returns the context of a call to the issuer.
func (p *Permits) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), askTimeout)
}

func (p *Permits) ask(demand Demand) {
	ctx, cancel := p.callContext()
	defer cancel()
	grant, err := p.Ask(ctx, demand)
	if err != nil {
		grant = Grant{Retry: askPause}
		p.OnError(demand.Process, err)
	}
	now := p.Now()
	p.mu.Lock()
	h := p.holding(demand.Process)
	close(h.answered)
	h.answered = nil
	h.askAt = now.Add(grant.Retry)
	for _, wait := range grant.Waits {
		h.usable = append(h.usable, now.Add(wait))
		if wait > 0 {
			time.AfterFunc(wait, p.OnChange)
		}
	}
	p.mu.Unlock()
	if len(grant.Waits) == 0 {
		time.AfterFunc(grant.Retry, p.OnChange)
	}
	p.OnChange()
}

// Forget drops the permits for processes whose limit has ended or is not known any more.
func (p *Permits) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process, h := range p.holdings {
		if _, limited := p.Limits.Rate(process); !limited && h.answered == nil {
			delete(p.holdings, process)
		}
	}
	for key, l := range p.leases {
		if !p.Limits.isBrittle(key.Base()) && l.answered == nil && l.inUse == 0 && !l.releasing {
			delete(p.leases, key)
		}
	}
}

// limit returns the limit of an endpoint's process.
func (p *Permits) limit(endpoint endpointtracker.Endpoint) (process Process, rate float64, limited bool) {
	if !p.Limits.any.Load() {
		return Process{}, 0, false
	}
	process = ProcessOf(endpoint)
	rate, limited = p.Limits.Rate(process)
	return process, rate, limited
}

func (p *Permits) holding(process Process) *holding {
	h, ok := p.holdings[process]
	if !ok {
		if p.holdings == nil {
			p.holdings = map[Process]*holding{}
		}
		h = &holding{}
		p.holdings[process] = h
	}
	return h
}

// ready reports whether there is a permit that may be used now.
func (h *holding) ready(now time.Time) bool {
	h.expire(now)
	return len(h.usable) > 0 && !h.usable[0].After(now)
}

// expire drops permits that can't be used any more.
func (h *holding) expire(now time.Time) {
	h.usable = slices.DeleteFunc(h.usable, func(at time.Time) bool { return now.Sub(at) >= permitTTL })
}
