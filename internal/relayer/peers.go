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
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// nearPeriod is the time between heartbeats to peers of the own failure
	// domain, farPeriod the same to others: bytes between domains cost more.
	nearPeriod = 150 * time.Millisecond
	farPeriod  = 600 * time.Millisecond
	// nearCount and farCount bound the heartbeats of one period; with more peers
	// they take turns.
	nearCount = 6
	farCount  = 6
	// peerSilence is after how long a peer is taken for gone.
	peerSilence = 3 * time.Second
	// probePeriod is the time between heartbeats to a silent peer.
	probePeriod = 2 * time.Second
	// suspectCount is the number of suspects in a heartbeat.
	suspectCount = 8
	// loadCount, modelCount and changeCount bound the endpoints with work, the
	// models and the changes in a heartbeat, so that it fits a datagram. newsTime is
	// how long each change is told, so that a lost heartbeat does not matter.
	loadCount   = 30
	modelCount  = 8
	changeCount = 8
	newsTime    = 700 * time.Millisecond
	// touch is how long a node that hears nothing, neither of peers nor of the log,
	// goes on as if nothing had changed.
	touch = 1500 * time.Millisecond
	// namedMark and retainedMark stand in place of an endpoint in changes that tell
	// of a model: its newest named version, and the oldest whose parts are kept.
	namedMark    = 0
	retainedMark = 1
	// FetchTimeout bounds the fetch of a configuration from a peer.
	FetchTimeout = 700 * time.Millisecond
)

// Gossip sends heartbeats.
type Gossip interface {
	Send(to netip.AddrPort, message packer.Message) error
}

// SiteClient fetches what a peer knows of the operators' records.
type SiteClient interface {
	Site(ctx context.Context, peer netip.AddrPort, newer int64) (messenger.Site, error)
}

// Peers exchanges load, suspects and configurations with the other nodes. Its
// fields are set before Run.
type Peers struct {
	Name   string
	Domain string
	// Address is where this node answers its peers' calls. Heartbeats go to
	// GossipPort at the same IP address, which is the same on all hosts.
	Address    netip.AddrPort
	GossipPort uint16
	// Incarnation grows with each start of the process.
	Incarnation uint64
	Gossip      Gossip
	Client      SiteClient
	Node        *Relayer
	Balancer    *balancer.Balancer
	Suspects    *retrier.Suspects
	// Adopt takes in what a peer knows.
	Adopt func(site messenger.Site)
	Log   zerolog.Logger
	Now   func() time.Time
	// Stopping is set once the node is to be stopped.
	Stopping *atomic.Bool

	mu    sync.Mutex
	known map[netip.AddrPort]*member
	news  []news
	// turn counts heartbeats, for the models that they tell of.
	turn     int
	contact  time.Duration
	sequence atomic.Uint64
	fetching atomic.Bool
	// unsent is set while heartbeats can't be sent.
	unsent atomic.Bool
}

// Run sends heartbeats until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	ticker := time.NewTicker(nearPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.beat(false)
		}
	}
}

// Spread sends a heartbeat to all peers at once.
func (p *Peers) Spread() { p.beat(true) }

func (p *Peers) beat(all bool) {
	now := p.Now()
	near, far := p.due(now, all)
	if len(near)+len(far) == 0 {
		return
	}
	beat := p.own(now)
	p.send(slices.Concat(near, far), beat)
}

