package relayer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// sameDomainPeriod is the time between heartbeats within a failure domain, and between
	// steps of Run. otherDomainPeriod, to hubs of other domains, is longer since bytes
	// between domains cost more. See loadPeriod for those with nothing but load.
	sameDomainPeriod  = 150 * time.Millisecond
	otherDomainPeriod = 600 * time.Millisecond
	// heartbeatTimeout is the time without heartbeats after which a peer is considered
	// dead.
	heartbeatTimeout = organizer.HubTimeout
	// memberTimeout is the time without heartbeats of a member after which it gets no more
	// digests.
	memberTimeout = 1400 * time.Millisecond
	// contactTimeout is how long after the last heartbeat of a hub a node still counts as in
	// contact with it. Fetches of a node without contact are limited, see FetchLimit.
	contactTimeout = 1500 * time.Millisecond
	// logContactTimeout is how long after a successful call the log counts as reachable. It
	// is longer than a call that waits for records.
	logContactTimeout = 2500 * time.Millisecond
	// broadcastDelay is how long a broadcast waits for further changes.
	broadcastDelay = 10 * time.Millisecond
	// maxSuspects is the maximum number of suspect requests in a heartbeat.
	maxSuspects = 8
	// maxPartSuspectBytes bounds the suspect parts in a heartbeat.
	maxPartSuspectBytes = 450
	// maxLimits is the number of limits of endpoints in a heartbeat, besides those that were
	// just learned.
	maxLimits = 4
	// maxModels and maxChanges bound the models and the announced changes in a datagram.
	// announcementTTL is how long a change is repeated in heartbeats, so that the loss of
	// one does not matter; relayTTL is the same for a change that was heard from a peer,
	// which repeats it as well.
	maxModels       = 8
	maxChanges      = 24
	announcementTTL = 700 * time.Millisecond
	relayTTL        = 350 * time.Millisecond
	// fetchDelay is how long a node that hears of newer operators' records waits for them
	// to arrive from the log.
	fetchDelay = 400 * time.Millisecond
	// startPeriod is the time after the start in which newer records are fetched at once,
	// since the node is not ready before.
	startPeriod = time.Second
	// targetMarker, retainedMarker and ageMarker replace the endpoint's hash in changes
	// that concern a model as a whole: its newest target version, the oldest version
	// whose parts are fetched, and how long the newest target version has been that, in
	// milliseconds. IDHash can return these values too: the changes of such an endpoint
	// would be taken for those of the model. See also boundedMarker
	// and evacuationMarker.
	targetMarker   = 0
	retainedMarker = 1
	ageMarker      = 3
	// maxTargetAge is the age of a target version up to which peers are told it. Limits for
	// older weights are shorter.
	maxTargetAge = 30 * time.Second
	// leavingMarker replaces the model's hash in a change that says that an endpoint is
	// leaving. The version is then the start of its process.
	leavingMarker = 2
	// OperatorStateTimeout bounds the call that fetches a peer's OperatorState.
	OperatorStateTimeout = 700 * time.Millisecond
)

// Gossip sends heartbeats to peers.
type Gossip interface {
	Send(to []netip.AddrPort, message packer.Message) error
}

// OperatorStateClient fetches a peer's copy of the operators' records.
type OperatorStateClient interface {
	OperatorState(ctx context.Context, peer netip.AddrPort, knownVersion int64) (messenger.OperatorState, error)
}

