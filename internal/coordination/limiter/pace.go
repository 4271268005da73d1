package limiter

import "time"

const (
	// paceWeight is the weight of the newest interval in the moving average.
	paceWeight = 0.1
	// startInterval is assumed until requests have ended.
	startInterval = 50 * time.Millisecond
	// longestInterval bounds what an idle time adds to the average.
	longestInterval = 2 * time.Second
)

// pace is a moving average of the time between ends of requests.
type pace struct {
	last    time.Time
	average time.Duration
}

func (p *pace) left(now time.Time) {
	if !p.last.IsZero() {
		gap := min(now.Sub(p.last), longestInterval)
		p.average = p.interval() + time.Duration(paceWeight*float64(gap-p.interval()))
	}
	p.last = now
}

func (p *pace) interval() time.Duration {
	if p.average == 0 {
		return startInterval
	}
	return p.average
}
