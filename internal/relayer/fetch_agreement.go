package relayer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// fetchMargin is added to the longest fetch: the time until an endpoint notices that a
	// fetch has to end.
	fetchMargin = 300 * time.Millisecond
	// missingPeerDelay is how long parts must be out of use before they are freed while a peer
	// sends no heartbeats. One that is in contact with the log or with other hubs, but not
	// with this node, has learned of newer versions by then.
	missingPeerDelay = 5 * time.Second
	// goneTimeout is how long a peer without heartbeats is taken for one that may be back.
	goneTimeout = time.Minute
	// unknownFetchTime is the longest fetch of a peer that does not limit fetches, if no route
	// limits its requests.
	unknownFetchTime = 30 * time.Second
	// maxTickGap is the time without a tick of Run after which the process counts as stopped,
	// and settlePeriod how long after that heartbeats may still be old ones that had waited in
	// a buffer.
	maxTickGap   = 4 * sameDomainPeriod
	settlePeriod = 2 * sameDomainPeriod
	// fetchTimeMarker replaces the endpoint's hash in a change that says for how long engines
	// fetch parts after the sender has placed a request, in milliseconds.
	fetchTimeMarker = 4
)

// MayFetch reports whether requests may be placed that fetch parts from stores. A node
// that has just been stopped for a while, or that has no contact to a hub and to the log, does
// not know which parts the others free.
func (p *Peers) MayFetch() bool {
	now, ok := SinceBoot()
	if !ok || !p.HasContact() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tickedAt == 0 || now-p.tickedAt < maxTickGap && now-p.resumedAt >= settlePeriod
}

// recordTick records that Run is running.
func (p *Peers) recordTick() {
	now, _ := SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tickedAt > 0 && now-p.tickedAt >= maxTickGap {
		p.resumedAt = now
	}
	p.tickedAt = now
}

// LastJoin returns when a heartbeat last arrived of a peer that was new, had been missing or
// was started again. What all peers had agreed on before may not hold for it.
func (p *Peers) LastJoin() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastJoin
}

// FreeDelay returns how long parts must be out of use at all peers before they are freed: no
// engine fetches them any more by then. Peers of older builds do not limit how long their
// requests fetch; the routes of catalog limit these requests.
func (p *Peers) FreeDelay(catalog *cataloger.Catalog) time.Duration {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delay, known := p.fetchTime(now)
	if !known {
		delay = catalog.LongestTimeout(unknownFetchTime)
	}
	delay += fetchMargin
	for _, m := range p.peers {
		if m.isMissing(now) {
			return max(delay, missingPeerDelay)
		}
	}
	return delay
}

// fetchTime returns the longest time for which engines fetch parts after this node or a live
// peer has placed a request; false if a peer does not limit it.
func (p *Peers) fetchTime(now time.Time) (longest time.Duration, known bool) {
	longest = placer.MaxFetchTime
	for _, m := range p.peers {
		if now.Sub(m.lastReceived) >= heartbeatTimeout {
			continue
		}
		if m.fetchTime == 0 {
			return 0, false
		}
		longest = max(longest, m.fetchTime)
	}
	return longest, true
}

// fetchTimeChange returns what this node announces of its own fetches and those of its members;
// false if one of them does not limit them.
func (p *Peers) fetchTimeChange(now time.Time) (peertracker.Change, bool) {
	longest := placer.MaxFetchTime
	for _, m := range p.peers {
		if m.reporter != balancer.Member || now.Sub(m.lastReceived) >= heartbeatTimeout {
			continue
		}
		if m.fetchTime == 0 {
			return peertracker.Change{}, false
		}
		longest = max(longest, m.fetchTime)
	}
	return peertracker.Change{Endpoint: fetchTimeMarker, Version: longest.Milliseconds()}, true
}

// SameConfiguration reports whether all peers are live, have the given version of the
// configuration, and are of builds that share parts by the teams that are isolated.
func (p *Peers) SameConfiguration(version int64) bool {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.peers {
		live := now.Sub(m.lastReceived) < heartbeatTimeout
		if m.isMissing(now) || live && (m.fetchTime == 0 || m.heartbeat.Applied != uint64(version)) {
			return false
		}
	}
	return true
}
