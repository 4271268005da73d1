package dispatcher

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// aloneWait is the longest time that a suspect request waits for an
	// endpoint on which nothing runs.
	aloneWait = 2 * time.Second
	// alonePoll is the time between looks for such an endpoint.
	alonePoll = 50 * time.Millisecond
	// spreadWait is the time in which peers hear of each other's suspects.
	spreadWait = 100 * time.Millisecond
)

// Prompts runs prompts on model engines. Its fields are set before use.
type Prompts struct {
	Cell     *publisher.Cell
	Engine   Engine
	Flight   *Flight
	Policy   router.Policy
	Hints    *hinter.Table
	Budget   *retrier.Budget
	Jitter   retrier.Jitter
	Suspects *retrier.Suspects
	// Archive is the store tier; nil for none.
	Archive Archive
	// Background runs work that outlives the request.
	Background func(work func(ctx context.Context))
	// Spread tells the peers about a new suspect at once.
	Spread  func()
	Journal Journal
	// Domain is the node's own failure domain.
	Domain string
	Now    func() time.Time
}

// Run runs a prompt to its end and returns the usage of the last attempt. On
// error the caller has got a prefix of the answer at most, without end mark.
func (p *Prompts) Run(ctx context.Context, prompt Prompt, sink Sink) (Usage, error) {
	run := newPromptRun(p, prompt, sink)
	e := &exchanger.Exchanger{
		Placer: run, Sender: run, Budget: share{p.Budget}, Suspects: p.Suspects, Spread: p.Spread,
		Backoff: run.backoff, Now: p.Now,
	}
	err := e.Run(ctx, run.exchange, run)
	return run.usage, outcome(err)
}

// promptRun is one prompt on its way through its attempts.
type promptRun struct {
	*Prompts
	prompt   Prompt
	exchange *exchanger.Exchange
	sink     Sink
	// root and tokens are the router's view of the prompt.
	root   uint64
	tokens int
	// hashed holds the prompt's blocks by weights.
	hashed map[string][]fingerprinter.Block
	tried  map[string]bool
	// alone is set while the request is suspected of a crash.
	alone  bool
	chosen place
	// next is the token on its way to the caller.
	next Token
	// delivered holds the tokens that the caller has.
	delivered []string
	// weights is set by the first delivered token; later attempts must match.
	weights string
	usage   Usage
	// found holds what the store tier has of the prompt, by weights.
	found map[string]archiver.Found
}

func newPromptRun(p *Prompts, prompt Prompt, sink Sink) *promptRun {
	run := &promptRun{
		Prompts: p,
		prompt:  prompt,
		sink:    sink,
		tokens:  fingerprinter.EstimateTokens(prompt.Text),
		hashed:  map[string][]fingerprinter.Block{},
		found:   map[string]archiver.Found{},
		exchange: &exchanger.Exchange{
			ID: prompt.Request, Caller: prompt.Team, Service: prompt.Service.Name, Received: p.Now(),
			SenderDetectsStalls: true, Body: prompt.Text,
			Route: cataloger.Route{Stream: true, Repeat: cataloger.RepeatResumable, Attempts: exchanger.MaxSends},
		},
	}
	run.root = fingerprinter.PrefixHash(run.seed(""), prompt.Text)
	return run
}

// backoff gives peers the time to tell of crashes of the same request.
func (r *promptRun) backoff(attempt int, cause error) time.Duration {
	r.event(recorder.KindRetry, "", cause.Error())
	wait := retrier.Backoff(attempt, backoffBase, backoffLimit, r.Jitter)
	if errors.Is(cause, ErrBroken) {
		wait = max(wait, spreadWait)
	}
	return wait
}

// Place implements exchanger.Placer.
func (r *promptRun) Place(ctx context.Context, _ *exchanger.Exchange, progress exchanger.Progress) (exchanger.Placement, error) {
	r.tried, r.alone = progress.Tried, progress.Exclusive
	chosen, err := r.choose(ctx)
	if err != nil {
		return nil, err
	}
	r.chosen = chosen
	placed := newPromptPlace(r, chosen)
	if chosen.transfer {
		r.bring(ctx, chosen)
	}
	kind := recorder.KindDispatch
	if len(r.delivered) > 0 {
		kind = recorder.KindResume
	}
	r.event(kind, chosen.row.Name, fmt.Sprintf("weights %s, %d tokens delivered", chosen.row.Report.Version, len(r.delivered)))
	return placed, nil
}

// bring imports stored blocks to the chosen endpoint. What does not arrive is
// recomputed.
func (r *promptRun) bring(ctx context.Context, chosen place) {
	from := r.Hints.Prefix(chosen.row.Name, chosen.chain)
	arrived := r.Archive.Import(ctx, chosen.row.Endpoint, chosen.found, from)
	r.Hints.Stored(chosen.row.Name, arrived)
	r.event(recorder.KindImport, chosen.row.Name, fmt.Sprintf("%d of %d blocks, %d believed cached", len(arrived), chosen.found.Blocks(), from))
}

