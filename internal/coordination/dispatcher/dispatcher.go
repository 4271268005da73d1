// Package dispatcher runs admitted requests of the chat interface on endpoints:
// prompts, calls to plain services, and calls that run at most once. It chooses
// the endpoint of each attempt. Package forwarder decides what is retried and
// how streams are resumed; this package translates prompts, tokens and calls to
// its types.
//
// It reaches endpoints through the small interfaces below and never opens a
// connection itself.
//
// # Usage
//
//	prompts := &dispatcher.PromptRunner{Engine: engine, InFlight: inFlight, Policy: policy, …}
//	usage, err := prompts.Run(ctx, prompt, sink)
package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Sentinel errors. Engine and ServiceClient implementations mark their errors
// with ErrNotSent, ErrBroken or ErrStalled; those of Engine also with
// ErrRefused.
var (
	// ErrNotSent, ErrBroken, ErrMalformed, ErrStalled and ErrRefused are the errors
	// of package forwarder.
	ErrNotSent   = forwarder.ErrNotSent
	ErrBroken    = forwarder.ErrBroken
	ErrMalformed = forwarder.ErrMalformed
	ErrStalled   = forwarder.ErrStalled
	ErrRefused   = forwarder.ErrRefused

	// ErrNoEndpoint, ErrPoison, ErrRetryBudget, ErrVersionGone and ErrCallerGone
	// are errors of package forwarder, too.
	ErrNoEndpoint  = forwarder.ErrUnavailable
	ErrPoison      = forwarder.ErrPoison
	ErrRetryBudget = forwarder.ErrRetryBudget
	ErrVersionGone = forwarder.ErrVersionGone
	ErrCallerGone  = forwarder.ErrCallerGone

	// ErrMayHaveRun marks the failure of a request if one of its attempts may
	// have run.
	ErrMayHaveRun = errors.New("an earlier attempt may have run")
)

// MayHaveRun reports whether any attempt of a failed request may have run. If it
// returns false, the request certainly did not run.
func MayHaveRun(err error) bool {
	for _, sentinel := range []error{ErrBroken, ErrStalled, ErrMayHaveRun, ErrPoison, ErrVersionGone, ErrCallerGone} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// Completion is one attempt at a prompt, as it is sent to an endpoint.
type Completion struct {
	// Request is the ID of the caller's request.
	Request string
	Model   string
	// Options is the JSON object that the caller sent, for members such as
	// temperature.
	Options   []byte
	Messages  [][]byte
	MaxTokens int
	// Priority is the rank of the request's priority class.
	Priority int
	Weights  string
	Blocks   []fingerprinter.Block
	// Delivered holds the tokens that the caller has already received.
	Delivered []string
	// StallTimeout is the time without progress after which the attempt is
	// cancelled.
	StallTimeout time.Duration
}

// Token is one generated token.
type Token struct {
	Index   int
	Text    string
	Weights string
}

// Usage is the token usage of a finished prompt, as reported by the engine.
type Usage struct {
	Prompt     int
	Completion int
	Cached     int
	Reason     string
}

// TokenStream is the token stream of a running completion.
type TokenStream interface {
	// Next returns the next token. It returns io.EOF after a complete answer, and
	// an error marked ErrBroken or ErrStalled if the stream fails.
	Next() (Token, error)
	// Usage is valid once Next has returned io.EOF.
	Usage() Usage
	Close()
}

// Engine starts completions.
type Engine interface {
	Complete(ctx context.Context, endpoint registrar.Endpoint, completion Completion) (TokenStream, error)
}

// Call is a request to a plain service.
type Call struct {
	// Request is the ID of the caller's request.
	Request string
	Service configurator.Service
	Method  string
	// Target is the path and query, relative to the root of the service.
	Target string
	Header map[string][]string
	Body   []byte
	// Repeatable is set if the call may run more than once.
	Repeatable bool
}

// Response is the complete response of a plain service.
type Response struct {
	Status   int
	Header   map[string][]string
	Body     []byte
	Endpoint string
}

// ServiceClient sends calls to plain services. A call that is not repeatable is
// sent once, on a new connection.
type ServiceClient interface {
	Do(ctx context.Context, endpoint registrar.Endpoint, call Call) (Response, error)
}

// Sink delivers the tokens of an answer to the caller.
type Sink interface {
	Token(token Token) error
}

// Prompt is an admitted prompt.
type Prompt struct {
	// Request is the ID of the caller's request.
	Request   string
	Team      string
	Model     configurator.Model
	Service   configurator.Service
	Priority  configurator.Priority
	Options   []byte
	Messages  [][]byte
	MaxTokens int
	// ExpectedReturn is the time after which the caller expects to send the prompt
	// again; zero if unknown.
	ExpectedReturn time.Duration
	// Text is the input for block IDs and for the estimated token count.
	Text []byte
}

// Archive provides access to the store tier.
type Archive interface {
	Lookup(ctx context.Context, hosts []registrar.EndpointState, chain []fingerprinter.Block, group evictor.Group) archiver.StoredPrefix
	ExpectedWait(found archiver.StoredPrefix, cached int) time.Duration
	Import(ctx context.Context, endpoint registrar.Endpoint, found archiver.StoredPrefix, cached int) []fingerprinter.Block
	Export(ctx context.Context, hosts []registrar.EndpointState, endpoint registrar.Endpoint, chain []fingerprinter.Block, forecast archiver.ReturnForecast) (int, error)
}

// Journal records events.
type Journal interface {
	Record(now time.Time, event recorder.Event) recorder.Stamp
}
