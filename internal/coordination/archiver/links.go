package archiver

import (
	"sync"
	"time"
)

const (
	// initialRate is the rate assumed for a link until a transfer has been
	// measured, in bytes per second.
	initialRate = 32 << 20
	// rateWeight is the weight of the newest transfer in the moving averages.
	rateWeight = 0.3
	// maxQueueDelay is the queueing delay above which a link is not used.
	maxQueueDelay = 2 * time.Second
	// failureBackoff is how long a host is not used after a failure.
	failureBackoff = 2 * time.Second
	// defaultBlockBytes is the block size assumed until a block was exported,
	// in bytes.
	defaultBlockBytes = 64 << 10
)

// Links limits the traffic on the links to store hosts and measures their
// queues. Its exported fields are set before use, and it is safe for concurrent
// use.
type Links struct {
	// Budget returns this node's share of the bandwidth of a host's link, in
	// bytes per second; zero means no limit.
	Budget func(host string) int64

	mu    sync.Mutex
	links map[string]*link
}

type link struct {
	inFlight          int64
	rate              float64
	backoffUntil      time.Time
	budgetBytes       float64
	refilledAt        time.Time
	averageBlockBytes float64
	imported          int64
	exported          int64
}

func (l *Links) get(host string) *link {
	if l.links == nil {
		l.links = map[string]*link{}
	}
	state, ok := l.links[host]
	if !ok {
		state = &link{rate: initialRate, averageBlockBytes: defaultBlockBytes}
		l.links[host] = state
	}
	return state
}

// Usable reports whether a host is not in backoff and the queue of its link is
// short enough.
func (l *Links) Usable(now time.Time, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(host)
	return now.After(state.backoffUntil) && state.wait(0) < maxQueueDelay
}

// ExpectedWait returns the expected time until that many more bytes have been
// sent over a host's link.
func (l *Links) ExpectedWait(host string, bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(host).wait(bytes)
}

func (k *link) wait(bytes int64) time.Duration {
	return time.Duration(float64(k.inFlight+bytes) / k.rate * float64(time.Second))
}

// RecordResult records the result of a request to a host; an error starts a
// backoff.
func (l *Links) RecordResult(now time.Time, host string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.get(host).backoffUntil = now.Add(failureBackoff)
	}
}

// BeginTransfer records the start of a transfer of the expected size in bytes.
// The returned function records its end with the number of transferred bytes.
func (l *Links) BeginTransfer(now time.Time, host string, expected int64) (done func(now time.Time, moved int64, err error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(host)
	state.inFlight += expected
	return func(ended time.Time, moved int64, err error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		state.inFlight -= expected
		if err != nil {
			state.backoffUntil = ended.Add(failureBackoff)
			return
		}
		state.imported += moved
		if took := ended.Sub(now).Seconds(); moved > 0 && took > 0 {
			state.rate += rateWeight * (float64(moved)/took - state.rate)
		}
	}
}

// ReserveExport takes the estimated size of an export from this node's
// bandwidth budget for the link and reports whether the budget allowed it. An
// export that exceeds the budget is dropped, because imports have priority on
// the link.
func (l *Links) ReserveExport(now time.Time, host string, blocks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(host)
	budget := float64(l.Budget(host))
	if budget <= 0 {
		return true
	}
	if state.refilledAt.IsZero() {
		state.budgetBytes = budget
	}
	state.budgetBytes = min(state.budgetBytes+budget*now.Sub(state.refilledAt).Seconds(), budget)
	state.refilledAt = now
	bytes := state.averageBlockBytes * float64(blocks)
	if state.budgetBytes < bytes {
		return false
	}
	state.budgetBytes -= bytes
	return true
}

// RecordExport records an exported block.
func (l *Links) RecordExport(host string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.get(host)
	state.exported += bytes
	state.averageBlockBytes += rateWeight * (float64(bytes) - state.averageBlockBytes)
}

// Totals returns the number of bytes imported and exported over all links.
func (l *Links) Totals() (imported, exported int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, state := range l.links {
		imported += state.imported
		exported += state.exported
	}
	return imported, exported
}
