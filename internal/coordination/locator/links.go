package locator

import (
	"math"
	"net/netip"
	"time"
)

const (
	// maxIdleUse is the share of a store's link in use up to which the store is
	// preferred to an engine as a source. Beyond it, fetches queue up and
	// arrive late.
	maxIdleUse = 0.3
	// linkWindow is the time constant over which the use of a link is averaged.
	linkWindow = time.Second
	// crossDomainFactor is how much longer a transfer between failure domains
	// takes.
	crossDomainFactor = 2
)

// link tracks this node's recent use of a store's link as an exponentially
// decaying sum of transfer times.
type link struct {
	updatedAt time.Time
	recentUse float64
}

// use returns the share of the link that this node has used recently.
func (k *link) use(now time.Time) float64 {
	elapsed := max(now.Sub(k.updatedAt), 0)
	return k.recentUse * math.Exp(-float64(elapsed)/float64(linkWindow))
}

// linkIdle reports whether a store's link has spare bandwidth. It assumes that
// each other node uses the link as much as this one, since callers are spread
// evenly over the nodes. A store of unknown bandwidth counts as busy.
func (l *Locator) linkIdle(now time.Time, store Store, nodes int) bool {
	if store.Bandwidth <= 0 {
		return false
	}
	k, ok := l.links[store.Address]
	return !ok || k.use(now)*float64(max(nodes, 1)) < maxIdleUse
}

// recordTransfer records a transfer of tokens between a store and an engine in
// the given failure domain.
func (l *Locator) recordTransfer(now time.Time, store Store, tokens int, domain string) {
	if store.Bandwidth <= 0 {
		return
	}
	duration := float64(tokens) / store.Bandwidth / linkWindow.Seconds()
	if store.Domain != domain {
		duration *= crossDomainFactor
	}
	k, ok := l.links[store.Address]
	if !ok {
		k = &link{}
		l.links[store.Address] = k
	}
	k.updatedAt, k.recentUse = now, k.use(now)+duration
}

// source returns the store or engine to fetch a part from. Engines have faster
// links, but an engine under load has often evicted the part by the time of the
// fetch, and the part has to be prefilled again. So a store with an idle link
// is preferred. stored reports whether a store holds the part.
func (l *Locator) source(now time.Time, key Key, tokens int, query Query) (holder netip.AddrPort, stored bool) {
	store, stored := l.stored(key, tokens, query)
	engine, held := l.engine(key, tokens, query)
	switch {
	case held && (!stored || !l.linkIdle(now, store, query.Nodes)):
		return engine, stored
	case stored:
		// The engine does not fetch a part that it holds.
		if !l.holds(query.Target, key, tokens) {
			l.recordTransfer(now, store, tokens, query.Domain)
		}
		return store.Address, true
	default:
		return netip.AddrPort{}, false
	}
}
