// Package organizer divides the nodes of a failure domain into a few hubs and their
// members, so that what a node sends and receives does not grow with the number of
// nodes.
//
// The hubs of all domains exchange heartbeats with each other. Each other node is a
// member of one hub of its domain, its home: it reports to the home only, and learns from
// it what the others have reported. Large hosts become hubs first. On a site with few
// nodes, all are hubs.
//
// Each node decides from its own view, without agreement. Views may differ for a moment:
// a node that is asked to be a home serves as one, whatever it takes itself for. The
// division saves work; which node is whose home decides no more than that (see relayer.Peers for
// what members fetch while they change their home).
//
// # Usage
//
//	o := &organizer.Organizer{Self: node, Domains: 3}
//	o.List(other)
//	o.Hear(now, address, domain, organizer.Sign{Hub: true})
//	role := o.Role(now)
package organizer

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
)

const (
	// maxHubs is the number of hubs of all domains together, as all of them follow each
	// store and engine, which serve about a dozen followers. minHubsPerDomain is enough
	// for the loss of one.
	maxHubs          = 10
	minHubsPerDomain = 2
	// homeTimeout is the silence of a home after which a member looks for another one,
	// and the time that a node has to respond when it is asked to be a home.
	homeTimeout = 800 * time.Millisecond
	// liveTimeout is the silence after which a node of the own domain does not count as a
	// hub any more.
	liveTimeout = 1200 * time.Millisecond
	// unresponsivePeriod is how long a node that did not respond is not taken for live on
	// the word of others.
	unresponsivePeriod = 5 * time.Second
	// vouchTimeout is the silence of a hub up to which others call it live.
	vouchTimeout = 500 * time.Millisecond
	// HubTimeout is the silence after which another hub is taken for dead.
	HubTimeout = 3 * time.Second
	// ownProbePeriod and otherProbePeriod are the times between heartbeats to silent nodes
	// that should be hubs of the own and of other domains.
	ownProbePeriod   = time.Second
	otherProbePeriod = 2 * time.Second
	// rotatingProbes is the number of further nodes of a domain that are probed at a time
	// while too few of its hubs are known.
	rotatingProbes = 3
)

// Node is an entry of the directory of nodes.
type Node struct {
	Address netip.AddrPort
	Domain  string
	// Cores is the share of processors that the host gives the node.
	Cores float64
}

// Sign is what a heartbeat shows of its sender.
type Sign struct {
	// Hub is set if the sender acts as a hub, Leaving if it is stopping.
	Hub     bool
	Leaving bool
}

// Role is the part that this node plays.
type Role struct {
	// Hub is set if this node is a hub. Otherwise Home is its home, if one has responded,
	// and Ask are the nodes to report to: the home, or those asked to be it.
	Hub  bool
	Home netip.AddrPort
	Ask  []netip.AddrPort
}

// Organizer is one node's view of the division. Its exported fields are set before use;
// it is not safe for concurrent use.
type Organizer struct {
	Self Node
	// Domains is the number of failure domains.
	Domains int

	peers map[netip.AddrPort]*peer
	// domains holds the nodes of each domain, the first choice for a hub first.
	domains  map[string][]*peer
	home     netip.AddrPort
	rotation map[string]int
	// asking is the number of nodes asked at once; it doubles with each failed round.
	asking int
}

type peer struct {
	Node
	score uint64
	hash  uint32
	// heard and hubHeard are when any heartbeat and one of a hub last arrived; vouched is
	// when a hub last named the node as a live one.
	heard    time.Time
	hubHeard time.Time
	vouched  time.Time
	leaving  bool
	// asked is when the node was first asked to be the home without a response since.
	asked  time.Time
	probed time.Time
}

// HubsPerDomain returns the number of hubs that each domain should have.
func (o *Organizer) HubsPerDomain() int {
	return max(minHubsPerDomain, maxHubs/max(o.Domains, 1))
}

// List adds a node from the directory, or updates it.
func (o *Organizer) List(node Node) {
	if node.Address == o.Self.Address {
		return
	}
	p := o.peer(node.Address)
	if p.Node == node {
		return
	}
	o.removeFromDomain(p)
	p.Node, p.score = node, score(node)
	o.addToDomain(p)
}

// Hear records a heartbeat of a node. A node that is not in the directory yet is added.
func (o *Organizer) Hear(now time.Time, address netip.AddrPort, domain string, sign Sign) {
	p := o.peer(address)
	if p.Domain != domain {
		o.removeFromDomain(p)
		p.Node = Node{Address: address, Domain: domain, Cores: p.Cores}
		p.score = score(p.Node)
		o.addToDomain(p)
	}
	p.heard, p.leaving, p.asked = now, sign.Leaving, time.Time{}
	if sign.Hub {
		p.hubHeard = now
	}
}

// Knows reports whether the domain of a node is known.
func (o *Organizer) Knows(address netip.AddrPort) bool {
	p, ok := o.peers[address]
	return ok && p.Domain != ""
}

// Vouch records that a hub names nodes, by their hashes, as live hubs of its domain.
func (o *Organizer) Vouch(now time.Time, domain string, hubs []uint32) {
	for _, p := range o.domains[domain] {
		if slices.Contains(hubs, p.hash) {
			p.vouched = now
		}
	}
}

