package relayer

import (
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
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// nearPeriod is the time between heartbeats to peers of the own failure
	// domain, farPeriod the same to others: bytes between domains cost more.
	nearPeriod = 150 * time.Millisecond
	farPeriod  = 600 * time.Millisecond
	// peerSilence is after how long a peer is taken for gone.
	peerSilence = 3 * time.Second
	// probePeriod is the time between heartbeats to a silent peer.
	probePeriod = 2 * time.Second
	// suspectCount is the number of suspects in a heartbeat.
	suspectCount = 8
	// changeCount bounds the changes in a heartbeat, newsTime is how long each is
	// told, so that a lost heartbeat does not matter.
	changeCount = 12
	newsTime    = 700 * time.Millisecond
	// touch is how long a node that hears nothing, neither of peers nor of the log,
	// goes on as if nothing had changed.
	touch = 1500 * time.Millisecond
	// namedMark and retainedMark stand in place of an endpoint in changes that tell
	// of a model: its newest named version, and the oldest whose parts are kept.
	namedMark    = 0
	retainedMark = 1
	// fetchTimeout bounds the fetch of a configuration from a peer.
	fetchTimeout = 700 * time.Millisecond
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

	mu       sync.Mutex
	known    map[netip.AddrPort]*member
	news     []news
	contact  time.Duration
	sequence atomic.Uint64
	fetching atomic.Bool
}

// news is a change that peers are told for a while.
type news struct {
	change observer.Change
	until  time.Time
}

// Tell tells all peers what the node has learnt of an endpoint; version zero
// says that it loads weights.
func (p *Peers) Tell(endpoint tracker.Endpoint, model string, version int64) {
	change := observer.Change{Endpoint: balancer.Hash(endpoint.ID), Model: balancer.Hash(model), Version: version}
	p.mu.Lock()
	p.news = slices.DeleteFunc(p.news, func(n news) bool { return n.change.Endpoint == change.Endpoint && n.change.Model == change.Model })
	p.news = append(p.news, news{change: change, until: p.Now().Add(newsTime)})
	p.mu.Unlock()
	p.Spread()
}

// names returns what the node knows of each model, as changes without endpoint.
func (p *Peers) names() []observer.Change {
	view := p.Node.View()
	var names []observer.Change
	for model, version := range p.Node.Named() {
		names = append(names, observer.Change{Endpoint: namedMark, Model: balancer.Hash(model), Version: version})
	}
	for model, version := range view.Retained {
		names = append(names, observer.Change{Endpoint: retainedMark, Model: balancer.Hash(model), Version: version})
	}
	return names
}

// Unload tells all peers that an endpoint is about to load weights.
func (p *Peers) Unload(endpoint tracker.Endpoint) {
	for model := range endpoint.Weights {
		p.Tell(endpoint, model, 0)
		return
	}
}

// changes returns the news that is fresh, the newest first.
func (p *Peers) changes(now time.Time) []observer.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news = slices.DeleteFunc(p.news, func(n news) bool { return !now.Before(n.until) })
	fresh := p.names()
	for i := len(p.news) - 1; i >= 0 && len(fresh) < changeCount; i-- {
		fresh = append(fresh, p.news[i].change)
	}
	return fresh
}

// member is a node that was heard of.
type member struct {
	domain  string
	heard   time.Time
	sent    time.Time
	alive   bool
	beat    observer.Heartbeat
	learned bool
	// retained holds the oldest version of each model whose parts the peer fetches,
	// by the hash of the model.
	retained map[uint32]int64
}

// Contact notes that the log or a peer was heard.
func (p *Peers) Contact() {
	now, _ := SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contact = now
}

// InTouch reports whether the log or a peer was heard a short time ago, by a
// clock that runs on while the host is suspended.
func (p *Peers) InTouch() bool {
	now, ok := SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok && p.contact > 0 && now-p.contact < touch
}

// Acknowledged reports whether all nodes retain parts of this or later versions
// of a model only, or have been silent for so long that they are out of touch.
func (p *Peers) Acknowledged(model string, version int64) bool {
	hash, now := balancer.Hash(model), p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.known {
		if now.Sub(m.heard) < peerSilence && m.retained[hash] < version {
			return false
		}
	}
	return true
}

// Learn notes a node's address, from the directory or the settings. domain may
// be empty.
func (p *Peers) Learn(address netip.AddrPort, domain string) {
	if address == p.Address || !address.IsValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(address)
	if domain != "" {
		m.domain = domain
	}
	m.learned = true
}

func (p *Peers) member(address netip.AddrPort) *member {
	if p.known == nil {
		p.known = map[netip.AddrPort]*member{}
	}
	m, ok := p.known[address]
	if !ok {
		m = &member{}
		p.known[address] = m
	}
	return m
}

// Count returns the number of nodes among which shared budgets are divided: all
// that were ever heard of, so that a node that is cut off does not take more
// than its share.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, m := range p.known {
		if m.learned || !m.heard.IsZero() {
			n++
		}
	}
	return n
}

// Alive returns the names of the peers that are alive.
func (p *Peers) Alive() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, m := range p.known {
		if m.alive {
			names = append(names, m.beat.Name)
		}
	}
	return names
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
	p.send(append(near, far...), beat)
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
		m.sent = now
		if m.domain == p.Domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return near, far
}

func (p *Peers) own(now time.Time) observer.Heartbeat {
	beat := observer.Heartbeat{
		Name: p.Name, Domain: p.Domain, Address: p.Address, Incarnation: p.Incarnation,
		Sequence: p.sequence.Add(1), Leaving: p.Stopping.Load(),
		Suspects: p.Suspects.Own(now, suspectCount), Loads: p.Balancer.Own(), Changes: p.changes(now),
	}
	if catalog := p.Node.View().Catalog; catalog != nil {
		beat.Applied = uint64(catalog.Version)
	}
	return beat
}

func (p *Peers) send(to []netip.AddrPort, beat observer.Heartbeat) {
	for _, address := range to {
		// A lost heartbeat is no error; a peer that can't be reached is noticed by
		// its own silence.
		_ = p.Gossip.Send(netip.AddrPortFrom(address.Addr(), p.GossipPort), packer.Message{Sender: beat})
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
	if m.beat.Incarnation > beat.Incarnation || m.beat.Incarnation == beat.Incarnation && m.beat.Sequence >= beat.Sequence {
		return false
	}
	if !m.alive {
		p.Log.Info().Str("event", "peer heard").Str("peer", beat.Name).Stringer("address", beat.Address).Str("domain", beat.Domain).Send()
	}
	m.alive, m.heard, m.domain, m.beat = true, now, beat.Domain, beat
	return true
}

// learnNames keeps what a peer knows of each model, and reports whether it knows
// of newer weights than this node.
func (p *Peers) learnNames(beat observer.Heartbeat) bool {
	own := map[uint32]int64{}
	for model, version := range p.Node.Named() {
		own[balancer.Hash(model)] = version
	}
	news := false
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(beat.Address)
	if m.retained == nil {
		m.retained = map[uint32]int64{}
	}
	for _, change := range beat.Changes {
		switch change.Endpoint {
		case namedMark:
			news = news || change.Version > own[change.Model]
		case retainedMark:
			m.retained[change.Model] = max(m.retained[change.Model], change.Version)
		}
	}
	return news
}

func (p *Peers) behind(version int64) bool {
	catalog := p.Node.View().Catalog
	return version > 0 && (catalog == nil || catalog.Version < version)
}

// fetch gets the configuration of a peer that has a newer one.
func (p *Peers) fetch(beat observer.Heartbeat) {
	defer p.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
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
