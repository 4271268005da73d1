package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rankShare is the part of its objective by which each rank sets a request
	// back: more urgent ones go first, and others still get their turn.
	rankShare = 0.25
	// startShare is the part of the objective by which a request must have started
	// to be in time; the rest is for reading its prompt. It is kept waiting no
	// longer.
	startShare = 0.7
	// waitShare is the part of the time that a caller gives within which a request
	// is kept waiting; the rest is enough for a try elsewhere.
	waitShare = 0.25
	// maxWait bounds the wait of a request without an objective.
	maxWait = 2 * time.Second
	// tokenSetback is by how much each token of memory that it takes sets a request
	// back, about as long as engines take to read and answer one under load;
	// maxSetback bounds it, so that the largest get their turn.
	tokenSetback = 100 * time.Microsecond
	maxSetback   = time.Second
	// minComeback and maxComeback bound the time after which a refused caller is
	// asked to come back.
	minComeback = 150 * time.Millisecond
	maxComeback = 3 * time.Second
)

// due is when a request should have started. Ranks set it back, and so does the
// memory that it takes: five short prompts start in the room of a long one.
func due(request Request) time.Time {
	share := startShare + rankShare*float64(request.Rank)
	setback := min(time.Duration(request.Tokens)*tokenSetback, maxSetback)
	return request.Received.Add(time.Duration(share*float64(request.Objective)) + setback)
}

// late reports whether a request can't be answered within its objective any
// more.
func late(request Request, now time.Time) bool {
	return now.After(request.Received.Add(time.Duration(startShare * float64(request.Objective))))
}

// before orders requests: urgent ones, those that can be in time by when they
// are due, and then the late ones, oldest first.
func before(a, b Request, now time.Time) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	lateA, lateB := late(a, now), late(b, now)
	if lateA != lateB {
		return lateB
	}
	if lateA {
		return a.Received.Before(b.Received)
	}
	return due(a).Before(due(b))
}

func compare(a, b *waiter, now time.Time) int {
	switch {
	case before(a.request, b.request, now):
		return -1
	case before(b.request, a.request, now):
		return 1
	default:
		return cmp.Compare(a.turn, b.turn)
	}
}

func insert(waiting []*waiter, w *waiter, now time.Time) []*waiter {
	resort(waiting, now)
	at, _ := slices.BinarySearchFunc(waiting, w, func(a, b *waiter) int { return compare(a, b, now) })
	return slices.Insert(waiting, at, w)
}

func resort(waiting []*waiter, now time.Time) {
	slices.SortFunc(waiting, func(a, b *waiter) int { return compare(a, b, now) })
}

// patience is the longest time that a request is kept waiting. Its caller is
// told sooner when to come back than an answer could be late.
func patience(request Request) time.Duration {
	given := request.Deadline.Sub(request.Received)
	if request.Urgent {
		return max(given, 0)
	}
	wait := maxWait
	if request.Objective > 0 {
		wait = time.Duration(startShare * float64(request.Objective))
	}
	return min(time.Duration(waitShare*float64(given)), wait)
}

// comeback is when a refused caller may try again.
func comeback(wait time.Duration) time.Duration { return min(max(wait, minComeback), maxComeback) }
