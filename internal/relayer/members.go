package relayer

import (
	"net/netip"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// peerState is what this node knows of a peer, which is identified by its address.
type peerState struct {
	domain string
	// lastReceived and lastSent are the times of the last heartbeat from and to it.
	lastReceived time.Time
	lastSent     time.Time
	alive        bool
	// heartbeat is the last one received.
	heartbeat peertracker.Heartbeat
	// listed is set if the node is in the directory of nodes or a seed.
	listed bool
	// retained holds, for each model, the oldest version whose parts the peer fetches,
	// by the hash of the model's name.
	retained map[uint32]int64
}

// RecordContact records that the log responded or that a heartbeat was received.
func (p *Peers) RecordContact() {
	now, _ := SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact = now
}

// HasContact reports whether there was contact with the log or a peer within
// contactTimeout. Time during which the host was suspended counts.
func (p *Peers) HasContact() bool {
	now, ok := SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok && p.lastContact > 0 && now-p.lastContact < contactTimeout
}

// Acknowledged reports whether each peer has announced that it fetches only
// parts of this or later versions of a model. Peers from which no heartbeat was
// received for heartbeatTimeout don't count. It is longer than contactTimeout, so a
// peer without contact to any node and to the log has stopped fetching from stores by
// then (see HasContact). A peer that still has some contact, but whose heartbeats don't
// reach this node, may still fetch older parts.
func (p *Peers) Acknowledged(model string, version int64) bool {
	hash, now := balancer.IDHash(model), p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.peers {
		if now.Sub(m.lastReceived) < heartbeatTimeout && m.retained[hash] < version {
			return false
		}
	}
	return true
}

// AddPeer adds a node from the directory or the settings. domain is its failure
// domain, empty if unknown.
func (p *Peers) AddPeer(address netip.AddrPort, domain string) {
	if address == p.Address || !address.IsValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.peerState(address)
	if domain != "" {
		m.domain = domain
	}
	m.listed = true
}

func (p *Peers) peerState(address netip.AddrPort) *peerState {
	if p.peers == nil {
		p.peers = map[netip.AddrPort]*peerState{}
	}
	m, ok := p.peers[address]
	if !ok {
		m = &peerState{}
		p.peers[address] = m
	}
	return m
}

// Count returns the number of nodes among which shared budgets are divided. It
// includes this node and all nodes ever seen, so that a node that is cut off does
// not use more than its share.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, m := range p.peers {
		if m.listed || !m.lastReceived.IsZero() {
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
	for _, m := range p.peers {
		if m.alive {
			names = append(names, m.heartbeat.Name)
		}
	}
	return names
}
