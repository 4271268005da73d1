// Package locator keeps the directory of cached prompt parts: which store or
// engine holds which part, and which store a new part is saved to.
//
// Weighted rendezvous hashing assigns each part to a store in proportion to the
// stores' capacity, so that all nodes save a part to the same store without
// coordination. Only parts that a holder has reported as complete are fetched.
//
// # Usage
//
//	l := locator.New()
//	l.Reset(store, parts, reserved)
//	l.SetPart(store, key, tokens)
//	plan := l.Plan(now, locator.Query{Salt: salt, Parts: parts, Stores: stores, …})
package locator

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
)

const (
	// saveTimeout is how long a save is assumed to be in progress and is not
	// requested again.
	saveTimeout = 3 * time.Second
	// maxFill is the share of a store's capacity up to which parts are saved to
	// it; a full store drops saves.
	maxFill = 0.97
	// blockTokens is the unit in which stores allocate memory, in tokens.
	blockTokens = 16
)

// Part is a section of a prompt, as the caller divides it; its length varies.
type Part struct {
	ID     string
	Tokens int
}

// Key identifies a part. The salt separates parts of different teams, models
// and weights.
type Key struct {
	Salt string
	Part string
}

// Store is a store of prompt parts.
type Store struct {
	Address netip.AddrPort
	Domain  string
	// Capacity is the store's size in tokens.
	Capacity int
	// Bandwidth is the speed of the store's link in tokens per second; zero if
	// unknown.
	Bandwidth float64
}

// Engine is an endpoint that keeps the parts it has prefilled in memory.
type Engine struct {
	Address netip.AddrPort
	Domain  string
}

// Query asks for the holders of a prompt's parts.
type Query struct {
	Salt  string
	Parts []Part
	// Target is the engine that gets the prompt; Domain is its failure domain.
	Target netip.AddrPort
	Domain string
	// Engines and Stores are the reachable holders.
	Engines []Engine
	Stores  []Store
	// Nodes is the number of nodes that use the same stores; only Plan uses it.
	Nodes int
}

// Plan holds, for each part of a prompt, where to fetch it from and which store
// to save it to. An invalid address means none.
type Plan struct {
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
}

type inventory struct {
	parts      map[Key]int
	usedTokens int
	// saving maps each part being saved to the time at which the save is
	// assumed to have failed.
	saving map[Key]time.Time
}

// Locator is the directory of prompt parts. It is safe for concurrent use.
type Locator struct {
	mu          sync.Mutex
	inventories map[netip.AddrPort]*inventory
	links       map[netip.AddrPort]*link
}

// New returns an empty directory.
func New() *Locator {
	return &Locator{inventories: map[netip.AddrPort]*inventory{}, links: map[netip.AddrPort]*link{}}
}

// Reset replaces the parts of a holder. reserved is the memory taken by
// incomplete parts, in tokens.
func (l *Locator) Reset(holder netip.AddrPort, parts map[Key]int, reserved int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &inventory{parts: parts, usedTokens: reserved, saving: map[Key]time.Time{}}
	for _, tokens := range parts {
		s.usedTokens += roundToBlocks(tokens)
	}
	l.inventories[holder] = s
}

// Forget removes a holder. Nothing is fetched from or saved to it until the
// next Reset.
func (l *Locator) Forget(holder netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inventories, holder)
}

// SetPart records that a holder has a complete part; zero tokens mean that the
// part was evicted.
func (l *Locator) SetPart(holder netip.AddrPort, key Key, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.inventories[holder]
	if !ok {
		return
	}
	s.usedTokens += roundToBlocks(tokens) - roundToBlocks(s.parts[key])
	delete(s.saving, key)
	if tokens == 0 {
		delete(s.parts, key)
		return
	}
	s.parts[key] = tokens
}

