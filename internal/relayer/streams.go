package relayer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// streamPeriod is the time between two messages to the hubs about streams that have begun.
	streamPeriod = 100 * time.Millisecond
	// maxStreamsPerDatagram bounds the streams in a datagram, of 8 bytes each besides the
	// names of their builds.
	maxStreamsPerDatagram = 100
	// maxRelayedStreams bounds the streams of members that a hub has yet to pass on.
	maxRelayedStreams = 10_000
	// OriginTimeout bounds the search for the build of a stream, with that of a hub at others.
	OriginTimeout = 250 * time.Millisecond
)

// OriginClient asks a peer for the build that began a stream.
type OriginClient interface {
	Origin(ctx context.Context, peer netip.AddrPort, stream uint64, forwarded bool) (resumer.Build, bool, error)
}

// RunStreams tells the hubs of the streams that have begun at this node, until ctx ends.
// Every hub knows all of them, so that each stays known when nodes or a domain are lost.
func (p *Peers) RunStreams(ctx context.Context) {
	ticker := time.NewTicker(streamPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sendStreams()
		}
	}
}

func (p *Peers) sendStreams() {
	streams := p.Streams.Collect()
	p.mu.Lock()
	streams = append(streams, p.relayed...)
	p.relayed = nil
	isHub := p.role.Hub
	p.mu.Unlock()
	if len(streams) == 0 {
		return
	}
	to := p.streamHubs(isHub)
	if len(to) == 0 {
		return
	}
	for chunk := range slices.Chunk(streams, maxStreamsPerDatagram) {
		p.send(to, peertracker.Heartbeat{
			Name: p.Name, Domain: p.Domain, Address: p.Address, Incarnation: p.Incarnation, Homed: !isHub, Streams: chunk,
		})
	}
}

// addStreams records streams that a peer tells of. Those of a member are passed on.
func (p *Peers) addStreams(heartbeat peertracker.Heartbeat) {
	if p.Streams == nil {
		return
	}
	p.Streams.Add(heartbeat.Streams)
	if !heartbeat.Homed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.relayed)+len(heartbeat.Streams) <= maxRelayedStreams {
		p.relayed = append(p.relayed, heartbeat.Streams...)
	}
}

// AskOrigin asks other nodes for the build of a stream that this node does not know: a member
// the hubs of its domain, and a hub the other hubs.
func (p *Peers) AskOrigin(ctx context.Context, stream uint64) (resumer.Build, bool) {
	ctx, cancel := context.WithTimeout(ctx, OriginTimeout)
	defer cancel()
	isHub := p.IsHub()
	to := p.streamHubs(isHub)
	type answer struct {
		build resumer.Build
		known bool
	}
	answers := make(chan answer, len(to))
	for _, peer := range to {
		go func() {
			build, known, err := p.OriginClient.Origin(ctx, peer, stream, isHub)
			if err != nil && ctx.Err() == nil {
				p.Log.Warn().Str("event", "stream origin").Stringer("peer", peer).Err(err).Send()
			}
			answers <- answer{build, known && err == nil}
		}()
	}
	for range to {
		if a := <-answers; a.known {
			return a.build, true
		}
	}
	return resumer.Build{}, false
}

// FindOrigin returns the build of a stream to a peer; false if it is not known. forwarded is
// set if a hub asks, which asks all others itself.
func (p *Peers) FindOrigin(ctx context.Context, stream uint64, forwarded bool) (resumer.Build, bool) {
	build, known := p.Streams.Known(stream)
	if known || forwarded || !p.IsHub() {
		return build, known
	}
	return p.AskOrigin(ctx, stream)
}

// streamHubs returns the hubs that this node tells of streams and asks for them.
func (p *Peers) streamHubs(isHub bool) []netip.AddrPort {
	if isHub {
		return p.hubAddresses()
	}
	return p.domainHubs()
}

// hubAddresses returns the addresses of the other live hubs.
func (p *Peers) hubAddresses() []netip.AddrPort {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []netip.AddrPort
	for address, m := range p.peers {
		if m.isLiveHub(now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// domainHubs returns the hubs that a member knows: its home, or those asked to be it, and the
// other live hubs of its domain, since the home may have just been lost.
func (p *Peers) domainHubs() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	hubs := slices.Clone(p.role.Ask)
	home, ok := p.peers[p.role.Home]
	if !ok {
		return hubs
	}
	for address := range p.peers {
		if slices.Contains(home.heartbeat.Hubs, organizer.Hash(address)) && !slices.Contains(hubs, address) {
			hubs = append(hubs, address)
		}
	}
	return hubs
}
