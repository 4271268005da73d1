// Package locator keeps the directory of prompt parts: which store holds which
// part, and where a part that none holds is to be saved.
//
// Each part has one home among the stores by rendezvous hashing weighted by
// capacity, so that all nodes save it to the same place without asking each
// other. Only parts that a store has reported complete are ever fetched.
//
// # Usage
//
//	l := locator.New()
//	l.Reset(store, held)
//	l.Stored(store, key, tokens)
//	plan := l.Plan(now, locator.Query{Salt: salt, Parts: parts, Stores: stores, …})
package locator

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/owner"
)

const (
	// saveWait is how long a save is believed to be under way, so that it is
	// not asked for again.
	saveWait = 3 * time.Second
	// fillLimit is the share of a store's capacity up to which parts are saved
	// to it; saves to a full store are lost.
	fillLimit = 0.97
	// blockTokens is the unit in which stores give out memory.
	blockTokens = 16
)

// Part is a piece of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Key names a part under the salt that separates teams, models and weights.
type Key struct {
	Salt string
	Part string
}

// Store is a place for parts.
type Store struct {
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	// Rate is its link's speed in tokens a second; zero if unknown.
	Rate float64
}

// Engine is an endpoint whose memory holds parts that it has read.
type Engine struct {
	Address netip.AddrPort
	Domain  string
}

// Query asks where the parts of a prompt are.
type Query struct {
	Salt  string
	Parts []Part
	// At is the engine that gets the prompt, in Domain.
	At     netip.AddrPort
	Domain string
	// Engines and Stores are the places that can be reached.
	Engines []Engine
	Stores  []Store
	// Nodes is the number of nodes that use the same stores; only Plan needs it.
	Nodes int
}

// Plan names a place for each part; an invalid address stands for none.
type Plan struct {
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
}

type shelf struct {
	held map[Key]int
	used int
	// coming holds the saves under way, by the time at which they are given up.
	coming map[Key]time.Time
}

// Locator is the directory. It is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex
	shelves map[netip.AddrPort]*shelf
	links   map[netip.AddrPort]*link
}

// New returns an empty directory.
func New() *Locator {
	return &Locator{shelves: map[netip.AddrPort]*shelf{}, links: map[netip.AddrPort]*link{}}
}

// Reset replaces what a place holds. reserved is the memory of incomplete
// parts, in tokens.
func (l *Locator) Reset(place netip.AddrPort, held map[Key]int, reserved int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &shelf{held: held, used: reserved, coming: map[Key]time.Time{}}
	for _, tokens := range held {
		s.used += blocks(tokens)
	}
	l.shelves[place] = s
}

// Forget drops what is known of a place; nothing is fetched from or saved to it
// until the next Reset.
func (l *Locator) Forget(place netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.shelves, place)
}

// Stored notes that a place holds a part completely; zero tokens mean that the
// part is gone.
func (l *Locator) Stored(place netip.AddrPort, key Key, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shelves[place]
	if !ok {
		return
	}
	s.used += blocks(tokens) - blocks(s.held[key])
	delete(s.coming, key)
	if tokens == 0 {
		delete(s.held, key)
		return
	}
	s.held[key] = tokens
}

// Cached returns how many tokens of the shared parts an engine is believed to
// hold, counted from the prompt's start, and how many it could fetch.
func (l *Locator) Cached(query Query) (held, fetched int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < len(query.Parts)-1; i++ {
		key, tokens := Key{Salt: query.Salt, Part: query.Parts[i].ID}, query.Parts[i].Tokens
		if l.holds(query.At, key, tokens) {
			held += tokens
			continue
		}
		_, elsewhere := l.engine(key, tokens, query)
		if !elsewhere {
			_, elsewhere = l.stored(key, tokens, query.Stores)
		}
		if !elsewhere {
			break
		}
		fetched += tokens
	}
	return held, fetched
}

// Obsolete returns the parts of a place whose salt is no longer in use.
func (l *Locator) Obsolete(place netip.AddrPort, used func(salt string) bool) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shelves[place]
	if !ok {
		return nil
	}
	var keys []Key
	for key := range s.held {
		if !used(key.Salt) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Plan tells where the shared parts of a prompt are fetched from and saved to.
// The last part belongs to the request alone and is not kept. A place is named
// also for parts that the engine is believed to hold: it fetches only what it
// lacks.
func (l *Locator) Plan(now time.Time, query Query) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(query.Parts)
	plan := Plan{Fetch: make([]netip.AddrPort, n), Save: make([]netip.AddrPort, n)}
	for i := 0; i < n-1; i++ {
		key, tokens := Key{Salt: query.Salt, Part: query.Parts[i].ID}, query.Parts[i].Tokens
		var stored bool
		plan.Fetch[i], stored = l.source(now, key, tokens, query)
		if stored || l.coming(now, key) {
			continue
		}
		if home, ok := l.home(now, key, tokens, query.Stores); ok {
			l.transfer(now, home, tokens, query.Domain)
			plan.Save[i] = home.Address
		}
	}
	return plan
}

func (l *Locator) holds(place netip.AddrPort, key Key, tokens int) bool {
	s, ok := l.shelves[place]
	return ok && tokens > 0 && s.held[key] >= tokens
}

func (l *Locator) stored(key Key, tokens int, stores []Store) (Store, bool) {
	for _, store := range stores {
		if l.holds(store.Address, key, tokens) {
			return store, true
		}
	}
	return Store{}, false
}

// engine returns another engine that holds a part, one of the same failure
// domain if there is one.
func (l *Locator) engine(key Key, tokens int, query Query) (netip.AddrPort, bool) {
	var found netip.AddrPort
	for _, engine := range query.Engines {
		if engine.Address == query.At || !l.holds(engine.Address, key, tokens) {
			continue
		}
		found = engine.Address
		if engine.Domain == query.Domain {
			break
		}
	}
	return found, found.IsValid()
}

func (l *Locator) coming(now time.Time, key Key) bool {
	for _, s := range l.shelves {
		if until, ok := s.coming[key]; ok {
			if now.Before(until) {
				return true
			}
			delete(s.coming, key)
		}
	}
	return false
}

// home picks the first store in the part's order that has room, and notes the
// save.
func (l *Locator) home(now time.Time, key Key, tokens int, stores []Store) (Store, bool) {
	for _, store := range Rank(stores, key) {
		s, ok := l.shelves[store.Address]
		if !ok || s.held[key] > 0 {
			continue
		}
		if float64(s.used+blocks(tokens)) > fillLimit*float64(store.Capacity) {
			continue
		}
		s.coming[key] = now.Add(saveWait)
		return store, true
	}
	return Store{}, false
}

// Rank orders stores for a part by weighted rendezvous hashing.
func Rank(stores []Store, key Key) []Store {
	ranked := slices.Clone(stores)
	name := key.Salt + "\x00" + key.Part
	score := func(s Store) float64 {
		point := (float64(owner.Score(s.Address.String(), name)>>11) + 0.5) / (1 << 53)
		return -float64(s.Capacity) / math.Log(point)
	}
	slices.SortFunc(ranked, func(a, b Store) int { return cmp.Compare(score(b), score(a)) })
	return ranked
}

func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }
