// Package forwarder forwards requests with opaque bodies to endpoints and returns
// their answers to the callers: complete answers, and streams of events that are
// relayed as they arrive.
//
// It decides which failed attempts are retried, whether an interrupted stream is
// resumed, and when a request fails. The Placer chooses the endpoint of each
// attempt. The package reaches callers and endpoints through the interfaces below
// and never opens a connection itself.
//
// # Usage
//
//	f := &forwarder.Forwarder{Placer: placer, Sender: sender, Budget: budget, …}
//	err := f.Run(ctx, exchange, sink)
package forwarder

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

var (
	// ErrNotSent marks an attempt of which no byte can have been sent. Senders
	// mark their errors with it, ErrBroken or ErrStalled.
	ErrNotSent = errors.New("attempt was not sent")
	// ErrNoPath marks an attempt that was not sent since this node has lost its links to the
	// endpoints, and no peer can help. It is used together with ErrNotSent.
	ErrNoPath = errors.New("no path to the endpoints")
	// ErrBroken marks an answer that was interrupted or malformed.
	ErrBroken = errors.New("answer broke off")
	// ErrMalformed marks an answer whose bytes are no answer, or too many, although the
	// connection did not end. It is used together with ErrBroken.
	ErrMalformed = errors.New("answer is malformed")
	// ErrStalled marks an attempt that made no progress within the stall timeout.
	ErrStalled = errors.New("endpoint made no progress")
	// ErrNotBegun marks an attempt that was cancelled because no event arrived within
	// Attempt.BeginTimeout.
	ErrNotBegun = errors.New("answer did not begin in time")
	// ErrRefused marks the failure of a request if the last endpoint that was
	// tried refused to run it. It is the cause of a *limiter.Refusal if no earlier
	// attempt may have run.
	ErrRefused = errors.New("endpoint refused the request")

	// ErrUnavailable marks the failure of a request for whose next attempt there
	// was no endpoint. It is the cause of a *limiter.Refusal if no earlier attempt
	// may have run.
	ErrUnavailable = errors.New("no endpoint can take the request")
	// ErrTimeout marks the failure of a request whose deadline passed.
	ErrTimeout = errors.New("request timed out")
	// ErrPoison marks the failure of a request that is suspected of crashing
	// endpoints and is not sent again.
	ErrPoison = errors.New("request has crashed endpoints")
	// ErrRetryBudget marks a failure that was not retried because the retry budget
	// was exhausted.
	ErrRetryBudget = errors.New("retry budget is used up")
	// ErrVersionGone marks a started answer that can't be resumed because no
	// endpoint has its weights any more.
	ErrVersionGone = errors.New("weights of the started answer are gone")
	// ErrCallerGone marks the failure of a request whose caller cancelled or did not
	// accept the answer. If the error is also marked ErrNotSent, the request did
	// not run.
	ErrCallerGone = errors.New("caller is gone")
)

// Prompt describes the prompt in the body of a request.
type Prompt struct {
	Model string
	// Parts are in the order of the prompt. The last one is specific to this
	// request.
	Parts []locator.Part
	// MaxOutputTokens is the maximum number of tokens in the answer.
	MaxOutputTokens int
}

// Tokens returns the length of the prompt, in tokens.
func (p Prompt) Tokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// Exchange is one request of a caller, with all its attempts.
type Exchange struct {
	ID string
	// Caller identifies the caller in the request's fingerprint.
	Caller  string
	Team    cataloger.Team
	Route   cataloger.Route
	Service string
	// Received is when the head of the request had been read, and Complete when all of it had; zero
	// if that was the same moment.
	Received time.Time
	Complete time.Time
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time
	// Configuration is the configuration version under which the request was
	// admitted.
	Configuration int64
	// SenderDetectsStalls is set if the Sender itself cancels attempts that make
	// no progress.
	SenderDetectsStalls bool
	Method              string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header map[string][]string
	Body   []byte
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// LastEventID is the ID of the last event that the caller has of a stream to be
	// resumed. Resumes is the ID of the request that brought its first event.
	LastEventID string
	Resumes     string
}

// completed returns when the whole request had been read.
func (x *Exchange) completed() time.Time {
	if x.Complete.IsZero() {
		return x.Received
	}
	return x.Complete
}

// EffectiveDeadline returns the earlier of the caller's deadline and the route's
// timeout; zero if there is neither.
func (x *Exchange) EffectiveDeadline() time.Time {
	deadline := x.Deadline
	if x.Route.Timeout > 0 {
		if timeout := x.Received.Add(x.Route.Timeout); deadline.IsZero() || timeout.Before(deadline) {
			deadline = timeout
		}
	}
	return deadline
}

// Regions returns the regions in which the request may be processed, by the configuration under
// which it was admitted; nil for all.
func (x *Exchange) Regions() *cataloger.Regions { return x.Route.Regions.Intersect(x.Team.Regions) }

// Rank returns the priority of the request, from its team or else its route.
// Lower ranks start first.
func (x *Exchange) Rank() int {
	if x.Team.HasRank {
		return x.Team.Rank
	}
	return x.Route.Rank
}

// enginePriorities is the number of priorities that engines distinguish, 0 being the highest.
const enginePriorities = 10

