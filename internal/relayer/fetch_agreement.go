package relayer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// freeDelay is how long parts must be out of use before they are freed, if all nodes bound
	// their fetches. It covers the time until an endpoint notices that a fetch has to end.
	freeDelay = 900 * time.Millisecond
	// missingPeerDelay is how long they must be so while a peer sends no heartbeats. One that is
	// in contact with the log or with other hubs, but not with this node, has learned of newer
	// versions by then, and the fetches of one that has no contact have ended.
	missingPeerDelay = placer.MaxFetchTime
	// cautiousFetchTime limits fetches while a node of an older build is live, which frees parts
	// after 900 ms, and those of a node without contact to a majority of the hubs.
	cautiousFetchTime = 600 * time.Millisecond
	// goneTimeout is how long a peer without heartbeats is taken for one that may be back.
	goneTimeout = time.Minute
	// separationTimeout is how long a hub without heartbeats counts as one that may be running on
	// the other side of a cut.
	separationTimeout = time.Hour
	// unknownFetchTime is the longest fetch of a peer that does not bound fetches, if no route
	// limits its requests.
	unknownFetchTime = 30 * time.Second
	// maxTickGap is the time without a tick of Run after which the process counts as stopped,
	// and settlePeriod how long after that heartbeats may still be old ones that had waited in
	// a buffer.
	maxTickGap   = 4 * sameDomainPeriod
	settlePeriod = 2 * sameDomainPeriod
	// configurationGrace is how long a node that knows of a newer configuration than its own still
	// fetches. Hubs free the parts of scopes that the newer one does not use unusedScopeDelay after
	// they have it, and do not see which one the members of other hubs have.
	configurationGrace = 10 * time.Second
	// boundedMarker replaces the endpoint's hash in a change that says that the sender bounds its
	// fetches, and announces a version as given up only after the last of them has ended.
	// A hub says it for its members too, and to its members for all nodes.
	boundedMarker = 4
	// reachedMarker replaces the endpoint's hash in a change that names the retained version of
	// the sender's view, if that is later than the one that it announces with retainedMarker.
	// Others adopt it at once. Older builds ignore it.
	reachedMarker = 5
	// separatedMarker replaces the endpoint's hash in a change by which a home lets its members
	// know that it has no contact to a majority of the hubs.
	separatedMarker = 6
)

// MayFetch reports whether requests may be placed that fetch parts from stores. A node
// that has just been stopped for a while, that has no contact to the log and to a majority of the
// hubs, that has had contact to no hub since it started, or whose configuration is outdated, does
// not know which parts the others free.
func (p *Peers) MayFetch() bool {
	now, ok := p.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok || p.tickedAt > 0 && now-p.tickedAt >= maxTickGap {
		return false
	}
	if !p.isInformed(p.Now()) || p.isOutdated(p.Now()) {
		return false
	}
	return p.isRecent(max(p.lastLogContact, p.lastFed), logContactTimeout) || p.hasMajority(p.Now())
}

// hasMajority reports whether this node, directly or through its home, is in contact with more
// than half of the hubs that are not known to be gone. The caller holds the lock.
func (p *Peers) hasMajority(now time.Time) bool {
	if !p.hasHubContact() {
		return false
	}
	if p.role.Hub {
		return p.hubsAreMajority(now)
	}
	return p.separatedAt.IsZero() || now.Sub(p.separatedAt) >= contactTimeout
}

// hubsAreMajority reports whether this hub and those from which heartbeats arrive are more than
// those that are missing. Of hubs that are cut off from each other, one side at most frees parts.
func (p *Peers) hubsAreMajority(now time.Time) bool {
	live, missing := 1, 0
	for _, m := range p.peers {
		switch {
		case m.isLiveHub(now):
			live++
		case m.reporter == balancer.Hub && m.isMissing(now, separationTimeout):
			missing++
		}
	}
	return live > missing
}

// separatedChange returns what a hub sends its members if it has no contact to a majority; false
// otherwise.
func (p *Peers) separatedChange(now time.Time, kind kind) (peertracker.Change, bool) {
	return peertracker.Change{Endpoint: separatedMarker, Version: 1}, kind == toMembers && p.role.Hub && !p.hubsAreMajority(now)
}

