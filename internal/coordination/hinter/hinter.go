// Package hinter tracks which blocks each endpoint is likely to have in its
// prefix cache, from the node's own dispatches and from the endpoints' cache
// events.
//
// Events may be delayed or lost, so the information is only a hint: it affects
// cost estimates but never the content of an answer. A gap in an endpoint's
// events drops all hints for that endpoint.
//
// # Usage
//
//	hints := &hinter.Table{Limit: 4096}
//	hints.MarkCached("usta-llm-1", blocks)
//	n := hints.Prefix("usta-llm-1", blocks)
package hinter

import (
	"sync"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
)

// EventType is the type of a cache event.
type EventType string

// The types of cache events.
const (
	EventStored  EventType = "stored"
	EventEvicted EventType = "evicted"
	EventCleared EventType = "cleared"
)

// Event is one change of an endpoint's prefix cache.
type Event struct {
	Sequence uint64
	Type     EventType
	Block    fingerprinter.Block
}

type endpointHints struct {
	nextSequence uint64
	blocks       map[fingerprinter.Block]bool
}

// Table holds the hints for all endpoints. It is safe for concurrent use.
type Table struct {
	// Limit is the maximum number of blocks remembered per endpoint.
	Limit int

	mu    sync.RWMutex
	hints map[string]*endpointHints
}

// MarkCached records that an endpoint has blocks in its prefix cache.
func (t *Table) MarkCached(endpoint string, blocks []fingerprinter.Block) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.endpoint(endpoint)
	for _, block := range blocks {
		t.add(entry, block)
	}
}

// Prefix returns the number of leading blocks that are likely to be cached.
func (t *Table) Prefix(endpoint string, blocks []fingerprinter.Block) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entry, ok := t.hints[endpoint]
	if !ok {
		return 0
	}
	for i, block := range blocks {
		if !entry.blocks[block] {
			return i
		}
	}
	return len(blocks)
}

// Next returns the sequence number of the next event to request from an
// endpoint.
func (t *Table) Next(endpoint string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if entry, ok := t.hints[endpoint]; ok {
		return entry.nextSequence
	}
	return 0
}

// Apply applies an endpoint's events. A gap in the sequence numbers drops the
// endpoint's earlier hints.
func (t *Table) Apply(endpoint string, events []Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.endpoint(endpoint)
	for _, event := range events {
		if entry.nextSequence > 0 && event.Sequence < entry.nextSequence {
			continue
		}
		if entry.nextSequence > 0 && event.Sequence != entry.nextSequence {
			clear(entry.blocks)
		}
		entry.nextSequence = event.Sequence + 1
		t.apply(entry, event)
	}
}

func (t *Table) apply(entry *endpointHints, event Event) {
	switch event.Type {
	case EventStored:
		t.add(entry, event.Block)
	case EventEvicted:
		delete(entry.blocks, event.Block)
	case EventCleared:
		clear(entry.blocks)
	}
}

// Forget drops all hints for an endpoint, for example after it has crashed.
func (t *Table) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hints, endpoint)
}

func (t *Table) endpoint(name string) *endpointHints {
	if t.hints == nil {
		t.hints = map[string]*endpointHints{}
	}
	entry, ok := t.hints[name]
	if !ok {
		entry = &endpointHints{blocks: map[fingerprinter.Block]bool{}}
		t.hints[name] = entry
	}
	return entry
}

// add remembers a block and drops arbitrary blocks, possibly this one, above
// the limit.
func (t *Table) add(entry *endpointHints, block fingerprinter.Block) {
	entry.blocks[block] = true
	for candidate := range entry.blocks {
		if len(entry.blocks) <= t.Limit {
			return
		}
		delete(entry.blocks, candidate)
	}
}
