package endpointtracker_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

func endpoint(version int64) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{ID: "e1", Service: "s", Address: address, StartedAt: start, Weights: map[string]int64{"m": version}}
}

func assertListed(t *testing.T, table *endpointtracker.Table, want int) {
	t.Helper()
	assert.Len(t, table.Snapshot()["s"], want)
}

func TestRemove(t *testing.T) {
	t.Run("immediately if the directory was available", func(t *testing.T) {
		table := &endpointtracker.Table{Grace: 2 * time.Second}
		table.Put(endpoint(1))
		assert.True(t, table.Remove("e1", start, false))
		assertListed(t, table, 0)
	})
	t.Run("after the grace period if it was unavailable", func(t *testing.T) {
		table := &endpointtracker.Table{Grace: 2 * time.Second}
		table.Put(endpoint(1))
		table.Remove("e1", start, true)
		assert.Empty(t, table.RemoveExpired(start.Add(1999*time.Millisecond)))
		assertListed(t, table, 1)
		assert.Equal(t, []string{"e1"}, table.RemoveExpired(start.Add(2*time.Second)))
		assertListed(t, table, 0)
	})
	t.Run("not if the endpoint registers again", func(t *testing.T) {
		table := &endpointtracker.Table{Grace: 2 * time.Second}
		table.Put(endpoint(1))
		table.Remove("e1", start, true)
		table.Put(endpoint(1))
		assert.Empty(t, table.RemoveExpired(start.Add(time.Hour)))
		assertListed(t, table, 1)
	})
	t.Run("immediately if the endpoint was leaving", func(t *testing.T) {
		table := &endpointtracker.Table{Grace: 2 * time.Second}
		leaving := endpoint(1)
		leaving.Leaving = true
		table.Put(leaving)
		table.Remove("e1", start, true)
		assertListed(t, table, 0)
	})
	t.Run("if a full listing lacks the endpoint", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		assert.False(t, table.RemoveUnlisted(map[string]bool{"e1": true}, start, false))
		assert.True(t, table.RemoveUnlisted(map[string]bool{"e2": true}, start, false))
		assertListed(t, table, 0)
	})
}

func assertVersion(t *testing.T, table *endpointtracker.Table, want int64) {
	t.Helper()
	assert.Equal(t, want, table.Snapshot()["s"][0].Weights["m"])
}

func TestWeights(t *testing.T) {
	t.Run("an outdated entry does not lower the version", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		assert.True(t, table.UpdateWeights(endpoint(1), "m", 2))
		assert.False(t, table.Put(endpoint(1)))
		assertVersion(t, table, 2)
	})
	t.Run("a restart under the same id resets the version", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(2))
		restarted := endpoint(1)
		restarted.StartedAt = start.Add(time.Second)
		assert.True(t, table.Put(restarted))
		assertVersion(t, table, 1)
	})
	t.Run("a version reported by an earlier process is ignored", func(t *testing.T) {
		table := &endpointtracker.Table{}
		restarted := endpoint(1)
		restarted.StartedAt = start.Add(time.Second)
		table.Put(restarted)
		assert.False(t, table.UpdateWeights(endpoint(1), "m", 2))
		assertVersion(t, table, 1)
	})
}
