package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rankPenaltyShare is the share of a request's objective that each rank adds
	// to its sortTime. Requests of lower ranks start first, but the others are not
	// starved.
	rankPenaltyShare = 0.25
	// objectiveWaitShare is the share of the objective within which a request
	// must start; the rest is needed for the prefill of its prompt. It is also
	// the longest time that a request is queued.
	objectiveWaitShare = 0.7
	// deadlineWaitShare is the share of the caller's timeout for which a request
	// is queued at most; the rest leaves the caller enough time to try elsewhere.
	deadlineWaitShare = 0.25
	// maxWait limits the queue time of a request without an objective.
	maxWait = 2 * time.Second
	// tokenPenalty is added to the sortTime of a request for each token of memory
	// that it needs. It is about the time that a loaded engine takes to process
	// one token. maxTokenPenalty limits the sum, so that large requests are not
	// starved.
	tokenPenalty    = 100 * time.Microsecond
	maxTokenPenalty = time.Second
	// minRetryAfter and maxRetryAfter limit the time after which a refused
	// caller is asked to retry.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// sortTime returns the sort key of the queue: the latest start that meets the
// objective, moved later for each rank and for the memory that the request
// needs. Several short prompts can start in the memory of one long prompt, so
// they come first.
func sortTime(request Request) time.Time {
	share := objectiveWaitShare + rankPenaltyShare*float64(request.Rank)
	penalty := min(time.Duration(request.Tokens)*tokenPenalty, maxTokenPenalty)
	return request.Received.Add(time.Duration(share*float64(request.Objective)) + penalty)
}

// late reports whether it is too late for a request to be answered within its
// objective. A request without an objective is always late.
func late(request Request, now time.Time) bool {
	return now.After(request.Received.Add(time.Duration(objectiveWaitShare * float64(request.Objective))))
}

// startsBefore reports whether a starts before b. Urgent requests come first,
// then those that can still meet their objective, by sortTime, then the late
// ones and those without an objective, oldest first.
func startsBefore(a, b Request, now time.Time) bool {
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
	return sortTime(a).Before(sortTime(b))
}

func compare(a, b *waiter, now time.Time) int {
	switch {
	case startsBefore(a.request, b.request, now):
		return -1
	case startsBefore(b.request, a.request, now):
		return 1
	default:
		return cmp.Compare(a.sequence, b.sequence)
	}
}

func insert(waiting []*waiter, w *waiter, now time.Time) []*waiter {
	sortWaiting(waiting, now)
	index, _ := slices.BinarySearchFunc(waiting, w, func(a, b *waiter) int { return compare(a, b, now) })
	return slices.Insert(waiting, index, w)
}

func sortWaiting(waiting []*waiter, now time.Time) {
	slices.SortFunc(waiting, func(a, b *waiter) int { return compare(a, b, now) })
}

// maxQueueTime is the longest time for which a request is queued. It ends before
// the request would miss its objective, so that the caller is told early when to
// retry. A request whose answer has begun is queued until its deadline.
func maxQueueTime(request Request) time.Duration {
	timeout := request.Deadline.Sub(request.Received)
	if request.Begun {
		return max(timeout, 0)
	}
	wait := maxWait
	if request.Objective > 0 {
		wait = time.Duration(objectiveWaitShare * float64(request.Objective))
	}
	return min(time.Duration(deadlineWaitShare*float64(timeout)), wait)
}

// retryAfter returns the time after which a refused caller may retry, for an
// expected wait.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
