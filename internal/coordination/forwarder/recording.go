package forwarder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
)

// Meter records metrics of requests and attempts.
type Meter interface {
	// Request counts a finished request and records its duration.
	Request(service, outcome string, elapsed time.Duration)
	// Attempt counts an attempt by its outcome.
	Attempt(service, outcome string)
	// FirstEvent records the time to the first event, and the part of it that was
	// spent in the queue.
	FirstEvent(service string, first, queued time.Duration)
}

// logAttempt counts the outcome of an attempt and returns a log event for it.
// The calling function adds fields and sends the event.
func (r *run) logAttempt(outcome string, attempt Attempt) *zerolog.Event {
	if r.Meter != nil {
		r.Meter.Attempt(r.Service, outcome)
	}
	reason := attempt.PlacementReason
	line := r.Log.Info().Str("event", "attempt").Str("request", r.ID).Str("outcome", outcome).
		Str("endpoint", attempt.Endpoint.ID).Int("send", r.attempts).Int64("weights", attempt.Weights).
		Dur("left", attempt.TimeLeft).Float64("cost", reason.Cost).Int("read", reason.Read).
		Int("fetch", reason.Fetch).Dur("waited", r.queueTime).Dur("elapsed", r.Now().Sub(r.Received))
	if attempt.Endpoint.Build != "" {
		line.Str("build", attempt.Endpoint.Build)
	}
	if reason.Fetch > 0 && !attempt.FetchEnd.IsZero() {
		line.Interface("sources", fetchSources(attempt)).Time("fetchend", attempt.FetchEnd)
	}
	r.addRegions(line)
	if reason.Limit > 0 {
		line.Float64("limit", reason.Limit)
	}
	if reason.ReplacedBy > 0 {
		line.Int64("replacedby", reason.ReplacedBy).Dur("replacedfor", reason.ReplacedFor)
	}
	return line
}

// addRegions adds the regions of a restricted request to a log line.
func (r *run) addRegions(line *zerolog.Event) {
	if regions := r.Regions(); regions != nil {
		line.Stringer("regions", regions)
	}
}

// fetchSources returns the holders from which the endpoint is to fetch parts, each of them once.
func fetchSources(attempt Attempt) []netip.AddrPort {
	var sources []netip.AddrPort
	for _, source := range attempt.Fetch {
		if source.IsValid() && !slices.Contains(sources, source) {
			sources = append(sources, source)
		}
	}
	return sources
}

// outcome returns the name of an exchange's result in logs and metrics.
func outcome(err error) string {
	var refusal *limiter.Refusal
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refusal):
		return "refused"
	case errors.Is(err, ErrSlowCaller):
		return "caller slow"
	case errors.Is(err, ErrCallerGone):
		return "caller gone"
	case errors.Is(err, ErrTimeout):
		return "timed out"
	case errors.Is(err, ErrPoison):
		return "poison"
	case errors.Is(err, ErrStopping):
		return "stopped"
	default:
		return "broken"
	}
}

// recordResult logs and counts the result of the exchange.
func (r *run) recordResult(err error) {
	if err == nil {
		r.Stop.recordAnswer(r.Now(), r.Exchange)
	}
	if r.Meter != nil {
		r.Meter.Request(r.Service, outcome(err), r.Now().Sub(r.Received))
	}
	event := r.Log.Info()
	if err != nil {
		event = r.Log.Warn().Err(err)
	}
	r.addRegions(event)
	if late, stopping := r.Stop.since(r.completed()); stopping {
		event.Dur("late", late)
	}
	if !r.Complete.IsZero() {
		event.Dur("upload", r.Complete.Sub(r.Received))
	}
	event.Str("event", "request").Str("outcome", outcome(err)).Str("request", r.ID).Str("route", r.Route.Name).Str("service", r.Service).
		Str("team", r.Team.Name).Int64("configuration", r.Configuration).Int("sends", r.attempts).Int("ran", r.executed).
		Bool("begun", r.StreamStarted).Dur("elapsed", r.Now().Sub(r.Received)).Send()
}

// recordFirstEvent records the time of the first event of the answer.
func (r *run) recordFirstEvent() {
	if r.attemptEvent.IsZero() {
		r.attemptEvent = r.Now()
	}
	if !r.firstEvent.IsZero() {
		return
	}
	r.firstEvent = r.Now()
	if r.Meter != nil {
		r.Meter.FirstEvent(r.Service, r.firstEvent.Sub(r.Received), r.queueTime)
	}
}
