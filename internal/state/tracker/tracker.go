// Package tracker keeps the table of endpoints that register themselves in a
// directory service, each under an id of its own.
//
// Endpoints leave in three ways: they say so, their entry is removed, or they
// restart under the same id. Entries that lapse while the directory is away are
// kept for a while after its return, since live endpoints register again.
//
// # Usage
//
//	table := &tracker.Table{Grace: 2 * time.Second}
//	table.Put(endpoint)
//	table.Remove(id, now, interrupted)
//	table.Sweep(now)
//	endpoints := table.Snapshot()
package tracker

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Endpoint is one back end as its own entry shows it.
type Endpoint struct {
	ID      string
	Service string
	Domain  string
	Address netip.AddrPort
	// Born is the start of the endpoint's process; zero if unknown. It tells a
	// restart under the same id.
	Born  time.Time
	Slots int
	// Leaving endpoints get no new work.
	Leaving bool
	// Weights holds the loaded version of each model.
	Weights map[string]int64
}

// Same reports whether both entries are of the same process.
func (e Endpoint) Same(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.Born.Equal(other.Born)
}

type row struct {
	endpoint Endpoint
	// drop is when a removed entry is given up; zero for a present one.
	drop time.Time
}

// Table holds the known endpoints. It belongs to the control goroutine.
type Table struct {
	// Grace is how long an entry that lapsed while the directory was away is
	// kept after its return.
	Grace time.Duration

	rows map[string]row
}

// Put takes in an entry and reports whether more than its time of writing
// changed.
func (t *Table) Put(endpoint Endpoint) bool {
	if t.rows == nil {
		t.rows = map[string]row{}
	}
	held, ok := t.rows[endpoint.ID]
	if ok && held.endpoint.Same(endpoint) {
		endpoint.Weights = newest(held.endpoint.Weights, endpoint.Weights)
	}
	t.rows[endpoint.ID] = row{endpoint: endpoint}
	return !ok || !held.drop.IsZero() || !equal(held.endpoint, endpoint)
}

// Remove takes in that an entry is gone. interrupted tells that the directory
// was away not long ago: the entry is then kept for the grace.
func (t *Table) Remove(id string, now time.Time, interrupted bool) bool {
	held, ok := t.rows[id]
	if !ok {
		return false
	}
	if !interrupted || held.endpoint.Leaving {
		delete(t.rows, id)
		return true
	}
	if held.drop.IsZero() {
		held.drop = now.Add(t.Grace)
		t.rows[id] = held
	}
	return false
}

// Retain removes all endpoints that a full listing lacks.
func (t *Table) Retain(listed map[string]bool, now time.Time, interrupted bool) bool {
	changed := false
	for id := range t.rows {
		if !listed[id] {
			changed = t.Remove(id, now, interrupted) || changed
		}
	}
	return changed
}

// Sweep drops removed entries whose grace is over.
func (t *Table) Sweep(now time.Time) []string {
	var dropped []string
	for id, held := range t.rows {
		if !held.drop.IsZero() && !now.Before(held.drop) {
			delete(t.rows, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Snapshot returns the endpoints of each service ordered by id.
func (t *Table) Snapshot() map[string][]Endpoint {
	services := map[string][]Endpoint{}
	for _, held := range t.rows {
		services[held.endpoint.Service] = append(services[held.endpoint.Service], held.endpoint)
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return services
}

func equal(a, b Endpoint) bool {
	return a.Same(b) && a.Service == b.Service && a.Domain == b.Domain && a.Slots == b.Slots && a.Leaving == b.Leaving &&
		maps.Equal(a.Weights, b.Weights)
}

// Reweigh notes the version of a model that an endpoint showed itself. It
// reports whether that is news.
func (t *Table) Reweigh(endpoint Endpoint, model string, version int64) bool {
	held, ok := t.rows[endpoint.ID]
	if !ok || !held.endpoint.Same(endpoint) || held.endpoint.Weights[model] >= version {
		return false
	}
	// Snapshots share the map, so that it is copied.
	weights := make(map[string]int64, len(held.endpoint.Weights)+1)
	maps.Copy(weights, held.endpoint.Weights)
	weights[model] = version
	held.endpoint.Weights = weights
	t.rows[endpoint.ID] = held
	return true
}

// newest merges versions; entries lag behind what an endpoint showed itself, and
// a process never goes back.
func newest(held, told map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(told))
	for model, version := range told {
		merged[model] = max(version, held[model])
	}
	return merged
}
