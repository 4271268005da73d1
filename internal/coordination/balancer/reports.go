package balancer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// Load is an endpoint's report of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// peer is a peer's reported load on endpoints, keyed by the hash of the
// endpoint's ID.
type peer struct {
	receivedAt time.Time
	loads      map[uint32]peertracker.Load
}

// HandleHeartbeat replaces a peer's reported load on endpoints with the loads of
// its latest heartbeat.
func (b *Balancer) HandleHeartbeat(node string, now time.Time, loads []peertracker.Load) {
	byEndpoint := make(map[uint32]peertracker.Load, len(loads))
	for _, load := range loads {
		byEndpoint[load.Endpoint] = load
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = map[string]peer{}
	}
	b.peers[node] = peer{receivedAt: now, loads: byEndpoint}
}

// Local returns this node's load on at most limit endpoints, the highest
// first.
func (b *Balancer) Local(limit int) []peertracker.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []peertracker.Load
	for id, state := range b.states {
		if state.running > 0 {
			loads = append(loads, peertracker.Load{Endpoint: IDHash(id), Running: state.running, Tokens: state.tokens, Reading: state.prefillTokens})
		}
	}
	slices.SortFunc(loads, func(a, b peertracker.Load) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Running, a.Running), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return loads[:min(limit, len(loads))]
}

// IDHash returns the hash of an ID: of an endpoint's ID in load reports between
// nodes, and of an endpoint's ID or a model's name in announced changes.
func IDHash(id string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()
}

// UpdateEndpointLoad records an endpoint's report of its own load.
func (b *Balancer) UpdateEndpointLoad(id string, now time.Time, reported Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	state.reported, state.reportedAt, state.runningAtReport = reported, now, state.running
}

// RecordRefusal records that an endpoint refused a request for lack of capacity.
func (b *Balancer) RecordRefusal(id string, now time.Time) { b.backoff(id, now.Add(fullBackoff)) }

// RecordHold records that an endpoint has asked for no requests from this node for a
// time. Unlike a backoff, it does not end early.
func (b *Balancer) RecordHold(id string, now time.Time, hold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state := b.endpointState(id); state.holdUntil.Before(now.Add(hold)) {
		state.holdUntil = now.Add(hold)
	}
}

// HoldLeft returns how long all endpoints that may take a request have asked for no
// requests: the time until the first of them may get one; zero if one may get it now.
func (b *Balancer) HoldLeft(now time.Time, request Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var shortest time.Duration
	for _, endpoint := range request.Endpoints {
		if endpoint.Leaving || request.Avoid[endpoint.ID] {
			continue
		}
		left := b.endpointState(endpoint.ID).holdUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// RecordLoading records that an endpoint is loading weights and refuses
// requests.
func (b *Balancer) RecordLoading(id string, now time.Time) {
	b.backoff(id, now.Add(loadingBackoff))
}

// RecordFailure records that an endpoint could not be reached or that a request
// to it was given up.
func (b *Balancer) RecordFailure(id string, now time.Time) {
	b.mu.Lock()
	state := b.endpointState(id)
	backoff := min(failureBackoff<<min(state.failures, 8), maxFailureBackoff)
	state.failures++
	b.mu.Unlock()
	b.backoff(id, now.Add(backoff))
}

// ResetBackoff ends an endpoint's backoff and resets its failure count.
func (b *Balancer) ResetBackoff(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	state.backoffUntil, state.failures = time.Time{}, 0
}

// RecordActivity records that an endpoint sent data.
func (b *Balancer) RecordActivity(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpointState(id).lastActivity = now
}

func (b *Balancer) backoff(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state := b.endpointState(id); state.backoffUntil.Before(until) {
		state.backoffUntil = until
	}
}
