// Package recorder keeps the newest events of a process in a bounded ring and
// stamps them with a hybrid logical clock, so that the rings of many processes
// merge into one time line in which every effect follows its cause.
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

// The kinds of events.
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

// Stamp is a hybrid logical clock reading: wall time, then a counter for events
// that share it or that a peer's later reading pushed forward.
type Stamp struct {
	Wall    time.Time
	Counter uint32
}

// Compare orders stamps.
func (s Stamp) Compare(other Stamp) int {
	if order := s.Wall.Compare(other.Wall); order != 0 {
		return order
	}
	return cmp.Compare(s.Counter, other.Counter)
}

// Event is one thing that happened in a process. It never holds prompts,
// answers or keys.
type Event struct {
	Stamp    Stamp
	Node     string
	Kind     Kind
	Request  string
	Team     string
	Endpoint string
	// Offset is the log offset that the event concerns, if any.
	Offset uint64
	Detail string
}

// Filter selects events; empty fields select all.
type Filter struct {
	Request string
	Kind    Kind
}

func (f Filter) match(event Event) bool {
	if f.Request != "" && event.Request != f.Request {
		return false
	}
	return f.Kind == "" || event.Kind == f.Kind
}

// Ring is a bounded ring of events. It is safe for concurrent use.
type Ring struct {
	Node string
	// Capacity is the number of events kept.
	Capacity int

	mu     sync.Mutex
	last   Stamp
	events []Event
	start  int
}

// Record stamps the event, stores it and returns its stamp.
func (r *Ring) Record(now time.Time, event Event) Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(now)
	event.Stamp = r.last
	event.Node = r.Node
	r.store(event)
	return event.Stamp
}

// Witness moves the clock past a stamp that came from a peer.
func (r *Ring) Witness(now time.Time, stamp Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stamp.Compare(r.last) > 0 {
		r.last = stamp
	}
	r.tick(now)
}

// Now returns the clock's last reading.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Events returns the selected events, oldest first.
func (r *Ring) Events(filter Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := range r.events {
		event := r.events[(r.start+i)%len(r.events)]
		if filter.match(event) {
			found = append(found, event)
		}
	}
	return found
}

func (r *Ring) tick(now time.Time) {
	if now.After(r.last.Wall) {
		r.last = Stamp{Wall: now}
		return
	}
	r.last.Counter++
}

func (r *Ring) store(event Event) {
	if len(r.events) < r.Capacity {
		r.events = append(r.events, event)
		return
	}
	r.events[r.start] = event
	r.start = (r.start + 1) % r.Capacity
}

// Merge returns the events of several processes in one order.
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
