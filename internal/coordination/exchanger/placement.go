package exchanger

import "context"

// Placer chooses the endpoints of attempts.
type Placer interface {
	// Place waits for an endpoint and counts an attempt on it until Release. Its
	// error is marked ErrUnavailable if no endpoint can take the request, a
	// *limiter.Refusal if the wait is too long, marked ErrVersionGone if a started
	// answer can't go on, or that of ctx.
	Place(ctx context.Context, exchange *Exchange, progress Progress) (Placement, error)
}

// Progress is what came of an exchange so far.
type Progress struct {
	// Tried holds the ids of endpoints that were sent the request.
	Tried map[string]bool
	// Misdirected holds those that said that they are not the one that was meant.
	Misdirected map[string]bool
	// Begun is set once the caller has the head of a stream, and After is the last
	// event that it has.
	Begun bool
	After string
	// Alone is set once the request is suspected of a crash: it is best placed
	// where nothing else runs.
	Alone bool
}

// Placement is an attempt that is counted on its endpoint, and hears what comes
// of it.
type Placement interface {
	Attempt() Attempt
	// Answered takes in what the head of an answer tells of the endpoint.
	Answered(answer Answer)
	// Event notes that an event of a stream came.
	Event(first bool)
	// Failed notes an error that is the endpoint's fault, marked ErrNotSent,
	// ErrStalled or ErrBroken.
	Failed(err error)
	// Completed notes that the whole answer was delivered.
	Completed()
	// Release ends the count.
	Release()
}
