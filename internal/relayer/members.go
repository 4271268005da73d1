package relayer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/pathfinder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// peerState is what this node knows of a peer, which is identified by its address.
type peerState struct {
	// lastReceived and lastSent are the times of the last heartbeat from and to it.
	lastReceived time.Time
	lastSent     time.Time
	alive        bool
	// reporter says whose load the last heartbeat reported.
	reporter balancer.Reporter
	// heartbeat is the last one received.
	heartbeat peertracker.Heartbeat
	// listed is set if the node is in the directory of nodes or a seed.
	listed bool
	// retained holds, for each model, the oldest version whose parts the peer and its
	// members fetch, by the hash of the model's name.
	retained map[uint32]int64
	// former holds what the peer had announced when it stopped reporting to this node as a member,
	// last at leftAt. A member that is lost without a word is told apart by lastReceived.
	former map[uint32]int64
	leftAt time.Time
	// boundedAt is when the peer last announced that its fetches are bounded, see boundedMarker; zero for older builds.
	boundedAt time.Time
}

// isMissing reports whether heartbeats of a peer that sends them to this node do not arrive any
// more, although it did not announce that it stops. After timeout it counts as gone.
func (m *peerState) isMissing(now time.Time, timeout time.Duration) bool {
	reports := m.reporter == balancer.Member || m.heartbeat.Hub
	since := now.Sub(m.lastReceived)
	return reports && !m.heartbeat.Leaving && !m.lastReceived.IsZero() && since >= heartbeatTimeout && since < timeout
}

func (m *peerState) isLiveMember(now time.Time) bool {
	return m.reporter == balancer.Member && now.Sub(m.lastReceived) < memberTimeout
}

func (m *peerState) isLiveHub(now time.Time) bool {
	return m.reporter == balancer.Hub && m.heartbeat.Hub && now.Sub(m.lastReceived) < heartbeatTimeout
}

// recordHubContact records that a heartbeat of a hub was received.
func (p *Peers) recordHubContact() {
	now, _ := p.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHubContact = now
}

// isAlone reports whether this node knows no peer that may be running: none is known, or none
// sent heartbeats for goneTimeout. The caller holds the lock.
func (p *Peers) isAlone(now time.Time) bool {
	for _, m := range p.peers {
		if p.mayRun(m, now) {
			return false
		}
	}
	return true
}

// hasHubContact reports whether a heartbeat of a hub arrived within contactTimeout. The caller holds the lock.
func (p *Peers) hasHubContact() bool { return p.isRecent(p.lastHubContact, contactTimeout) }

// mayRun reports whether a peer may be running: it has not announced that it stops, and sent
// heartbeats within goneTimeout, or this node has not run for that long. The caller holds the lock.
func (p *Peers) mayRun(m *peerState, now time.Time) bool {
	since := m.lastReceived
	if since.IsZero() {
		since = p.startedAt
	}
	return !m.heartbeat.Leaving && now.Sub(since) < goneTimeout
}

// isRecent reports whether something was received, at a time since boot, within a timeout, and not
// just after a standstill, when what arrives may have waited in a buffer. The caller holds the lock.
func (p *Peers) isRecent(received, timeout time.Duration) bool {
	now, ok := p.uptime()
	waited := p.resumedAt > 0 && received-p.resumedAt < settlePeriod
	return ok && received > 0 && now-received < timeout && !waited
}

// RecordLogContact records that the log responded to this node.
func (p *Peers) RecordLogContact() {
	now, _ := p.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLogContact = now
}

// HasLogContact reports whether the log has responded to this node recently.
func (p *Peers) HasLogContact() bool {
	now, ok := p.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok && p.lastLogContact > 0 && now-p.lastLogContact < logContactTimeout
}

// RecordFed records that a peer with contact to the log responded to a read of it.
func (p *Peers) RecordFed() {
	now, _ := p.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFed = now
}

// isSource reports whether members can follow the log through this node: it has contact
// with the log, or follows it through a hub that has.
func (p *Peers) isSource() bool {
	now, ok := p.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := max(p.lastLogContact, p.lastFed)
	return ok && latest > 0 && now-latest < logContactTimeout
}

