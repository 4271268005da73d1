package forwarder

import (
	"context"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
)

// Placer chooses the endpoint of each attempt.
type Placer interface {
	// Place waits for an endpoint and counts an attempt on it until Release. It
	// returns an error marked ErrUnavailable if no endpoint can take the request,
	// a *limiter.Refusal if the wait is too long, an error marked ErrVersionGone or
	// ErrBuildGone if a started answer can't be resumed, or the error of ctx.
	Place(ctx context.Context, exchange *Exchange, progress Progress) (Placement, error)
}

// Progress is the state of an exchange after its attempts so far.
type Progress struct {
	// Tried holds the IDs of the endpoints that were chosen for earlier attempts.
	Tried map[string]bool
	// Misdirected holds, for each endpoint that did not run the request, whether
	// its last answer was RunMisdirected.
	Misdirected map[string]bool
	// StreamStarted is set once the caller has the head of a stream.
	StreamStarted bool
	// LastEventID is the ID of the last event that the caller has.
	LastEventID string
	// Build is the build that began the stream, which it must go on at; zero for a new stream.
	Build resumer.Build
	// Exclusive is set once the request is suspected of a crash. It should be
	// placed on an endpoint that runs no other request.
	Exclusive bool
}

// Placement is an attempt that is counted on its endpoint. The forwarder reports
// the progress of the attempt to it.
type Placement interface {
	Attempt() Attempt
	// OnAnswer is called with the head of an answer.
	OnAnswer(answer Answer)
	// OnEvent is called for each event of a stream.
	OnEvent(first bool)
	// OnFailure is called for an error that is the endpoint's fault, marked
	// ErrNotSent, ErrStalled or ErrBroken.
	OnFailure(err error)
	// OnComplete is called when the endpoint's answer is complete.
	OnComplete()
	// Release stops counting the attempt on its endpoint.
	Release()
}