// Hash returns the hash by which nodes name a node to each other.
func Hash(address netip.AddrPort) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(address.String()))
	return sum.Sum32()
}

// Prefer makes another hub the home, because members can follow the log through it and not
// through the present home.
func (o *Organizer) Prefer(hub netip.AddrPort) { o.home = hub }

// Role returns this node's part at now.
func (o *Organizer) Role(now time.Time) Role {
	above := o.liveAbove(now)
	hubs := o.HubsPerDomain()
	if len(above) < hubs {
		o.home, o.asking = netip.AddrPort{}, 0
		return Role{Hub: true}
	}
	home, ok := o.peers[o.home]
	if !ok || now.Sub(home.heard) >= homeTimeout || home.leaving || !slices.Contains(above[:hubs], home) {
		responding := slices.DeleteFunc(slices.Clone(above[:hubs]), func(p *peer) bool { return now.Sub(p.heard) >= homeTimeout })
		if len(responding) == 0 {
			o.home = netip.AddrPort{}
			return Role{Ask: o.ask(now, above)}
		}
		o.home = o.pickHome(responding)
	}
	o.asking = 0
	return Role{Home: o.home, Ask: append([]netip.AddrPort{o.home}, o.unknown(now, above[:hubs])...)}
}

// unknown returns the nodes that should be hubs but were never heard, so that those that
// are gone do not count for long.
func (o *Organizer) unknown(now time.Time, hubs []*peer) []netip.AddrPort {
	var asked []netip.AddrPort
	for _, p := range hubs {
		if !p.mayBeLive(now) || p.Address == o.home {
			continue
		}
		if p.asked.IsZero() {
			p.asked = now
		}
		asked = append(asked, p.Address)
	}
	return asked
}

// pickHome spreads the members over the hubs.
func (o *Organizer) pickHome(responding []*peer) netip.AddrPort {
	names := make([]string, len(responding))
	for i, p := range responding {
		names[i] = p.Address.String()
	}
	return netip.MustParseAddrPort(ranker.Pick(names, o.Self.Address.String()))
}

// ask returns the nodes to ask to be the home. When those asked before did not respond
// in time, they are no longer in above, and twice as many are asked.
func (o *Organizer) ask(now time.Time, above []*peer) []netip.AddrPort {
	if o.asking == 0 || above[0].asked.IsZero() {
		o.asking = max(2*o.asking, o.HubsPerDomain())
	}
	var asked []netip.AddrPort
	for _, p := range above[:min(o.asking, len(above))] {
		if p.asked.IsZero() {
			p.asked = now
		}
		asked = append(asked, p.Address)
	}
	return asked
}

// liveAbove returns the nodes of the domain that come before this one and are live, or
// may be, because they were not asked yet.
func (o *Organizer) liveAbove(now time.Time) []*peer {
	self := &peer{Node: o.Self, score: score(o.Self)}
	var above []*peer
	for _, p := range o.domains[o.Self.Domain] {
		if compare(p, self) > 0 {
			break
		}
		if !p.leaving && (p.live(now) || p.mayBeLive(now)) {
			above = append(above, p)
		}
	}
	return above
}

// live reports whether a node was heard lately, or another hub says so and the node has
// not failed to respond to this one.
func (p *peer) live(now time.Time) bool {
	if now.Sub(p.heard) < liveTimeout {
		return true
	}
	unresponsive := !p.asked.IsZero() && now.Sub(p.asked) >= homeTimeout && now.Sub(p.asked) < unresponsivePeriod
	return now.Sub(p.vouched) < liveTimeout && !unresponsive
}

// mayBeLive reports whether a node that was never heard was not asked yet, or still has
// time to respond.
func (p *peer) mayBeLive(now time.Time) bool {
	return p.heard.IsZero() && (p.asked.IsZero() || now.Sub(p.asked) < homeTimeout)
}

// score orders hosts of one size.
func score(node Node) uint64 { return ranker.Score(node.Address.String(), node.Domain) }

// compare orders the nodes of a domain, the first choice for a hub first.
func compare(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(b.score, a.score), a.Address.Compare(b.Address))
}

func (o *Organizer) peer(address netip.AddrPort) *peer {
	if o.peers == nil {
		o.peers, o.domains = map[netip.AddrPort]*peer{}, map[string][]*peer{}
	}
	p, ok := o.peers[address]
	if !ok {
		p = &peer{Node: Node{Address: address}, hash: Hash(address)}
		o.peers[address] = p
	}
	return p
}

func (o *Organizer) addToDomain(p *peer) {
	if p.Domain == "" {
		return
	}
	peers := o.domains[p.Domain]
	i, _ := slices.BinarySearchFunc(peers, p, compare)
	o.domains[p.Domain] = slices.Insert(peers, i, p)
}

func (o *Organizer) removeFromDomain(p *peer) {
	if peers, ok := o.domains[p.Domain]; ok {
		o.domains[p.Domain] = slices.DeleteFunc(peers, func(other *peer) bool { return other == p })
	}
}
