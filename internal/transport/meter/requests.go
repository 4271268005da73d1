package meter

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the upper bounds of the latency histograms, from 5 ms to about
// 20 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// Requests counts requests and attempts by service and outcome. It implements
// forwarder.Meter.
type Requests struct {
	Scope tally.Scope
}

// Request counts a finished request and records its duration.
func (r Requests) Request(service, outcome string, elapsed time.Duration) {
	scope := r.Scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(elapsed)
}

// Attempt counts one attempt to send a request to an endpoint.
func (r Requests) Attempt(service, outcome string) {
	r.Scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter("attempts").Inc(1)
}

// FirstEvent records the time to the first event of a stream, and how much of
// it was spent in the queue for an endpoint.
func (r Requests) FirstEvent(service string, first, waited time.Duration) {
	scope := r.Scope.Tagged(map[string]string{"service": service})
	scope.Histogram("first_event_seconds", latencyBuckets).RecordDuration(first)
	scope.Histogram("queue_seconds", latencyBuckets).RecordDuration(waited)
}
