package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const grace = 2 * time.Second

// registry is what a Table does, and what a broken variant does in its place.
type registry interface {
	Put(endpoint tracker.Endpoint) bool
	Remove(id string, now time.Time, interrupted bool) bool
	Sweep(now time.Time) []string
	Reweigh(endpoint tracker.Endpoint, model string, version int64) bool
	Snapshot() map[string][]tracker.Endpoint
}

// model is what must hold of one endpoint's entry, kept in the plainest way.
type model struct {
	present  bool
	endpoint tracker.Endpoint
	lapsed   time.Time
	newest   int64
}

// source of random choices, rapid or seeded.
type source func(n int, label string) int

// play runs random operations on a table and returns what is wrong, or "".
func play(table registry, choose source, steps int) string {
	now := start
	models := map[string]*model{"a": {}, "b": {}}
	for range steps {
		id := []string{"a", "b"}[choose(2, "id")]
		m := models[id]
		now = now.Add(time.Duration(choose(4, "pause")) * 700 * time.Millisecond)
		for _, other := range models {
			if other.present && !other.lapsed.IsZero() && now.Sub(other.lapsed) >= grace {
				other.present = false
			}
		}
		table.Sweep(now)
		switch choose(4, "operation") {
		case 0:
			entry := tracker.Endpoint{
				ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: choose(4, "leaving") == 0,
				Born: start.Add(time.Duration(choose(2, "born")) * time.Hour), Weights: map[string]int64{"m": int64(1 + choose(3, "version"))},
			}
			if !m.present || !m.endpoint.Same(entry) {
				m.newest = 0
			}
			m.newest = max(m.newest, entry.Weights["m"])
			m.present, m.endpoint, m.lapsed = true, entry, time.Time{}
			table.Put(entry)
		case 1:
			interrupted := choose(2, "interrupted") == 0
			table.Remove(id, now, interrupted)
			switch {
			case !m.present:
			case !interrupted || m.endpoint.Leaving:
				m.present = false
			case m.lapsed.IsZero():
				m.lapsed = now
			}
		case 2:
			version := int64(1 + choose(4, "shown"))
			table.Reweigh(m.endpoint, "m", version)
			if m.present {
				m.newest = max(m.newest, version)
			}
		}
		if wrong := compare(table, models); wrong != "" {
			return wrong
		}
	}
	return ""
}

func compare(table registry, models map[string]*model) string {
	listed := map[string]tracker.Endpoint{}
	for _, endpoint := range table.Snapshot()["s"] {
		listed[endpoint.ID] = endpoint
	}
	for id, m := range models {
		endpoint, ok := listed[id]
		switch {
		case ok != m.present:
			return "listed although gone, or gone although listed: " + id
		case !ok:
		case endpoint.Leaving != m.endpoint.Leaving:
			return "leaving is not told: " + id
		case endpoint.Weights["m"] != m.newest:
			return "weights went back or are another process's: " + id
		}
	}
	return ""
}

func TestTableModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		if wrong := play(&tracker.Table{Grace: grace}, choose, 60); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// The variants below each break one rule of the table.

type neverForgets struct{ *tracker.Table }

// Sweep implements registry.
func (neverForgets) Sweep(time.Time) []string { return nil }

type dropsAtOnce struct{ *tracker.Table }

// Remove implements registry.
func (d dropsAtOnce) Remove(id string, now time.Time, _ bool) bool {
	return d.Table.Remove(id, now, false)
}

type goesBack struct{ *tracker.Table }

// Put implements registry.
func (g goesBack) Put(endpoint tracker.Endpoint) bool {
	g.Table.Remove(endpoint.ID, start, false)
	return g.Table.Put(endpoint)
}

func TestModelFindsBrokenTables(t *testing.T) {
	for name, variant := range map[string]func(table *tracker.Table) registry{
		"lapsed entries stay":           func(table *tracker.Table) registry { return neverForgets{table} },
		"entries lapse with the outage": func(table *tracker.Table) registry { return dropsAtOnce{table} },
		"weights follow late entries":   func(table *tracker.Table) registry { return goesBack{table} },
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 500 && !found; seed++ {
				wrong := rapid.Custom(func(rt *rapid.T) string {
					choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
					return play(variant(&tracker.Table{Grace: grace}), choose, 60)
				}).Example(seed)
				found = wrong != ""
			}
			assert.True(t, found)
		})
	}
}
