// Package leaser decides when a node may act on behalf of all nodes. A node
// claims the lease by an append to a log that succeeds only if nothing was
// appended since the node last read it.
//
// A claim lets its holder act for Term. Another node may claim after it has seen
// no new claim for Term plus HandoverDelay, the pause between two holders. Times
// come from a clock that keeps running while the host is suspended, and the holder
// checks the lease right before each action, so a node that was paused finds that
// its claim has expired. The fencing token is derived from the claim's offset.
//
// # Usage
//
//	lease := &leaser.Lease{Self: name, Term: term, HandoverDelay: handover}
//	lease.Observe(now, claims, end)
//	if lease.Claimable(now) { … append at lease.NextOffset() …; lease.Claimed(before, offset) }
//	if lease.Valid(now) { … act with lease.Token() … }
package leaser

import "time"

// Claim is a record of the lease log.
type Claim struct {
	Offset int64
	Holder string
}

// Lease is one node's view of the lease. Its fields are set before use; it must
// be used by one goroutine only. Times are elapsed times of a single clock.
type Lease struct {
	// Self names this node.
	Self string
	// Term is how long a claim is valid.
	Term time.Duration
	// HandoverDelay is the minimum time between the last action of one holder and
	// the first action of the next.
	HandoverDelay time.Duration

	known      bool
	end        int64
	last       Claim
	lastSeen   time.Duration
	validUntil time.Duration
	isHolder   bool
}

// Observe records claims that were read at now, in log order, and the end of
// the log.
func (l *Lease) Observe(now time.Duration, claims []Claim, end int64) {
	for _, claim := range claims {
		if l.known && claim.Offset < l.end {
			continue
		}
		l.last, l.lastSeen = claim, now
		if claim.Holder != l.Self {
			l.isHolder = false
		}
	}
	l.known = true
	l.end = max(l.end, end)
}

// Known reports whether the log has been read.
func (l *Lease) Known() bool { return l.known }

// NextOffset returns the offset at which the next claim must be appended.
func (l *Lease) NextOffset() int64 { return l.end }

// Claimable reports whether the node may claim: there is no claim yet, the last
// claim is the node's own, or no new claim of the last holder has been seen for
// Term plus HandoverDelay.
func (l *Lease) Claimable(now time.Duration) bool { return l.known && l.Wait(now) == 0 }

// Wait returns the time until the node may claim, provided no other claim
// appears. The log must have been read before.
func (l *Lease) Wait(now time.Duration) time.Duration {
	if l.last.Holder == "" || l.last.Holder == l.Self {
		return 0
	}
	return max(l.lastSeen+l.Term+l.HandoverDelay-now, 0)
}

// Claimed records a successful claim. before is the time at which its append
// started.
func (l *Lease) Claimed(before time.Duration, offset int64) {
	l.last = Claim{Offset: offset, Holder: l.Self}
	l.lastSeen = before
	l.end = offset + 1
	l.isHolder = true
	l.validUntil = before + l.Term
}

// Conflict records that an append failed because the log had grown; the log
// must be read again.
func (l *Lease) Conflict() { l.isHolder = false }

// Valid reports whether the node holds the lease and may act.
func (l *Lease) Valid(now time.Duration) bool { return l.isHolder && now < l.validUntil }

// Token returns the fencing token of the node's claim. Later claims have higher
// tokens.
func (l *Lease) Token() int64 { return l.last.Offset + 1 }
