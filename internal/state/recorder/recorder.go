// Package recorder keeps the latest events of a process in a ring buffer and
// stamps them with a hybrid logical clock, so that the events of many processes
// can be merged into one timeline in which every effect follows its cause.
//
// # Usage
//
//	ring := &recorder.Ring{Node: "kadikoy-1", Capacity: 8192}
//	ring.Record(now, recorder.Event{Kind: recorder.KindDispatch, Request: id})
//	events := ring.Events(recorder.Filter{Request: id})
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind names what happened.
type Kind string

// The kinds of events. KindClaim, KindOutcome and KindRelease are records of
// idempotency keys. KindApply and KindReject are configuration records, and
// KindApply also a restored configuration snapshot. KindJoin and KindLeave are
// changes of the host list, KindOrder is an order to load weights, and KindExport,
// KindImport and KindFree are transfers of cache blocks to and from stores and
// their eviction from stores.
const (
	KindStart      Kind = "start"
	KindReady      Kind = "ready"
	KindDrain      Kind = "drain"
	KindStop       Kind = "stop"
	KindReceive    Kind = "receive"
	KindRefuse     Kind = "refuse"
	KindAdmit      Kind = "admit"
	KindDispatch   Kind = "dispatch"
	KindFirstToken Kind = "first-token"
	KindRetry      Kind = "retry"
	KindResume     Kind = "resume"
	KindAnswer     Kind = "answer"
	KindFail       Kind = "fail"
	KindClaim      Kind = "claim"
	KindOutcome    Kind = "outcome"
	KindRelease    Kind = "release"
	KindApply      Kind = "apply"
	KindReject     Kind = "reject"
	KindAlarm      Kind = "alarm"
	KindJoin       Kind = "join"
	KindLeave      Kind = "leave"
	KindOrder      Kind = "order"
	KindExport     Kind = "export"
	KindImport     Kind = "import"
	KindFree       Kind = "free"
	KindSuspect    Kind = "suspect"
)

// Stamp is a timestamp of a hybrid logical clock: a wall time, and a counter that
// orders events when the wall time did not advance, either because they share it
// or because a peer's clock is ahead.
type Stamp struct {
	Wall    time.Time
	Counter uint32
}

// Compare orders stamps by wall time and then by counter. It returns -1, 0 or 1.
func (s Stamp) Compare(other Stamp) int {
	if order := s.Wall.Compare(other.Wall); order != 0 {
		return order
	}
	return cmp.Compare(s.Counter, other.Counter)
}

// Event is one event in a process. It must not contain prompts, answers or keys.
type Event struct {
	Stamp    Stamp
	Node     string
	Kind     Kind
	Request  string
	Team     string
	Endpoint string
	// Offset is the log offset that the event refers to; zero if there is none or
	// if it is offset zero.
	Offset uint64
	Detail string
}

// Filter selects events; an empty field matches all events.
type Filter struct {
	Request string
	Kind    Kind
}

func (f Filter) matches(event Event) bool {
	if f.Request != "" && event.Request != f.Request {
		return false
	}
	return f.Kind == "" || event.Kind == f.Kind
}

// Ring is a ring buffer of events. It is safe for concurrent use.
type Ring struct {
	Node string
	// Capacity is the maximum number of events kept.
	Capacity int

	mu     sync.Mutex
	clock  Stamp
	events []Event
	oldest int
}

// Record stamps the event, stores it and returns the stamp.
func (r *Ring) Record(now time.Time, event Event) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceClock(now)
	event.Stamp = r.clock
	event.Node = r.Node
	r.push(event)
	return event.Stamp
}

// ObserveStamp advances the clock past a stamp received from a peer.
func (r *Ring) ObserveStamp(now time.Time, stamp Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stamp.Compare(r.clock) > 0 {
		r.clock = stamp
	}
	r.advanceClock(now)
}

// LastStamp returns the latest stamp of the clock.
func (r *Ring) LastStamp() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock
}

// Events returns the events that match the filter, oldest first.
func (r *Ring) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		event := r.events[(r.oldest+i)%len(r.events)]
		if filter.matches(event) {
			selected = append(selected, event)
		}
	}
	return selected
}

func (r *Ring) advanceClock(now time.Time) {
	if now.After(r.clock.Wall) {
		r.clock = Stamp{Wall: now}
		return
	}
	r.clock.Counter++
}

func (r *Ring) push(event Event) {
	if len(r.events) < r.Capacity {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % r.Capacity
}

// Merge merges the events of several processes, ordered by stamp and then by
// node.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if order := a.Stamp.Compare(b.Stamp); order != 0 {
			return order
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return merged
}
