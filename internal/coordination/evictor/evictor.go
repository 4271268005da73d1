// Package evictor ranks stored blocks for eviction.
//
// Policies are registered by name. A policy assigns each block a value, and the
// blocks with the lowest values are evicted first. Among blocks of equal value
// those later in a chain are evicted first, since a block is useless without
// the blocks before it.
//
// # Usage
//
//	policy, err := evictor.Get("learned", learner)
//	for _, block := range evictor.Order(policy, blocks) {
//		// Evict block until enough space is free.
//	}
package evictor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknownPolicy is returned for a name without a registered policy.
var ErrUnknownPolicy = errors.New("unknown eviction policy")

// Block describes a stored block.
type Block struct {
	Name string
	// Position is the block's index in its chain, from zero.
	Position int
	// Idle is the time since the block's last lookup.
	Idle time.Duration
	// Lookups is the number of lookups.
	Lookups int
	Bytes   int64
	// ReturnTime is the expected time from the last lookup to the next, as
	// announced by the caller; zero if unknown.
	ReturnTime time.Duration
	// Group is the group of the prompt that the block was stored for.
	Group Group
}

// Policy assigns values to blocks; blocks with higher values are kept longer.
type Policy interface {
	Value(block Block) float64
}

// registry maps names to constructors of policies.
var registry = map[string]func(learner *Learner) Policy{
	"lru":     func(*Learner) Policy { return LRU{} },
	"gdsf":    func(*Learner) Policy { return GDSF{} },
	"return":  func(*Learner) Policy { return ReturnTime{} },
	"learned": func(learner *Learner) Policy { return Learned{Learner: learner} },
}

// Get returns the policy registered under name, using learner's statistics, or
// ErrUnknownPolicy.
func Get(name string, learner *Learner) (Policy, error) {
	construct, ok := registry[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return construct(learner), nil
}

// Must is like Get but panics on an unknown name. It is for names fixed in the
// program.
func Must(name string, learner *Learner) Policy {
	policy, err := Get(name, learner)
	if err != nil {
		panic(err)
	}
	return policy
}

// Order returns blocks in eviction order, the first to evict first.
func Order(policy Policy, blocks []Block) []Block {
	ordered := slices.Clone(blocks)
	slices.SortStableFunc(ordered, func(a, b Block) int {
		if order := cmp.Compare(policy.Value(a), policy.Value(b)); order != 0 {
			return order
		}
		return cmp.Compare(b.Position, a.Position)
	})
	return ordered
}

// LRU evicts the least recently used blocks first.
type LRU struct{}

// Value implements Policy.
func (LRU) Value(block Block) float64 { return -block.Idle.Seconds() }

// GDSF keeps blocks that are looked up often and recently, after GDSF in
// section 3.1 of "Cost-Aware Result Caching for Meta-Search Engines". All
// blocks cost the same to compute per byte, so the ratio of cost to size is
// constant and omitted. The aging term L is replaced by a lookup rate that
// falls with idle time.
type GDSF struct{}

// Value implements Policy.
func (GDSF) Value(block Block) float64 {
	const agingTime = float64(time.Hour)
	return float64(block.Lookups+1) / (1 + float64(block.Idle)/agingTime)
}

// ReturnTime keeps the blocks with the earliest expected return. Blocks
// without an announced return time are ranked by idle time: a block is assumed
// to return after as much time as it has been idle.
type ReturnTime struct{}

// Value implements Policy.
func (ReturnTime) Value(block Block) float64 {
	remaining := block.ReturnTime - block.Idle
	if block.ReturnTime <= 0 {
		return -block.Idle.Seconds()
	}
	if remaining < 0 {
		// An overdue block is ranked as if its next use were as far ahead as it is
		// overdue, and at least one return time ahead.
		return -math.Max(-remaining.Seconds(), block.ReturnTime.Seconds())
	}
	return -remaining.Seconds()
}

// Learned keeps the blocks that are expected to return soonest and with the
// highest probability. It uses the return time announced by the caller until the
// block is overdue by half of that time, and the learned return times of the
// block's group otherwise.
type Learned struct {
	Learner *Learner
}

// Value implements Policy.
func (l Learned) Value(block Block) float64 {
	remaining := block.ReturnTime - block.Idle
	if block.ReturnTime > 0 && remaining > -block.ReturnTime/2 {
		return -math.Max(remaining.Seconds(), 1)
	}
	density := l.Learner.ReturnDensity(block.Group, block.Idle)
	if density == 0 {
		// A block whose group has no known return after so long is ranked by idle
		// time, below all other blocks.
		return -math.MaxFloat32 - block.Idle.Seconds()
	}
	// 1/density is the expected wait divided by the probability of a return, in
	// seconds, so it compares with the announced times above.
	return -1 / density
}
