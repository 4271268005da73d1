package endpointtracker_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const grace = 2 * time.Second

// endpointTable is implemented by Table and by broken variants of it.
type endpointTable interface {
	Put(endpoint endpointtracker.Endpoint) bool
	Remove(id string, now time.Time, interrupted bool) bool
	RemoveExpired(now time.Time) []string
	UpdateWeights(endpoint endpointtracker.Endpoint, model string, version int64) bool
	Snapshot() map[string][]endpointtracker.Endpoint
}

// modelEntry is the expected state of one endpoint's entry, in a simple
// reference model.
type modelEntry struct {
	present       bool
	endpoint      endpointtracker.Endpoint
	removedAt     time.Time
	newestVersion int64
}

// chooser returns a random number below n; label names the choice.
type chooser func(n int, label string) int

// runOperations runs random operations on a table and on the reference model. It
// returns the first difference, or "".
func runOperations(table endpointTable, choose chooser, steps int) string {
	now := start
	models := map[string]*modelEntry{"a": {}, "b": {}}
	for range steps {
		id := []string{"a", "b"}[choose(2, "id")]
		m := models[id]
		now = now.Add(time.Duration(choose(4, "pause")) * 700 * time.Millisecond)
		for _, other := range models {
			if other.present && !other.removedAt.IsZero() && now.Sub(other.removedAt) >= grace {
				other.present = false
			}
		}
		table.RemoveExpired(now)
		switch choose(4, "operation") {
		case 0:
			entry := endpointtracker.Endpoint{
				ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: choose(4, "leaving") == 0,
				StartedAt: start.Add(time.Duration(choose(2, "born")) * time.Hour), Weights: map[string]int64{"m": int64(1 + choose(3, "version"))},
			}
			if !m.present || !m.endpoint.SameProcess(entry) {
				m.newestVersion = 0
			}
			m.newestVersion = max(m.newestVersion, entry.Weights["m"])
			m.present, m.endpoint, m.removedAt = true, entry, time.Time{}
			table.Put(entry)
		case 1:
			interrupted := choose(2, "interrupted") == 0
			table.Remove(id, now, interrupted)
			switch {
			case !m.present:
			case !interrupted || m.endpoint.Leaving:
				m.present = false
			case m.removedAt.IsZero():
				m.removedAt = now
			}
		case 2:
			version := int64(1 + choose(4, "shown"))
			table.UpdateWeights(m.endpoint, "m", version)
			if m.present {
				m.newestVersion = max(m.newestVersion, version)
			}
		}
		if violation := compareWithModel(table, models); violation != "" {
			return violation
		}
	}
	return ""
}

func compareWithModel(table endpointTable, models map[string]*modelEntry) string {
	listed := map[string]endpointtracker.Endpoint{}
	for _, endpoint := range table.Snapshot()["s"] {
		listed[endpoint.ID] = endpoint
	}
	for id, m := range models {
		endpoint, ok := listed[id]
		switch {
		case ok != m.present:
			return "listed but should be removed, or removed but should be listed: " + id
		case !ok:
		case endpoint.Leaving != m.endpoint.Leaving:
			return "leaving flag differs: " + id
		case endpoint.Weights["m"] != m.newestVersion:
			return "version was lowered or belongs to another process: " + id
		}
	}
	return ""
}

func TestTableModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		if violation := runOperations(&endpointtracker.Table{Grace: grace}, choose, 60); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// Each of the variants below breaks one rule of the table.

type neverRemovesExpired struct{ *endpointtracker.Table }

// RemoveExpired implements endpointTable.
func (neverRemovesExpired) RemoveExpired(time.Time) []string { return nil }

type ignoresGrace struct{ *endpointtracker.Table }

// Remove implements endpointTable.
func (d ignoresGrace) Remove(id string, now time.Time, _ bool) bool {
	return d.Table.Remove(id, now, false)
}

type forgetsVersions struct{ *endpointtracker.Table }

// Put implements endpointTable.
func (g forgetsVersions) Put(endpoint endpointtracker.Endpoint) bool {
	g.Table.Remove(endpoint.ID, start, false)
	return g.Table.Put(endpoint)
}

func TestTableCheckerDetectsFaults(t *testing.T) {
	for name, variant := range map[string]func(table *endpointtracker.Table) endpointTable{
		"expired entries stay":                 func(table *endpointtracker.Table) endpointTable { return neverRemovesExpired{table} },
		"entries are removed during an outage": func(table *endpointtracker.Table) endpointTable { return ignoresGrace{table} },
		"outdated entries lower versions":      func(table *endpointtracker.Table) endpointTable { return forgetsVersions{table} },
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 500 && !found; seed++ {
				violation := rapid.Custom(func(rt *rapid.T) string {
					choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
					return runOperations(variant(&endpointtracker.Table{Grace: grace}), choose, 60)
				}).Example(seed)
				found = violation != ""
			}
			assert.True(t, found)
		})
	}
}
