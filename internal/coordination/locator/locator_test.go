package locator_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
)

var (
	now         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	store       = netip.MustParseAddrPort("10.0.0.1:1")
	engine      = netip.MustParseAddrPort("10.0.1.1:1")
	otherHolder = netip.MustParseAddrPort("10.0.1.2:1")
	none        = netip.AddrPort{}
	key         = locator.Key{Salt: "s", Part: "a"}
)

func query() locator.Query {
	return locator.Query{
		Salt:   "s",
		Parts:  []locator.Part{{ID: "a", Tokens: 100}, {ID: "own", Tokens: 50}},
		Target: engine, Domain: "d1",
		Engines: []locator.Engine{{Address: engine, Domain: "d1"}, {Address: otherHolder, Domain: "d1"}},
		Stores:  []locator.Store{{Address: store, Capacity: 1_000}},
	}
}

// locatorWithEmptyStore returns a directory that knows of one empty store.
func locatorWithEmptyStore() *locator.Locator {
	l := locator.New()
	l.Reset(store, map[locator.Key]int{}, 0)
	return l
}

func assertPlan(t *testing.T, l *locator.Locator, q locator.Query, fetch, save netip.AddrPort) {
	t.Helper()
	plan := l.Plan(now, q)
	assert.Equal(t, []netip.AddrPort{fetch, none}, plan.Fetch, "fetch")
	assert.Equal(t, []netip.AddrPort{save, none}, plan.Save, "save")
}

func TestPlan(t *testing.T) {
	t.Run("an unknown part is saved, the request's own part is not", func(t *testing.T) {
		assertPlan(t, locatorWithEmptyStore(), query(), none, store)
	})
	t.Run("a save in progress is neither repeated nor fetched", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.Plan(now, query())
		assertPlan(t, l, query(), none, none)
	})
	t.Run("a save that timed out is requested again", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.Plan(now.Add(-time.Minute), query())
		assertPlan(t, l, query(), none, store)
	})
	t.Run("a complete part is fetched", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, key, 100)
		assertPlan(t, l, query(), store, none)
	})
	t.Run("a part that is shorter than requested is not fetched", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, key, 40)
		assertPlan(t, l, query(), none, none)
	})
	t.Run("a part with another salt is not fetched", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, locator.Key{Salt: "team", Part: "a"}, 100)
		assertPlan(t, l, query(), none, store)
	})
	t.Run("an evicted part is not fetched", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, key, 100)
		l.SetPart(store, key, 0)
		assertPlan(t, l, query(), none, store)
	})
	t.Run("an engine is preferred to a store of unknown bandwidth", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, key, 100)
		l.Reset(otherHolder, map[locator.Key]int{key: 100}, 0)
		assertPlan(t, l, query(), otherHolder, none)
	})
	t.Run("the engine itself is not a source", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.Reset(engine, map[locator.Key]int{key: 100}, 0)
		assertPlan(t, l, query(), none, store)
	})
	t.Run("nothing is saved to or fetched from a forgotten store", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, key, 100)
		l.Forget(store)
		assertPlan(t, l, query(), none, none)
	})
	t.Run("nothing is saved to a full store", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, locator.Key{Salt: "s", Part: "big"}, 900)
		assertPlan(t, l, query(), none, none)
	})
	t.Run("incomplete parts count towards used capacity", func(t *testing.T) {
		l := locator.New()
		l.Reset(store, map[locator.Key]int{}, 900)
		assertPlan(t, l, query(), none, none)
	})
}

func TestCachedTokens(t *testing.T) {
	assertCached := func(t *testing.T, l *locator.Locator, held, fetchable int) {
		t.Helper()
		gotHeld, gotFetchable := l.Survey(query()).Cached(query().Target)
		assert.Equal(t, held, gotHeld, "held")
		assert.Equal(t, fetchable, gotFetchable, "fetchable")
	}
	t.Run("no known parts", func(t *testing.T) { assertCached(t, locatorWithEmptyStore(), 0, 0) })
	t.Run("held by the engine", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.Reset(engine, map[locator.Key]int{key: 100}, 0)
		assertCached(t, l, 100, 0)
	})
	t.Run("held by a store", func(t *testing.T) {
		l := locatorWithEmptyStore()
		l.SetPart(store, key, 100)
		assertCached(t, l, 0, 100)
	})
}

func TestObsoleteParts(t *testing.T) {
	l := locatorWithEmptyStore()
	l.SetPart(store, key, 100)
	l.SetPart(store, locator.Key{Salt: "old", Part: "b"}, 100)
	keys := l.ObsoleteParts(store, func(salt string) bool { return salt == "s" })
	assert.Equal(t, []locator.Key{{Salt: "old", Part: "b"}}, keys)
}

func TestRankFollowsCapacity(t *testing.T) {
	stores := []locator.Store{{Address: store, Capacity: 900}, {Address: otherHolder, Capacity: 100}}
	first := map[netip.AddrPort]int{}
	for i := range 2_000 {
		k := locator.Key{Salt: "s", Part: string(rune('a'+i%26)) + string(rune('a'+i/26))}
		first[locator.Rank(stores, k)[0].Address]++
	}
	assert.InDelta(t, 0.9, float64(first[store])/2_000, 0.05)
}