// due returns the peers that get a heartbeat now.
func (p *Peers) due(now time.Time, all bool) (near, far []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, m := range p.known {
		period := farPeriod
		if m.domain == p.Domain {
			period = nearPeriod
		}
		silent := now.Sub(m.heard) > peerSilence
		if silent {
			period = probePeriod
		}
		if silent && m.alive {
			m.alive = false
			p.Log.Warn().Str("event", "peer lost").Str("peer", m.beat.Name).Stringer("address", address).Time("heard", m.heard).Send()
		}
		if !all && now.Sub(m.sent) < period-nearPeriod/2 {
			continue
		}
		if m.domain == p.Domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	if !all {
		near, far = p.longest(near, nearCount), p.longest(far, farCount)
	}
	for _, address := range slices.Concat(near, far) {
		p.known[address].sent = now
	}
	return near, far
}

// longest returns the n peers that have waited longest for a heartbeat.
func (p *Peers) longest(addresses []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(addresses, func(a, b netip.AddrPort) int {
		return cmp.Or(p.known[a].sent.Compare(p.known[b].sent), a.Compare(b))
	})
	return addresses[:min(n, len(addresses))]
}

func (p *Peers) own(now time.Time) observer.Heartbeat {
	beat := observer.Heartbeat{
		Name: p.Name, Domain: p.Domain, Address: p.Address, Incarnation: p.Incarnation,
		Sequence: p.sequence.Add(1), Leaving: p.Stopping.Load(),
		Suspects: p.Suspects.Own(now, suspectCount), Loads: p.Balancer.Own(loadCount), Changes: p.changes(now),
	}
	if catalog := p.Node.View().Catalog; catalog != nil {
		beat.Applied = uint64(catalog.Version)
	}
	return beat
}

func (p *Peers) send(to []netip.AddrPort, beat observer.Heartbeat) {
	for _, address := range to {
		err := p.Gossip.Send(netip.AddrPortFrom(address.Addr(), p.GossipPort), packer.Message{Sender: beat})
		if unsent := err != nil; p.unsent.Swap(unsent) != unsent {
			p.Log.Warn().Str("event", "heartbeats").Bool("sent", !unsent).Stringer("address", address).AnErr("error", err).Send()
		}
	}
}

// Hear takes in a heartbeat. It does not block.
func (p *Peers) Hear(message packer.Message) {
	beat, now := message.Sender, p.Now()
	if beat.Address == p.Address || !p.accept(beat, now) {
		return
	}
	for _, suspect := range beat.Suspects {
		p.Suspects.Learn(now, beat.Name, suspect)
	}
	p.Balancer.Hear(beat.Name, now, beat.Loads)
	p.Contact()
	newer := p.learnNames(beat)
	if len(beat.Changes) > 0 {
		p.Node.Heard(beat.Changes)
	}
	if (newer || p.behind(int64(beat.Applied))) && p.fetching.CompareAndSwap(false, true) {
		go p.fetch(beat)
	}
}

func (p *Peers) accept(beat observer.Heartbeat, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(beat.Address)
	same := m.beat.Incarnation == beat.Incarnation
	// Incarnations are times of day, which may have been set back; a process that
	// has been silent is not waited for.
	earlier := m.beat.Incarnation > beat.Incarnation && now.Sub(m.heard) < peerSilence
	if earlier || same && m.beat.Sequence >= beat.Sequence {
		return false
	}
	if !m.alive {
		p.Log.Info().Str("event", "peer heard").Str("peer", beat.Name).Stringer("address", beat.Address).Str("domain", beat.Domain).Send()
	}
	m.alive, m.heard, m.domain, m.beat = true, now, beat.Domain, beat
	return true
}

func (p *Peers) behind(version int64) bool {
	catalog := p.Node.View().Catalog
	return version > 0 && (catalog == nil || catalog.Version < version)
}

// fetch gets the configuration of a peer that has a newer one.
func (p *Peers) fetch(beat observer.Heartbeat) {
	defer p.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), FetchTimeout)
	defer cancel()
	var held int64
	if catalog := p.Node.View().Catalog; catalog != nil {
		held = catalog.Version
	}
	site, err := p.Client.Site(ctx, beat.Address, held)
	if err != nil {
		p.Log.Warn().Str("event", "configuration from peer").Str("peer", beat.Name).Err(err).Send()
		return
	}
	p.Adopt(site)
}
