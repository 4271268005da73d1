// Package exchanger carries requests with opaque bodies to endpoints and their
// answers back: whole answers, and streams of events that are relayed as they
// come.
//
// It decides what may be sent again after a failure, where a broken stream goes
// on, and when a request is given up. Which endpoint gets an attempt is its
// Placer's choice. It reaches callers and endpoints through the interfaces below
// and never opens a connection itself.
//
// # Usage
//
//	e := &exchanger.Exchanger{Placer: placer, Sender: sender, Budget: budget, …}
//	err := e.Run(ctx, exchange, sink)
package exchanger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// Sentinel errors. Senders mark their errors with the first three.
var (
	// ErrNotSent marks an attempt of which no byte can have left.
	ErrNotSent = errors.New("attempt was not sent")
	// ErrBroken marks an answer that broke off or was no answer.
	ErrBroken = errors.New("answer broke off")
	// ErrStalled marks an attempt without progress for too long.
	ErrStalled = errors.New("endpoint made no progress")
	// ErrRefused is the cause of a refusal if the last endpoint that was asked
	// would not run the request.
	ErrRefused = errors.New("endpoint refused the request")

	// ErrUnavailable is returned for a request that has not run because no
	// endpoint could take it.
	ErrUnavailable = errors.New("no endpoint can take the request")
	// ErrTimeout is returned when the time for a request that was sent is over.
	ErrTimeout = errors.New("request timed out")
	// ErrPoison is returned for a request that has crashed endpoints.
	ErrPoison = errors.New("request has crashed endpoints")
	// ErrBudget marks a failure after which the retry budget had no room.
	ErrBudget = errors.New("retry budget is used up")
	// ErrVersionGone marks a started answer whose weights no endpoint has any more.
	ErrVersionGone = errors.New("weights of the started answer are gone")
	// ErrCaller marks an answer that could not be delivered. With ErrNotSent the
	// request has not run.
	ErrCaller = errors.New("caller is gone")
)

// Prompt describes the prompt in a request's body.
type Prompt struct {
	Model string
	// Parts are in the prompt's order; the last belongs to this request alone.
	Parts []locator.Part
	// TokensOut is the most that the answer may have.
	TokensOut int
}

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// Exchange is one request of a caller.
type Exchange struct {
	ID       string
	Caller   string
	Team     cataloger.Team
	Route    cataloger.Route
	Service  string
	Received time.Time
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
	// Configuration is the version that the request was admitted under.
	Configuration int64
	// Watched is set if the Sender itself gives up endpoints that make no progress.
	Watched bool
	Method  string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// After is the last event that the caller has of the stream.
	After string
}

// Limit returns the time by which the caller must have an answer; zero for none.
func (x *Exchange) Limit() time.Time {
	limit := x.Deadline
	if x.Route.Timeout > 0 {
		if timeout := x.Received.Add(x.Route.Timeout); limit.IsZero() || timeout.Before(limit) {
			limit = timeout
		}
	}
	return limit
}

// Rank returns the request's rank; 0 comes first.
func (x *Exchange) Rank() int {
	if x.Team.Ranked {
		return x.Team.Rank
	}
	return x.Route.Rank
}

// Attempt is one try at an exchange as an endpoint gets it.
type Attempt struct {
	*Exchange
	Endpoint tracker.Endpoint
	// Left is the time that the endpoint may use.
	Left time.Duration
	// After is the last event that the caller has.
	After string
	// Weights is the version that the endpoint must have; zero for any.
	Weights int64
	// Salt separates cached parts by team, model and weights.
	Salt string
	// Fetch and Save name a store for each part of the prompt; an invalid
	// address stands for none.
	Fetch []netip.AddrPort
	Save  []netip.AddrPort
	// FetchWithin bounds the wait for fetched parts; what is late is read.
	FetchWithin time.Duration
	// Reason is what the endpoint was chosen by.
	Reason Reason
}

// Reason holds the inputs of a choice, for the log.
type Reason struct {
	// Cost is the endpoint's load, as a share of what it can take.
	Cost float64
	// Read and Fetch are the prompt tokens that it must read and fetch.
	Read  int
	Fetch int
}

// Run tells whether an endpoint ran an attempt.
type Run int

// The values of Run.
const (
	// RunDone is the answer of an endpoint that ran the request.
	RunDone Run = iota
	// RunRefused is the word of an endpoint that it has not run the request.
	RunRefused
	// RunMisdirected is the word of an endpoint that it is not the one that was
	// meant, or has other weights; it has not run the request.
	RunMisdirected
)

// Event is one event of a stream with all its bytes.
type Event struct {
	ID   string
	Data []byte
}

// Events is a running stream.
type Events interface {
	// Next returns the next whole event. It returns io.EOF after a complete
	// stream, and an error marked ErrBroken otherwise.
	Next() (Event, error)
}

// Answer is what an endpoint answered.
type Answer struct {
	Run    Run
	Status int
	Header http.Header
	// Failed is the endpoint's word that it ran the request and failed; another one
	// may do better.
	Failed bool
	// Load is the endpoint's account of its load; nil if it gave none.
	Load *balancer.Load
	// Weights is the version that the endpoint has; zero if it gave none.
	Weights int64
	// Body is the whole body of an answer that is no stream.
	Body []byte
	// Events is set for streams.
	Events Events
	// Close releases the connection; it is called once.
	Close func()
}

// Sender sends attempts to endpoints. It never sends one twice.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) (Answer, error)
	// Drop closes the kept connections to an endpoint, which may have gone silent
	// for good.
	Drop(endpoint tracker.Endpoint)
}

// Sink takes an answer to the caller.
type Sink interface {
	// Whole delivers a complete answer.
	Whole(answer Answer) error
	// Begin delivers the head of a stream.
	Begin(answer Answer) error
	// Event delivers one event at once.
	Event(event Event) error
}
