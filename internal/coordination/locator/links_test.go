package locator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
)

// queryWithLink returns a query for a part of 100 tokens with a store whose
// link carries 1,000 tokens per second.
func queryWithLink(nodes int) locator.Query {
	q := query()
	q.Nodes = nodes
	q.Stores = []locator.Store{{Address: store, Domain: q.Domain, Capacity: 1_000_000, Bandwidth: 1_000}}
	return q
}

// locatorWithStoreAndEngine returns a directory in which the store and another
// engine hold the part.
func locatorWithStoreAndEngine() *locator.Locator {
	l := locatorWithEmptyStore()
	l.SetPart(store, key, 100)
	l.Reset(otherHolder, map[locator.Key]int{key: 100}, 0)
	return l
}

func assertSource(t *testing.T, l *locator.Locator, at time.Duration, q locator.Query, fromStore bool) {
	t.Helper()
	want := otherHolder
	if fromStore {
		want = store
	}
	assert.Equal(t, want, l.Plan(now.Add(at), q).Fetch[0])
}

// TestSources covers engines under memory pressure, which evict parts before a
// fetch reaches them, and a store that keeps the parts but has a slow link.
func TestSources(t *testing.T) {
	t.Run("a store with an idle link is preferred to an engine", func(t *testing.T) {
		assertSource(t, locatorWithStoreAndEngine(), 0, queryWithLink(1), true)
	})
	t.Run("an engine is preferred once the link is no longer idle", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		for range 3 {
			assertSource(t, l, 0, queryWithLink(1), true)
		}
		assertSource(t, l, 0, queryWithLink(1), false)
	})
	t.Run("the store is preferred again once the link is idle", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		for range 4 {
			l.Plan(now, queryWithLink(1))
		}
		assertSource(t, l, 3*time.Second, queryWithLink(1), true)
	})
	t.Run("other nodes are assumed to use the link as much as this one", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		assertSource(t, l, 0, queryWithLink(7), true)
		assertSource(t, l, 0, queryWithLink(7), false)
	})
	t.Run("transfers between domains count twice", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		q := queryWithLink(1)
		q.Stores[0].Domain = "d2"
		assertSource(t, l, 0, q, true)
		assertSource(t, l, 0, q, true)
		assertSource(t, l, 0, q, false)
	})
	t.Run("saves count as link use", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		q := queryWithLink(1)
		q.Parts = []locator.Part{{ID: "new", Tokens: 400}, {ID: "own", Tokens: 50}}
		assert.Equal(t, store, l.Plan(now, q).Save[0])
		assertSource(t, l, 0, queryWithLink(1), false)
	})
	t.Run("a busy store is used where no engine holds the part", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		l.Forget(otherHolder)
		for range 9 {
			assertSource(t, l, 0, queryWithLink(7), true)
		}
	})
	t.Run("parts that the engine is assumed to hold use no link", func(t *testing.T) {
		l := locatorWithStoreAndEngine()
		l.Reset(engine, map[locator.Key]int{key: 100}, 0)
		for range 9 {
			l.Plan(now, queryWithLink(7))
		}
		l.Forget(engine)
		assertSource(t, l, 0, queryWithLink(1), true)
	})
}
