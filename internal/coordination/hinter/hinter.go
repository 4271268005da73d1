// Package hinter keeps what is believed to be in each endpoint's prefix cache,
// from the node's own dispatches and from the endpoints' cache events.
//
// Events come late and with gaps, so all of it is a hint: it changes an
// estimate and never the answer. A gap drops the hints of that endpoint.
//
// # Usage
//
//	hints := &hinter.Table{Limit: 4096}
//	hints.Stored("usta-llm-1", blocks)
//	n := hints.Prefix("usta-llm-1", blocks)
package hinter

import (
	"sync"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
)

// EventType tells cache events apart.
type EventType string

// The types of cache events.
const (
	EventStored  EventType = "stored"
	EventEvicted EventType = "evicted"
	EventCleared EventType = "cleared"
)

// Event is one change of an endpoint's cache.
type Event struct {
	Sequence uint64
	Type     EventType
	Block    fingerprinter.Block
}

type endpointHints struct {
	next   uint64
	blocks map[fingerprinter.Block]bool
}

// Table holds the hints of all endpoints. It is safe for concurrent use.
type Table struct {
	// Limit is the number of blocks remembered per endpoint.
	Limit int

	mu    sync.RWMutex
	hints map[string]*endpointHints
}

// Stored notes that an endpoint has computed blocks.
func (t *Table) Stored(endpoint string, blocks []fingerprinter.Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoint(endpoint)
	for _, block := range blocks {
		t.add(held, block)
	}
}

// Prefix returns the number of leading blocks believed to be cached.
func (t *Table) Prefix(endpoint string, blocks []fingerprinter.Block) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	held, ok := t.hints[endpoint]
	if !ok {
		return 0
	}
	for i, block := range blocks {
		if !held.blocks[block] {
			return i
		}
	}
	return len(blocks)
}

// Next returns the sequence number of the next event to ask an endpoint for.
func (t *Table) Next(endpoint string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if held, ok := t.hints[endpoint]; ok {
		return held.next
	}
	return 0
}

// Apply takes in an endpoint's events. A gap drops all hints of the endpoint
// first.
func (t *Table) Apply(endpoint string, events []Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.endpoint(endpoint)
	for _, event := range events {
		if held.next > 0 && event.Sequence < held.next {
			continue
		}
		if held.next > 0 && event.Sequence != held.next {
			clear(held.blocks)
		}
		held.next = event.Sequence + 1
		t.apply(held, event)
	}
}

func (t *Table) apply(held *endpointHints, event Event) {
	switch event.Type {
	case EventStored:
		t.add(held, event.Block)
	case EventEvicted:
		delete(held.blocks, event.Block)
	case EventCleared:
		clear(held.blocks)
	}
}

// Forget drops what is known of an endpoint, as after a crash.
func (t *Table) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hints, endpoint)
}

func (t *Table) endpoint(name string) *endpointHints {
	if t.hints == nil {
		t.hints = map[string]*endpointHints{}
	}
	held, ok := t.hints[name]
	if !ok {
		held = &endpointHints{blocks: map[fingerprinter.Block]bool{}}
		t.hints[name] = held
	}
	return held
}

// add remembers a block and drops arbitrary others over the limit.
func (t *Table) add(held *endpointHints, block fingerprinter.Block) {
	held.blocks[block] = true
	for other := range held.blocks {
		if len(held.blocks) <= t.Limit {
			return
		}
		delete(held.blocks, other)
	}
}
