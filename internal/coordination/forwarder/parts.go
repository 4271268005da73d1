package forwarder

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// survivalTime is the time after the first event of an attempt from which its parts
	// count as sound, since an endpoint crashes when it begins to answer.
	survivalTime = 250 * time.Millisecond
	// maxLoggedParts and maxLoggedPartBytes bound the prompt parts in a log line.
	maxLoggedParts     = 8
	maxLoggedPartBytes = 64
)

// partIDs returns the IDs of the parts that other requests may share: all but the
// last.
func (x *Exchange) partIDs() []string {
	if x.Prompt == nil || len(x.Prompt.Parts) < 2 {
		return nil
	}
	shared := x.Prompt.Parts[:len(x.Prompt.Parts)-1]
	ids := make([]string, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	return ids
}

// loggedPart shortens the ID of a part, which the caller chooses.
func loggedPart(id string) string { return id[:min(len(id), maxLoggedPartBytes)] }

// withParts adds the shared parts of the prompt to a log line of a failed attempt, and how
// long before the failure its first event had arrived.
func (r *run) withParts(line *zerolog.Event, now time.Time) *zerolog.Event {
	line.Bool("events", !r.attemptEvent.IsZero())
	if !r.attemptEvent.IsZero() {
		line.Dur("sinceEvent", now.Sub(r.attemptEvent))
	}
	ids := r.partIDs()
	if len(ids) == 0 {
		return line
	}
	logged := zerolog.Arr()
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		logged.Str(loggedPart(id))
	}
	return line.Array("parts", logged).Int("sharedParts", len(ids))
}

// hasBegun reports whether the current attempt has been answered for some time.
func (r *run) hasBegun() bool {
	return !r.attemptEvent.IsZero() && r.Now().Sub(r.attemptEvent) >= survivalTime
}

// reportCrash reports the parts of a broken attempt, unless it had begun to be answered.
func (r *run) reportCrash(attempt Attempt) {
	if r.Crashes != nil && !r.hasBegun() {
		r.Crashes.Report(attempt.Endpoint, r.parts)
	}
}

// recordEnd records the complete answer of the current attempt. If the endpoint may have
// crashed instead, its parts are reported.
func (r *run) recordEnd(attempt Attempt, answer Answer) {
	isEmpty := answer.EventStream != nil && r.attemptEvent.IsZero()
	if isEmpty || answer.EndsWithConnection {
		r.reportCrash(attempt)
		return
	}
	r.recordSurvival()
}

// recordSurvival records that the endpoint of the current attempt answers the request.
func (r *run) recordSurvival() {
	if r.PartSuspects == nil || r.survived {
		return
	}
	r.survived = true
	r.PartSuspects.RecordSurvival(r.Now(), r.parts)
}

// hasRefusedPart reports whether a part of the prompt is refused, and logs it. A request
// that runs to learn whether the part is sound by now is not retried.
func (r *run) hasRefusedPart() bool {
	if r.PartSuspects == nil {
		return false
	}
	if r.probing && r.executed == 0 {
		return false
	}
	verdict, refusal := r.PartSuspects.Check(r.Now(), r.parts)
	if verdict == retrier.VerdictAllow {
		return false
	}
	r.probing = verdict == retrier.VerdictExclusive
	r.Exclusive = r.Exclusive || r.probing
	r.Log.Warn().Str("event", "part refused").Str("request", r.ID).Bool("probe", r.probing).Str("route", r.Route.Name).
		Str("part", loggedPart(r.Prompt.Parts[refusal.Index].ID)).Int("crashes", refusal.Crashes).Int("observers", refusal.Observers).
		Dur("sinceFirst", refusal.SinceFirst).Dur("sinceLast", refusal.SinceLast).Int("sends", r.attempts).Int("ran", r.executed).Send()
	return !r.probing
}
