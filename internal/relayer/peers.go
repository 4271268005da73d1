package relayer

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// sameDomainPeriod is the time between heartbeats to peers in the node's own
	// failure domain, and between ticks of Run. otherDomainPeriod, to peers in other
	// domains, is longer since bytes between domains cost more.
	sameDomainPeriod  = 150 * time.Millisecond
	otherDomainPeriod = 600 * time.Millisecond
	// sameDomainFanOut and otherDomainFanOut bound the heartbeats sent per tick of Run.
	// With more peers due, those that have waited longest come first.
	sameDomainFanOut  = 6
	otherDomainFanOut = 6
	// heartbeatTimeout is the time without heartbeats after which a peer is considered
	// dead.
	heartbeatTimeout = 3 * time.Second
	// silentPeerPeriod is the time between heartbeats to a peer that has timed out or
	// from which none was ever received.
	silentPeerPeriod = 2 * time.Second
	// maxSuspects is the maximum number of suspect requests in a heartbeat.
	maxSuspects = 8
	// maxLoads, maxModels and maxChanges bound the endpoint loads, the models and the
	// announced changes in a heartbeat, so that it fits a datagram. announcementTTL is
	// how long a change is repeated in heartbeats, so that the loss of one does not
	// matter.
	maxLoads        = 30
	maxModels       = 8
	maxChanges      = 8
	announcementTTL = 700 * time.Millisecond
	// contactTimeout is how long a node without contact to any peer and to the log
	// still fetches parts from stores. Acknowledged relies on it being shorter than
	// heartbeatTimeout.
	contactTimeout = 1500 * time.Millisecond
	// targetMarker and retainedMarker replace the endpoint's hash in changes that
	// concern a model as a whole: its newest target version, and the oldest version
	// whose parts are fetched. IDHash can return these values too: the changes of such
	// an endpoint would be taken for those of the model.
	targetMarker   = 0
	retainedMarker = 1
	// leavingMarker replaces the model's hash in a change that says that an endpoint is
	// leaving. The version is then the start of its process.
	leavingMarker = 2
	// OperatorStateTimeout bounds the call that fetches a peer's OperatorState.
	OperatorStateTimeout = 700 * time.Millisecond
)

// Gossip sends heartbeats to peers.
type Gossip interface {
	Send(to netip.AddrPort, message packer.Message) error
}

// OperatorStateClient fetches a peer's copy of the operators' records.
type OperatorStateClient interface {
	OperatorState(ctx context.Context, peer netip.AddrPort, knownVersion int64) (messenger.OperatorState, error)
}

// Peers exchanges heartbeats with the other nodes: load, suspect requests, weights
// and configuration versions. It fetches configurations and target versions that are
// newer than its own. Its exported fields are set before Run.
type Peers struct {
	Name   string
	Domain string
	// Address is where this node answers its peers' calls. Heartbeats go to
	// GossipPort of the peer's IP address; the port is the same on all hosts.
	Address    netip.AddrPort
	GossipPort uint16
	// Incarnation distinguishes the starts of the process. It normally increases, but
	// see accept.
	Incarnation uint64
	Gossip      Gossip
	Client      OperatorStateClient
	Node        *Relayer
	Balancer    *balancer.Balancer
	Suspects    *retrier.Suspects
	// ApplyOperatorState applies the operators' records fetched from a peer.
	ApplyOperatorState func(state messenger.OperatorState)
	Log                zerolog.Logger
	Now                func() time.Time
	// Stopping is set once the node shuts down.
	Stopping *atomic.Bool

	mu        sync.Mutex
	peers     map[netip.AddrPort]*peerState
	announced []announced
	// rotation counts heartbeats, to rotate through the models.
	rotation int
	// lastContact is when RecordContact was last called, as a time since boot.
	lastContact time.Duration
	sequence    atomic.Uint64
	fetching    atomic.Bool
	// sendFailing is set if the last heartbeat could not be sent, no matter to which peer.
	sendFailing atomic.Bool
}

// Run sends heartbeats periodically until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	ticker := time.NewTicker(sameDomainPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.heartbeat(false)
		}
	}
}

// Broadcast sends a heartbeat to all peers immediately.
func (p *Peers) Broadcast() { p.heartbeat(true) }

func (p *Peers) heartbeat(all bool) {
	now := p.Now()
	sameDomain, otherDomains := p.due(now, all)
	if len(sameDomain)+len(otherDomains) == 0 {
		return
	}
	heartbeat := p.newHeartbeat(now)
	p.send(slices.Concat(sameDomain, otherDomains), heartbeat)
}