// Peers exchanges heartbeats with the other nodes: load, suspect requests, weights
// and configuration versions. Hubs send them to each other and digests to their members;
// a member sends them to its home only, see package organizer. It fetches configurations
// and target versions that are newer than its own. Its exported fields are set before Run.
type Peers struct {
	Name   string
	Domain string
	// Address is where this node answers its peers' calls. Heartbeats go to
	// GossipPort of the peer's IP address; the port is the same on all hosts.
	Address    netip.AddrPort
	GossipPort uint16
	// Cores is the share of processors that the host gives this node, and Domains the
	// number of failure domains.
	Cores   float64
	Domains int
	// Bandwidth is that of the host's link, in bytes per second; zero if unknown.
	Bandwidth float64
	// Incarnation distinguishes the starts of the process. It normally increases, but
	// see accept.
	Incarnation uint64
	Gossip      Gossip
	Client      OperatorStateClient
	Node        *Relayer
	Balancer    *balancer.Balancer
	Suspects    *retrier.Suspects
	// PartSuspects is nil if none are exchanged.
	PartSuspects *retrier.PartSuspects
	// Limits are the limits that endpoints have named, and Issuer issues the permits for those
	// that fall to this node. They are nil if endpoints name none.
	Limits *throttler.Limits
	Issuer *throttler.Issuer
	// PermitClient calls the issuers of other endpoints.
	PermitClient PermitClient
	// Streams are the builds of recent streams; nil if endpoints have none. OriginClient asks
	// other nodes for them.
	Streams      *resumer.Streams
	OriginClient OriginClient
	// Fetches are those of this node's requests; nil if it fetches nothing.
	Fetches *Fetches
	// HandleParts is called with changes of the directory of parts from the home.
	HandleParts func(home netip.AddrPort, updates peertracker.PartUpdates)
	// ApplyOperatorState applies the operators' records fetched from a peer.
	ApplyOperatorState func(state messenger.OperatorState)
	// OnRole is called after this node became a hub or a member, or got another home.
	OnRole func()
	Log    zerolog.Logger
	Now    func() time.Time
	// Uptime returns the time since the host was booted, including the time for which it was
	// suspended, or false if that is unknown; nil for SinceBoot.
	Uptime func() (time.Duration, bool)
	// Stopping is set once the node shuts down.
	Stopping *atomic.Bool

	mu        sync.Mutex
	organizer *organizer.Organizer
	role      organizer.Role
	// roleChanged is closed and replaced when role changes.
	roleChanged chan struct{}
	peers       map[netip.AddrPort]*peerState
	announced   []announced
	liveHigh    liveHigh
	// relayed are streams that members have told of and other hubs have not been.
	relayed []peertracker.StreamBuild
	// rotation counts the models in heartbeats of each kind, to rotate through them.
	rotation [kinds]int
	// lastHubContact and lastLogContact are when a heartbeat of a hub last arrived and when
	// RecordLogContact was last called, as times since boot.
	lastHubContact time.Duration
	lastLogContact time.Duration
	// lastFed is when RecordFed was last called.
	lastFed time.Duration
	// tickedAt is when Run last ran, and resumedAt when it last did after a standstill, as
	// times since boot.
	tickedAt  time.Duration
	resumedAt time.Duration
	// separatedAt is when the home last announced that it has no contact to a majority of
	// the hubs.
	separatedAt time.Time
	// unboundedAt is when a peer that does not bound its fetches was last live.
	unboundedAt time.Time
	// behindSince is since when a peer has had a newer configuration; zero if none has.
	behindSince time.Time
	// lastJoin is what LastJoin returns.
	lastJoin time.Time
	// retained are the retained versions of this node's view, and startedAt is when Run began.
	retained  retainedVersions
	startedAt time.Time
	// loggedRetained holds, for each model, the announced retained version that was last logged.
	loggedRetained map[string]int64
	linkBudget     linkBudget
	// sharedHosts is what Run last found, for the log.
	sharedHosts bool
	// targets are the peers that get heartbeats, as of the last step of Run, and lastOtherLoads
	// is when any of those of other domains last got load.
	targets        due
	lastOtherLoads time.Time
	// broadcasting is set while a broadcast is due.
	broadcasting bool
	sequence     atomic.Uint64
	fetching     atomic.Bool
	// behindLogged is the newest version of a peer that logBehind logged.
	behindLogged atomic.Int64
	// sendFailing is set if the last heartbeat could not be sent, no matter to which peer.
	sendFailing atomic.Bool
}

// Run sends heartbeats periodically until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.startedAt = p.Now()
	p.mu.Unlock()
	period, stepped := sameDomainPeriod, p.Now()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := p.Now()
		// Ticks are not exact, see due.
		if period == loadPeriod && now.Sub(stepped) < sameDomainPeriod-loadPeriod/2 {
			p.sendLoads(now, false)
			continue
		}
		stepped = now
		p.recordTick()
		p.updateRetained(now)
		p.recordBehind(now)
		shared := p.updateSharedHosts(now)
		p.heartbeat(false)
		if shared {
			p.sendLoads(now, true)
		}
		if next := tickPeriod(shared); next != period {
			period = next
			ticker.Reset(period)
		}
	}
}

func tickPeriod(sharedHosts bool) time.Duration {
	if sharedHosts {
		return loadPeriod
	}
	return sameDomainPeriod
}

// started returns when this process started.
func (p *Peers) started() time.Time { return time.Unix(0, int64(p.Incarnation)) }

// uptime returns Uptime, or SinceBoot if it is nil.
func (p *Peers) uptime() (time.Duration, bool) {
	if p.Uptime == nil {
		return SinceBoot()
	}
	return p.Uptime()
}

// Broadcast sends a heartbeat to all peers that this node reports to, as soon as changes
// that follow at once are in it.
func (p *Peers) Broadcast() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broadcasting {
		return
	}
	p.broadcasting = true
	time.AfterFunc(broadcastDelay, func() {
		p.mu.Lock()
		p.broadcasting = false
		p.mu.Unlock()
		p.heartbeat(true)
	})
}

