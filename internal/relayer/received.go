package relayer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// HandleHeartbeat handles a peer's heartbeat. It does not block on network calls.
func (p *Peers) HandleHeartbeat(message packer.Message) {
	heartbeat, now := message.Sender, p.Now()
	if len(heartbeat.Streams) > 0 {
		p.addStreams(heartbeat)
		return
	}
	if heartbeat.Address == p.Address || !p.accept(heartbeat, now) {
		return
	}
	if !heartbeat.Homed && !heartbeat.Hub {
		// The peer reports to another hub now.
		p.Balancer.Forget(heartbeat.Name)
	}
	p.adoptEvacuations(heartbeat)
	for _, suspect := range heartbeat.Suspects {
		p.Suspects.Update(now, heartbeat.Name, suspect)
	}
	p.updatePartSuspects(heartbeat, now)
	p.mergeLimits(heartbeat, now)
	reporter, ok := p.reporter(heartbeat)
	if !ok {
		return
	}
	if heartbeat.Loads != nil {
		p.Balancer.HandleReport(heartbeat.Name, reporter, now, *heartbeat.Loads)
	}
	if heartbeat.Parts != nil && reporter == balancer.Home {
		p.HandleParts(heartbeat.Address, *heartbeat.Parts)
	}
	p.storeRetained(heartbeat)
	p.handlePaced(heartbeat, reporter, now)
	p.adoptTargetAges(heartbeat)
	if reporter != balancer.Member {
		p.adoptRetained(heartbeat)
	}
	if len(heartbeat.Changes) > 0 {
		p.Node.ApplyPeerChanges(heartbeat.Changes, func(change peertracker.Change) { p.relay(change, reporter) })
	}
	if reporter != balancer.Member {
		p.recordHubContact()
	}
	switch reporter {
	case balancer.Hub:
		p.answerProbe(heartbeat, now)
	case balancer.Member:
		p.welcome(heartbeat.Address, now)
	}
	p.logBehind(heartbeat)
	if p.knowsNewer(heartbeat) && p.fetching.CompareAndSwap(false, true) {
		go p.fetchOperatorState(heartbeat)
	}
}

// updatePartSuspects records the suspect parts of a peer. A hub passes on at once that a part
// is refused.
func (p *Peers) updatePartSuspects(heartbeat peertracker.Heartbeat, now time.Time) {
	if p.PartSuspects == nil {
		return
	}
	isNews := false
	for _, suspect := range heartbeat.PartSuspects {
		isNews = p.PartSuspects.Update(now, suspect) || isNews
	}
	if isNews && p.IsHub() {
		p.Broadcast()
	}
}

// welcome sends a new member a digest at once.
func (p *Peers) welcome(member netip.AddrPort, now time.Time) {
	p.mu.Lock()
	m := p.peerState(member)
	isNew := now.Sub(m.lastSent) >= memberTimeout
	m.lastSent = now
	p.mu.Unlock()
	if !isNew {
		return
	}
	for _, digest := range p.newHeartbeats(now, toMembers, &loadLists{}) {
		p.send([]netip.AddrPort{member}, digest)
	}
}

// answerProbe answers a hub that this node sends no heartbeats to, since it is no hub. The
// hub may have just started and know no other node.
func (p *Peers) answerProbe(heartbeat peertracker.Heartbeat, now time.Time) {
	p.mu.Lock()
	m := p.peerState(heartbeat.Address)
	answer := heartbeat.Hub && !p.role.Hub && !slices.Contains(p.role.Ask, heartbeat.Address) && now.Sub(m.lastSent) >= seedPeriod
	if answer {
		m.lastSent = now
	}
	p.mu.Unlock()
	if !answer {
		return
	}
	reply := p.baseHeartbeat(now, toHubs)
	reply.Sequence, reply.Changes = p.sequence.Add(1), p.heartbeatChanges(now, toHubs)
	reply.Changes = reply.Changes[:min(len(reply.Changes), maxChanges)]
	p.send([]netip.AddrPort{heartbeat.Address}, reply)
}

// reporter returns whose load a heartbeat reports. It returns false for a digest of a
// node that is not this node's home.
func (p *Peers) reporter(heartbeat peertracker.Heartbeat) (balancer.Reporter, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case heartbeat.Digest:
		return balancer.Home, p.role.Home == heartbeat.Address
	case heartbeat.Homed:
		return balancer.Member, true
	default:
		return balancer.Hub, true
	}
}

