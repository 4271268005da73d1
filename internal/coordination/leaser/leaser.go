// Package leaser decides when a node may act for all nodes, by claims that are
// appended to a log on condition that nothing was appended since.
//
// A claim lets its holder act for Hold. Another node may claim once it has seen
// no new claim for Hold and the pause that must lie between two holders. Times
// are read from a clock that runs on while the host is suspended, and the holder
// looks at it right before each act, so that a node that was paused finds its
// claim over. The claim's offset serves as the fencing token.
//
// # Usage
//
//	lease := &leaser.Lease{Self: name, Hold: hold, Apart: apart}
//	lease.Observe(now, claims)
//	if lease.Claimable(now) { … append at lease.End() …; lease.Claimed(before, offset) }
//	if lease.Valid(now) { … act with lease.Token() … }
package leaser

import "time"

// Claim is a record of the log.
type Claim struct {
	Offset int64
	Holder string
}

// Lease is one node's view of who acts. Its fields are set before use; it
// belongs to one goroutine. Times are elapsed times of one clock.
type Lease struct {
	// Self names this node.
	Self string
	// Hold is how long a claim lets its holder act.
	Hold time.Duration
	// Apart is the pause between the last act of one holder and the first of the
	// next.
	Apart time.Duration

	known  bool
	end    int64
	last   Claim
	seen   time.Duration
	valid  time.Duration
	holder bool
}

// Observe takes in claims read at now, in the log's order, and the log's end.
func (l *Lease) Observe(now time.Duration, claims []Claim, end int64) {
	for _, claim := range claims {
		if l.known && claim.Offset < l.end {
			continue
		}
		l.last, l.seen = claim, now
		if claim.Holder != l.Self {
			l.holder = false
		}
	}
	l.known = true
	l.end = max(l.end, end)
}

// Known reports whether the log has been read.
func (l *Lease) Known() bool { return l.known }

// End is the offset that the next claim is appended at.
func (l *Lease) End() int64 { return l.end }

// Claimable reports whether the node may claim: nobody has, it was the last
// itself, or the last holder has been silent for long enough.
func (l *Lease) Claimable(now time.Duration) bool { return l.known && l.Wait(now) == 0 }

// Wait returns the time until the node may claim if no other claim comes; the
// log must be known.
func (l *Lease) Wait(now time.Duration) time.Duration {
	if l.last.Holder == "" || l.last.Holder == l.Self {
		return 0
	}
	return max(l.seen+l.Hold+l.Apart-now, 0)
}

// Claimed notes a successful claim. before is when its append was begun.
func (l *Lease) Claimed(before time.Duration, offset int64) {
	l.last = Claim{Offset: offset, Holder: l.Self}
	l.seen = before
	l.end = offset + 1
	l.holder = true
	l.valid = before + l.Hold
}

// Conflict notes that the log had another end; it must be read again.
func (l *Lease) Conflict() { l.holder = false }

// Valid reports whether the node may act.
func (l *Lease) Valid(now time.Duration) bool { return l.holder && now < l.valid }

// Token is the fencing token of the node's claim; higher for each claim.
func (l *Lease) Token() int64 { return l.last.Offset + 1 }
