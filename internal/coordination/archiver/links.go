package archiver

import (
	"sync"
	"time"
)

const (
	// startRate is assumed of a link until a transfer has been measured, in
	// bytes per second.
	startRate = 32 << 20
	// rateWeight is the weight of the newest transfer in the moving average.
	rateWeight = 0.3
	// behindLimit is the queue beyond which a link counts as behind.
	behindLimit = 2 * time.Second
	// restTime is how long a host that failed is left alone.
	restTime = 2 * time.Second
	// typicalBlock stands for a block's size before any was moved, in bytes.
	typicalBlock = 64 << 10
)

// Links keeps each store host's link within its budget and measures its queue.
// Its exported fields are set before use, and it is safe for concurrent use.
type Links struct {
	// Budget returns this node's share of a host's link, in bytes per second;
	// zero for no limit.
	Budget func(host string) int64

	mu    sync.Mutex
	links map[string]*link
}

type link struct {
	inFlight int64
	rate     float64
	resting  time.Time
	tokens   float64
	filled   time.Time
	block    float64
	imported int64
	exported int64
}

func (l *Links) get(host string) *link {
	if l.links == nil {
		l.links = map[string]*link{}
	}
	held, ok := l.links[host]
	if !ok {
		held = &link{rate: startRate, block: typicalBlock}
		l.links[host] = held
	}
	return held
}

// Usable reports whether a host answers and its link is not behind.
func (l *Links) Usable(now time.Time, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.get(host)
	return now.After(held.resting) && held.wait(0) < behindLimit
}

// Wait returns the time until further bytes would have crossed a host's link.
func (l *Links) Wait(host string, bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(host).wait(bytes)
}

func (k *link) wait(bytes int64) time.Duration {
	return time.Duration(float64(k.inFlight+bytes) / k.rate * float64(time.Second))
}

// Answered notes whether a host has answered; one that has not is left alone
// for a while.
func (l *Links) Answered(now time.Time, host string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.get(host).resting = now.Add(restTime)
	}
}

// Begin notes a transfer of an expected size and returns what ends it with the
// bytes that were moved.
func (l *Links) Begin(now time.Time, host string, expected int64) (done func(now time.Time, moved int64, err error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.get(host)
	held.inFlight += expected
	return func(ended time.Time, moved int64, err error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		held.inFlight -= expected
		if err != nil {
			held.resting = ended.Add(restTime)
			return
		}
		held.imported += moved
		if took := ended.Sub(now).Seconds(); moved > 0 && took > 0 {
			held.rate += rateWeight * (float64(moved)/took - held.rate)
		}
	}
}

// Spend takes the bytes of an export of n blocks from this node's share of the
// link, and reports whether they were there. An export that does not fit is
// dropped: the link is for imports first.
func (l *Links) Spend(now time.Time, host string, blocks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.get(host)
	budget := float64(l.Budget(host))
	if budget <= 0 {
		return true
	}
	if held.filled.IsZero() {
		held.tokens = budget
	}
	held.tokens = min(held.tokens+budget*now.Sub(held.filled).Seconds(), budget)
	held.filled = now
	bytes := held.block * float64(blocks)
	if held.tokens < bytes {
		return false
	}
	held.tokens -= bytes
	return true
}

// Moved counts an exported block.
func (l *Links) Moved(host string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.get(host)
	held.exported += bytes
	held.block += rateWeight * (float64(bytes) - held.block)
}

// Totals returns the bytes imported and exported over all links.
func (l *Links) Totals() (imported, exported int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, held := range l.links {
		imported += held.imported
		exported += held.exported
	}
	return imported, exported
}
