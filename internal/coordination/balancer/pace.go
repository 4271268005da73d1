package balancer

import (
	"math"
	"time"
)

const (
	// paceTTL is how long after the last report with a pace endpoints count as sharing their
	// hosts, and how long the smoothed pace of an endpoint is used.
	paceTTL = 10 * time.Second
	// paceSmoothing is the time after which a new report counts for about two thirds. The pace
	// changes many times a second, but with 90 endpoints a node has a report of each only every
	// few seconds, so that the weight of a report is between minPaceWeight and maxPaceWeight.
	paceSmoothing = 5 * time.Second
	minPaceWeight = 0.125
	maxPaceWeight = 0.5
	// minPace and maxPace bound a reported pace, so that a single odd value has little effect.
	minPace = 0.1
	maxPace = 10
)

// paceState holds when reports with a pace came last, by who received them: this node, its members
// or other nodes.
type paceState struct {
	own, members, others time.Time
}

// reported is the time that the receivers of Report are told, newest that of Total.
func (s paceState) reported() time.Time { return latest(s.own, s.members) }

func (s paceState) newest() time.Time { return latest(s.reported(), s.others) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SharedHosts reports whether endpoints report a pace, since they share their hosts with other
// work: a report with a pace came within paceTTL, to this node or to one that has told it. It is
// always true with Pressure.
func (b *Balancer) SharedHosts(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sharedHosts(now)
}

func (b *Balancer) sharedHosts(now time.Time) bool {
	newest := b.paces.newest()
	return b.Pressure || !newest.IsZero() && now.Sub(newest) < paceTTL
}

// PaceAge returns how long ago the last report with a pace came, of those that the receivers of
// Total or, if total is not set, of Report are told of. It returns false if none came within
// paceTTL.
func (b *Balancer) PaceAge(now time.Time, total bool) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.paces.reported()
	if total {
		at = b.paces.newest()
	}
	return now.Sub(at), !at.IsZero() && now.Sub(at) < paceTTL
}

// HandlePaceAge records that a peer told how long ago a report with a pace came. What others
// than members say is passed on to members only, so that it does not travel in circles.
func (b *Balancer) HandlePaceAge(reporter Reporter, now time.Time, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(-max(age, 0))
	if reporter == Member {
		b.paces.members = latest(b.paces.members, at)
	} else {
		b.paces.others = latest(b.paces.others, at)
	}
}

// Pace returns the smoothed pace of an endpoint: how long its work takes, where 1 is normal. It
// is 1 without recent reports.
func (b *Balancer) Pace(now time.Time, id string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpointState(id).smoothedPace(now)
}

func (s *endpointState) smoothedPace(now time.Time) float64 {
	if s.pacedAt.IsZero() || now.Sub(s.pacedAt) >= paceTTL {
		return 1
	}
	return s.pace
}

// recordPace adds a reported pace to the smoothed one.
func (s *endpointState) recordPace(now time.Time, reported float64) {
	reported = min(max(reported, minPace), maxPace)
	weight := 1 - math.Exp(-now.Sub(s.pacedAt).Seconds()/paceSmoothing.Seconds())
	weight = min(max(weight, minPaceWeight), maxPaceWeight)
	s.pace = s.smoothedPace(now) + weight*(reported-s.smoothedPace(now))
	s.pacedAt = now
}
