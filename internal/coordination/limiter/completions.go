package limiter

import "time"

const (
	// averageWeight is the weight of the newest interval in the moving average.
	averageWeight = 0.1
	// initialInterval is the average assumed until requests have completed.
	initialInterval = 50 * time.Millisecond
	// maxInterval caps each interval, so that idle time does not distort the
	// average.
	maxInterval = 2 * time.Second
)

// completions tracks the moving average of the time between completed requests.
type completions struct {
	lastCompletion time.Time
	average        time.Duration
}

func (p *completions) record(now time.Time) {
	if !p.lastCompletion.IsZero() {
		gap := min(now.Sub(p.lastCompletion), maxInterval)
		p.average = p.interval() + time.Duration(averageWeight*float64(gap-p.interval()))
	}
	p.lastCompletion = now
}

func (p *completions) interval() time.Duration {
	if p.average == 0 {
		return initialInterval
	}
	return p.average
}
