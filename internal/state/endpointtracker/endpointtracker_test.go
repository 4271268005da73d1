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
	t.Run("entries that go on reporting an older version are believed", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(endpoint(1))
		table.UpdateWeights(endpoint(1), "m", 2)
		for n := range int64(2) {
			assert.False(t, table.Put(renewed(n+1, false)))
			assert.False(t, table.Put(renewed(n+1, false)), "the same entry")
		}
		assertVersion(t, table, 2)
		assert.True(t, table.Put(renewed(3, false)))
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

// directory applies entries to a table as its history accepts them.
type directory struct {
	endpointtracker.Table
	history endpointtracker.History
	now     time.Time
}

func (d *directory) put(e endpointtracker.Endpoint, restored bool) bool {
	return d.history.Accept(e, d.now, restored) && d.Put(e)
}

func (d *directory) remove(id string) {
	d.history.Remove(id, d.now)
	d.Remove(id, d.now, time.Time{})
}

// TestOutdatedEntries guards against entries that take back what newer ones said: from a
// directory that comes back from a copy that is some seconds old, or by writes that are executed
// late.
func TestOutdatedEntries(t *testing.T) {
	startedAt := func(e endpointtracker.Endpoint, at time.Time) endpointtracker.Endpoint {
		e.StartedAt = at
		return e
	}
	for name, restored := range map[string]bool{"restored directory": true, "late write": false} {
		run := func(what string, check func(t *testing.T, d *directory)) {
			t.Run(name+" "+what, func(t *testing.T) { check(t, &directory{now: start}) })
		}
		run("does not take back that an endpoint is leaving", func(t *testing.T, d *directory) {
			d.put(renewed(7, true), false)
			assert.False(t, d.put(renewed(5, false), restored))
			assertLeaving(t, &d.Table, true)
		})
		run("does not bring back a removed endpoint", func(t *testing.T, d *directory) {
			d.put(renewed(7, false), false)
			d.remove("e1")
			assert.False(t, d.put(renewed(5, false), restored))
			assert.False(t, d.put(renewed(7, false), restored))
			assertListed(t, &d.Table, 0)
		})
		run("an endpoint that was removed and has renewed its entry since is back", func(t *testing.T, d *directory) {
			d.put(renewed(7, false), false)
			d.remove("e1")
			assert.True(t, d.put(renewed(8, false), restored))
			assertListed(t, &d.Table, 1)
		})
		run("an endpoint that registers again after an ignored entry is back", func(t *testing.T, d *directory) {
			d.put(renewed(7, false), false)
			d.remove("e1")
			d.put(renewed(7, false), restored)
			assert.True(t, d.put(renewed(8, false), false))
			assertListed(t, &d.Table, 1)
		})
		run("an entry of an earlier process is ignored", func(t *testing.T, d *directory) {
			d.put(renewed(1, false), false)
			assert.False(t, d.put(startedAt(renewed(90, false), start.Add(-time.Minute)), restored))
			assert.False(t, d.put(startedAt(renewed(90, false), time.Time{}), restored))
		})
		run("a new process is taken", func(t *testing.T, d *directory) {
			d.put(renewed(7, true), false)
			assert.True(t, d.put(startedAt(renewed(1, false), start.Add(time.Second)), restored))
			assertLeaving(t, &d.Table, false)
		})
	}
	t.Run("a process that started with a clock that was set back is taken once the former is silent", func(t *testing.T) {
		d := &directory{now: start}
		d.put(renewed(7, false), false)
		earlier := startedAt(renewed(1, false), start.Add(-time.Minute))
		d.now = start.Add(9 * time.Second)
		assert.False(t, d.put(earlier, false))
		d.now = start.Add(10 * time.Second)
		assert.False(t, d.put(earlier, true))
		assert.True(t, d.put(earlier, false))
	})
	t.Run("a listing that lacks an entry counts as its removal", func(t *testing.T) {
		d := &directory{now: start}
		d.put(renewed(7, false), false)
		d.history.RemoveUnlisted(map[string]bool{"e2": true}, start)
		assert.False(t, d.history.Accept(renewed(7, false), start, false))
		assert.True(t, d.history.Accept(renewed(8, false), start, false))
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
	t.Run("holds for an entry that comes back", func(t *testing.T) {
		table := &endpointtracker.Table{}
		table.Put(renewed(1, false))
		table.MarkLeaving(renewed(1, false))
		table.Remove("e1", start, time.Time{})
		table.Put(renewed(2, false))
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
