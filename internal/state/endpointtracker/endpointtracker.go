// Package endpointtracker keeps the table of endpoints that register themselves
// in a directory service, each under its own id. It is used by relay nodes on the
// platform; the nodes of command lacewingrelay use registrar instead.
//
// An endpoint goes away in three ways: its entry is marked as leaving, its entry
// is removed, or its process restarts under the same id. Entries that expire
// during an outage of the directory are kept until a time after its return by which
// live endpoints have registered again.
//
// Entries may be read that are older than those known, also of removed endpoints, since
// writes are executed late and directories are restored from copies. History tells them.
//
// # Usage
//
//	var history endpointtracker.History
//	table := &endpointtracker.Table{}
//	if history.Accept(endpoint, now, restored) {
//		table.Put(endpoint)
//	}
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

type row struct {
	endpoint Endpoint
	// saidLeaving is set once the endpoint itself said that it is leaving. Its process
	// does not return from that, whatever its entry says.
	saidLeaving bool
	// lowerEntries counts the successive entries that report older weights than known.
	lowerEntries int
	// removeAt is when an entry that the directory no longer lists is removed;
	// zero for a listed one.
	removeAt time.Time
}

// Table holds the known endpoints. It is owned by the control goroutine and not
// safe for concurrent use.
type Table struct {
	rows map[string]row
	// removed holds the rows of removed endpoints, whose processes may live and write
	// their entries again.
	removed map[string]removedRow
}

// removedRow is the row of an endpoint that was removed at a time.
type removedRow struct {
	row
	at time.Time
}

// maxLowerEntries is how many successive entries must report older weights than an endpoint
// itself has shown before they are believed. The first ones may have been written before
// the endpoint loaded newer weights.
const maxLowerEntries = 3

// Put adds or updates an entry, which must not be older than the known one. It reports
// whether that changed the table, which a renewal of the same entry does not.
func (t *Table) Put(endpoint Endpoint) bool {
	if t.rows == nil {
		t.rows = map[string]row{}
	}
	current, ok := t.rows[endpoint.ID]
	known := current
	if !ok {
		known = t.removed[endpoint.ID].row
	}
	updated := row{endpoint: endpoint}
	if known.endpoint.SameProcess(endpoint) {
		updated.adopt(known)
	}
	delete(t.removed, endpoint.ID)
	t.rows[endpoint.ID] = updated
	return !ok || !current.removeAt.IsZero() || !equal(current.endpoint, updated.endpoint)
}

// adopt keeps what the process of an entry has said itself: that it is leaving, and newer
// weights than the entry has. A late order may set a process back to older weights; its
// next entries say so.
func (r *row) adopt(known row) {
	r.saidLeaving = known.saidLeaving
	r.endpoint.Leaving = r.endpoint.Leaving || known.saidLeaving
	merged := mergeVersions(known.endpoint.Weights, r.endpoint.Weights)
	if maps.Equal(merged, r.endpoint.Weights) {
		return
	}
	r.lowerEntries = known.lowerEntries
	if r.endpoint.Renewal > known.endpoint.Renewal {
		r.lowerEntries++
	}
	if r.lowerEntries < maxLowerEntries {
		r.endpoint.Weights = merged
	}
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
		t.removed = map[string]removedRow{}
	}
	for other, entry := range t.removed {
		if now.Sub(entry.at) >= removedTTL {
			delete(t.removed, other)
		}
	}
	t.removed[id] = removedRow{row: t.rows[id], at: now}
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
	current.endpoint.Weights, current.lowerEntries = weights, 0
	t.rows[endpoint.ID] = current
	return true
}

// mergeVersions returns the higher version of each reported model. Directory
// entries may be older than what the endpoint itself reported.
func mergeVersions(known, reported map[string]int64) map[string]int64 {
	merged := make(map[string]int64, len(reported))
	for model, version := range reported {
		merged[model] = max(version, known[model])
	}
	return merged
}
