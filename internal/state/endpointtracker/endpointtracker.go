// Package endpointtracker keeps the table of endpoints that register themselves
// in a directory service, each under its own id.
//
// An endpoint goes away in three ways: its entry is marked as leaving, its entry
// is removed, or its process restarts under the same id. Entries that expire
// during an outage of the directory are kept for a grace period, since live
// endpoints register again after the outage.
//
// # Usage
//
//	table := &endpointtracker.Table{Grace: 2 * time.Second}
//	table.Put(endpoint)
//	table.Remove(id, now, interrupted)
//	table.RemoveExpired(now)
//	endpoints := table.Snapshot()
package endpointtracker

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Endpoint is one endpoint of a service as described by its directory entry.
type Endpoint struct {
	ID      string
	Service string
	Domain  string
	Address netip.AddrPort
	// StartedAt is the start time of the endpoint's process; zero if unknown. It
	// distinguishes processes that use the same id one after the other.
	StartedAt time.Time
	Slots     int
	// Leaving endpoints receive no new requests.
	Leaving bool
	// Weights maps each model to its loaded version.
	Weights map[string]int64
}

// SameProcess reports whether both entries describe the same process.
func (e Endpoint) SameProcess(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.StartedAt.Equal(other.StartedAt)
}

type row struct {
	endpoint Endpoint
	// removeAt is when an entry that the directory no longer lists is removed;
	// zero for a listed one.
	removeAt time.Time
}

// Table holds the known endpoints. It is owned by the control goroutine and not
// safe for concurrent use.
type Table struct {
	// Grace is how long an entry whose removal may be due to an outage of the
	// directory is kept after the removal was seen.
	Grace time.Duration

	rows map[string]row
}

// Put adds or updates an entry. It reports whether that changed the table, which
// a renewal of the same entry does not.
func (t *Table) Put(endpoint Endpoint) bool {
	if t.rows == nil {
		t.rows = map[string]row{}
	}
	current, ok := t.rows[endpoint.ID]
	if ok && current.endpoint.SameProcess(endpoint) {
		endpoint.Weights = mergeVersions(current.endpoint.Weights, endpoint.Weights)
	}
	t.rows[endpoint.ID] = row{endpoint: endpoint}
	return !ok || !current.removeAt.IsZero() || !equal(current.endpoint, endpoint)
}

// Remove handles the removal of an entry from the directory and reports whether
// that changed the table. If interrupted is set, the directory was recently
// unavailable, and the entry is kept for Grace unless it was leaving.
func (t *Table) Remove(id string, now time.Time, interrupted bool) bool {
	current, ok := t.rows[id]
	if !ok {
		return false
	}
	if !interrupted || current.endpoint.Leaving {
		delete(t.rows, id)
		return true
	}
	if current.removeAt.IsZero() {
		current.removeAt = now.Add(t.Grace)
		t.rows[id] = current
	}
	return false
}

// RemoveUnlisted removes, as Remove does, all endpoints that a full listing
// does not contain. It reports whether that changed the table.
func (t *Table) RemoveUnlisted(listed map[string]bool, now time.Time, interrupted bool) bool {
	changed := false
	for id := range t.rows {
		if !listed[id] {
			changed = t.Remove(id, now, interrupted) || changed
		}
	}
	return changed
}

// RemoveExpired removes the entries whose grace period has ended and returns their
// ids.
func (t *Table) RemoveExpired(now time.Time) []string {
	var removed []string
	for id, current := range t.rows {
		if !current.removeAt.IsZero() && !now.Before(current.removeAt) {
			delete(t.rows, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// Snapshot returns the endpoints of each service ordered by id.
func (t *Table) Snapshot() map[string][]Endpoint {
	services := map[string][]Endpoint{}
	for _, current := range t.rows {
		services[current.endpoint.Service] = append(services[current.endpoint.Service], current.endpoint)
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return services
}

func equal(a, b Endpoint) bool {
	return a.SameProcess(b) && a.Service == b.Service && a.Domain == b.Domain && a.Slots == b.Slots && a.Leaving == b.Leaving &&
		maps.Equal(a.Weights, b.Weights)
}

// UpdateWeights records a version of a model that the endpoint itself reported,
// for instance in an answer. It reports whether that changed the table; an
// older version than the known one or another process's version does not.
func (t *Table) UpdateWeights(endpoint Endpoint, model string, version int64) bool {
	current, ok := t.rows[endpoint.ID]
	if !ok || !current.endpoint.SameProcess(endpoint) || current.endpoint.Weights[model] >= version {
		return false
	}
	// Copied, since snapshots share the map.
	weights := make(map[string]int64, len(current.endpoint.Weights)+1)
	maps.Copy(weights, current.endpoint.Weights)
	weights[model] = version
	current.endpoint.Weights = weights
	t.rows[endpoint.ID] = current
	return true
}

// mergeVersions returns the higher version of each reported model. Directory
// entries may be older than what the endpoint itself reported, and a process
// never returns to an older version.
func mergeVersions(known, reported map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(reported))
	for model, version := range reported {
		merged[model] = max(version, known[model])
	}
	return merged
}
