// Package endpointtracker keeps the table of endpoints that register themselves
// in a directory service, each under its own id. It is used by relay nodes on the
// platform; the nodes of command lacewingrelay use registrar instead.
//
// An endpoint goes away in three ways: its entry is marked as leaving, its entry
// is removed, or its process restarts under the same id. Entries that expire
// during an outage of the directory are kept until a time after its return by which
// live endpoints have registered again.
//
// The directory may be restored from an older copy, so entries may come back that are
// older than those known, also of removed endpoints; see PutRestored.
//
// # Usage
//
//	table := &endpointtracker.Table{}
//	table.Put(endpoint)
//	table.Remove(id, now, graceEnd)
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
	// Slots is the number of requests that the endpoint can run at once; zero if
	// unknown.
	Slots int
	// Renewal counts the entries that the process has written so far; zero if unknown.
	Renewal int64
	// Build is the version of the endpoint's software; empty if unknown.
	Build string
	// Leaving endpoints receive no new requests.
	Leaving bool
	// Weights maps each model to its loaded version.
	Weights map[string]int64
	// Cold is how much longer the endpoint was cold when it wrote the entry; HasCold is unset if
	// the entry does not say. Neither they nor ReceivedAt, when the entry was read, change the
	// table.
	Cold       time.Duration
	HasCold    bool
	ReceivedAt time.Time
}

// SameProcess reports whether both entries describe the same process.
func (e Endpoint) SameProcess(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.StartedAt.Equal(other.StartedAt)
}

// outdatedBy reports whether an entry was written before a known one of the same id: by an
// earlier process, or earlier by the same process.
func (e Endpoint) outdatedBy(known Endpoint) bool {
	if e.SameProcess(known) {
		return e.Renewal < known.Renewal
	}
	return !e.StartedAt.IsZero() && e.StartedAt.Before(known.StartedAt)
}

type row struct {
	endpoint Endpoint
	// saidLeaving is set once the endpoint itself said that it is leaving. Its process
	// does not return from that, whatever its entry says.
	saidLeaving bool
	// removeAt is when an entry that the directory no longer lists is removed;
	// zero for a listed one.
	removeAt time.Time
}

// Table holds the known endpoints. It is owned by the control goroutine and not
// safe for concurrent use.
type Table struct {
	rows map[string]row
	// removed holds the last entries of removed endpoints.
	removed map[string]removedEntry
}

// removedEntry is the last entry of an endpoint that was removed at a time.
type removedEntry struct {
	endpoint Endpoint
	at       time.Time
}

// removedTTL is how long the last entry of a removed endpoint is kept. A directory is
// restored from copies that are some seconds old.
const removedTTL = 2 * time.Minute

// Put adds or updates an entry. It reports whether that changed the table, which
// a renewal of the same entry does not.
func (t *Table) Put(endpoint Endpoint) bool {
	if t.rows == nil {
		t.rows = map[string]row{}
	}
	current, ok := t.rows[endpoint.ID]
	updated := row{endpoint: endpoint}
	if ok && current.endpoint.SameProcess(endpoint) {
		updated.endpoint.Weights = mergeVersions(current.endpoint.Weights, endpoint.Weights)
		updated.saidLeaving = current.saidLeaving
		updated.endpoint.Leaving = endpoint.Leaving || current.saidLeaving
	}
	t.rows[endpoint.ID] = updated
	endpoint = updated.endpoint
	return !ok || !current.removeAt.IsZero() || !equal(current.endpoint, endpoint)
}

// PutRestored is Put for an entry from a directory that was just restored from an older
// copy. An entry that is older than the known one is ignored, and so is one of a removed
// endpoint, unless its process has renewed it since.
func (t *Table) PutRestored(endpoint Endpoint) bool {
	if current, ok := t.rows[endpoint.ID]; ok {
		return !endpoint.outdatedBy(current.endpoint) && t.Put(endpoint)
	}
	if removed, ok := t.removed[endpoint.ID]; ok {
		sameEntry := endpoint.SameProcess(removed.endpoint) && endpoint.Renewal == removed.endpoint.Renewal
		if sameEntry || endpoint.outdatedBy(removed.endpoint) {
			return false
		}
	}
	return t.Put(endpoint)
}

// MarkLeaving records that an endpoint itself said that it is leaving. It reports whether
// that changed the table; a word of another process of the same id does not.
func (t *Table) MarkLeaving(endpoint Endpoint) bool {
	current, ok := t.rows[endpoint.ID]
	if !ok || !current.endpoint.SameProcess(endpoint) || current.saidLeaving {
		return false
	}
	changed := !current.endpoint.Leaving
	current.saidLeaving, current.endpoint.Leaving = true, true
	t.rows[endpoint.ID] = current
	return changed
}

// remove removes an entry and remembers it.
func (t *Table) remove(id string, now time.Time) {
	if t.removed == nil {
		t.removed = map[string]removedEntry{}
	}
	for other, entry := range t.removed {
		if now.Sub(entry.at) >= removedTTL {
			delete(t.removed, other)
		}
	}
	t.removed[id] = removedEntry{endpoint: t.rows[id].endpoint, at: now}
	delete(t.rows, id)
}

// Remove handles the removal of an entry from the directory and reports whether
// that changed the table. Before graceEnd the entry may have expired in an outage of the
// directory, and is kept until then unless it was leaving; this does not count as a
// change.
func (t *Table) Remove(id string, now, graceEnd time.Time) bool {
	current, ok := t.rows[id]
	if !ok {
		return false
	}
	if !now.Before(graceEnd) || current.endpoint.Leaving {
		t.remove(id, now)
		return true
	}
	if current.removeAt.IsZero() {
		current.removeAt = graceEnd
		t.rows[id] = current
	}
	return false
}

// RemoveUnlisted removes, as Remove does, all endpoints that a full listing
// does not contain. It reports whether that changed the table.
func (t *Table) RemoveUnlisted(listed map[string]bool, now, graceEnd time.Time) bool {
	changed := false
	for id := range t.rows {
		if !listed[id] {
			changed = t.Remove(id, now, graceEnd) || changed
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
			t.remove(id, now)
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
	return a.SameProcess(b) && a.Service == b.Service && a.Domain == b.Domain && a.Slots == b.Slots && a.Leaving == b.Leaving && a.Build == b.Build &&
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
