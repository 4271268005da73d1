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
	Remove(id string, now, graceEnd time.Time) bool
	RemoveExpired(now time.Time) []string
	UpdateWeights(endpoint endpointtracker.Endpoint, model string, version int64) bool
	Snapshot() map[string][]endpointtracker.Endpoint
}

// expectedEntry is the expected state of one endpoint's entry, in a simple
// reference model.
type expectedEntry struct {
	present  bool
	endpoint endpointtracker.Endpoint
	// removeAt is when a missing entry is removed; zero if it is not missing.
	removeAt      time.Time
	newestVersion int64
}

// chooser returns a random number below n; label names the choice.
type chooser func(n int, label string) int

// runOperations runs random operations on a table and on the reference model. It
// returns the first difference, or "".
func runOperations(table endpointTable, choose chooser, steps int) string {
	now := start
	// graceEnd is the end of the grace period of the last outage.
	var graceEnd time.Time
	expected := map[string]*expectedEntry{"a": {}, "b": {}}
	for range steps {
		id := []string{"a", "b"}[choose(2, "id")]
		want := expected[id]
		now = now.Add(time.Duration(choose(4, "pause")) * 700 * time.Millisecond)
		for _, other := range expected {
			if other.present && !other.removeAt.IsZero() && !now.Before(other.removeAt) {
				other.present = false
			}
		}
		table.RemoveExpired(now)
		// In the fifth case only time passes.
		switch choose(5, "operation") {
		case 0:
			entry := endpointtracker.Endpoint{
				ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: choose(4, "leaving") == 0,
				StartedAt: start.Add(time.Duration(choose(2, "born")) * time.Hour), Weights: map[string]int64{"m": int64(1 + choose(3, "version"))},
			}
			if !want.endpoint.SameProcess(entry) {
				want.newestVersion = 0
			}
			want.newestVersion = max(want.newestVersion, entry.Weights["m"])
			want.present, want.endpoint, want.removeAt = true, entry, time.Time{}
			table.Put(entry)
		case 1:
			table.Remove(id, now, graceEnd)
			switch {
			case !want.present:
			case !now.Before(graceEnd) || want.endpoint.Leaving:
				want.present = false
			case want.removeAt.IsZero():
				want.removeAt = graceEnd
			}
		case 2:
			version := int64(1 + choose(4, "shown"))
			table.UpdateWeights(want.endpoint, "m", version)
			if want.present {
				want.newestVersion = max(want.newestVersion, version)
			}
		case 3:
			graceEnd = now.Add(grace)
		}
		if violation := compareWithExpected(table, expected); violation != "" {
			return violation
		}
	}
	return ""
}

func compareWithExpected(table endpointTable, expected map[string]*expectedEntry) string {
	listed := map[string]endpointtracker.Endpoint{}
	for _, endpoint := range table.Snapshot()["s"] {
		listed[endpoint.ID] = endpoint
	}
	for id, want := range expected {
		endpoint, ok := listed[id]
		switch {
		case ok != want.present:
			return "listed but should be removed, or removed but should be listed: " + id
		case !ok:
		case endpoint.Leaving != want.endpoint.Leaving:
			return "leaving flag differs: " + id
		case endpoint.Weights["m"] != want.newestVersion:
			return "version was lowered or belongs to another process: " + id
		}
	}
	return ""
}

func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		if violation := runOperations(&endpointtracker.Table{}, choose, 60); violation != "" {
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
func (t ignoresGrace) Remove(id string, now, _ time.Time) bool {
	return t.Table.Remove(id, now, time.Time{})
}

type countsGraceFromRemoval struct{ *endpointtracker.Table }

// Remove implements endpointTable.
func (t countsGraceFromRemoval) Remove(id string, now, graceEnd time.Time) bool {
	if now.Before(graceEnd) {
		graceEnd = now.Add(grace)
	}
	return t.Table.Remove(id, now, graceEnd)
}

type forgetsVersions struct{ *endpointtracker.Table }

// Put implements endpointTable.
func (t forgetsVersions) Put(endpoint endpointtracker.Endpoint) bool {
	other := endpoint
	other.StartedAt = start.Add(-time.Hour)
	t.Table.Put(other)
	return t.Table.Put(endpoint)
}

func TestTableCheckerDetectsFaults(t *testing.T) {
	for name, variant := range map[string]func(table *endpointtracker.Table) endpointTable{
		"expired entries stay":                 func(table *endpointtracker.Table) endpointTable { return neverRemovesExpired{table} },
		"entries are removed during an outage": func(table *endpointtracker.Table) endpointTable { return ignoresGrace{table} },
		"grace counts from the removal":        func(table *endpointtracker.Table) endpointTable { return countsGraceFromRemoval{table} },
		"outdated entries lower versions":      func(table *endpointtracker.Table) endpointTable { return forgetsVersions{table} },
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 500 && !found; seed++ {
				violation := rapid.Custom(func(rt *rapid.T) string {
					choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
					return runOperations(variant(&endpointtracker.Table{}), choose, 60)
				}).Example(seed)
				found = violation != ""
			}
			assert.True(t, found)
		})
	}
}
