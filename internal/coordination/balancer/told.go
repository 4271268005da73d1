package balancer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
)

// Load is an endpoint's own account of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// peer is a node's own work on endpoints, by the hash of their ids.
type peer struct {
	heard time.Time
	loads map[uint32]observer.Load
}

// Hear takes in a peer's own work on endpoints.
func (b *Balancer) Hear(node string, now time.Time, loads []observer.Load) {
	held := make(map[uint32]observer.Load, len(loads))
	for _, load := range loads {
		held[load.Endpoint] = load
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = map[string]peer{}
	}
	b.peers[node] = peer{heard: now, loads: held}
}

// Own returns the node's own work on at most n endpoints, the largest first.
func (b *Balancer) Own(n int) []observer.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var own []observer.Load
	for id, g := range b.gauges {
		if g.running > 0 {
			own = append(own, observer.Load{Endpoint: Hash(id), Running: g.running, Tokens: g.tokens, Reading: g.reading})
		}
	}
	slices.SortFunc(own, func(a, b observer.Load) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return own[:min(n, len(own))]
}

// Hash returns the hash of an endpoint's id under which nodes tell their load.
func Hash(id string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()
}

// Tell takes in an endpoint's account of its load.
func (b *Balancer) Tell(id string, now time.Time, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gauge(id)
	g.load, g.told, g.own = load, now, g.running
}

// Full notes that an endpoint refused a request for want of room.
func (b *Balancer) Full(id string, now time.Time) { b.pause(id, now.Add(fullPause)) }

// Loading notes that an endpoint loads weights and refuses requests meanwhile.
func (b *Balancer) Loading(id string, now time.Time) { b.pause(id, now.Add(loadPause)) }

// Fail notes that an endpoint could not be reached or was given up.
func (b *Balancer) Fail(id string, now time.Time) {
	b.mu.Lock()
	g := b.gauge(id)
	pause := min(failPause<<min(g.failures, 8), maxFailPause)
	g.failures++
	b.mu.Unlock()
	b.pause(id, now.Add(pause))
}

// Recover notes that an endpoint can be used again.
func (b *Balancer) Recover(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.gauge(id)
	g.paused, g.failures = time.Time{}, 0
}

// Heard notes that an endpoint sent something.
func (b *Balancer) Heard(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gauge(id).heard = now
}

func (b *Balancer) pause(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := b.gauge(id); g.paused.Before(until) {
		g.paused = until
	}
}
