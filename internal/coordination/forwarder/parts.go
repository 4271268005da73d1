package forwarder

import (
	"time"

	"github.com/rs/zerolog"
)

const (
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
