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
	"maps"
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
	// reserved is the memory taken by incomplete parts, in tokens.
	reserved int
}

// holding is a holder of a part, with the size of the part there.
type holding struct {
	holder netip.AddrPort
	tokens int
}

// Observer is told of all changes of the directory. It is called with the directory's
// lock held, must not call back, and must not block.
type Observer interface {
	// PartSet is called for a part of a holder; zero tokens mean that it was removed.
	PartSet(holder netip.AddrPort, key Key, tokens int)
	// HolderReset is called when all parts of a holder were replaced.
	HolderReset(holder netip.AddrPort)
	// HolderForgotten is called when a holder was removed.
	HolderForgotten(holder netip.AddrPort)
}

// Locator is the directory of prompt parts. It is safe for concurrent use.
type Locator struct {
	// Observer is set before use; nil for none.
	Observer Observer

	mu          sync.Mutex
	inventories map[netip.AddrPort]*inventory
	// holdings lists the holders of each part.
	holdings map[Key][]holding
	// saving maps each part being saved to the time at which the save is assumed to have
	// failed.
	saving map[Key]time.Time
	links  map[netip.AddrPort]*link
}

// New returns an empty directory.
func New() *Locator {
	return &Locator{
		inventories: map[netip.AddrPort]*inventory{}, holdings: map[Key][]holding{}, saving: map[Key]time.Time{},
		links: map[netip.AddrPort]*link{},
	}
}

// Reset replaces the parts of a holder. reserved is the memory taken by
// incomplete parts, in tokens.
func (l *Locator) Reset(holder netip.AddrPort, parts map[Key]int, reserved int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(holder)
	s := &inventory{parts: parts, usedTokens: reserved, reserved: reserved}
	for key, tokens := range parts {
		s.usedTokens += roundToBlocks(tokens)
		l.holdings[key] = append(l.holdings[key], holding{holder: holder, tokens: tokens})
	}
	l.inventories[holder] = s
	if l.Observer != nil {
		l.Observer.HolderReset(holder)
	}
}

// Forget removes a holder. Nothing is fetched from or saved to it until the
// next Reset.
func (l *Locator) Forget(holder netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forget(holder) && l.Observer != nil {
		l.Observer.HolderForgotten(holder)
	}
}

// forget removes a holder and reports whether it was known.
func (l *Locator) forget(holder netip.AddrPort) bool {
	s, ok := l.inventories[holder]
	if !ok {
		return false
	}
	for key := range s.parts {
		l.removeHolding(holder, key)
	}
	delete(l.inventories, holder)
	return true
}

func (l *Locator) removeHolding(holder netip.AddrPort, key Key) {
	left := slices.DeleteFunc(l.holdings[key], func(h holding) bool { return h.holder == holder })
	if len(left) == 0 {
		delete(l.holdings, key)
		return
	}
	l.holdings[key] = left
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
	delete(l.saving, key)
	l.removeHolding(holder, key)
	if tokens == 0 {
		delete(s.parts, key)
	} else {
		s.parts[key] = tokens
		l.holdings[key] = append(l.holdings[key], holding{holder: holder, tokens: tokens})
	}
	if l.Observer != nil {
		l.Observer.PartSet(holder, key, tokens)
	}
}

// Inventory is the content of one holder.
type Inventory struct {
	Holder netip.AddrPort
	Parts  map[Key]int
	// Reserved is the memory taken by incomplete parts when the holder was last listed, in
	// tokens.
	Reserved int
}

// Inventories returns a copy of the directory. mark is called with the directory's lock
// held, so that no change comes between the copy and what mark records.
func (l *Locator) Inventories(mark func()) []Inventory {
	l.mu.Lock()
	defer l.mu.Unlock()
	mark()
	all := make([]Inventory, 0, len(l.inventories))
	for holder, s := range l.inventories {
		all = append(all, Inventory{Holder: holder, Parts: maps.Clone(s.parts), Reserved: s.reserved})
	}
	return all
}

// Inventory returns a copy of the content of one holder; false if it is not known.
func (l *Locator) Inventory(holder netip.AddrPort) (Inventory, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.inventories[holder]
	if !ok {
		return Inventory{}, false
	}
	return Inventory{Holder: holder, Parts: maps.Clone(s.parts), Reserved: s.reserved}, true
}

// Holders returns the known holders.
func (l *Locator) Holders() []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.inventories))
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
		if stored || l.isSaving(now, key) {
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

func (l *Locator) stored(key Key, tokens int, query Query) (Store, bool) {
	for _, h := range l.holdings[key] {
		if i := query.store(h.holder); i >= 0 && tokens > 0 && h.tokens >= tokens {
			return query.Stores[i], true
		}
	}
	return Store{}, false
}

// engine returns another engine that holds a part, preferably one in the same
// failure domain.
func (l *Locator) engine(key Key, tokens int, query Query) (netip.AddrPort, bool) {
	var found netip.AddrPort
	for _, h := range l.holdings[key] {
		if h.holder == query.Target || tokens == 0 || h.tokens < tokens {
			continue
		}
		i := query.engine(h.holder)
		if i < 0 {
			continue
		}
		found = h.holder
		if query.Engines[i].Domain == query.Domain {
			break
		}
	}
	return found, found.IsValid()
}

func (l *Locator) isSaving(now time.Time, key Key) bool {
	until, ok := l.saving[key]
	if ok && !now.Before(until) {
		delete(l.saving, key)
		return false
	}
	return ok
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
		l.saving[key] = now.Add(saveTimeout)
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
