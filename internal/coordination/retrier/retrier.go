// Package retrier decides whether and when a failed request may be retried.
// Budget and WindowBudget limit retries to a share of the requests,
// WindowBudget per service and in a sliding window. Suspects counts the
// endpoint crashes that happened while a request was running. Backoff computes
// the wait before a retry.
//
// # Usage
//
//	budget := &retrier.Budget{Ratio: 0.1, Reserve: 10}
//	budget.CountRequest()
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

// Budget limits retries to a share of the requests: each request adds to it, and
// each retry takes one from it. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Reserve is the maximum number of retries that the budget holds; it starts
	// full.
	Reserve float64

	mu          sync.Mutex
	initialized bool
	available   float64
}

// CountRequest counts a request and adds Ratio to the budget.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.available = min(b.available+b.Ratio, b.Reserve)
}

// Spend takes one retry from the budget. It reports false if the budget is
// exhausted.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

func (b *Budget) init() {
	if !b.initialized {
		b.initialized = true
		b.available = b.Reserve
	}
}

// Jitter returns a duration between zero and span.
type Jitter func(span time.Duration) time.Duration

// UniformJitter is a Jitter with a uniform distribution. Production code uses
// it; tests use a fixed Jitter.
func UniformJitter(span time.Duration) time.Duration { return rand.N(span + 1) }

// Backoff returns the wait before retry n, counted from zero. The wait is base
// doubled n times, at most limit, and reduced by jitter to no less than half of
// that.
func Backoff(n int, base, limit time.Duration, jitter Jitter) time.Duration {
	wait := limit
	// A larger shift could overflow.
	if n < 16 {
		wait = min(base<<n, limit)
	}
	return wait/2 + jitter(wait/2)
}

// Sleep waits for d. It returns the error of ctx if ctx ends first.
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
