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
	// nearHeartbeatPeriod is the time between heartbeats to peers in the node's own
	// failure domain. farHeartbeatPeriod, to peers in others, is longer since bytes
	// between domains cost more.
	nearHeartbeatPeriod = 150 * time.Millisecond
	farHeartbeatPeriod  = 600 * time.Millisecond
	// nearFanOut and farFanOut bound the heartbeats sent per period. With more peers,
	// those that have waited longest come first.
	nearFanOut = 6
	farFanOut  = 6
	// heartbeatTimeout is the time without heartbeats after which a peer is considered
	// dead.
	heartbeatTimeout = 3 * time.Second
	// probePeriod is the time between heartbeats to a dead peer.
	probePeriod = 2 * time.Second
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
	// contactTimeout is how long a node without contact to peers and to the log
	// continues to act on what it knows.
	contactTimeout = 1500 * time.Millisecond
	// targetMarker and retainedMarker replace the endpoint's hash in changes that
	// concern a model as a whole: its newest target version, and the oldest version
	// whose parts are fetched.
	targetMarker   = 0
	retainedMarker = 1
	// OperatorStateTimeout bounds the call that fetches a peer's OperatorState.
	OperatorStateTimeout = 700 * time.Millisecond
)

// Gossip sends heartbeats to peers.
type Gossip interface {
	Send(to netip.AddrPort, message packer.Message) error
}

// OperatorStateClient fetches a peer's copy of the operators' records.
type OperatorStateClient interface {
	OperatorState(ctx context.Context, peer netip.AddrPort, newer int64) (messenger.OperatorState, error)
}

// Peers exchanges heartbeats with the other nodes: load, suspect requests, weights
// and configuration versions. It fetches configurations that are newer than its
// own. Its exported fields are set before Run.
type Peers struct {
	Name   string
	Domain string
	// Address is where this node answers its peers' calls. Heartbeats go to
	// GossipPort of the peer's IP address; the port is the same on all hosts.
	Address    netip.AddrPort
	GossipPort uint16
	// Incarnation increases with each start of the process.
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
	members   map[netip.AddrPort]*member
	announced []announced
	// rotation counts heartbeats, to rotate through the models.
	rotation    int
	lastContact time.Duration
	sequence    atomic.Uint64
	fetching    atomic.Bool
	// sendFailing is set while heartbeats can't be sent.
	sendFailing atomic.Bool
}

// Run sends heartbeats periodically until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	ticker := time.NewTicker(nearHeartbeatPeriod)
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
	near, far := p.due(now, all)
	if len(near)+len(far) == 0 {
		return
	}
	heartbeat := p.newHeartbeat(now)
	p.send(slices.Concat(near, far), heartbeat)
}

// due returns the peers that get a heartbeat now, by failure domain: the node's own
// and others. It marks them as sent to, and peers that have timed out as dead.
func (p *Peers) due(now time.Time, all bool) (near, far []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, m := range p.members {
		period := farHeartbeatPeriod
		if m.domain == p.Domain {
			period = nearHeartbeatPeriod
		}
		timedOut := now.Sub(m.lastReceived) > heartbeatTimeout
		if timedOut {
			period = probePeriod
		}
		if timedOut && m.alive {
			m.alive = false
			p.Log.Warn().Str("event", "peer lost").Str("peer", m.heartbeat.Name).Stringer("address", address).Time("heard", m.lastReceived).Send()
		}
		if !all && now.Sub(m.lastSent) < period-nearHeartbeatPeriod/2 {
			continue
		}
		if m.domain == p.Domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	if !all {
		near, far = p.longestWaiting(near, nearFanOut), p.longestWaiting(far, farFanOut)
	}
	for _, address := range slices.Concat(near, far) {
		p.members[address].lastSent = now
	}
	return near, far
}

// longestWaiting returns the n peers whose last heartbeat from this node is oldest.
func (p *Peers) longestWaiting(addresses []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		return cmp.Or(p.members[a].lastSent.Compare(p.members[b].lastSent), a.Compare(b))
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
		go p.fetchConfiguration(heartbeat)
	}
}

func (p *Peers) accept(heartbeat peertracker.Heartbeat, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(heartbeat.Address)
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

// fetchConfiguration fetches and applies the operators' records of a peer that has
// newer ones.
func (p *Peers) fetchConfiguration(heartbeat peertracker.Heartbeat) {
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
