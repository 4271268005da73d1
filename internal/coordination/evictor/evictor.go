// Package evictor ranks stored blocks for eviction.
//
// The policies are collected in a registry and looked up by name. A policy
// gives each block a value; those with the lowest values go first, and among
// equals the later blocks of a chain, since a block is of no use without those
// before it.
//
// # Usage
//
//	policy, err := evictor.Get("learned", learner)
//	for _, block := range evictor.Order(policy, blocks) {
//		// Free block until there is room.
//	}
package evictor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknownPolicy marks a name that no policy is registered under.
var ErrUnknownPolicy = errors.New("unknown eviction policy")

// Block is what is known of a stored block.
type Block struct {
	Name string
	// Position is the block's place in its chain, from zero.
	Position int
	// Idle is the time since the block was last looked up.
	Idle time.Duration
	// Visits is the number of look-ups.
	Visits int
	Bytes  int64
	// Return is the caller's word, or a learned estimate, on the time from the
	// last look-up to the next; zero for none.
	Return time.Duration
	// Group is the group of the prompt that brought the block.
	Group Group
}

// Policy values blocks; higher is kept longer.
type Policy interface {
	Value(block Block) float64
}

// registry holds the constructors of the policies.
var registry = map[string]func(learner *Learner) Policy{
	"lru":     func(*Learner) Policy { return LRU{} },
	"gdsf":    func(*Learner) Policy { return Frequency{} },
	"return":  func(*Learner) Policy { return Return{} },
	"learned": func(learner *Learner) Policy { return Learned{Learner: learner} },
}

// Get returns the policy registered under name, over what learner has learned.
// It returns ErrUnknownPolicy.
func Get(name string, learner *Learner) (Policy, error) {
	construct, ok := registry[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return construct(learner), nil
}

// Must is Get for names that are fixed in the program.
func Must(name string, learner *Learner) Policy {
	policy, err := Get(name, learner)
	if err != nil {
		panic(err)
	}
	return policy
}

// Order returns blocks in the order of their eviction.
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

// LRU keeps what was looked up last.
type LRU struct{}

// Value implements Policy.
func (LRU) Value(block Block) float64 { return -block.Idle.Seconds() }

// Frequency keeps what is looked up often and lately, after GDSF in section 3.1
// of "Cost-Aware Result Caching for Meta-Search Engines". All blocks cost the
// same to compute per byte, so cost over size drops out; the ageing term L is
// taken as the look-up rate falling with idle time.
type Frequency struct{}

// Value implements Policy.
func (Frequency) Value(block Block) float64 {
	const ageing = float64(time.Hour)
	return float64(block.Visits+1) / (1 + float64(block.Idle)/ageing)
}

// Return keeps what is expected back soonest, as far as that is known, and ranks
// the rest by idle time: a block without estimate is taken to return after as
// long a time as it has been idle.
type Return struct{}

// Value implements Policy.
func (Return) Value(block Block) float64 {
	left := block.Return - block.Idle
	if block.Return <= 0 {
		return -block.Idle.Seconds()
	}
	if left < 0 {
		// Overdue: as unlikely to come as it is late.
		return -math.Max(-left.Seconds(), block.Return.Seconds())
	}
	return -left.Seconds()
}

// Learned keeps what returns soonest and surest by the learned return times of
// its group, or by the caller's word while that is not long overdue.
type Learned struct {
	Learner *Learner
}

// Value implements Policy.
func (l Learned) Value(block Block) float64 {
	left := block.Return - block.Idle
	if block.Return > 0 && left > -block.Return/2 {
		return -math.Max(left.Seconds(), 1)
	}
	density := l.Learner.Density(block.Group, block.Idle)
	if density == 0 {
		// Nothing is known of the group: by idle time, behind all others.
		return -math.MaxFloat32 - block.Idle.Seconds()
	}
	return -1 / density
}
