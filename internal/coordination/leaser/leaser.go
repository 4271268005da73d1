// Package leaser decides when a node may act on behalf of all nodes. A node
// claims the lease by an append to a log that succeeds only if nothing was
// appended since the node last read it.
//
// A claim lets its holder act for Term. Another node may claim after it has seen
// no new claim for Term plus HandoverDelay, the pause between two holders. Times
// come from a clock that keeps running while the host is suspended, and the holder
// checks the lease right before each action, so a node that was paused finds that
// its claim has expired. The fencing token is derived from the claim's position.
//
// The log may be restored from an older copy, which begins a new era and loses the
// newest claims. A lease ends with its era, and since the holder is unknown then, no
// node claims for Term plus HandoverDelay.
//
// # Usage
//
//	lease := &leaser.Lease{Self: name, Term: term, HandoverDelay: handover}
//	lease.Observe(now, claims, end)
//	if lease.Claimable(now) { … append at lease.Next() …; lease.Claimed(appendStarted, position) }
//	if lease.Valid(now) { … act with lease.Token() … }
package leaser

import "time"

// Position is a place in the log. Era counts how often the log was restored from an
// older copy; offsets of different eras can't be compared.
type Position struct {
	Era    int64
	Offset int64
}

// Claim is a record of the lease log.
type Claim struct {
	Offset int64
	Holder string
	// Era is the era in which the holder appended the claim. If it is not that of the
	// log, the copy may lack later claims.
	Era int64
}

// unknownHolder stands for a holder whose claim may have been lost.
const unknownHolder = "unknown"

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
	end        Position
	last       Claim
	lastSeen   time.Duration
	validUntil time.Duration
	isHolder   bool
	// restoredAt is when a restoration of the log was last noticed, if restored is set.
	restoredAt time.Duration
	restored   bool
}

// Observe records claims that were read at now, in log order, and the end of
// the log.
func (l *Lease) Observe(now time.Duration, claims []Claim, end Position) {
	if l.known && end.Era != l.end.Era {
		l.Restored(now)
	}
	for _, claim := range claims {
		if l.known && claim.Offset < l.end.Offset {
			continue
		}
		l.last, l.lastSeen = claim, now
		if claim.Era != end.Era {
			l.last.Holder = unknownHolder
		}
		if claim.Holder != l.Self {
			l.isHolder = false
		}
	}
	if !l.known && len(claims) == 0 && end.Era > 0 {
		// A copy without claims does not show that there was no holder.
		l.last, l.lastSeen = Claim{Holder: unknownHolder}, now
	}
	l.known = true
	l.end = Position{Era: end.Era, Offset: max(l.end.Offset, end.Offset)}
}

// Restored records that the log was restored from an older copy. It must be read again
// from its start.
func (l *Lease) Restored(now time.Duration) {
	l.last, l.lastSeen = Claim{Holder: unknownHolder}, now
	l.end, l.isHolder = Position{}, false
	l.restoredAt, l.restored = now, true
}

// Known reports whether the log has been read.
func (l *Lease) Known() bool { return l.known }

// Next returns the position at which the next claim must be appended.
func (l *Lease) Next() Position { return l.end }

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

// Claimed records a successful claim and its position. appendStarted is the time at
// which its append started. A claim that was appended in another era than expected
// gives no lease, also if that era was noticed while the append was under way.
func (l *Lease) Claimed(appendStarted time.Duration, at Position) {
	if at.Era != l.end.Era || l.restored && appendStarted <= l.restoredAt {
		l.Restored(appendStarted)
		l.known = false
		return
	}
	l.last = Claim{Offset: at.Offset, Holder: l.Self, Era: at.Era}
	l.lastSeen = appendStarted
	l.end = Position{Era: at.Era, Offset: at.Offset + 1}
	l.isHolder = true
	l.validUntil = appendStarted + l.Term
}

// Conflict records that an append failed because the log had grown; the log
// must be read again.
func (l *Lease) Conflict() { l.isHolder = false }

// Valid reports whether the node holds the lease and may act.
func (l *Lease) Valid(now time.Duration) bool { return l.isHolder && now < l.validUntil }

// eraShift is the number of bits of a fencing token that hold the offset. The token fits
// a JSON number for eras below 2^21.
const eraShift = 32

// Token returns the fencing token of the node's claim. It may be called only
// while Valid reports true. Later claims have higher tokens, also in later eras.
func (l *Lease) Token() int64 { return l.last.Era<<eraShift + l.last.Offset + 1 }
