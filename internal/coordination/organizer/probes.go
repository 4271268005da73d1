package organizer

import (
	"net/netip"
	"slices"
	"time"
)

// Hubs returns the live hubs of this node's own domain and of the others.
func (o *Organizer) Hubs(now time.Time) (own, others []netip.AddrPort) {
	for domain, peers := range o.domains {
		for _, p := range peers {
			switch {
			case now.Sub(p.hubHeard) >= HubTimeout:
			case domain == o.Self.Domain:
				own = append(own, p.Address)
			default:
				others = append(others, p.Address)
			}
		}
	}
	return own, others
}

// Nodes returns the other nodes whose domain is known, without those that said that they are
// leaving.
func (o *Organizer) Nodes(now time.Time) []Node {
	var nodes []Node
	for _, peers := range o.domains {
		for _, p := range peers {
			if !p.leaving || now.Sub(p.heard) >= HubTimeout {
				nodes = append(nodes, p.Node)
			}
		}
	}
	return nodes
}

// LiveHubs returns the hubs of this node's domain that were heard lately enough to call
// them live.
func (o *Organizer) LiveHubs(now time.Time) []netip.AddrPort {
	var live []netip.AddrPort
	for _, p := range o.domains[o.Self.Domain] {
		if now.Sub(p.hubHeard) < vouchTimeout {
			live = append(live, p.Address)
		}
	}
	return live
}

// Probes returns the silent nodes that a hub sends a heartbeat now: those that should be
// hubs or that other hubs call so and, in a domain with too few known hubs, some others.
// It records that they get one.
func (o *Organizer) Probes(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for domain, peers := range o.domains {
		period := otherProbePeriod
		if domain == o.Self.Domain {
			period = ownProbePeriod
		}
		first := peers[:min(o.hubsAmong(domain, peers), len(peers))]
		candidates := slices.Clone(first)
		for _, p := range peers {
			if now.Sub(p.vouched) < liveTimeout {
				candidates = append(candidates, p)
			}
		}
		if o.lacksHubs(now, domain) {
			candidates = append(candidates, o.rotate(now, domain, peers[len(first):], period)...)
		}
		for _, p := range candidates {
			if now.Sub(p.hubHeard) >= HubTimeout && now.Sub(p.probed) >= period {
				p.probed = now
				due = append(due, p.Address)
			}
		}
	}
	return due
}

// hubsAmong returns how many of the first nodes of a domain should be hubs; this node may
// be one itself.
func (o *Organizer) hubsAmong(domain string, peers []*peer) int {
	hubs := o.HubsPerDomain()
	if domain != o.Self.Domain {
		return hubs
	}
	self := &peer{Node: o.Self, score: score(o.Self)}
	if len(peers) < hubs || compare(self, peers[hubs-1]) < 0 {
		return hubs - 1
	}
	return hubs
}

// lacksHubs reports whether no live hub of another domain is known, or too few of the own
// domain.
func (o *Organizer) lacksHubs(now time.Time, domain string) bool {
	live, timeout, enough := 0, HubTimeout, 1
	if domain == o.Self.Domain {
		timeout, enough = liveTimeout, o.HubsPerDomain()-1
	}
	for _, p := range o.domains[domain] {
		if now.Sub(p.hubHeard) < timeout {
			live++
		}
	}
	return live < enough
}

// rotate returns the next nodes of a domain to probe, if it is time.
func (o *Organizer) rotate(now time.Time, domain string, peers []*peer, period time.Duration) []*peer {
	if len(peers) == 0 || slices.ContainsFunc(peers, func(p *peer) bool { return now.Sub(p.probed) < period }) {
		return nil
	}
	if o.rotation == nil {
		o.rotation = map[string]int{}
	}
	var next []*peer
	for range min(rotatingProbes, len(peers)) {
		next = append(next, peers[o.rotation[domain]%len(peers)])
		o.rotation[domain]++
	}
	return next
}
