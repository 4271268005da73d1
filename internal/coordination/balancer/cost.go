package balancer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// Work is what an endpoint has to do for a prompt before its first token.
type Work struct {
	// Read is the number of tokens to prefill, Fetch the number of tokens that
	// can be fetched from another engine or a store.
	Read  int
	Fetch int
}

func (w Work) cost() float64 {
	return float64(w.Read)/prefillScale + float64(w.Fetch)/fetchScale
}

type endpointState struct {
	// hash is that of the endpoint's ID, and affinity its score for this node; zero before
	// it was computed.
	hash     uint32
	affinity uint64
	running  int
	tokens   int
	// prefillTokens counts the prompt tokens that this node's requests still have
	// to prefill on the endpoint.
	prefillTokens int
	// reported is the endpoint's own load report, received at reportedAt, when
	// runningAtReport of this node's requests were running there.
	reported        Load
	reportedAt      time.Time
	runningAtReport int
	// pace is the smoothed pace, last reported at pacedAt.
	pace         float64
	pacedAt      time.Time
	backoffUntil time.Time
	// holdUntil is until when the endpoint has asked for no requests.
	holdUntil time.Time
	// failures counts the failures since the last success.
	failures int
	// lastActivity is when the endpoint last sent data or, if later, when it got
	// a request while this node had none running on it.
	lastActivity time.Time
	// heardAt is when the endpoint last sent data, and busySince since when it has had running
	// requests of any node, as of the last report; zero if it has none.
	heardAt   time.Time
	busySince time.Time
	// pickSequence is the balancer's pickSequence at the last pick of the endpoint.
	pickSequence uint64
}

// cost returns the endpoint's load as a share of its capacity, plus penalties
// for prefill work in progress and a remote failure domain. Slots or memory
// count, whichever is scarcer.
func (b *Balancer) cost(now time.Time, endpoint endpointtracker.Endpoint, capacity int) float64 {
	state := b.endpointState(endpoint.ID)
	peerLoad := b.peerLoad(state.hash)
	running, tokens := peerLoad.Running+state.running, peerLoad.Tokens+state.tokens
	if now.Sub(state.reportedAt) < reportTTL {
		running = max(running, state.running+state.reported.Running+state.reported.Waiting-state.runningAtReport)
	}
	cost := float64(running) / slots(endpoint)
	if capacity > 0 {
		cost = max(cost, float64(tokens)/float64(capacity))
	}
	cost += float64(peerLoad.Reading+state.prefillTokens) / prefillScale
	if endpoint.Domain != b.Domain {
		cost += remoteDomainCost
	}
	return cost
}

// accepts reports whether the request may be sent to the endpoint now.
func (b *Balancer) accepts(now time.Time, endpoint endpointtracker.Endpoint, request Request) bool {
	state := b.endpointState(endpoint.ID)
	if b.isUnavailable(now, state) || request.avoidSilent && b.isSilent(now, state) {
		return false
	}
	peerLoad := b.peerLoad(state.hash)
	running, tokens := peerLoad.Running+state.running, peerLoad.Tokens+state.tokens
	if request.Urgent || running == 0 {
		return true
	}
	if request.Capacity > 0 && float64(tokens+request.Tokens) > maxMemoryShare*float64(request.Capacity) {
		return false
	}
	return float64(running) < maxSlotShare*slots(endpoint)
}

// isUnavailable reports whether an endpoint gets no requests now, whatever its load is.
func (b *Balancer) isUnavailable(now time.Time, state *endpointState) bool {
	stalled := !b.pathLost && state.running > 0 && now.Sub(state.lastActivity) > stallTimeout
	return now.Before(state.backoffUntil) || now.Before(state.holdUntil) || stalled
}

// slots returns the number of requests that an endpoint runs at once.
func slots(endpoint endpointtracker.Endpoint) float64 {
	if endpoint.Slots <= 0 {
		return defaultSlots
	}
	return float64(endpoint.Slots)
}

func (b *Balancer) endpointState(id string) *endpointState {
	if b.states == nil {
		b.states = map[string]*endpointState{}
	}
	state, ok := b.states[id]
	if !ok {
		state = &endpointState{hash: IDHash(id)}
		b.states[id] = state
	}
	return state
}
