package forwarder

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxDurations is the number of answers of a kind that are kept, and minDurations the least
	// from which their typical duration is taken.
	maxDurations = 32
	minDurations = 8
	// typicalShare is the share of the answers that take no longer than the typical duration.
	typicalShare = 0.8
	// maxKinds bounds the kinds that are kept. Configurations have fewer at a time.
	maxKinds = 256
)

// kind is what requests have in common whose answers take about as long. Many routes may be of one kind.
type kind struct {
	service            string
	objective, timeout time.Duration
}

func kindOf(x *Exchange) kind { return kind{x.Service, x.Route.Objective, x.Route.Timeout} }

// durations keeps how long the last answers took, by kind. The zero value is ready to use and safe for
// concurrent use.
type durations struct {
	mu    sync.Mutex
	kinds map[kind]*lastDurations
}

// lastDurations are the last answers of a kind, in a ring. n counts all of them.
type lastDurations struct {
	ring [maxDurations]time.Duration
	n    int
}

// record adds an answer that took a time from when its request was received.
func (d *durations) record(k kind, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.kinds[k]
	if last == nil {
		if d.kinds == nil || len(d.kinds) >= maxKinds {
			d.kinds = map[kind]*lastDurations{}
		}
		last = &lastDurations{}
		d.kinds[k] = last
	}
	last.ring[last.n%maxDurations] = took
	last.n++
}

// typical returns the typical duration of an answer; zero if it is not known.
func (d *durations) typical(k kind) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.kinds[k]
	if last == nil || last.n < minDurations {
		return 0
	}
	sorted := slices.Sorted(slices.Values(last.ring[:min(last.n, maxDurations)]))
	return sorted[int(typicalShare*float64(len(sorted)-1))]
}
