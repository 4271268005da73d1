package benchmarker

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
)

// EvictionTrial compares eviction policies on one synthetic trace of conversations to
// which callers return after minutes to days. Set its fields before Run.
type EvictionTrial struct {
	Seed          uint64
	Conversations int
	Out           io.Writer
}

const (
	traceSpan = 14 * 24 * time.Hour
	// evictionBatch is the share of the capacity that an eviction frees.
	evictionBatch = 0.02
)

// lookup is one lookup of a chain of prompt blocks in the trace.
type lookup struct {
	at    time.Duration
	chain int
	// blocks is the length of the chain at this lookup.
	blocks int
	group  evictor.Group
	// untilNext is the time until the next lookup of the chain; zero if there is
	// none.
	untilNext time.Duration
	// hint is the caller's estimate of untilNext; zero if it gives none.
	hint time.Duration
}

// returnPattern describes when callers return to the conversations of a class. The
// gaps between lookups have a log-normal distribution.
type returnPattern struct {
	class string
	// share is the share of the chains that belong to the class.
	share float64
	// meanBlocks is the approximate mean length of a new chain, and growth is the
	// number of blocks that each later lookup adds.
	meanBlocks int
	growth     int
	// returnProbability is the probability of a further lookup after each.
	returnProbability float64
	// medianGap is the median time until the next lookup, and gapSigma is the
	// standard deviation of its logarithm.
	medianGap time.Duration
	gapSigma  float64
	// hintShare is the share of returns for which the caller gives an estimate.
	hintShare float64
}

var returnPatterns = []returnPattern{
	{class: "verdict", share: 0.5, meanBlocks: 2, growth: 1, returnProbability: 0.25, medianGap: 10 * time.Minute, gapSigma: 1},
	{class: "dossier", share: 0.3, meanBlocks: 16, growth: 2, returnProbability: 0.8, medianGap: 20 * time.Hour, gapSigma: 0.7, hintShare: 0.5},
	{class: "bake", share: 0.2, meanBlocks: 6, growth: 1, returnProbability: 0.85, medianGap: 4 * 24 * time.Hour, gapSigma: 0.3, hintShare: 0.5},
}

// trace generates the lookups of all chains, ordered by time.
func (e *EvictionTrial) trace() []lookup {
	rng := rand.New(rand.NewPCG(e.Seed, 2))
	var lookups []lookup
	for chain := range e.Conversations {
		pattern := drawPattern(rng)
		group := evictor.NewGroup(fmt.Sprintf("team-%d", chain%10), pattern.class)
		at := time.Duration(rng.Float64() * float64(traceSpan))
		blocks := pattern.meanBlocks/2 + rng.IntN(pattern.meanBlocks)
		for at < traceSpan {
			entry := lookup{at: at, chain: chain, blocks: blocks, group: group}
			if rng.Float64() < pattern.returnProbability {
				entry.untilNext = time.Duration(float64(pattern.medianGap) * math.Exp(rng.NormFloat64()*pattern.gapSigma))
			}
			if entry.untilNext > 0 && rng.Float64() < pattern.hintShare {
				entry.hint = time.Duration(float64(entry.untilNext) * (0.8 + 0.4*rng.Float64()))
			}
			lookups = append(lookups, entry)
			if entry.untilNext == 0 {
				break
			}
			at += entry.untilNext
			blocks += pattern.growth
		}
	}
	slices.SortStableFunc(lookups, func(a, b lookup) int { return int(a.at - b.at) })
	return lookups
}

func drawPattern(rng *rand.Rand) returnPattern {
	draw := rng.Float64()
	for _, pattern := range returnPatterns {
		if draw < pattern.share {
			return pattern
		}
		draw -= pattern.share
	}
	// Rounding can leave draw above the last share.
	return returnPatterns[0]
}

// chainState is the state of a chain in the store.
type chainState struct {
	lastLookup   lookup
	lookups      int
	cachedBlocks int
	value        float64
	chain        int
}

// valueFunc returns the value of a chain's cached blocks. Chains of the lowest value
// lose blocks first.
type valueFunc func(state *chainState, now time.Duration, learner *evictor.Learner) float64

// policyValue returns the value function of a registered policy. Without hints,
// the policy does not get the callers' estimates.
func policyValue(name string, hints bool) valueFunc {
	return func(s *chainState, now time.Duration, learner *evictor.Learner) float64 {
		block := evictor.Block{Position: s.cachedBlocks, Idle: now - s.lastLookup.at, Lookups: s.lookups, Group: s.lastLookup.group}
		if hints {
			block.ReturnTime = s.lastLookup.hint
		}
		return evictor.Must(name, learner).Value(block)
	}
}

