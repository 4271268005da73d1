package relayer

import (
	"net/netip"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
)

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
