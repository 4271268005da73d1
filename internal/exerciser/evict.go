package exerciser

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

// EvictionTrial compares eviction policies on one synthetic trace of prompts
// that return after minutes to days. Its fields are set before Run.
type EvictionTrial struct {
	Seed  uint64
	Chats int
	Out   io.Writer
}

const (
	trialSpan = 14 * 24 * time.Hour
	// trialBatch is the share of the store that is freed at once.
	trialBatch = 0.02
)

// visit is one look-up of a chain in the trace.
type visit struct {
	at    time.Duration
	chain int
	// blocks is the chain's length at this visit.
	blocks int
	group  evictor.Group
	// next is the time until the chain's next visit; zero for none.
	next time.Duration
	// hint is the caller's word on next; zero for none.
	hint time.Duration
}

// habit is how a class of prompts returns.
type habit struct {
	class     string
	share     float64
	first     int
	grow      int
	returns   float64
	median    time.Duration
	spread    float64
	hintShare float64
}

var habits = []habit{
	{class: "verdict", share: 0.5, first: 2, grow: 1, returns: 0.25, median: 10 * time.Minute, spread: 1},
	{class: "dossier", share: 0.3, first: 16, grow: 2, returns: 0.8, median: 20 * time.Hour, spread: 0.7, hintShare: 0.5},
	{class: "bake", share: 0.2, first: 6, grow: 1, returns: 0.85, median: 4 * 24 * time.Hour, spread: 0.3, hintShare: 0.5},
}

// trace draws the visits of all chains, ordered by time.
func (e *EvictionTrial) trace() []visit {
	source := rand.New(rand.NewPCG(e.Seed, 2))
	var visits []visit
	for chain := range e.Chats {
		h := drawHabit(source)
		group := evictor.NewGroup(fmt.Sprintf("team-%d", chain%10), h.class)
		at := time.Duration(source.Float64() * float64(trialSpan))
		blocks := h.first/2 + source.IntN(h.first)
		for at < trialSpan {
			v := visit{at: at, chain: chain, blocks: blocks, group: group}
			if source.Float64() < h.returns {
				v.next = time.Duration(float64(h.median) * math.Exp(source.NormFloat64()*h.spread))
			}
			if v.next > 0 && source.Float64() < h.hintShare {
				v.hint = time.Duration(float64(v.next) * (0.8 + 0.4*source.Float64()))
			}
			visits = append(visits, v)
			if v.next == 0 {
				break
			}
			at += v.next
			blocks += h.grow
		}
	}
	slices.SortStableFunc(visits, func(a, b visit) int { return int(a.at - b.at) })
	return visits
}

func drawHabit(source *rand.Rand) habit {
	draw := source.Float64()
	for _, h := range habits {
		if draw < h.share {
			return h
		}
		draw -= h.share
	}
	return habits[0]
}

// chainState is a chain in the store.
type chainState struct {
	last   visit
	visits int
	held   int
	value  float64
	place  int
}

// valuer gives a stored chain's last block a value; higher is kept longer.
type valuer func(state *chainState, now time.Duration, learner *evictor.Learner) float64

// ofPolicy values chains by a registered policy; without hints the callers' word
// is withheld.
func ofPolicy(name string, hints bool) valuer {
	return func(s *chainState, now time.Duration, learner *evictor.Learner) float64 {
		block := evictor.Block{Position: s.held, Idle: now - s.last.at, Visits: s.visits, Group: s.last.group}
		if hints {
			block.Return = s.last.hint
		}
		return evictor.Must(name, learner).Value(block)
	}
}

// positionWise spreads the cost of a chain over its blocks as the paper's
// algorithm GPACS does (section 3.2): removing the last k blocks costs k blocks
// of prefill, so the value per block is the same along the chain, and GDSF's
// frequency and ageing decide.
func positionWise(s *chainState, now time.Duration, _ *evictor.Learner) float64 {
	return math.Pow(float64(s.visits), 1.5) / float64(max(s.held, 1)) / (1 + (now - s.last.at).Hours())
}

func clairvoyant(s *chainState, now time.Duration, _ *evictor.Learner) float64 {
	if s.last.next == 0 {
		return -math.MaxFloat64
	}
	return -(s.last.at + s.last.next - now).Seconds()
}

// Run prints the share of returning prompts' blocks that are computed again,
// for each policy at two sizes of the store.
func (e *EvictionTrial) Run() {
	visits := e.trace()
	unique := map[int]int{}
	for _, v := range visits {
		unique[v.chain] = v.blocks
	}
	total := 0
	for _, blocks := range unique {
		total += blocks
	}
	fmt.Fprintf(e.Out, "%d visits of %d chains, %d blocks in all\n", len(visits), len(unique), total)
	rows := []struct {
		name  string
		value valuer
	}{
		{"LRU, tails first", ofPolicy("lru", false)},
		{"GDSF (paper, 3.1)", ofPolicy("gdsf", false)},
		{"GDSF, position-wise (paper, 3.2)", positionWise},
		{"caller's hint, else LRU", ofPolicy("return", true)},
		{"learned return times", ofPolicy("learned", false)},
		{"learned return times and hints", ofPolicy("learned", true)},
		{"clairvoyant", clairvoyant},
	}
	fmt.Fprintf(e.Out, "%-34s %8s %8s\n", "recomputed share of returns", "1/20", "1/5")
	for _, row := range rows {
		small := recomputed(visits, total/20, row.value)
		large := recomputed(visits, total/5, row.value)
		fmt.Fprintf(e.Out, "%-34s %8.3f %8.3f\n", row.name, small, large)
	}
}

// recomputed plays the trace against a store of a number of blocks.
func recomputed(visits []visit, capacity int, value valuer) float64 {
	learner := &evictor.Learner{}
	chains := map[int]*chainState{}
	used, computed, asked := 0, 0, 0
	for _, v := range visits {
		state, known := chains[v.chain]
		gap := time.Duration(0)
		if !known {
			state = &chainState{}
			chains[v.chain] = state
		} else {
			gap = v.at - state.last.at
			asked += v.blocks
			computed += v.blocks - state.held
		}
		learner.Visit(v.group, gap)
		used += v.blocks - state.held
		state.last, state.held = v, v.blocks
		state.visits++
		if used > capacity {
			used = free(chains, used, capacity, v.at, value, learner)
		}
	}
	return float64(computed) / float64(asked)
}

// free evicts blocks from the chains of least value, tails first.
func free(chains map[int]*chainState, used, capacity int, now time.Duration, value valuer, learner *evictor.Learner) int {
	var order chainHeap
	for i, state := range chains {
		if state.held > 0 {
			state.value = value(state, now, learner)
			state.place = i
			order = append(order, state)
		}
	}
	heap.Init(&order)
	target := capacity - int(trialBatch*float64(capacity))
	for used > target && len(order) > 0 {
		state, _ := heap.Pop(&order).(*chainState)
		gone := min(state.held, used-target)
		state.held -= gone
		used -= gone
	}
	return used
}

// chainHeap orders chains by value, the least first.
type chainHeap []*chainState

// Len implements heap.Interface.
func (h chainHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h chainHeap) Less(i, j int) bool {
	if h[i].value == h[j].value {
		return h[i].place < h[j].place
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
