package dispatcher

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// exclusiveWait is the longest time that a suspect request waits for an
	// endpoint without running requests.
	exclusiveWait = 2 * time.Second
	// exclusivePollInterval is the interval between searches for such an endpoint.
	exclusivePollInterval = 50 * time.Millisecond
	// announceWait is the time within which peers are assumed to receive each
	// other's announcements of suspects.
	announceWait = 100 * time.Millisecond
)

// PromptRunner runs prompts on model engines. Its fields are set before use.
type PromptRunner struct {
	SnapshotPointer *publisher.SnapshotPointer
	Engine          Engine
	InFlight        *InFlight
	Policy          router.Policy
	// Hints holds the blocks that each endpoint probably caches.
	Hints    *hinter.Table
	Budget   *retrier.Budget
	Jitter   retrier.Jitter
	Suspects *retrier.Suspects
	// Archive provides access to the store tier; nil for none.
	Archive Archive
	// Background runs work that outlives the request.
	Background func(work func(ctx context.Context))
	// Broadcast announces a new suspect to the peers at once.
	Broadcast func()
	Journal   Journal
	// Domain is the node's own failure domain.
	Domain string
	Now    func() time.Time
}

// Run runs a prompt and returns the usage of the last attempt. On error the
// caller has received at most a prefix of the answer, without an end marker.
func (p *PromptRunner) Run(ctx context.Context, prompt Prompt, sink Sink) (Usage, error) {
	run := newPromptRun(p, prompt, sink)
	f := &forwarder.Forwarder{
		Placer: run, Sender: run, Budget: nodeBudget{p.Budget}, Suspects: p.Suspects, Broadcast: p.Broadcast,
		Backoff: run.backoff, Now: p.Now,
	}
	err := f.Run(ctx, run.exchange, run)
	return run.usage, translateError(err)
}

// promptRun is the state of one prompt across its attempts.
type promptRun struct {
	*PromptRunner
	prompt   Prompt
	exchange *forwarder.Exchange
	sink     Sink
	// prefixHash and tokens describe the prompt to the router.
	prefixHash uint64
	tokens     int
	// blocks holds the IDs of the prompt's blocks, by weights.
	blocks map[string][]fingerprinter.Block
	tried  map[string]bool
	// exclusive is set once the request is suspected of a crash.
	exclusive bool
	chosen    chosenEndpoint
	// nextToken is the token to be delivered next.
	nextToken Token
	// delivered holds the tokens that the caller has received.
	delivered []string
	// weights are those of the first token. Later attempts must use the same
	// weights.
	weights string
	usage   Usage
	// stored holds the result of the store tier's lookup for the prompt, by
	// weights.
	stored map[string]archiver.StoredPrefix
}

func newPromptRun(p *PromptRunner, prompt Prompt, sink Sink) *promptRun {
	run := &promptRun{
		PromptRunner: p,
		prompt:       prompt,
		sink:         sink,
		tokens:       fingerprinter.EstimateTokens(prompt.Text),
		blocks:       map[string][]fingerprinter.Block{},
		stored:       map[string]archiver.StoredPrefix{},
		exchange: &forwarder.Exchange{
			ID: prompt.Request, Caller: prompt.Team, Service: prompt.Service.Name, Received: p.Now(),
			SenderDetectsStalls: true, Body: prompt.Text,
			Route: cataloger.Route{Stream: true, RetryPolicy: cataloger.RetryResumable, Attempts: forwarder.MaxSends},
		},
	}
	// The hash does not depend on weights, since the router uses it before an
	// endpoint, and thus its weights, is chosen.
	run.prefixHash = fingerprinter.PrefixHash(run.seed(""), prompt.Text)
	return run
}

// backoff returns the wait before a retry. After an interrupted answer it is at
// least announceWait, so that peers can announce crashes of the same request.
func (r *promptRun) backoff(attempt int, cause error) time.Duration {
	r.recordEvent(recorder.KindRetry, "", cause.Error())
	wait := retrier.Backoff(attempt, backoffBase, backoffLimit, r.Jitter)
	if errors.Is(cause, ErrBroken) {
		wait = max(wait, announceWait)
	}
	return wait
}

// Place implements forwarder.Placer.
func (r *promptRun) Place(ctx context.Context, _ *forwarder.Exchange, progress forwarder.Progress) (forwarder.Placement, error) {
	r.tried, r.exclusive = progress.Tried, progress.Exclusive
	chosen, err := r.chooseEndpoint(ctx)
	if err != nil {
		return nil, err
	}
	r.chosen = chosen
	placed := newPromptPlacement(r, chosen)
	if chosen.transfer {
		r.importBlocks(ctx, chosen)
	}
	kind := recorder.KindDispatch
	if len(r.delivered) > 0 {
		kind = recorder.KindResume
	}
	r.recordEvent(kind, chosen.endpoint.Name, fmt.Sprintf("weights %s, %d tokens delivered", chosen.endpoint.Report.Version, len(r.delivered)))
	return placed, nil
}

// importBlocks imports stored blocks to the chosen endpoint. Blocks that are not
// imported are recomputed.
func (r *promptRun) importBlocks(ctx context.Context, chosen chosenEndpoint) {
	cached := r.Hints.Prefix(chosen.endpoint.Name, chosen.chain)
	imported := r.Archive.Import(ctx, chosen.endpoint.Endpoint, chosen.stored, cached)
	r.Hints.MarkCached(chosen.endpoint.Name, imported)
	r.recordEvent(recorder.KindImport, chosen.endpoint.Name, fmt.Sprintf("%d of %d blocks, %d believed cached", len(imported), chosen.stored.Blocks(), cached))
}

// exportBlocks exports the prompt's blocks to the store tier in the background.
func (r *promptRun) exportBlocks(chosen chosenEndpoint) {
	if r.Archive == nil || chosen.stored.Blocks() >= len(chosen.chain) {
		return
	}
	hosts := r.SnapshotPointer.Load().Stores()
	forecast := archiver.ReturnForecast{AnnouncedTime: r.prompt.ExpectedReturn, Group: r.group()}
	r.Background(func(ctx context.Context) {
		exported, err := r.Archive.Export(ctx, hosts, chosen.endpoint.Endpoint, chosen.chain, forecast)
		if exported > 0 || err != nil {
			r.recordEvent(recorder.KindExport, chosen.endpoint.Name, fmt.Sprintf("%d blocks, error %v", exported, err))
		}
	})
}

// Send implements forwarder.Sender.
func (r *promptRun) Send(ctx context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
	endpoint := r.chosen.endpoint
	stream, err := r.Engine.Complete(ctx, endpoint.Endpoint, r.completion(endpoint, r.chosen.chain))
	switch {
	case errors.Is(err, ErrRefused):
		r.recordEvent(recorder.KindRefuse, endpoint.Name, err.Error())
		return forwarder.Answer{RunStatus: forwarder.RunRefused, Close: func() {}}, nil
	case err != nil:
		return forwarder.Answer{}, err
	}
	return forwarder.Answer{EventStream: &tokenEvents{run: r, stream: stream}, Close: stream.Close}, nil
}

// CloseIdle implements forwarder.Sender. It does nothing, since the Engine
// closes idle connections itself.
func (r *promptRun) CloseIdle(endpointtracker.Endpoint) {}

func (r *promptRun) completion(endpoint registrar.EndpointState, blocks []fingerprinter.Block) Completion {
	return Completion{
		Request:      r.prompt.Request,
		Model:        r.prompt.Model.Name,
		Options:      r.prompt.Options,
		Messages:     r.prompt.Messages,
		MaxTokens:    r.prompt.MaxTokens,
		Priority:     r.prompt.Priority.Rank,
		Weights:      endpoint.Report.Version,
		Blocks:       blocks,
		Delivered:    r.delivered,
		StallTimeout: r.prompt.Service.Timeout,
	}
}

// tokenEvents converts an engine's tokens to events and checks their order and
// weights. It implements forwarder.EventStream.
type tokenEvents struct {
	run    *promptRun
	stream TokenStream
}

// Next implements forwarder.EventStream.
func (t *tokenEvents) Next() (forwarder.Event, error) {
	token, err := t.stream.Next()
	if errors.Is(err, io.EOF) {
		t.run.usage = t.stream.Usage()
		if err := t.run.checkLength(); err != nil {
			return forwarder.Event{}, err
		}
		return forwarder.Event{}, io.EOF
	}
	if err == nil {
		err = t.run.checkToken(token)
	}
	if err != nil {
		return forwarder.Event{}, err
	}
	t.run.nextToken = token
	return forwarder.Event{ID: strconv.Itoa(token.Index), Data: []byte(token.Text)}, nil
}

func (r *promptRun) checkLength() error {
	if r.usage.Completion != len(r.delivered) {
		return errors.Wrapf(ErrBroken, "answer has %d tokens, %d were delivered", r.usage.Completion, len(r.delivered))
	}
	return nil
}

// checkToken returns an error unless the token follows the delivered ones and has
// the same weights.
func (r *promptRun) checkToken(token Token) error {
	if token.Index != len(r.delivered) {
		return errors.Wrapf(ErrBroken, "token %d came in place of token %d", token.Index, len(r.delivered))
	}
	if r.weights == "" {
		r.weights = token.Weights
		r.recordEvent(recorder.KindFirstToken, r.chosen.endpoint.Name, "")
	}
	if token.Weights != r.weights {
		return errors.Wrapf(ErrVersionGone, "answer began with %s, %s has %s", r.weights, r.chosen.endpoint.Name, token.Weights)
	}
	return nil
}

// DeliverComplete implements forwarder.Sink. It is never called, since engines
// only return streams.
func (r *promptRun) DeliverComplete(forwarder.Answer) error { return nil }

// Begin implements forwarder.Sink. It does nothing, since a Sink starts with the
// first token.
func (r *promptRun) Begin(forwarder.Answer) error { return nil }

// Event implements forwarder.Sink.
func (r *promptRun) Event(forwarder.Event) error {
	if err := r.sink.Token(r.nextToken); err != nil {
		return err
	}
	r.delivered = append(r.delivered, r.nextToken.Text)
	return nil
}

func (r *promptRun) recordEvent(kind recorder.Kind, endpoint, detail string) {
	r.Journal.Record(r.Now(), recorder.Event{
		Kind:     kind,
		Request:  r.prompt.Request,
		Team:     r.prompt.Team,
		Endpoint: endpoint,
		Detail:   detail,
	})
}
