package throttler

import (
	"math"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// A brittle endpoint falls over if it has to turn too many requests away. What it says of that is
// kept and shared like a limit. Each request to it needs a lease: the issuer gives out as many
// as the endpoint has room for, to all nodes together, and gets each back when its request has
// ended. The load that nodes report is too old for that, as each sees the last free place.

const (
	// leaseTTL is how long a lease may be unused before it is given back.
	leaseTTL = 300 * time.Millisecond
	// settleTime is the time after which the load that nodes report shows a request for which a lease
	// was given. Older leases count only as far as that load shows them.
	settleTime = 1500 * time.Millisecond
	// leaseRetry is the least time after which a node may ask again that got no lease, and as much
	// is added at random.
	leaseRetry = 25 * time.Millisecond
	// releaseDelay is how long a release waits for others.
	releaseDelay = 3 * time.Millisecond
	// releaseTries is the number of calls after which releases are given up. The issuer finds out
	// from the load that is reported.
	releaseTries = 3
	// penaltyTime is how long an endpoint has less room after it turned a request away.
	penaltyTime = 2 * time.Second
)

// Facts about a process beside its limit are kept under keys that look like other processes,
// with a negative start.

// brittleness returns the key for the number of refusals that a process bears.
func (p Process) brittleness() Process { return Process{Endpoint: p.Endpoint, Started: -1 - p.Started} }

// fullness returns the key for the refusals of a process.
func (p Process) fullness() Process {
	return Process{Endpoint: p.Endpoint, Started: math.MinInt64 + p.Started}
}

// isFullness reports whether a process is a key for refusals.
func (p Process) isFullness() bool { return p.Started < math.MinInt64/2 }

// IsLease reports whether a demand for a process is one for leases.
func (p Process) IsLease() bool { return p.Started < 0 && !p.isFullness() }

// Kind says what an entry of a process or of one of its keys is about, for the log.
func (p Process) Kind() string {
	switch {
	case p.isFullness():
		return "full"
	case p.IsLease():
		return "brittle"
	default:
		return "limit"
	}
}

// Base returns the process that a key belongs to.
func (p Process) Base() Process {
	switch {
	case p.Started >= 0:
		return p
	case p.isFullness():
		return Process{Endpoint: p.Endpoint, Started: p.Started - math.MinInt64}
	default:
		return Process{Endpoint: p.Endpoint, Started: -1 - p.Started}
	}
}

// isBrittle reports whether a process is brittle.
func (l *Limits) isBrittle(process Process) bool {
	_, brittle := l.Rate(process.brittleness())
	return brittle
}

// RecordFull records that an endpoint had no room for a request. It reports whether peers must
// be told: they must if it is brittle.
func (l *Limits) RecordFull(now time.Time, process Process) bool {
	if !l.isBrittle(process) {
		return false
	}
	penalty := float64(l.Penalty(now, process) + 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	key := process.fullness()
	k, ok := l.known[key]
	if !ok {
		k = l.add(now, key)
	}
	k.Rate, k.Ended, k.learnedAt, k.statedAt = penalty, false, now, now
	k.Stamp = max(now.UnixMilli(), k.Stamp+1)
	return true
}

// Penalty returns by how much the room of a process counts less, since it has just turned
// requests away.
func (l *Limits) Penalty(now time.Time, process Process) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.known[process.fullness()]
	if !ok || now.Sub(k.statedAt) >= penaltyTime {
		return 0
	}
	return int(min(k.Rate, math.MaxInt32))
}

// lease is what a node has of the leases of one process.
type lease struct {
	// free has the times at which unused leases came; inUse is the number of the others.
	free  []time.Time
	inUse int
	// released is the number of leases to give back.
	released  int
	releasing bool
	// answered is closed once the issuer has answered; nil while it is not asked, which it is not
	// before askAt.
	answered chan struct{}
	askAt    time.Time
}

// expire gives leases back that nobody used.
func (l *lease) expire(now time.Time) {
	for len(l.free) > 0 && now.Sub(l.free[0]) >= leaseTTL {
		l.free = l.free[1:]
		l.released++
	}
}

func (p *Permits) lease(key Process) *lease {
	l, ok := p.leases[key]
	if !ok {
		if p.leases == nil {
			p.leases = map[Process]*lease{}
		}
		l = &lease{}
		p.leases[key] = l
	}
	return l
}

// needsLease returns the key of an endpoint's leases, and whether requests to it need one.
func (p *Permits) needsLease(endpoint endpointtracker.Endpoint) (Process, bool) {
	if !p.Limits.any.Load() {
		return Process{}, false
	}
	process := ProcessOf(endpoint)
	return process.brittleness(), p.Limits.isBrittle(process)
}

// leaseReady reports whether a request may be sent to an endpoint as far as leases go; p.mu is
// held.
func (p *Permits) leaseReady(now time.Time, endpoint endpointtracker.Endpoint) bool {
	key, needed := p.needsLease(endpoint)
	if !needed {
		return true
	}
	l := p.lease(key)
	l.expire(now)
	p.giveBack(key, l)
	return len(l.free) > 0
}

// takeLease uses a lease, if one is needed and there is one; p.mu is held. Another answer may just
// have said that the endpoint is brittle.
func (p *Permits) takeLease(endpoint endpointtracker.Endpoint) {
	key, needed := p.needsLease(endpoint)
	if !needed {
		return
	}
	if l := p.lease(key); len(l.free) > 0 {
		l.free = l.free[1:]
		l.inUse++
	}
}

// Release records that a request to an endpoint has ended.
func (p *Permits) Release(endpoint endpointtracker.Endpoint) {
	if !p.Limits.any.Load() {
		return
	}
	key := ProcessOf(endpoint).brittleness()
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[key]
	if !ok || l.inUse == 0 {
		return
	}
	l.inUse--
	l.released++
	p.giveBack(key, l)
}

// giveBack gives leases back soon, if there are any; p.mu is held.
func (p *Permits) giveBack(key Process, l *lease) {
	if l.released == 0 || l.releasing {
		return
	}
	l.releasing = true
	time.AfterFunc(releaseDelay, func() { p.callRelease(key, l) })
}

// callRelease tells the issuer of the leases that are given back. What it can't be told is left to
// the load that nodes report.
func (p *Permits) callRelease(key Process, l *lease) {
	p.mu.Lock()
	n := l.released
	l.released = 0
	p.mu.Unlock()
	for range releaseTries {
		ctx, cancel := p.callContext()
		_, err := p.Ask(ctx, Demand{Process: key, Rate: float64(n)})
		cancel()
		if err == nil {
			break
		}
		p.OnError(key.Base(), err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.releasing = false
	p.giveBack(key, l)
}

// wantLease asks for a lease unless it is too early for that; p.mu is held.
func (p *Permits) wantLease(now time.Time, key Process) <-chan struct{} {
	l := p.lease(key)
	l.expire(now)
	if l.answered != nil {
		return l.answered
	}
	if len(l.free) > 0 || now.Before(l.askAt) {
		return nil
	}
	demand := Demand{Process: key, Rate: float64(l.released), Permits: 1}
	l.released = 0
	l.answered = make(chan struct{})
	go p.askLease(demand, l)
	return l.answered
}

func (p *Permits) askLease(demand Demand, l *lease) {
	ctx, cancel := p.callContext()
	defer cancel()
	grant, err := p.Ask(ctx, demand)
	if err != nil {
		grant = Grant{Retry: askPause}
		p.OnError(demand.Process.Base(), err)
	}
	now := p.Now()
	p.mu.Lock()
	close(l.answered)
	l.answered = nil
	l.askAt = now.Add(grant.Retry)
	for range grant.Waits {
		l.free = append(l.free, now)
	}
	p.mu.Unlock()
	if len(grant.Waits) == 0 {
		time.AfterFunc(grant.Retry, p.OnChange)
	}
	p.OnChange()
}
