// Package retrier decides whether a failed request may be tried again: by a
// retry budget that is a share of the traffic, and by the crashes that the
// request has been part of.
//
// # Usage
//
//	budget := &retrier.Budget{Share: 0.1, Reserve: 10}
//	budget.Request()
//	if budget.Spend() {
//		// Retry.
//	}
package retrier

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a share of the requests. It is safe for concurrent
// use.
type Budget struct {
	// Share is the number of retries earned per request.
	Share float64
	// Reserve is the largest number of retries that can be saved up.
	Reserve float64

	mu      sync.Mutex
	started bool
	saved   float64
}

// Request earns a share of a retry.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.saved = min(b.saved+b.Share, b.Reserve)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) start() {
	if !b.started {
		b.started = true
		b.saved = b.Reserve
	}
}

// Jitter returns a part of a time span.
type Jitter func(span time.Duration) time.Duration

// Random is the Jitter of running nodes.
func Random(span time.Duration) time.Duration { return rand.N(span + 1) }

// Backoff returns the jittered wait before retry n, counted from zero: between
// half of and the whole of base doubled n times, at most limit.
func Backoff(n int, base, limit time.Duration, jitter Jitter) time.Duration {
	wait := limit
	if n < 16 {
		wait = min(base<<n, limit)
	}
	return wait/2 + jitter(wait/2)
}

// Sleep waits for d or until ctx ends, whose error it then returns.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
