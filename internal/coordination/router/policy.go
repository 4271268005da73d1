package router

import (
	"math"
	"strconv"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// defaultPrefillRate is assumed for an endpoint that has not reported a
	// rate, in tokens per second.
	defaultPrefillRate = 10000
	// remotePenalty is the round-trip time to another failure domain.
	remotePenalty = 3 * time.Millisecond
	// runningPenalty is the delay of the first token per running request.
	runningPenalty = time.Millisecond
	// recomputeWeight is how much more prefill time costs than waiting time
	// under the recompute objective.
	recomputeWeight = 4
	// maxAffinityLoad is the load of an endpoint, relative to the average,
	// above which affinity selects the next endpoint in hash order.
	maxAffinityLoad = 1.25
)

// RoundRobin selects the candidates in turn.
type RoundRobin struct{}

// Pick implements Policy.
func (RoundRobin) Pick(request Request, candidates []Candidate) (Choice, bool) {
	indexes := eligible(request, candidates)
	if len(indexes) == 0 {
		return Choice{}, false
	}
	return Choice{Index: indexes[request.Sequence%uint64(len(indexes))]}, true
}

// Affinity sends prompts with a common prefix to the same endpoint, by
// rendezvous hashing with bounded loads.
type Affinity struct{}

// Pick implements Policy.
func (Affinity) Pick(request Request, candidates []Candidate) (Choice, bool) {
	indexes := eligible(request, candidates)
	if len(indexes) == 0 {
		return Choice{}, false
	}
	return Choice{Index: affinityIndex(request, candidates, indexes)}, true
}

// affinityIndex returns the first endpoint in rendezvous order whose load is
// below the bound; if none is, it returns the first eligible candidate.
func affinityIndex(request Request, candidates []Candidate, indexes []int) int {
	running := 0
	for _, candidate := range candidates {
		running += candidate.Running
	}
	bound := int(math.Ceil(maxAffinityLoad * float64(running+1) / float64(len(candidates))))
	best, bestScore := -1, uint64(0)
	for _, index := range indexes {
		score := ranker.Score(candidates[index].Name, strconv.FormatUint(request.PrefixHash, 16))
		if candidates[index].Running < bound && (best < 0 || score > bestScore) {
			best, bestScore = index, score
		}
	}
	if best < 0 {
		return indexes[0]
	}
	return best
}

// Cost minimises the expected time to first token, or the amount of recomputed
// prefill if that is the service's objective.
type Cost struct{}

// Pick implements Policy.
func (Cost) Pick(request Request, candidates []Candidate) (Choice, bool) {
	indexes := eligible(request, candidates)
	if len(indexes) == 0 {
		return Choice{}, false
	}
	preferred := affinityIndex(request, candidates, indexes)
	best, bestCost := Choice{}, math.Inf(1)
	for _, index := range indexes {
		for _, option := range options(request, candidates[index]) {
			cost := option.cost(request.Objective)
			if index == preferred {
				// On equal cost the affinity endpoint wins.
				cost -= float64(runningPenalty) / 2
			}
			if cost < bestCost {
				best, bestCost = Choice{Index: index, Import: option.useImport, Wait: option.wait, Queue: option.queue}, cost
			}
		}
	}
	return best, true
}

// option is one way to run a prompt on a candidate, with or without an import
// of stored blocks.
type option struct {
	useImport bool
	wait      time.Duration
	queue     time.Duration
	compute   time.Duration
}

func (o option) cost(objective configurator.Objective) float64 {
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
	if !candidate.SameDomain {
		base += remotePenalty
	}
	queue := prefillTime(candidate.QueuedTokens, rate)
	compute := prefillTime(request.Tokens-candidate.CachedTokens, rate)
	alternatives := []option{{wait: base + queue + compute, queue: queue, compute: compute}}
	if candidate.StoredTokens <= candidate.CachedTokens {
		return alternatives
	}
	remaining := prefillTime(request.Tokens-candidate.StoredTokens, rate)
	// The import runs while the prompt waits in the endpoint's queue.
	return append(alternatives, option{
		useImport: true,
		wait:      base + max(queue, candidate.ImportWait) + remaining,
		queue:     queue,
		compute:   remaining,
	})
}

func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / rate * float64(time.Second))
}
