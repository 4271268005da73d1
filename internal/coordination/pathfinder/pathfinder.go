// Package pathfinder tells whether a node reaches the endpoints itself, and through which
// peers it sends requests while it does not.
//
// A node may lose its links to all endpoints while callers, peers and the log still reach it.
// One endpoint that does not answer shows nothing, so that a node that suspects a loss tries
// other endpoints first. Links may fail in three ways: nothing comes back, connections are
// reset, or new ones are refused while those that are open live on. Path therefore goes by new
// connections; the silence of all open ones is only a reason to try one.
//
// The package opens no connections and starts no goroutines; package tunneler does.
//
// # Usage
//
//	path := &pathfinder.Path{}
//	if path.RecordDial(now, address, false); path.CheckDue(now) {
//		path.RecordCheck(now, reached)
//	}
//	detours := &pathfinder.Detours{Domain: "d1"}
//	for _, peer := range detours.Order(now, peers, endpoint.Domain) {
//		…
//	}
package pathfinder

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// checkPause is the time for which a check that reached an endpoint holds.
	checkPause = 250 * time.Millisecond
	// silenceLimit is the time without a byte from any endpoint, while requests are under way,
	// after which a connection is tried. It is that of a stalled endpoint in package balancer.
	silenceLimit = 700 * time.Millisecond
	// silencePause is the time between such tries while the endpoints can be reached.
	silencePause = 2 * time.Second
)

// Path is what a node knows of its links to the endpoints. It is safe for concurrent use.
type Path struct {
	mu   sync.Mutex
	lost bool
	// failing is set while no connection was opened since the last failure.
	failing bool
	// checkedAt is when an endpoint was last reached by a check.
	checkedAt time.Time
	// open counts the requests under way, and heardAt is when bytes last came for one or, if
	// later, when one began while there was none.
	open    int
	heardAt time.Time
	triedAt time.Time
}

// Lost reports whether this node reaches no endpoint.
func (p *Path) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// RecordDial records whether a connection to an endpoint could be opened. It reports whether
// Lost has changed.
func (p *Path) RecordDial(ok bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = !ok
	if !ok {
		return false
	}
	changed, p.lost = p.lost, false
	return changed
}

// CheckDue reports whether other endpoints are to be tried, since connections fail.
func (p *Path) CheckDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing && !p.lost && now.Sub(p.checkedAt) >= checkPause
}

// RecordCheck records whether a check reached any endpoint. It reports whether Lost has changed.
func (p *Path) RecordCheck(now time.Time, reached bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reached {
		p.checkedAt, p.failing = now, false
	}
	changed, p.lost = p.lost == reached, !reached
	return changed
}

// Begin records that a request was sent over an open connection, and End that it has ended.
func (p *Path) Begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 {
		p.heardAt = now
	}
	p.open++
}

// End records that a request has ended.
func (p *Path) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// RecordBytes records that bytes came from an endpoint.
func (p *Path) RecordBytes(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAt = now
}

// TrySilent reports whether a connection is to be tried since no endpoint has sent anything for
// long. It then counts as tried.
func (p *Path) TrySilent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := !p.lost && p.open > 0 && now.Sub(p.heardAt) >= silenceLimit && now.Sub(p.triedAt) >= silencePause
	if due {
		p.triedAt = now
	}
	return due
}

// Peer is a node through which requests may be sent.
type Peer struct {
	Address netip.AddrPort
	Domain  string
}
