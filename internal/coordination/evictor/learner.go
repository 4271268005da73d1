package evictor

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"sync"
	"time"
)

const (
	// gapBuckets is the number of buckets of the return times, which double
	// from shortestGap on.
	gapBuckets  = 24
	shortestGap = 10 * time.Second
)

// Group names a set of prompts whose return times are learned together. It is a
// hash, so that a store host does not learn the names of teams.
type Group string

// NewGroup returns the group of a team's prompts of a class.
func NewGroup(team, class string) Group {
	sum := sha256.Sum256([]byte(team + "\x00" + class))
	return Group(hex.EncodeToString(sum[:8]))
}

// Learner learns after what times the prompts of a group return. It is safe for
// concurrent use.
type Learner struct {
	mu     sync.Mutex
	groups map[Group]*gaps
}

// gaps counts visits and the times until the next visit.
type gaps struct {
	visits  float64
	returns [gapBuckets]float64
}

func bucket(gap time.Duration) int {
	if gap <= shortestGap {
		return 0
	}
	return min(int(math.Log2(float64(gap)/float64(shortestGap)))+1, gapBuckets-1)
}

// Visit counts a visit; gap is the time since the prompt's last visit, zero for
// the first.
func (l *Learner) Visit(group Group, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groups = map[Group]*gaps{}
	}
	held, ok := l.groups[group]
	if !ok {
		held = &gaps{}
		l.groups[group] = held
	}
	held.visits++
	if gap > 0 {
		held.returns[bucket(gap)]++
	}
}

// Density returns how soon and how surely a prompt of a group returns after it
// has been idle: the probability of a return over the expected time to it, per
// second.
func (l *Learner) Density(group Group, idle time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, ok := l.groups[group]
	if !ok {
		return 0
	}
	place := bucket(idle)
	passed, later, waits := 0.0, 0.0, 0.0
	for i, n := range held.returns {
		if i < place {
			passed += n
			continue
		}
		later += n
		middle := float64(shortestGap) * math.Exp2(float64(i)-0.5)
		waits += n * math.Max(middle-float64(idle), float64(shortestGap)/2)
	}
	if later == 0 {
		return 0
	}
	probability := later / math.Max(held.visits-passed, later)
	return probability / (waits / later / float64(time.Second))
}
