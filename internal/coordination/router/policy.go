package router

import (
	"math"
	"strconv"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/owner"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// defaultPrefillRate stands in for an endpoint that has not reported one,
	// in tokens per second.
	defaultPrefillRate = 10000
	// farPenalty is the round trip to another failure domain.
	farPenalty = 3 * time.Millisecond
	// runningPenalty is the slowing of a first token per running request.
	runningPenalty = time.Millisecond
	// recomputeWeight is how much dearer recomputed time is than waiting under
	// the recompute objective.
	recomputeWeight = 4
	// affinityLoad is the share of the average load above which affinity
	// moves on to the next endpoint.
	affinityLoad = 1.25
)

// RoundRobin takes candidates in turn.
type RoundRobin struct{}

// Pick implements Policy.
func (RoundRobin) Pick(request Request, candidates []Candidate) (Choice, bool) {
	places := eligible(request, candidates)
	if len(places) == 0 {
		return Choice{}, false
	}
	return Choice{Index: places[request.Turn%uint64(len(places))]}, true
}

// Affinity sends prompts with a common start to the same endpoint, by
// rendezvous hashing with bounded load.
type Affinity struct{}

// Pick implements Policy.
func (Affinity) Pick(request Request, candidates []Candidate) (Choice, bool) {
	places := eligible(request, candidates)
	if len(places) == 0 {
		return Choice{}, false
	}
	return Choice{Index: affine(request, candidates, places)}, true
}

// affine returns the first endpoint in rendezvous order that is not loaded
// beyond its bound.
func affine(request Request, candidates []Candidate, places []int) int {
	running := 0
	for _, candidate := range candidates {
		running += candidate.Running
	}
	bound := int(math.Ceil(affinityLoad * float64(running+1) / float64(len(candidates))))
	best, bestScore := -1, uint64(0)
	for _, place := range places {
		score := owner.Score(candidates[place].Name, strconv.FormatUint(request.Root, 16))
		if candidates[place].Running < bound && (best < 0 || score > bestScore) {
			best, bestScore = place, score
		}
	}
	if best < 0 {
		return places[0]
	}
	return best
}

// Cost minimises the expected time to the first token, or the recomputed work
// where the service's objective asks for that.
type Cost struct{}

// Pick implements Policy.
func (Cost) Pick(request Request, candidates []Candidate) (Choice, bool) {
	places := eligible(request, candidates)
	if len(places) == 0 {
		return Choice{}, false
	}
	home := affine(request, candidates, places)
	best, bestPrice := Choice{}, math.Inf(1)
	for _, place := range places {
		for _, option := range options(request, candidates[place]) {
			price := option.price(request.Objective)
			if place == home {
				// Among equals the home endpoint wins.
				price -= float64(runningPenalty) / 2
			}
			if price < bestPrice {
				best, bestPrice = Choice{Index: place, Import: option.transfer, Wait: option.wait, Queue: option.queue}, price
			}
		}
	}
	return best, true
}

// option is one way to run a prompt on one candidate.
type option struct {
	transfer bool
	wait     time.Duration
	queue    time.Duration
	compute  time.Duration
}

func (o option) price(objective configurator.Objective) float64 {
	if objective == configurator.ObjectiveRecompute {
		return float64(o.wait) + (recomputeWeight-1)*float64(o.compute)
	}
	return float64(o.wait)
}

func options(request Request, candidate Candidate) []option {
	rate := candidate.PrefillRate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	base := time.Duration(candidate.Running) * runningPenalty
	if !candidate.Near {
		base += farPenalty
	}
	queue := tokensTime(candidate.QueuedTokens, rate)
	compute := tokensTime(request.Tokens-candidate.CachedTokens, rate)
	found := []option{{wait: base + queue + compute, queue: queue, compute: compute}}
	if candidate.StoredTokens <= candidate.CachedTokens {
		return found
	}
	rest := tokensTime(request.Tokens-candidate.StoredTokens, rate)
	// The transfer runs while the prompt would wait in the endpoint's queue.
	return append(found, option{
		transfer: true,
		wait:     base + max(queue, candidate.ImportWait) + rest,
		queue:    queue,
		compute:  rest,
	})
}

func tokensTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / rate * float64(time.Second))
}
