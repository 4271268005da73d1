package scheduler

import "time"

// paceSpan is the time over which the pace is measured.
const paceSpan = time.Second

// pace measures how many tokens start in a second.
type pace struct {
	starts []start
	sum    int
}

type start struct {
	at     time.Time
	tokens int
}

func (p *pace) start(now time.Time, tokens int) {
	tokens = max(tokens, 1)
	p.starts = append(p.starts, start{at: now, tokens: tokens})
	p.sum += tokens
	p.forget(now)
}

func (p *pace) forget(now time.Time) {
	n := 0
	for n < len(p.starts) && now.Sub(p.starts[n].at) >= paceSpan {
		p.sum -= p.starts[n].tokens
		n++
	}
	p.starts = p.starts[n:]
}

// wait is the time until as many tokens have started. Without a start in the
// last second nothing can be told, and the wait is taken as one span.
func (p *pace) wait(now time.Time, tokens int) time.Duration {
	p.forget(now)
	if tokens == 0 {
		return 0
	}
	if p.sum == 0 {
		return paceSpan
	}
	return time.Duration(float64(paceSpan) * float64(tokens) / float64(p.sum))
}
