package throttler

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// safetyFactor is the part of a limit that is issued. Requests reach the endpoint later
	// than their permits are issued, and not all by the same time.
	safetyFactor = 0.95
	// startPause is the time before the first permit of an Issuer for a process. Permits of an
	// earlier issuer may still be in use, and requests that were placed before the limit was
	// known may still be on their way.
	startPause = time.Second
	// maxAhead is how early a permit may be issued before it can be used, to a node that has
	// requests that wait for it.
	maxAhead = 1500 * time.Millisecond
	// saveUp is how long permits that nobody asked for are saved up, or for savedIntervals of
	// their issue: the nodes ask at random times, and what is not saved is lost to all of them.
	saveUp         = 500 * time.Millisecond
	savedIntervals = 2
	// minRate is the rate in requests a second at which permits are issued for any limit: it is
	// by the answers to some requests that nodes learn when a limit ends.
	minRate = 0.1
	// demandWindow is the time over which the requests for permits that got none are counted.
	demandWindow = 5 * time.Second
	// minRetry and maxRetry limit the time after which a node may ask again.
	minRetry = 20 * time.Millisecond
	maxRetry = 5 * time.Second
	// idleTTL is how long an unused state of an Issuer is kept.
	idleTTL = time.Minute
	// MaxPermits is the largest number of permits that are issued at once.
	MaxPermits = 8
)

// Grant is the answer to a node that asks for permits.
type Grant struct {
	// Waits are the times after which each permit may be used.
	Waits []time.Duration
	// Retry is the time after which the node may ask again, if it got no permit.
	Retry time.Duration
}

// schedule is the state of an Issuer for one process.
type schedule struct {
	// next is the time from which the next permit may be used.
	next   time.Time
	usedAt time.Time
	// denied counts the calls without a permit since deniedFrom, lastDenied those in the window
	// before.
	denied     int
	lastDenied int
	deniedFrom time.Time
}

// Issuer issues permits. It is safe for concurrent use.
type Issuer struct {
	// Share returns the part of each limit that this node may issue: less than one if some of
	// the nodes are out of its reach, since these may have an issuer of their own.
	Share func() float64

	mu        sync.Mutex
	schedules map[Process]*schedule
	leases    map[Process]*leased
}

// Demand is what a node asks for.
type Demand struct {
	Process Process
	// Rate is the limit that the node knows, in requests a second.
	Rate    float64
	Permits int
	// Patient is set if the requests may wait for their permits.
	Patient bool
}

// Issue issues permits, for a process that takes rate requests a second.
func (i *Issuer) Issue(now time.Time, demand Demand, rate float64) Grant {
	rate = max(safetyFactor*rate*i.Share(), minRate)
	interval := time.Duration(float64(time.Second) / rate)
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.schedule(now, demand.Process, interval)
	ahead := time.Duration(0)
	if demand.Patient {
		ahead = maxAhead
	}
	s.usedAt = now
	if earliest := now.Add(-max(saveUp, savedIntervals*interval)); s.next.Before(earliest) {
		s.next = earliest
	}
	var grant Grant
	for range min(demand.Permits, MaxPermits) {
		if s.next.Sub(now) > ahead {
			break
		}
		grant.Waits = append(grant.Waits, max(s.next.Sub(now), 0))
		s.next = s.next.Add(interval)
	}
	if len(grant.Waits) == 0 {
		grant.Retry = s.deny(now, interval, ahead)
	}
	return grant
}

func (i *Issuer) schedule(now time.Time, process Process, interval time.Duration) *schedule {
	s, ok := i.schedules[process]
	if ok {
		// A limit that was raised takes effect at once.
		if latest := now.Add(maxAhead + interval); s.next.After(latest) {
			s.next = latest
		}
		return s
	}
	if i.schedules == nil {
		i.schedules = map[Process]*schedule{}
	}
	for other, s := range i.schedules {
		if now.Sub(s.usedAt) >= idleTTL {
			delete(i.schedules, other)
		}
	}
	s = &schedule{next: now.Add(max(startPause, min(interval, maxRetry))), deniedFrom: now}
	i.schedules[process] = s
	return s
}

// deny counts a call that gets no permit and returns the time after which the node may ask
// again. The more nodes want permits, the longer each of them waits, so that the number of
// calls grows more slowly than that of the nodes.
func (s *schedule) deny(now time.Time, interval, ahead time.Duration) time.Duration {
	if now.Sub(s.deniedFrom) >= demandWindow {
		s.deniedFrom, s.lastDenied, s.denied = now, s.denied, 0
	}
	s.denied++
	waiting := max(s.denied, s.lastDenied)
	spread := time.Duration(rand.Float64() * float64(waiting) * float64(interval))
	return min(max(s.next.Sub(now)-ahead+spread, minRetry), maxRetry)
}