// EnginePriority returns the priority at an engine: requests of a better rank come first, and those
// of equal rank in the order of their routes' ranks. With many ranks, neighboring ranks of routes
// share a priority, and with more ranks of requests than enginePriorities, so do the worst of these.
func (x *Exchange) EnginePriority(ranks cataloger.Ranks) int {
	width := max(enginePriorities/max(len(ranks.Requests), 1), 1)
	request, _ := slices.BinarySearch(ranks.Requests, x.Rank())
	route, _ := slices.BinarySearch(ranks.Routes, x.Route.Rank)
	if n := len(ranks.Routes); n > width {
		route = route * width / n
	}
	return min(request*width+min(route, width-1), enginePriorities-1)
}

// Attempt is one attempt at an exchange, as it is sent to an endpoint.
type Attempt struct {
	*Exchange
	Endpoint endpointtracker.Endpoint
	// TimeLeft is the time until the effective deadline; meaningless if there is
	// none.
	TimeLeft time.Duration
	// LastEventID is the ID of the last event that the caller has; the endpoint
	// resumes the stream after it.
	LastEventID string
	// Weights is the version of the weights that the endpoint must have; zero for
	// any.
	Weights int64
	// BeginTimeout is the time within which the first event must arrive; zero for no
	// limit. It is set if newer weights are the target, so that answers must not begin on
	// these much longer.
	BeginTimeout time.Duration
	// Priority is that of the prompt at the engine; 0 is the highest.
	Priority int
	// Salt is the cache salt. It separates cached parts by model, weights and,
	// for isolated teams, team.
	Salt string
	// Fetch holds, for each part of the prompt, the address of the engine or store
	// to fetch it from; Save that of the store to save it to. An invalid address
	// means none.
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
	// FetchEnd is when fetching parts must have ended, by the endpoints' clock. Parts that
	// arrive later are recomputed. It is zero if nothing is fetched.
	FetchEnd time.Time
	// OnBytes is called when bytes of the answer's body have arrived; nil if nobody asks.
	OnBytes func()
	// PlacementReason holds the inputs of the endpoint choice.
	PlacementReason PlacementReason
}

// PlacementReason holds the inputs of an endpoint choice, for the log.
type PlacementReason struct {
	// Cost is the load of the endpoint, as a share of its capacity, with
	// penalties added.
	Cost float64
	// Read and Fetch are the numbers of prompt tokens that the endpoint must
	// prefill and fetch.
	Read  int
	Fetch int
	// Limit is the number of requests a second that the endpoint takes from all nodes
	// together; zero if it has named no limit.
	Limit float64
	// ReplacedBy is the oldest target version of the prompt's model that the endpoint
	// lacks; zero if it has the newest one. ReplacedFor is how long that has been the
	// target; zero if unknown.
	ReplacedBy  int64
	ReplacedFor time.Duration
}

// RunStatus is the execution status of an attempt: whether the endpoint ran it.
type RunStatus int

// The values of RunStatus.
const (
	// RunExecuted means that the endpoint ran the request.
	RunExecuted RunStatus = iota
	// RunRefused means that the endpoint reported that it did not run the
	// request.
	RunRefused
	// RunMisdirected means that the endpoint did not run the request because it
	// is not the instance that the request was addressed to, or has other
	// weights.
	RunMisdirected
)

// Event is one complete event of a stream. Data holds all its bytes.
type Event struct {
	ID   string
	Data []byte
}

// EventStream iterates over the events of a running stream.
type EventStream interface {
	// Next returns the next complete event. It returns io.EOF after a complete
	// stream, and an error marked ErrBroken, ErrStalled or ErrVersionGone if the
	// stream fails.
	Next() (Event, error)
}

// Answer is the answer of an endpoint to an attempt.
type Answer struct {
	RunStatus RunStatus
	Status    int
	Header    map[string][]string
	// Failed is set if the endpoint reported that it ran the request and failed.
	// Another endpoint may succeed.
	Failed bool
	// EndsWithConnection is set if only the end of the connection ends the answer, so that
	// an endpoint that crashes may seem to have completed it.
	EndsWithConnection bool
	// Leaving is set if the endpoint said that it is leaving.
	Leaving bool
	// Hold is how long the endpoint wants no requests from this node; zero if it did not
	// say.
	Hold time.Duration
	// Limit is what the endpoint says of the requests that it takes from all nodes together.
	Limit throttler.Statement
	// Load is the load that the endpoint reported; nil if it reported none.
	Load *balancer.Load
	// Weights is the version of the weights that the endpoint reported; zero if
	// it reported none.
	Weights int64
	// Body is the complete body of an answer that is not a stream.
	Body []byte
	// EventStream is set for streams.
	EventStream EventStream
	// Close releases the connection; it is called once.
	Close func()
}

// Sender sends attempts to endpoints. It does not retry.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (Answer, error)
	// CloseIdle closes the idle connections to an endpoint. It is called after a
	// stall, since other connections to the endpoint may hang as well.
	CloseIdle(endpoint endpointtracker.Endpoint)
}

// Sink delivers an answer to the caller.
type Sink interface {
	// DeliverComplete delivers a complete answer.
	DeliverComplete(answer Answer) error
	// Begin delivers the status and header of a stream.
	Begin(answer Answer) error
	// Event delivers one event without buffering.
	Event(event Event) error
}

// Interrupter is a Sink whose deliveries can be ended.
type Interrupter interface {
	// Interrupt makes a delivery that is under way return an error soon, as well as later ones. It
	// may be called by any goroutine and must not block.
	Interrupt()
}
