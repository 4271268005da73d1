package pathfinder

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

const (
	// refusedPause is how long a peer is not asked again that could not help, and unreachablePause
	// how long one that could not be reached.
	refusedPause     = time.Second
	unreachablePause = 5 * time.Second
)

// Detours chooses the peers through which requests are sent, and remembers which could not
// help. It is safe for concurrent use. Its exported fields are set before use.
type Detours struct {
	// Domain is the failure domain of this node.
	Domain string
	// Region is that of this node, empty if unknown, and DomainRegions those of the peers' domains.
	Region        string
	DomainRegions cataloger.DomainRegions

	mu sync.Mutex
	// pausedUntil are the times until which peers are not asked.
	pausedUntil map[netip.AddrPort]time.Time
	// refusedAt is, for each domain, when a peer of it last could not help, if none has since.
	refusedAt map[string]time.Time
}

// Allowed returns the peers through which a request may be sent that is restricted to regions:
// those in one of them or in this node's own region. Its caller has chosen this node already.
func (d *Detours) Allowed(peers []Peer, regions *cataloger.Regions) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool {
		own := d.Region != "" && d.DomainRegions[peer.Domain] == d.Region
		return !own && !d.DomainRegions.Allows(regions, peer.Domain)
	})
}

// Order returns the peers to ask for a connection to an endpoint of a domain, the first choice
// first: peers of this node's own domain, then those of the endpoint's, then others. Domains with a
// peer that could not help come last, since all of the domain may have lost its links. The order
// is random within a domain, so that the nodes without links spread over the others.
func (d *Detours) Order(now time.Time, peers []Peer, target string) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	ordered := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return now.Before(d.pausedUntil[peer.Address]) })
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Peer) int {
		return cmp.Compare(d.rank(now, a.Domain, target), d.rank(now, b.Domain, target))
	})
	return ordered
}

func (d *Detours) rank(now time.Time, domain, target string) int {
	rank := 2
	switch domain {
	case d.Domain:
		rank = 0
	case target:
		rank = 1
	}
	if refusedAt, ok := d.refusedAt[domain]; ok && now.Sub(refusedAt) < refusedPause {
		rank += 3
	}
	return rank
}

// RecordHelp records that a peer opened a connection, or tried to.
func (d *Detours) RecordHelp(peer Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pausedUntil, peer.Address)
	delete(d.refusedAt, peer.Domain)
}

// RecordRefusal records that a peer could not help; reached is unset if it did not answer.
func (d *Detours) RecordRefusal(now time.Time, peer Peer, reached bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pausedUntil == nil {
		d.pausedUntil, d.refusedAt = map[netip.AddrPort]time.Time{}, map[string]time.Time{}
	}
	pause := refusedPause
	if !reached {
		pause = unreachablePause
	}
	d.pausedUntil[peer.Address] = now.Add(pause)
	d.refusedAt[peer.Domain] = now
}