// store exports the prompt's blocks in the background.
func (r *promptRun) store(chosen place) {
	if r.Archive == nil || chosen.found.Blocks() >= len(chosen.chain) {
		return
	}
	hosts := r.Cell.Load().Stores()
	back := archiver.Comeback{After: r.prompt.Return, Group: r.group()}
	r.Background(func(ctx context.Context) {
		sealed, err := r.Archive.Export(ctx, hosts, chosen.row.Endpoint, chosen.chain, back)
		if sealed > 0 || err != nil {
			r.event(recorder.KindExport, chosen.row.Name, fmt.Sprintf("%d blocks, error %v", sealed, err))
		}
	})
}

// Send implements exchanger.Sender.
func (r *promptRun) Send(ctx context.Context, _ exchanger.Attempt) (exchanger.Answer, error) {
	row := r.chosen.row
	stream, err := r.Engine.Complete(ctx, row.Endpoint, r.completion(row, r.chosen.chain))
	switch {
	case errors.Is(err, ErrRefused):
		r.event(recorder.KindRefuse, row.Name, err.Error())
		return exchanger.Answer{Run: exchanger.RunRefused, Close: func() {}}, nil
	case err != nil:
		return exchanger.Answer{}, err
	}
	return exchanger.Answer{Events: &tokens{run: r, stream: stream}, Close: stream.Close}, nil
}

// Drop implements exchanger.Sender. The dialer drops connections itself.
func (r *promptRun) Drop(tracker.Endpoint) {}

func (r *promptRun) completion(row registrar.Row, blocks []fingerprinter.Block) Completion {
	return Completion{
		Request:   r.prompt.Request,
		Model:     r.prompt.Model.Name,
		Options:   r.prompt.Options,
		Messages:  r.prompt.Messages,
		MaxTokens: r.prompt.MaxTokens,
		Priority:  r.prompt.Priority.Rank,
		Weights:   row.Report.Version,
		Blocks:    blocks,
		Delivered: r.delivered,
		Stall:     r.prompt.Service.Timeout,
	}
}

// tokens checks an engine's tokens as they come. It implements
// exchanger.Events.
type tokens struct {
	run    *promptRun
	stream TokenStream
}

// Next implements exchanger.Events.
func (t *tokens) Next() (exchanger.Event, error) {
	token, err := t.stream.Next()
	if errors.Is(err, io.EOF) {
		t.run.usage = t.stream.Usage()
		if err := t.run.checkLength(); err != nil {
			return exchanger.Event{}, err
		}
		return exchanger.Event{}, io.EOF
	}
	if err == nil {
		err = t.run.check(token)
	}
	if err != nil {
		return exchanger.Event{}, err
	}
	t.run.next = token
	return exchanger.Event{ID: strconv.Itoa(token.Index), Data: []byte(token.Text)}, nil
}

func (r *promptRun) checkLength() error {
	if r.usage.Completion != len(r.delivered) {
		return errors.Wrapf(ErrBroken, "answer has %d tokens, %d were delivered", r.usage.Completion, len(r.delivered))
	}
	return nil
}

// check accepts the token that follows the delivered ones, of the same weights.
func (r *promptRun) check(token Token) error {
	if token.Index != len(r.delivered) {
		return errors.Wrapf(ErrBroken, "token %d came in place of token %d", token.Index, len(r.delivered))
	}
	if r.weights == "" {
		r.weights = token.Weights
		r.event(recorder.KindFirstToken, r.chosen.row.Name, "")
	}
	if token.Weights != r.weights {
		return errors.Wrapf(ErrVersionGone, "answer began with %s, %s has %s", r.weights, r.chosen.row.Name, token.Weights)
	}
	return nil
}

// Whole implements exchanger.Sink. Engines answer with streams only.
func (r *promptRun) Whole(exchanger.Answer) error { return nil }

// Begin implements exchanger.Sink. The sink begins with the first token.
func (r *promptRun) Begin(exchanger.Answer) error { return nil }

// Event implements exchanger.Sink.
func (r *promptRun) Event(exchanger.Event) error {
	if err := r.sink.Token(r.next); err != nil {
		return err
	}
	r.delivered = append(r.delivered, r.next.Text)
	return nil
}

func (r *promptRun) event(kind recorder.Kind, endpoint, detail string) {
	r.Journal.Record(r.Now(), recorder.Event{
		Kind:     kind,
		Request:  r.prompt.Request,
		Team:     r.prompt.Team,
		Endpoint: endpoint,
		Detail:   detail,
	})
}
