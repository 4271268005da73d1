package relayer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// evacuationMarker replaces the endpoint's hash in a change that tells of the evacuation of
	// a failure domain. Model is then the hash of the domain, and Version the state with its
	// position, see Evacuation.encode. Builds that do not know the marker find no such endpoint.
	evacuationMarker = 7
	// restoredEvacuationGrace is how long an evacuation stays in force after the log was restored
	// from a copy that lacks its record, so that the operators can write it again.
	restoredEvacuationGrace = 10 * time.Second
	// maxEvacuations bounds the domains in a heartbeat. Deployments have up to eight.
	maxEvacuations = 16
	// evacuationOffsetBits and evacuationEraBits are the sizes of a position in a change. With
	// the bit for the state they fill the positive numbers of 64 bits. Offsets are sent plus one,
	// since a listing of an empty log tells of the position before its first record.
	evacuationOffsetBits = 42
	evacuationEraBits    = 20
)

// Evacuation is the state of a failure domain that is or was evacuated.
type Evacuation struct {
	// Domain is empty if the state was learned from a peer, which sends a hash.
	Domain    string
	Evacuated bool
	// Position is that of the record, or the last one before a listing that lacks it.
	Position Position
	// Learned is when this node learned of the state, and Source from where: "log", "listing",
	// "peer", or "grace" if the time after a restoration of the log is over.
	Learned time.Time
	Source  string
}

// Evacuations merges what is known of evacuated domains: of each domain, the state with the
// highest position in the log counts. Domains are named by their hashes, as in heartbeats. It
// has no clock and is not safe for concurrent use. The zero value is empty.
type Evacuations struct {
	states map[uint32]Evacuation
	// expires holds the evacuations that end because the log was restored without their records.
	expires map[uint32]time.Time
	// listed is the end of the last full listing, and listedKeys are the domains in it.
	listed     Position
	listedKeys map[uint32]bool
}

// Set merges a state and reports whether the domain is evacuated now and was not before, or the
// reverse. former is the state before. An evacuation that is older than a listing without its
// record has ended.
func (e *Evacuations) Set(domain uint32, state Evacuation) (former Evacuation, changed bool) {
	former, known := e.states[domain]
	if known && comparePositions(state.Position, former.Position) <= 0 {
		return former, false
	}
	delete(e.expires, domain)
	if state.Evacuated && e.listedKeys != nil && !e.listedKeys[domain] {
		switch {
		case state.Position.Era < e.listed.Era:
			e.expire(domain, state.Learned)
		case comparePositions(state.Position, e.listed) < 0:
			state.Evacuated, state.Position = false, e.absent()
		}
	}
	e.put(domain, state)
	return former, state.Evacuated != former.Evacuated
}

// List merges a full listing, after the states in it were set: domains are those that have a
// record, and next is the listing's end. Evacuations without a record end, but those of an
// earlier era only after restoredEvacuationGrace. It returns the domains whose evacuation ended.
func (e *Evacuations) List(now time.Time, domains map[uint32]bool, next Position) (ended []uint32) {
	if e.listedKeys != nil && comparePositions(next, e.listed) < 0 {
		return nil
	}
	e.listed, e.listedKeys = next, maps.Clone(domains)
	if e.listedKeys == nil {
		e.listedKeys = map[uint32]bool{}
	}
	for domain, state := range e.states {
		switch {
		case e.listedKeys[domain]:
			delete(e.expires, domain)
		case !state.Evacuated || comparePositions(state.Position, next) >= 0:
		case state.Position.Era < next.Era:
			e.expire(domain, now)
		default:
			e.end(domain, now, "listing")
			ended = append(ended, domain)
		}
	}
	slices.Sort(ended)
	return ended
}

// Expire ends the evacuations whose time after a restoration of the log is over.
func (e *Evacuations) Expire(now time.Time) (ended []uint32) {
	for domain, at := range e.expires {
		if !now.Before(at) {
			e.end(domain, now, "grace")
			ended = append(ended, domain)
		}
	}
	slices.Sort(ended)
	return ended
}

func (e *Evacuations) copyStates() map[uint32]Evacuation { return maps.Clone(e.states) }

// State returns the state of a domain.
func (e *Evacuations) State(domain uint32) Evacuation { return e.states[domain] }

// IsEvacuated reports whether a domain is evacuated.
func (e *Evacuations) IsEvacuated(domain uint32) bool { return e.states[domain].Evacuated }

// changes returns the states for heartbeats, evacuated domains and then the newest first.
func (e *Evacuations) changes() []peertracker.Change {
	var changes []peertracker.Change
	domains := slices.SortedFunc(maps.Keys(e.states), func(a, b uint32) int {
		x, y := e.states[a], e.states[b]
		if x.Evacuated != y.Evacuated {
			if x.Evacuated {
				return -1
			}
			return 1
		}
		return cmp.Or(comparePositions(y.Position, x.Position), cmp.Compare(a, b))
	})
	for _, domain := range domains {
		if version, ok := e.states[domain].encode(); ok && len(changes) < maxEvacuations {
			changes = append(changes, peertracker.Change{Endpoint: evacuationMarker, Model: domain, Version: version})
		}
	}
	return changes
}

func (e *Evacuations) put(domain uint32, state Evacuation) {
	if e.states == nil {
		e.states = map[uint32]Evacuation{}
	}
	if state.Domain == "" {
		state.Domain = e.states[domain].Domain
	}
	e.states[domain] = state
}

// expire lets an evacuation end after restoredEvacuationGrace.
func (e *Evacuations) expire(domain uint32, since time.Time) {
	if e.expires == nil {
		e.expires = map[uint32]time.Time{}
	}
	if _, ok := e.expires[domain]; !ok {
		e.expires[domain] = since.Add(restoredEvacuationGrace)
	}
}

// end ends an evacuation whose record is not in the last listing.
func (e *Evacuations) end(domain uint32, now time.Time, source string) {
	delete(e.expires, domain)
	e.put(domain, Evacuation{Position: e.absent(), Learned: now, Source: source})
}

// absent returns the position of the last record that the last listing covers.
func (e *Evacuations) absent() Position {
	return Position{Era: e.listed.Era, Offset: e.listed.Offset - 1}
}

func comparePositions(a, b Position) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Offset, b.Offset))
}

// encode returns the state as the version of a change: the era, the offset plus one and, in the
// lowest bit, whether the domain is evacuated. It returns false if the position is too high.
func (e Evacuation) encode() (version int64, ok bool) {
	era, offset := e.Position.Era, e.Position.Offset+1
	if era < 0 || era >= 1<<evacuationEraBits || offset < 0 || offset >= 1<<evacuationOffsetBits {
		return 0, false
	}
	version = (era<<evacuationOffsetBits | offset) << 1
	if e.Evacuated {
		version |= 1
	}
	return version, true
}

// decodeEvacuation is the inverse of Evacuation.encode.
func decodeEvacuation(version int64) (state Evacuation, ok bool) {
	if version < 0 {
		return Evacuation{}, false
	}
	position := version >> 1
	return Evacuation{
		Evacuated: version&1 == 1,
		Position:  Position{Era: position >> evacuationOffsetBits, Offset: position&(1<<evacuationOffsetBits-1) - 1},
	}, true
}