// Acknowledged reports whether engines fetch only parts of this or later versions of a model for
// all nodes: for this one and its members, and, as each peer has announced for itself and its
// members, for all others. A peer from which no heartbeat was received for heartbeatTimeout has
// settled the version as well (see retainedVersions), or is on the side of fewer hubs and has no
// contact with the log, so that it fetches nothing (see MayFetch). While this node itself
// has no contact to a majority of the hubs, nothing counts as acknowledged.
func (p *Peers) Acknowledged(model string, version int64) bool {
	hash, now := balancer.IDHash(model), p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hubsAreMajority(now) || p.oldestFetched(now, model, version).version < version {
		return false
	}
	for _, m := range p.peers {
		if now.Sub(m.lastReceived) < heartbeatTimeout && m.retained[hash] < version {
			return false
		}
	}
	return true
}

// AddPeer adds a node from the directory or the settings. domain is its failure
// domain, empty if unknown, and cores the size of its host.
func (p *Peers) AddPeer(address netip.AddrPort, domain string, cores float64) {
	if address == p.Address || !address.IsValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerState(address).listed = true
	if domain != "" {
		p.hubOrganizer().List(organizer.Node{Address: address, Domain: domain, Cores: cores})
	}
}

// Detours returns the nodes through which requests may be sent: those of the directory whose
// domain is known and that are not known to be stopping or gone.
func (p *Peers) Detours() []pathfinder.Peer {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []pathfinder.Peer
	for _, node := range p.hubOrganizer().Nodes(now) {
		if m, ok := p.peers[node.Address]; ok && !m.lastReceived.IsZero() && !m.alive {
			continue
		}
		peers = append(peers, pathfinder.Peer{Address: node.Address, Domain: node.Domain})
	}
	return peers
}

func (p *Peers) peerState(address netip.AddrPort) *peerState {
	if p.peers == nil {
		p.peers = map[netip.AddrPort]*peerState{}
	}
	m, ok := p.peers[address]
	if !ok {
		m = &peerState{reporter: balancer.Hub}
		p.peers[address] = m
	}
	return m
}

func (p *Peers) hubOrganizer() *organizer.Organizer {
	if p.organizer == nil {
		p.organizer = &organizer.Organizer{
			Self: organizer.Node{Address: p.Address, Domain: p.Domain, Cores: p.Cores}, Domains: p.Domains,
		}
		p.roleChanged = make(chan struct{})
	}
	return p.organizer
}

// updateRole decides anew whether this node is a hub, or which node is its home. It does not call
// the Balancer with the lock of Peers, which the Balancer takes while it holds its own.
func (p *Peers) updateRole(now time.Time) {
	p.mu.Lock()
	o := p.hubOrganizer()
	role := o.Role(now)
	if !role.Hub {
		role = p.preferSource(now, role)
	}
	changed := role.Hub != p.role.Hub || role.Home != p.role.Home
	left := slices.DeleteFunc(slices.Clone(p.role.Ask), func(address netip.AddrPort) bool { return slices.Contains(role.Ask, address) })
	if p.role.Hub && !role.Hub {
		own, others := o.Hubs(now)
		left = slices.Concat(own, others)
	}
	var formerHome string
	if changed {
		if former, ok := p.peers[p.role.Home]; ok {
			formerHome = former.heartbeat.Name
		}
		close(p.roleChanged)
		p.roleChanged = make(chan struct{})
		p.Log.Info().Str("event", "role").Bool("hub", role.Hub).Stringer("home", role.Home).Stringer("former", p.role.Home).Int("asked", len(role.Ask)).Send()
	}
	p.role = role
	p.mu.Unlock()
	if formerHome != "" {
		p.Balancer.Forget(formerHome)
	}
	if len(left) > 0 {
		// Those that this node reported to no longer count it.
		farewell := p.baseHeartbeat(now, toHubs)
		farewell.Sequence = p.sequence.Add(1)
		p.send(left, farewell)
	}
	if changed && p.OnRole != nil {
		p.OnRole()
	}
}

// preferSource makes a member through whose home the log can't be followed take a hub
// through which it can.
func (p *Peers) preferSource(now time.Time, role organizer.Role) organizer.Role {
	home, ok := p.peers[role.Home]
	if !ok || len(home.heartbeat.Sources) == 0 || slices.Contains(home.heartbeat.Sources, organizer.Hash(role.Home)) {
		return role
	}
	for address := range p.peers {
		if slices.Contains(home.heartbeat.Sources, organizer.Hash(address)) {
			p.organizer.Prefer(address)
			return p.organizer.Role(now)
		}
	}
	return role
}