// gdsfPositionWise follows GPACS, section 3.2 of "Cost-Aware Result Caching for
// Meta-Search Engines". Evicting the last k blocks of a chain costs k blocks of
// prefill, so all its cached blocks have the same value. The value falls with the
// number of cached blocks and with the idle time in hours, and rises with the number
// of lookups.
func gdsfPositionWise(s *chainState, now time.Duration, _ *evictor.Learner) float64 {
	return math.Pow(float64(s.lookups), 1.5) / float64(max(s.cachedBlocks, 1)) / (1 + (now - s.lastLookup.at).Hours())
}

func clairvoyant(s *chainState, now time.Duration, _ *evictor.Learner) float64 {
	if s.lastLookup.untilNext == 0 {
		return -math.MaxFloat64
	}
	return -(s.lastLookup.at + s.lastLookup.untilNext - now).Seconds()
}

// Run prints, for each policy and for stores of 1/20 and 1/5 of all blocks, the share
// of the blocks of returning prompts that are recomputed.
func (e *EvictionTrial) Run() {
	lookups := e.trace()
	finalBlocks := map[int]int{}
	for _, entry := range lookups {
		finalBlocks[entry.chain] = entry.blocks
	}
	total := 0
	for _, blocks := range finalBlocks {
		total += blocks
	}
	fmt.Fprintf(e.Out, "%d visits of %d chains, %d blocks in all\n", len(lookups), len(finalBlocks), total)
	rows := []struct {
		name  string
		value valueFunc
	}{
		{"LRU, tails first", policyValue("lru", false)},
		{"GDSF (paper, 3.1)", policyValue("gdsf", false)},
		{"GDSF, position-wise (paper, 3.2)", gdsfPositionWise},
		{"caller's hint, else LRU", policyValue("return", true)},
		{"learned return times", policyValue("learned", false)},
		{"learned return times and hints", policyValue("learned", true)},
		{"clairvoyant", clairvoyant},
	}
	fmt.Fprintf(e.Out, "%-34s %8s %8s\n", "recomputed share of returns", "1/20", "1/5")
	for _, row := range rows {
		small := recomputedShare(lookups, total/20, row.value)
		large := recomputedShare(lookups, total/5, row.value)
		fmt.Fprintf(e.Out, "%-34s %8.3f %8.3f\n", row.name, small, large)
	}
}

// recomputedShare replays the trace against a store with a capacity in blocks and
// returns the share of the blocks of returning prompts that are recomputed.
func recomputedShare(lookups []lookup, capacity int, value valueFunc) float64 {
	learner := &evictor.Learner{}
	chains := map[int]*chainState{}
	used, computed, requested := 0, 0, 0
	for _, entry := range lookups {
		state, known := chains[entry.chain]
		gap := time.Duration(0)
		if !known {
			state = &chainState{}
			chains[entry.chain] = state
		} else {
			gap = entry.at - state.lastLookup.at
			requested += entry.blocks
			computed += entry.blocks - state.cachedBlocks
		}
		learner.RecordLookup(entry.group, gap)
		used += entry.blocks - state.cachedBlocks
		state.lastLookup, state.cachedBlocks = entry, entry.blocks
		state.lookups++
		if used > capacity {
			used = evict(chains, used, capacity, entry.at, value, learner)
		}
	}
	return float64(computed) / float64(requested)
}

// evict evicts blocks from the chains of lowest value, tails first, and returns the
// number of blocks that are left.
func evict(chains map[int]*chainState, used, capacity int, now time.Duration, value valueFunc, learner *evictor.Learner) int {
	var order chainHeap
	for i, state := range chains {
		if state.cachedBlocks > 0 {
			state.value = value(state, now, learner)
			state.chain = i
			order = append(order, state)
		}
	}
	heap.Init(&order)
	target := capacity - int(evictionBatch*float64(capacity))
	for used > target && len(order) > 0 {
		state, _ := heap.Pop(&order).(*chainState)
		evicted := min(state.cachedBlocks, used-target)
		state.cachedBlocks -= evicted
		used -= evicted
	}
	return used
}

// chainHeap is a min-heap of chains by value.
type chainHeap []*chainState

// Len implements heap.Interface.
func (h chainHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h chainHeap) Less(i, j int) bool {
	if h[i].value == h[j].value {
		return h[i].chain < h[j].chain
	}
	return h[i].value < h[j].value
}

// Swap implements heap.Interface.
func (h chainHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *chainHeap) Push(x any) {
	if state, ok := x.(*chainState); ok {
		*h = append(*h, state)
	}
}

// Pop implements heap.Interface.
func (h *chainHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
