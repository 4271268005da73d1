package exchanger

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
)

// Meter takes the figures of requests.
type Meter interface {
	// Request counts a request and its time to the end.
	Request(service, outcome string, elapsed time.Duration)
	// Attempt counts an attempt at an endpoint.
	Attempt(service, outcome string)
	// First records the time to the first event, and the part of it in the queue.
	First(service string, first, waited time.Duration)
}

// decide begins the log line of a decision on an attempt.
func (r *run) decide(outcome string, attempt Attempt) *zerolog.Event {
	if r.Meter != nil {
		r.Meter.Attempt(r.Service, outcome)
	}
	return r.Log.Info().Str("event", "attempt").Str("request", r.ID).Str("outcome", outcome).
		Str("endpoint", attempt.Endpoint.ID).Int("send", r.sends).Int64("weights", attempt.Weights).
		Dur("left", attempt.Left).Float64("cost", attempt.Reason.Cost).Int("read", attempt.Reason.Read).
		Int("fetch", attempt.Reason.Fetch).Dur("waited", r.waited).Dur("elapsed", r.Now().Sub(r.Received))
}

// outcome names the end of an exchange.
func outcome(err error) string {
	var refusal *limiter.Refusal
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refusal):
		return "refused"
	case errors.Is(err, ErrCaller):
		return "caller gone"
	case errors.Is(err, ErrTimeout):
		return "timed out"
	case errors.Is(err, ErrPoison):
		return "poison"
	default:
		return "broken"
	}
}

// note logs and counts the end of the exchange.
func (r *run) note(err error) {
	if r.Meter != nil {
		r.Meter.Request(r.Service, outcome(err), r.Now().Sub(r.Received))
	}
	event := r.Log.Info()
	if err != nil {
		event = r.Log.Warn().Err(err)
	}
	event.Str("event", "request").Str("outcome", outcome(err)).Str("request", r.ID).Str("route", r.Route.Name).Str("service", r.Service).
		Str("team", r.Team.Name).Int64("configuration", r.Configuration).Int("sends", r.sends).Int("ran", r.ran).
		Bool("begun", r.Begun).Dur("elapsed", r.Now().Sub(r.Received)).Send()
}

// begin notes the first event of an answer.
func (r *run) begin() {
	if !r.first.IsZero() {
		return
	}
	r.first = r.Now()
	if r.Meter != nil {
		r.Meter.First(r.Service, r.first.Sub(r.Received), r.waited)
	}
}
