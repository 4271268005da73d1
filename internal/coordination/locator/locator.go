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
//	plan := l.Plan(now, salt, parts, stores)
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
}

// Plan names a store for each part; an invalid address stands for none.
type Plan struct {
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
}

type shelf struct {
	known bool
	held  map[Key]int
	used  int
	// coming holds the saves under way, by the time at which they are given up.
	coming map[Key]time.Time
}

// Locator is the directory. It is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex
	shelves map[netip.AddrPort]*shelf
	uses    map[Key]time.Time
}

// New returns an empty directory.
func New() *Locator {
	return &Locator{shelves: map[netip.AddrPort]*shelf{}, uses: map[Key]time.Time{}}
}

// Reset replaces what a store holds. reserved is the memory of incomplete
// parts, in tokens.
func (l *Locator) Reset(store netip.AddrPort, held map[Key]int, reserved int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &shelf{known: true, held: held, used: reserved, coming: map[Key]time.Time{}}
	for _, tokens := range held {
		s.used += blocks(tokens)
	}
	l.shelves[store] = s
}

// Forget drops what is known of a store; nothing is fetched from or saved to it
// until the next Reset.
func (l *Locator) Forget(store netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.shelves, store)
}

// Stored notes that a store holds a part completely; zero tokens mean that the
// part is gone.
func (l *Locator) Stored(store netip.AddrPort, key Key, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.shelves[store]
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

// Plan tells where the shared parts of a prompt are fetched from and saved to.
// The last part belongs to the request alone and is not kept.
func (l *Locator) Plan(now time.Time, salt string, parts []Part, stores []Store) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	plan := Plan{Fetch: make([]netip.AddrPort, len(parts)), Save: make([]netip.AddrPort, len(parts))}
	for i := 0; i < len(parts)-1; i++ {
		key := Key{Salt: salt, Part: parts[i].ID}
		l.uses[key] = now
		if holder, ok := l.holder(key, parts[i].Tokens, stores); ok {
			plan.Fetch[i] = holder
			continue
		}
		if l.coming(now, key) {
			continue
		}
		if home, ok := l.home(now, key, parts[i].Tokens, stores); ok {
			plan.Save[i] = home
		}
	}
	return plan
}

func (l *Locator) holder(key Key, tokens int, stores []Store) (netip.AddrPort, bool) {
	for _, store := range stores {
		if s, ok := l.shelves[store.Address]; ok && s.held[key] >= tokens && tokens > 0 {
			return store.Address, true
		}
	}
	return netip.AddrPort{}, false
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
func (l *Locator) home(now time.Time, key Key, tokens int, stores []Store) (netip.AddrPort, bool) {
	for _, store := range Rank(stores, key) {
		s, ok := l.shelves[store.Address]
		if !ok || s.held[key] > 0 {
			continue
		}
		if float64(s.used+blocks(tokens)) > fillLimit*float64(store.Capacity) {
			continue
		}
		s.coming[key] = now.Add(saveWait)
		return store.Address, true
	}
	return netip.AddrPort{}, false
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
