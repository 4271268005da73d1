package scheduler

import "time"

// rateWindow is the sliding window over which the start rate is measured.
const rateWindow = time.Second

// startRate measures the tokens of the requests that started within rateWindow.
type startRate struct {
	starts        []start
	startedTokens int
}

type start struct {
	at     time.Time
	tokens int
}

func (r *startRate) start(now time.Time, tokens int) {
	tokens = max(tokens, 1)
	r.starts = append(r.starts, start{at: now, tokens: tokens})
	r.startedTokens += tokens
	r.expire(now)
}

func (r *startRate) expire(now time.Time) {
	n := 0
	for n < len(r.starts) && now.Sub(r.starts[n].at) >= rateWindow {
		r.startedTokens -= r.starts[n].tokens
		n++
	}
	r.starts = r.starts[n:]
}

// estimate returns the expected time until requests with the given number of
// tokens have started. If nothing started within rateWindow, the rate is
// unknown, and it returns rateWindow.
func (r *startRate) estimate(now time.Time, tokens int) time.Duration {
	r.expire(now)
	if tokens == 0 {
		return 0
	}
	if r.startedTokens == 0 {
		return rateWindow
	}
	return time.Duration(float64(rateWindow) * float64(tokens) / float64(r.startedTokens))
}
