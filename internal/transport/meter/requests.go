package meter

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// buckets are the bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// Requests counts requests by kind and outcome. It implements exchanger.Meter.
type Requests struct {
	Scope tally.Scope
}

// Request counts a request and its time to the end.
func (r Requests) Request(service, outcome string, elapsed time.Duration) {
	scope := r.Scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(elapsed)
}

// Attempt counts an attempt at an endpoint.
func (r Requests) Attempt(service, outcome string) {
	r.Scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter("attempts").Inc(1)
}

// First records the time to the first event of a stream, and the part of it that
// was spent waiting for an endpoint.
func (r Requests) First(service string, first, waited time.Duration) {
	scope := r.Scope.Tagged(map[string]string{"service": service})
	scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(first)
	scope.Histogram("queue_seconds", latencyBuckets).RecordDuration(waited)
}