// due returns the peers that get a heartbeat now, by failure domain: the node's own
// and others. It marks them as sent to, and peers that have timed out as dead.
func (p *Peers) due(now time.Time, all bool) (sameDomain, otherDomains []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, m := range p.peers {
		period := otherDomainPeriod
		if m.domain == p.Domain {
			period = sameDomainPeriod
		}
		timedOut := now.Sub(m.lastReceived) > heartbeatTimeout
		if timedOut {
			period = silentPeerPeriod
		}
		if timedOut && m.alive {
			m.alive = false
			p.Log.Warn().Str("event", "peer lost").Str("peer", m.heartbeat.Name).Stringer("address", address).Time("heard", m.lastReceived).Send()
		}
		// Ticks are not exact. A heartbeat that is due half a tick later is sent now, since
		// the next tick would be too late.
		if !all && now.Sub(m.lastSent) < period-sameDomainPeriod/2 {
			continue
		}
		if m.domain == p.Domain {
			sameDomain = append(sameDomain, address)
		} else {
			otherDomains = append(otherDomains, address)
		}
	}
	if !all {
		sameDomain, otherDomains = p.longestWaiting(sameDomain, sameDomainFanOut), p.longestWaiting(otherDomains, otherDomainFanOut)
	}
	for _, address := range slices.Concat(sameDomain, otherDomains) {
		p.peers[address].lastSent = now
	}
	return sameDomain, otherDomains
}

// longestWaiting returns the n peers whose last heartbeat from this node is oldest.
func (p *Peers) longestWaiting(addresses []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		return cmp.Or(p.peers[a].lastSent.Compare(p.peers[b].lastSent), a.Compare(b))
	})
	return addresses[:min(n, len(addresses))]
}

func (p *Peers) newHeartbeat(now time.Time) peertracker.Heartbeat {
	heartbeat := peertracker.Heartbeat{
		Name: p.Name, Domain: p.Domain, Address: p.Address, Incarnation: p.Incarnation,
		Sequence: p.sequence.Add(1), Leaving: p.Stopping.Load(),
		Suspects: p.Suspects.Local(now, maxSuspects), Loads: p.Balancer.Local(maxLoads), Changes: p.heartbeatChanges(now),
	}
	if catalog := p.Node.View().Catalog; catalog != nil {
		heartbeat.Applied = uint64(catalog.Version)
	}
	return heartbeat
}

func (p *Peers) send(to []netip.AddrPort, heartbeat peertracker.Heartbeat) {
	for _, address := range to {
		err := p.Gossip.Send(netip.AddrPortFrom(address.Addr(), p.GossipPort), packer.Message{Sender: heartbeat})
		if sendFailing := err != nil; p.sendFailing.Swap(sendFailing) != sendFailing {
			p.Log.Warn().Str("event", "heartbeats").Bool("sent", !sendFailing).Stringer("address", address).AnErr("error", err).Send()
		}
	}
}

// HandleHeartbeat handles a peer's heartbeat. It does not block on network calls.
func (p *Peers) HandleHeartbeat(message packer.Message) {
	heartbeat, now := message.Sender, p.Now()
	if heartbeat.Address == p.Address || !p.accept(heartbeat, now) {
		return
	}
	for _, suspect := range heartbeat.Suspects {
		p.Suspects.Update(now, heartbeat.Name, suspect)
	}
	p.Balancer.HandleHeartbeat(heartbeat.Name, now, heartbeat.Loads)
	p.RecordContact()
	newer := p.applyModelChanges(heartbeat)
	if len(heartbeat.Changes) > 0 {
		p.Node.ApplyPeerChanges(heartbeat.Changes)
	}
	if (newer || p.isBehind(int64(heartbeat.Applied))) && p.fetching.CompareAndSwap(false, true) {
		go p.fetchOperatorState(heartbeat)
	}
}

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
	if !m.alive {
		p.Log.Info().Str("event", "peer heard").Str("peer", heartbeat.Name).Stringer("address", heartbeat.Address).Str("domain", heartbeat.Domain).Send()
	}
	m.alive, m.lastReceived, m.domain, m.heartbeat = true, now, heartbeat.Domain, heartbeat
	return true
}

func (p *Peers) isBehind(version int64) bool {
	catalog := p.Node.View().Catalog
	return version > 0 && (catalog == nil || catalog.Version < version)
}

// fetchOperatorState fetches and applies the operators' records of a peer that has
// newer ones.
func (p *Peers) fetchOperatorState(heartbeat peertracker.Heartbeat) {
	defer p.fetching.Store(false)
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
