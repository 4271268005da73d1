package evictor

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets of the return time histogram. The
	// first bucket ends at firstBucketLimit, and the limit doubles with each
	// bucket.
	bucketCount      = 24
	firstBucketLimit = 10 * time.Second
)

// Group identifies prompts whose return times are learned together. It is a
// hash, so that store hosts do not see the names of teams.
type Group string

// NewGroup returns the group of a team's prompts of one class.
func NewGroup(team, class string) Group {
	sum := sha256.Sum256([]byte(team + "\x00" + class))
	return Group(hex.EncodeToString(sum[:8]))
}

// Learner collects statistics on the time between lookups of the same prompt,
// per group. It is safe for concurrent use.
type Learner struct {
	mu     sync.Mutex
	groups map[Group]*returnStats
}

// returnStats counts lookups, and the times until the next lookup by bucket.
type returnStats struct {
	lookups float64
	returns [bucketCount]float64
}

func bucket(returnTime time.Duration) int {
	if returnTime <= firstBucketLimit {
		return 0
	}
	return min(int(math.Log2(float64(returnTime)/float64(firstBucketLimit)))+1, bucketCount-1)
}

// RecordLookup records a lookup of a prompt. The return time is the time since
// the prompt's previous lookup; zero for the first.
func (l *Learner) RecordLookup(group Group, returnTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groups = map[Group]*returnStats{}
	}
	stats, ok := l.groups[group]
	if !ok {
		stats = &returnStats{}
		l.groups[group] = stats
	}
	stats.lookups++
	if returnTime > 0 {
		stats.returns[bucket(returnTime)]++
	}
}

// ReturnDensity returns the probability that a prompt of a group that has been
// idle for the given time returns, divided by the expected time until then, per
// second. It returns zero if no prompt of the group is known to have returned
// after so long.
func (l *Learner) ReturnDensity(group Group, idle time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats, ok := l.groups[group]
	if !ok {
		return 0
	}
	current := bucket(idle)
	earlier, later, totalWait := 0.0, 0.0, 0.0
	for i, n := range stats.returns {
		if i < current {
			earlier += n
			continue
		}
		later += n
		midpoint := float64(firstBucketLimit) * math.Exp2(float64(i)-0.5)
		totalWait += n * math.Max(midpoint-float64(idle), float64(firstBucketLimit)/2)
	}
	if later == 0 {
		return 0
	}
	probability := later / math.Max(stats.lookups-earlier, later)
	return probability / (totalWait / later / float64(time.Second))
}
