package locator

import (
	"math"
	"net/netip"
	"time"
)

const (
	// idleShare is the share of a store's link in use up to which it is the first
	// source; beyond it fetches queue, and are late.
	idleShare = 0.3
	// linkSpan is the time over which the use of a link is averaged.
	linkSpan = time.Second
	// farFactor is how much longer a transfer between failure domains takes.
	farFactor = 2
)

// link is this node's use of a store's link, as a decaying sum of transfer times.
type link struct {
	at   time.Time
	used float64
}

// use returns the share of a link that this node has taken lately.
func (k *link) use(now time.Time) float64 {
	elapsed := max(now.Sub(k.at), 0)
	return k.used * math.Exp(-float64(elapsed)/float64(linkSpan))
}

// idle reports whether a store's link has room. Other nodes are taken to use it
// as much as this one: callers are spread evenly over them.
func (l *Locator) idle(now time.Time, store Store, nodes int) bool {
	if store.Rate <= 0 {
		return false
	}
	k, ok := l.links[store.Address]
	return !ok || k.use(now)*float64(max(nodes, 1)) < idleShare
}

// transfer notes a transfer of tokens between a store and an engine of a failure
// domain.
func (l *Locator) transfer(now time.Time, store Store, tokens int, domain string) {
	if store.Rate <= 0 {
		return
	}
	took := float64(tokens) / store.Rate / linkSpan.Seconds()
	if store.Domain != domain {
		took *= farFactor
	}
	k, ok := l.links[store.Address]
	if !ok {
		k = &link{}
		l.links[store.Address] = k
	}
	k.at, k.used = now, k.use(now)+took
}

// source returns where an engine fetches a part from. Engines' links are fast, but
// an engine under load has often dropped the part by then, and it is read again;
// so a store whose link is idle goes before. stored tells whether a store holds it.
func (l *Locator) source(now time.Time, key Key, tokens int, query Query) (place netip.AddrPort, stored bool) {
	store, stored := l.stored(key, tokens, query.Stores)
	engine, held := l.engine(key, tokens, query)
	switch {
	case held && (!stored || !l.idle(now, store, query.Nodes)):
		return engine, stored
	case stored:
		if !l.holds(query.At, key, tokens) {
			l.transfer(now, store, tokens, query.Domain)
		}
		return store.Address, true
	default:
		return netip.AddrPort{}, false
	}
}