// due are the peers that get a heartbeat now, by the kind of heartbeat.
type due struct {
	hubs      []netip.AddrPort
	otherHubs []netip.AddrPort
	homes     []netip.AddrPort
	members   []netip.AddrPort
}

// each calls send for each kind of heartbeat that is due.
func (d due) each(send func(to []netip.AddrPort, kind kind)) {
	for _, target := range []struct {
		to   []netip.AddrPort
		kind kind
	}{{d.hubs, toHubs}, {d.otherHubs, toOtherHubs}, {d.homes, toHome}, {d.members, toMembers}} {
		if len(target.to) > 0 {
			send(target.to, target.kind)
		}
	}
}

// heartbeat sends the heartbeats that are due, or all if all is set.
func (p *Peers) heartbeat(all bool) {
	now := p.Now()
	p.updateRole(now)
	var lists loadLists
	p.due(now, all).each(func(to []netip.AddrPort, kind kind) {
		for _, heartbeat := range p.newHeartbeats(now, kind, &lists) {
			p.send(to, heartbeat)
		}
	})
}

// due returns the peers that get a heartbeat now, marks them as sent to, and peers that
// have timed out as dead.
func (p *Peers) due(now time.Time, all bool) due {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markDead(now)
	p.liveHigh.note(now, p.liveNodes(now))
	var due due
	p.targets = due
	take := func(address netip.AddrPort, period time.Duration) bool {
		m := p.peerState(address)
		// Ticks are not exact. A heartbeat that is due half a tick later is sent now, since
		// the next tick would be too late.
		if !all && now.Sub(m.lastSent) < period-sameDomainPeriod/2 {
			return false
		}
		m.lastSent = now
		return true
	}
	if p.role.Hub || len(p.role.Ask) == 0 {
		own, others := p.organizer.Hubs(now)
		p.targets.hubs, p.targets.otherHubs = own, others
		for _, address := range own {
			if take(address, sameDomainPeriod) {
				due.hubs = append(due.hubs, address)
			}
		}
		for _, address := range others {
			if take(address, otherDomainPeriod) {
				due.otherHubs = append(due.otherHubs, address)
				// One with nothing but load must not overtake this one.
				p.lastOtherLoads = now
			}
		}
		due.hubs = append(due.hubs, p.organizer.Probes(now)...)
		due.hubs = append(due.hubs, p.silentSeeds(now)...)
	} else {
		due.homes = p.role.Ask
		p.targets.homes = due.homes
	}
	due.members = p.members(now)
	p.targets.members = due.members
	return due
}

// seedPeriod is the time between heartbeats to a seed that was never heard.
const seedPeriod = 2 * time.Second

// silentSeeds returns the peers whose domain is not known, since they are neither in the
// directory nor were heard.
func (p *Peers) silentSeeds(now time.Time) []netip.AddrPort {
	var seeds []netip.AddrPort
	for address, m := range p.peers {
		if m.listed && m.lastReceived.IsZero() && now.Sub(m.lastSent) >= seedPeriod && !p.organizer.Knows(address) {
			m.lastSent = now
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// markDead records peers that have timed out.
func (p *Peers) markDead(now time.Time) {
	for address, m := range p.peers {
		if !m.alive || now.Sub(m.lastReceived) <= heartbeatTimeout {
			continue
		}
		m.alive = false
		if m.reporter == balancer.Member {
			p.logMemberLeft(m, "lost")
		}
		// Only hubs hear from other hubs, and only a home from its members.
		if m.reporter == balancer.Member || p.role.Hub && m.heartbeat.Hub || address == p.role.Home {
			p.Log.Warn().Str("event", "peer lost").Str("peer", m.heartbeat.Name).Stringer("address", address).Time("heard", m.lastReceived).Send()
		}
	}
}

func (p *Peers) send(to []netip.AddrPort, heartbeat peertracker.Heartbeat) {
	targets := make([]netip.AddrPort, len(to))
	for i, address := range to {
		targets[i] = netip.AddrPortFrom(address.Addr(), p.GossipPort)
	}
	p.linkBudget.charge(p.Now(), p.Bandwidth, len(to)*estimatedSize(heartbeat))
	err := p.Gossip.Send(targets, packer.Message{Sender: heartbeat})
	if sendFailing := err != nil; p.sendFailing.Swap(sendFailing) != sendFailing {
		p.Log.Warn().Str("event", "heartbeats").Bool("sent", !sendFailing).Int("peers", len(to)).AnErr("error", err).Send()
	}
}