// Source returns the peer through which this node follows logs, and a channel that is
// closed when that may have changed. It returns false if the node reads the logs itself:
// as a hub with contact to them, or because no peer it knows has contact.
func (p *Peers) Source() (netip.AddrPort, bool, <-chan struct{}) {
	hasContact, now := p.HasLogContact(), p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hubOrganizer()
	home, ok := p.peers[p.role.Home]
	switch {
	case !p.role.Hub && ok && (len(home.heartbeat.Sources) > 0 || !home.heartbeat.Digest):
		return p.role.Home, true, p.roleChanged
	case hasContact:
		return netip.AddrPort{}, false, p.roleChanged
	}
	for address, m := range p.peers {
		if m.heartbeat.LogContact && m.reporter == balancer.Hub && now.Sub(m.lastReceived) < memberTimeout {
			return address, true, p.roleChanged
		}
	}
	return netip.AddrPort{}, false, p.roleChanged
}

// CaughtUp reports whether this node has heard a peer and knows of no newer configuration
// than its own.
func (p *Peers) CaughtUp() bool {
	p.mu.Lock()
	heard, newest := false, uint64(0)
	for _, m := range p.peers {
		heard = heard || !m.lastReceived.IsZero()
		newest = max(newest, m.heartbeat.Applied)
	}
	p.mu.Unlock()
	return heard && !p.isBehind(int64(newest))
}

// IsBehind reports whether a peer that this node hears has a newer configuration.
func (p *Peers) IsBehind() bool {
	now, newest := p.Now(), uint64(0)
	p.mu.Lock()
	for _, m := range p.peers {
		if now.Sub(m.lastReceived) < memberTimeout {
			newest = max(newest, m.heartbeat.Applied)
		}
	}
	p.mu.Unlock()
	return p.isBehind(int64(newest))
}

// Home returns the address of this node's home; invalid if it has none.
func (p *Peers) Home() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role.Home
}

// HasRole reports whether this node is a hub or has a home.
func (p *Peers) HasRole() bool {
	p.updateRole(p.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role.Hub || p.role.Home.IsValid()
}

// IsHub reports whether this node is a hub.
func (p *Peers) IsHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.role.Hub
}

// Members returns the members that get digests of this node.
func (p *Peers) Members() []netip.AddrPort {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members(now)
}

func (p *Peers) members(now time.Time) []netip.AddrPort {
	var members []netip.AddrPort
	for address, m := range p.peers {
		if m.isLiveMember(now) {
			members = append(members, address)
		}
	}
	return members
}

// Count returns the number of nodes among which shared budgets are divided. It
// includes this node and all nodes ever seen, so that a node that is cut off does
// not use more than its share.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count()
}

func (p *Peers) count() int {
	n := 1
	for _, m := range p.peers {
		if m.listed || !m.lastReceived.IsZero() {
			n++
		}
	}
	return n
}

// Live returns the number of live nodes, this one included.
func (p *Peers) Live() int {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveNodes(now)
}

func (p *Peers) liveNodes(now time.Time) int {
	if home, ok := p.peers[p.role.Home]; ok && !p.role.Hub {
		return max(home.heartbeat.Nodes, 1)
	}
	n := p.reportedNodes(now)
	for _, m := range p.peers {
		if m.isLiveHub(now) {
			n += max(m.heartbeat.Nodes, 1)
		}
	}
	return n
}

// reportedNodes returns the number of nodes that this one speaks for.
func (p *Peers) reportedNodes(now time.Time) int {
	n := 1
	for _, m := range p.peers {
		if m.isLiveMember(now) {
			n += max(m.heartbeat.Nodes, 1)
		}
	}
	return n
}

// Hubs returns the names of the live hubs, among which work for all nodes is divided,
// this node included if it is one.
func (p *Peers) Hubs() []string {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	if p.role.Hub {
		names = append(names, p.Name)
	}
	for _, m := range p.peers {
		if m.isLiveHub(now) {
			names = append(names, m.heartbeat.Name)
		}
	}
	return names
}