// CachedTokens returns how many tokens of the shared parts, all but the last,
// the engine is assumed to hold, and how many it could fetch. It stops at the
// first part that is in neither group.
func (l *Locator) CachedTokens(query Query) (held, fetchable int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < len(query.Parts)-1; i++ {
		key, tokens := Key{Salt: query.Salt, Part: query.Parts[i].ID}, query.Parts[i].Tokens
		if l.holds(query.Target, key, tokens) {
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
		fetchable += tokens
	}
	return held, fetchable
}

// ObsoleteParts returns the parts of a holder whose salt is no longer in use.
func (l *Locator) ObsoleteParts(holder netip.AddrPort, inUse func(salt string) bool) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.inventories[holder]
	if !ok {
		return nil
	}
	var keys []Key
	for key := range s.parts {
		if !inUse(key.Salt) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Plan returns where to fetch the shared parts of a prompt from and where to
// save them. The last part is specific to the request and is not cached. Parts
// that the engine is assumed to hold also get a source: the engine fetches only
// the parts it lacks.
func (l *Locator) Plan(now time.Time, query Query) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(query.Parts)
	plan := Plan{Fetch: make([]netip.AddrPort, n), Save: make([]netip.AddrPort, n)}
	for i := 0; i < n-1; i++ {
		key, tokens := Key{Salt: query.Salt, Part: query.Parts[i].ID}, query.Parts[i].Tokens
		var stored bool
		plan.Fetch[i], stored = l.source(now, key, tokens, query)
		if stored || l.saving(now, key) {
			continue
		}
		if saveTarget, ok := l.saveTarget(now, key, tokens, query.Stores); ok {
			l.recordTransfer(now, saveTarget, tokens, query.Domain)
			plan.Save[i] = saveTarget.Address
		}
	}
	return plan
}

func (l *Locator) holds(holder netip.AddrPort, key Key, tokens int) bool {
	s, ok := l.inventories[holder]
	return ok && tokens > 0 && s.parts[key] >= tokens
}

func (l *Locator) stored(key Key, tokens int, stores []Store) (Store, bool) {
	for _, store := range stores {
		if l.holds(store.Address, key, tokens) {
			return store, true
		}
	}
	return Store{}, false
}

// engine returns another engine that holds a part, preferably one in the same
// failure domain.
func (l *Locator) engine(key Key, tokens int, query Query) (netip.AddrPort, bool) {
	var found netip.AddrPort
	for _, engine := range query.Engines {
		if engine.Address == query.Target || !l.holds(engine.Address, key, tokens) {
			continue
		}
		found = engine.Address
		if engine.Domain == query.Domain {
			break
		}
	}
	return found, found.IsValid()
}

func (l *Locator) saving(now time.Time, key Key) bool {
	for _, s := range l.inventories {
		if until, ok := s.saving[key]; ok {
			if now.Before(until) {
				return true
			}
			delete(s.saving, key)
		}
	}
	return false
}

// saveTarget returns the first store in the part's hash order that has room,
// and marks the part as being saved there.
func (l *Locator) saveTarget(now time.Time, key Key, tokens int, stores []Store) (Store, bool) {
	for _, store := range Rank(stores, key) {
		s, ok := l.inventories[store.Address]
		if !ok || s.parts[key] > 0 {
			continue
		}
		if float64(s.usedTokens+roundToBlocks(tokens)) > maxFill*float64(store.Capacity) {
			continue
		}
		s.saving[key] = now.Add(saveTimeout)
		return store, true
	}
	return Store{}, false
}

// Rank orders stores for a part by weighted rendezvous hashing, the assigned
// store first.
func Rank(stores []Store, key Key) []Store {
	ranked := slices.Clone(stores)
	partName := key.Salt + "\x00" + key.Part
	score := func(s Store) float64 {
		// unitScore is the score mapped to the open interval (0, 1).
		unitScore := (float64(ranker.Score(s.Address.String(), partName)>>11) + 0.5) / (1 << 53)
		return -float64(s.Capacity) / math.Log(unitScore)
	}
	slices.SortFunc(ranked, func(a, b Store) int { return cmp.Compare(score(b), score(a)) })
	return ranked
}

func roundToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }
