// Package dispatcher carries the chat interface's admitted requests to
// endpoints: prompts, calls to plain services, and requests that run at most
// once. What is sent again, and where a stream goes on, is decided by exchanger;
// this package places the attempts and translates tokens and calls.
//
// It reaches endpoints through the small interfaces below and never opens a
// connection itself.
//
// # Usage
//
//	prompts := &dispatcher.Prompts{Engine: engine, Flight: flight, Policy: policy, …}
//	usage, err := prompts.Run(ctx, prompt, sink)
package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Sentinel errors. Adapters mark their errors with the first four.
var (
	// ErrNotSent, ErrBroken, ErrStalled and ErrRefused are those of exchanger.
	ErrNotSent = exchanger.ErrNotSent
	ErrBroken  = exchanger.ErrBroken
	ErrStalled = exchanger.ErrStalled
	ErrRefused = exchanger.ErrRefused

	// ErrNoEndpoint, ErrPoison, ErrBudget, ErrVersionGone and ErrCaller, too.
	ErrNoEndpoint  = exchanger.ErrUnavailable
	ErrPoison      = exchanger.ErrPoison
	ErrBudget      = exchanger.ErrBudget
	ErrVersionGone = exchanger.ErrVersionGone
	ErrCaller      = exchanger.ErrCaller

	// ErrMayHaveRun marks the failure of a request of which an earlier attempt
	// may have run.
	ErrMayHaveRun = errors.New("an earlier attempt may have run")
)

// MayHaveRun reports whether a failed request, in any of its attempts, may have
// run. Without it "not run" is true.
func MayHaveRun(err error) bool {
	for _, sentinel := range []error{ErrBroken, ErrStalled, ErrMayHaveRun, ErrPoison, ErrVersionGone, ErrCaller} {
		if errors.Is(err, sentinel) {
			return true
		}
	}
	return false
}

// Completion is one attempt at a prompt as an endpoint gets it.
type Completion struct {
	Request string
	Model   string
	// Options is the caller's own JSON object, for members such as temperature.
	Options   []byte
	Messages  [][]byte
	MaxTokens int
	// Priority is the rank of the request's class.
	Priority int
	Weights  string
	Blocks   []fingerprinter.Block
	// Delivered holds the tokens that the caller has already.
	Delivered []string
	// Stall is the longest time without progress.
	Stall time.Duration
}

// Token is one generated token.
type Token struct {
	Index   int
	Text    string
	Weights string
}

// Usage is an engine's account of a finished prompt, in tokens.
type Usage struct {
	Prompt     int
	Completion int
	Cached     int
	Reason     string
}

// TokenStream is a running completion.
type TokenStream interface {
	// Next returns the next token. It returns io.EOF after a whole answer, and
	// an error marked ErrBroken or ErrStalled otherwise.
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
	Request string
	Service configurator.Service
	Method  string
	// Target is the path and query below the service's root.
	Target string
	Header http.Header
	Body   []byte
	// Repeatable lets the call run more than once.
	Repeatable bool
}

// Response is a plain service's whole answer.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Endpoint string
}

// Caller sends calls to plain services. A call that is not repeatable goes out
// on a new connection, once.
type Caller interface {
	Do(ctx context.Context, endpoint registrar.Endpoint, call Call) (Response, error)
}

// Sink takes an answer to the caller.
type Sink interface {
	Token(token Token) error
}

// Prompt is an admitted prompt.
type Prompt struct {
	Request   string
	Team      string
	Model     configurator.Model
	Service   configurator.Service
	Priority  configurator.Priority
	Options   []byte
	Messages  [][]byte
	MaxTokens int
	// Return is the caller's word on when the prompt comes back; zero for none.
	Return time.Duration
	// Text is what fingerprints and token counts are taken of.
	Text []byte
}

// Archive is the store tier.
type Archive interface {
	Lookup(ctx context.Context, hosts []registrar.Row, chain []fingerprinter.Block, group evictor.Group) archiver.Found
	Wait(found archiver.Found, from int) time.Duration
	Import(ctx context.Context, endpoint registrar.Endpoint, found archiver.Found, from int) []fingerprinter.Block
	Export(ctx context.Context, hosts []registrar.Row, endpoint registrar.Endpoint, chain []fingerprinter.Block, back archiver.Comeback) (int, error)
}

// Journal records events.
type Journal interface {
	Record(now time.Time, event recorder.Event) recorder.Stamp
}
