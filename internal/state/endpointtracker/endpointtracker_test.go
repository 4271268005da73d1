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

// TestColdRenewal guards against a new view at each renewal of a cold endpoint's entry.
func TestColdRenewal(t *testing.T) {
	table := &endpointtracker.Table{}
	entry := endpointtracker.Endpoint{ID: "e", Renewal: 1, Cold: 3 * time.Second, HasCold: true, ReceivedAt: time.Now()}
	assert.True(t, table.Put(entry))
	entry.Renewal, entry.Cold, entry.ReceivedAt = 2, 2*time.Second, entry.ReceivedAt.Add(time.Second)
	assert.False(t, table.Put(entry))
}

func TestRemove(t *testing.T) {
	t.Run("immediately if the directory was available", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		assert.True(t, table.Remove("e1", start, time.Time{}))
		assertListed(t, table, 0)
	})
	t.Run("after the grace period if it was unavailable", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		table.Remove("e1", start, start.Add(2*time.Second))
		assert.Empty(t, table.RemoveExpired(start.Add(1999*time.Millisecond)))
		assertListed(t, table, 1)
		assert.Equal(t, []string{"e1"}, table.RemoveExpired(start.Add(2*time.Second)))
		assertListed(t, table, 0)
	})
	t.Run("at the end of the grace period, whenever in it the removal is seen", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		table.Remove("e1", start.Add(1900*time.Millisecond), start.Add(2*time.Second))
		assert.Equal(t, []string{"e1"}, table.RemoveExpired(start.Add(2*time.Second)))
	})
	t.Run("immediately if the grace period is over", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		assert.True(t, table.Remove("e1", start.Add(2*time.Second), start.Add(2*time.Second)))
		assertListed(t, table, 0)
	})
	t.Run("not if the endpoint registers again", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		table.Remove("e1", start, start.Add(2*time.Second))
		table.Put(endpoint(1))
		assert.Empty(t, table.RemoveExpired(start.Add(time.Hour)))
		assertListed(t, table, 1)
	})
	t.Run("immediately if the endpoint was leaving", func(t *testing.T) {
		table := &endpointtracker.Table{}
		leaving := endpoint(1)
		leaving.Leaving = true
		table.Put(leaving)
		table.Remove("e1", start, start.Add(2*time.Second))
		assertListed(t, table, 0)
	})
	t.Run("if a full listing lacks the endpoint", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		assert.False(t, table.RemoveUnlisted(map[string]bool{"e1": true}, start, time.Time{}))
		assert.True(t, table.RemoveUnlisted(map[string]bool{"e2": true}, start, time.Time{}))
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

func assertLeaving(t *testing.T, table *endpointtracker.Table, want bool) {
	t.Helper()
	assert.Equal(t, want, table.Snapshot()["s"][0].Leaving)
}

// renewed returns an entry that its process has written n times.
func renewed(n int64, leaving bool) endpointtracker.Endpoint {
	e := endpoint(1)
	e.Renewal, e.Leaving = n, leaving
	return e
}

// TestRestoredDirectory covers a directory that comes back from a copy that is some
// seconds old.
func TestRestoredDirectory(t *testing.T) {
	t.Run("does not take back that an endpoint is leaving", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(7, true))
		assert.False(t, table.PutRestored(renewed(5, false)))
		assertLeaving(t, table, true)
	})
	t.Run("does not bring back a removed endpoint", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(7, false))
		table.Remove("e1", start, time.Time{})
		assert.False(t, table.PutRestored(renewed(5, false)))
		assert.False(t, table.PutRestored(renewed(7, false)))
		assertListed(t, table, 0)
	})
	t.Run("an endpoint that was removed and has renewed its entry since is back", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(7, false))
		table.Remove("e1", start, time.Time{})
		assert.True(t, table.PutRestored(renewed(8, false)))
		assertListed(t, table, 1)
	})
	t.Run("an endpoint that registers again after the restoration is back", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(7, false))
		table.Remove("e1", start, time.Time{})
		table.PutRestored(renewed(7, false))
		assert.True(t, table.Put(renewed(7, false)))
		assertListed(t, table, 1)
	})
	t.Run("an entry of an earlier process is ignored", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(1, false))
		earlier := renewed(90, false)
		earlier.StartedAt = start.Add(-time.Minute)
		assert.False(t, table.PutRestored(earlier))
	})
	t.Run("a new process is taken", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(7, true))
		restarted := renewed(1, false)
		restarted.StartedAt = start.Add(time.Second)
		assert.True(t, table.PutRestored(restarted))
		assertLeaving(t, table, false)
	})
}

func TestMarkLeaving(t *testing.T) {
	t.Run("holds against the endpoint's entry", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(1, false))
		assert.True(t, table.MarkLeaving(renewed(1, false)))
		assert.False(t, table.MarkLeaving(renewed(1, false)), "known already")
		assert.False(t, table.Put(renewed(2, false)))
		assertLeaving(t, table, true)
	})
	t.Run("does not hold for another process of the same id", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(1, false))
		table.MarkLeaving(renewed(1, false))
		restarted := renewed(1, false)
		restarted.StartedAt = start.Add(time.Second)
		table.Put(restarted)
		assertLeaving(t, table, false)
		assert.False(t, table.MarkLeaving(renewed(1, false)), "a late word of the earlier process")
	})
}
