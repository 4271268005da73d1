package endpointtracker

import "time"

const (
	// lateWriteLimit is how long after the newest entry of an id an older one still counts as a
	// late write. Beyond it, the process that wrote it is the one that lives: it started again
	// with a clock that was set back.
	lateWriteLimit = 10 * time.Second
	// removedTTL is how long a removed endpoint is remembered. A directory is restored from
	// copies that are some seconds old.
	removedTTL = 2 * time.Minute
)

// History orders the entries of each id by their process and its renewals. A write that got no
// response may be executed seconds later, after newer ones, and a directory that was restored
// from a copy lists older entries. Neither may take back what a newer entry said. It is not safe
// for concurrent use.
type History struct {
	last map[string]lastEntry
}

// lastEntry is the newest entry of an id, read or removed at a time.
type lastEntry struct {
	endpoint Endpoint
	at       time.Time
	removed  bool
}

// Accept reports whether an entry that was read at now is not outdated, and remembers it if so.
// restored is set for one that is read from a directory that was just restored from a copy.
func (h *History) Accept(endpoint Endpoint, now time.Time, restored bool) bool {
	last, ok := h.last[endpoint.ID]
	outdated := ok && (endpoint.outdatedBy(last.endpoint) || last.removed && endpoint.repeats(last.endpoint))
	if outdated && (restored || now.Sub(last.at) < lateWriteLimit) {
		return false
	}
	if h.last == nil {
		h.last = map[string]lastEntry{}
	}
	h.last[endpoint.ID] = lastEntry{endpoint: endpoint, at: now}
	return true
}

// Remove records that the entry of an id was removed. Older entries than the removed one are not
// accepted after that.
func (h *History) Remove(id string, now time.Time) {
	for other, last := range h.last {
		if last.removed && now.Sub(last.at) >= removedTTL {
			delete(h.last, other)
		}
	}
	if last, ok := h.last[id]; ok && !last.removed {
		last.at, last.removed = now, true
		h.last[id] = last
	}
}

// RemoveUnlisted records that all entries were removed which a full listing lacks.
func (h *History) RemoveUnlisted(listed map[string]bool, now time.Time) {
	for id := range h.last {
		if !listed[id] {
			h.Remove(id, now)
		}
	}
}

// outdatedBy reports whether an entry was written before a known one of the same id: by an
// earlier process, or earlier by the same process. Without the start of its process, a lower
// number may as well be that of a process that started again.
func (e Endpoint) outdatedBy(known Endpoint) bool {
	if !e.StartedAt.Equal(known.StartedAt) {
		return e.StartedAt.Before(known.StartedAt)
	}
	return !e.StartedAt.IsZero() && e.Renewal < known.Renewal
}

// repeats reports whether an entry is a known one, written again.
func (e Endpoint) repeats(known Endpoint) bool {
	return e.SameProcess(known) && e.Renewal > 0 && e.Renewal == known.Renewal
}
