package throttler

import (
	"math/rand/v2"
	"time"
)

// leased has the times at which the leases of a process that are out were given, the oldest first.
type leased struct {
	given  []time.Time
	usedAt time.Time
}

// Lease answers a demand for leases of a process with room for so many requests at once. running
// is the number of requests that the nodes report. The demand's Rate is the number of leases that
// the node gives back.
func (i *Issuer) Lease(now time.Time, demand Demand, room, running int) Grant {
	room = max(int(float64(room)*i.Share()), 1)
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.leased(now, demand.Process, running)
	l.usedAt = now
	l.given = l.given[int(min(max(demand.Rate, 0), float64(len(l.given)))):]
	out := l.out(now, running)
	var grant Grant
	for n := min(demand.Permits, MaxPermits); n > 0 && out < room; n-- {
		l.given = append(l.given, now)
		grant.Waits = append(grant.Waits, 0)
		out++
	}
	if len(grant.Waits) == 0 {
		grant.Retry = leaseRetry + time.Duration(rand.Float64()*float64(leaseRetry))
	}
	return grant
}

// leased returns the leases of a process. An issuer that has just begun counts what runs.
func (i *Issuer) leased(now time.Time, process Process, running int) *leased {
	l, ok := i.leases[process]
	if ok {
		return l
	}
	if i.leases == nil {
		i.leases = map[Process]*leased{}
	}
	for other, l := range i.leases {
		if now.Sub(l.usedAt) >= idleTTL {
			delete(i.leases, other)
		}
	}
	l = &leased{}
	for range running {
		l.given = append(l.given, now)
	}
	i.leases[process] = l
	return l
}

// out returns the number of leases that are out. Those of nodes that are gone are found by the load
// that the others report.
func (l *leased) out(now time.Time, running int) int {
	settled := 0
	for settled < len(l.given) && now.Sub(l.given[settled]) >= settleTime {
		settled++
	}
	if lost := settled - running; lost > 0 {
		l.given = l.given[lost:]
	}
	return len(l.given)
}