// accept records a heartbeat unless it is outdated.
func (p *Peers) accept(heartbeat peertracker.Heartbeat, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.peerState(heartbeat.Address)
	sameProcess := m.heartbeat.Incarnation == heartbeat.Incarnation
	// Incarnations come from the wall clock, which may have been set back. A lower
	// incarnation is therefore accepted once the peer has timed out.
	outdated := m.heartbeat.Incarnation > heartbeat.Incarnation && now.Sub(m.lastReceived) < heartbeatTimeout
	if outdated || sameProcess && m.heartbeat.Sequence >= heartbeat.Sequence {
		return false
	}
	if !m.alive || !sameProcess {
		p.lastJoin = now
	}
	if reason := m.leaveReason(heartbeat); reason != "" {
		p.logMemberLeft(m, reason)
		m.keepRetained(now)
	}
	if !sameProcess {
		// It may be of another build.
		m.boundedAt, m.retained = time.Time{}, nil
	}
	if !m.alive {
		p.Log.Info().Str("event", "peer heard").Str("peer", heartbeat.Name).Stringer("address", heartbeat.Address).
			Str("domain", heartbeat.Domain).Bool("hub", heartbeat.Hub).Bool("member", heartbeat.Homed).Send()
	}
	p.hear(heartbeat, now)
	m.alive, m.lastReceived = true, now
	if heartbeat.Parts != nil && sameProcess {
		// It says nothing else of its sender.
		m.heartbeat.Sequence = heartbeat.Sequence
		return true
	}
	m.heartbeat, m.reporter = heartbeat, balancer.Hub
	if heartbeat.Homed {
		m.reporter = balancer.Member
	}
	return true
}

// hear tells the organizer of a heartbeat.
func (p *Peers) hear(heartbeat peertracker.Heartbeat, now time.Time) {
	o := p.hubOrganizer()
	o.Hear(now, heartbeat.Address, heartbeat.Domain, organizer.Sign{Hub: heartbeat.Hub, Leaving: heartbeat.Leaving})
	if len(heartbeat.Hubs) > 0 {
		o.Vouch(now, heartbeat.Domain, heartbeat.Hubs)
	}
}

func (p *Peers) isBehind(version int64) bool {
	catalog := p.Node.View().Catalog
	return version > 0 && (catalog == nil || catalog.Version < version)
}

// logBehind logs once for each version that a peer has a newer configuration than this node.
func (p *Peers) logBehind(heartbeat peertracker.Heartbeat) {
	version := int64(heartbeat.Applied)
	if !p.isBehind(version) {
		return
	}
	for {
		logged := p.behindLogged.Load()
		if version <= logged {
			return
		}
		if p.behindLogged.CompareAndSwap(logged, version) {
			break
		}
	}
	var own int64
	if catalog := p.Node.View().Catalog; catalog != nil {
		own = catalog.Version
	}
	p.Log.Info().Str("event", "configuration behind").Int64("version", version).Int64("own", own).Str("peer", heartbeat.Name).Send()
}

// knowsNewer reports whether a peer has newer operators' records than this node.
func (p *Peers) knowsNewer(heartbeat peertracker.Heartbeat) bool {
	return p.hasNewerTarget(heartbeat) || p.isBehind(int64(heartbeat.Applied))
}

// fetchOperatorState fetches and applies the operators' records of a peer that has
// newer ones, if they do not arrive from the log at the same time.
func (p *Peers) fetchOperatorState(heartbeat peertracker.Heartbeat) {
	defer p.fetching.Store(false)
	if p.Node.Ready() && p.Now().Sub(p.started()) > startPeriod {
		time.Sleep(fetchDelay)
		if !p.knowsNewer(heartbeat) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), OperatorStateTimeout)
	defer cancel()
	var current int64
	if catalog := p.Node.View().Catalog; catalog != nil {
		current = catalog.Version
	}
	state, err := p.Client.OperatorState(ctx, heartbeat.Address, current)
	if err != nil {
		p.Log.Warn().Str("event", "configuration from peer").Str("peer", heartbeat.Name).Err(err).Send()
		return
	}
	p.ApplyOperatorState(state)
}