// isOutdated reports whether a peer has had a newer configuration than this node for longer than
// configurationGrace. The caller holds the lock.
func (p *Peers) isOutdated(now time.Time) bool {
	return !p.behindSince.IsZero() && now.Sub(p.behindSince) >= configurationGrace
}

// recordBehind records since when a peer has had a newer configuration than this node.
func (p *Peers) recordBehind(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := uint64(0)
	for _, m := range p.peers {
		if now.Sub(m.lastReceived) < goneTimeout {
			newest = max(newest, m.heartbeat.Applied)
		}
	}
	switch {
	case !p.isBehind(int64(newest)):
		p.behindSince = time.Time{}
	case p.behindSince.IsZero():
		p.behindSince = now
	}
}

// isInformed reports whether this node has had contact to a hub since it started, or knows none
// that may be running. The caller holds the lock.
func (p *Peers) isInformed(now time.Time) bool {
	if p.lastHubContact > 0 {
		return true
	}
	for _, m := range p.peers {
		isMember := m.reporter == balancer.Member && !m.lastReceived.IsZero()
		if !isMember && p.mayRun(m, now) {
			return false
		}
	}
	return true
}

// recordTick records that Run is running.
func (p *Peers) recordTick() {
	now, _ := p.uptime()
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
// engine fetches them any more by then. Requests of peers that do not bound fetches may fetch
// for as long as the routes of catalog let them run, also after the peer was lost.
func (p *Peers) FreeDelay(catalog *cataloger.Catalog) time.Duration {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delay, timeout := freeDelay, catalog.LongestTimeout(unknownFetchTime)
	p.recordUnbounded(now)
	if !p.unboundedAt.IsZero() && now.Sub(p.unboundedAt) < timeout {
		delay += timeout
	}
	for _, m := range p.peers {
		if m.isMissing(now, goneTimeout) {
			return max(delay, missingPeerDelay)
		}
	}
	return delay
}

// recordUnbounded records that a live peer does not bound its fetches. The caller holds the lock.
func (p *Peers) recordUnbounded(now time.Time) {
	if !p.bounded(now, false) {
		p.unboundedAt = now
	}
}

// FetchLimit returns for how long engines may fetch parts after this node has placed a request. A
// node without contact to a majority of the hubs may learn of a retained version seconds after those that
// free its parts, as it arrives by the log only.
func (p *Peers) FetchLimit() time.Duration {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.bounded(now, false) || !p.hasMajority(now) && len(p.peers) > 0 {
		return cautiousFetchTime
	}
	return placer.MaxFetchTime
}

// bounded reports whether all live peers, or only the members among them, bound their fetches.
func (p *Peers) bounded(now time.Time, membersOnly bool) bool {
	for _, m := range p.peers {
		counts := now.Sub(m.lastReceived) < heartbeatTimeout && (!membersOnly || m.reporter == balancer.Member)
		if counts && !m.bounds(now) {
			return false
		}
	}
	return true
}

// bounds reports whether a peer has lately announced that it bounds its fetches.
func (m *peerState) bounds(now time.Time) bool {
	return !m.boundedAt.IsZero() && now.Sub(m.boundedAt) < heartbeatTimeout
}

// boundedChange returns what this node announces of its fetches and of those that it speaks
// for; false if they are not all bounded.
func (p *Peers) boundedChange(now time.Time, kind kind) (peertracker.Change, bool) {
	return peertracker.Change{Endpoint: boundedMarker, Version: 1}, p.bounded(now, kind != toMembers)
}

// SameConfiguration reports whether all peers are live, have the given version of the
// configuration, and are of builds that share parts by the teams that are isolated.
func (p *Peers) SameConfiguration(version int64) bool {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hubsAreMajority(now) {
		return false
	}
	for _, m := range p.peers {
		live := now.Sub(m.lastReceived) < heartbeatTimeout
		if m.isMissing(now, goneTimeout) || live && (!m.bounds(now) || m.heartbeat.Applied != uint64(version)) {
			return false
		}
	}
	return true
}
