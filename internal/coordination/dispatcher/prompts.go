package dispatcher

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// maxAttempts bounds the attempts at one prompt.
	maxAttempts = 6
	// aloneWait is the longest time that a suspect request waits for an
	// endpoint on which nothing runs.
	aloneWait = 2 * time.Second
	// alonePoll is the time between looks for such an endpoint.
	alonePoll = 50 * time.Millisecond

	// spreadWait is the time in which peers hear of each other's suspects.
	spreadWait = 100 * time.Millisecond

	backoffBase  = 20 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
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

// promptRun is one prompt on its way through its attempts.
type promptRun struct {
	*Prompts
	prompt      Prompt
	sink        Sink
	fingerprint uint64
	// root and tokens are the router's view of the prompt.
	root   uint64
	tokens int
	// hashed holds the prompt's blocks by weights.
	hashed map[string][]fingerprinter.Block
	tried  map[string]bool
	alone  bool
	// ran is set once an attempt may have run.
	ran bool
	// delivered holds the tokens that the caller has.
	delivered []string
	// weights is set by the first delivered token; later attempts must match.
	weights string
	usage   Usage
	// found holds what the store tier has of the prompt, by weights.
	found map[string]archiver.Found
	// unqueue ends the count of the attempt's work.
	unqueue func()
}

// Run runs a prompt to its end and returns the usage of the last attempt. On
// error the caller has got a prefix of the answer at most, without end mark.
func (p *Prompts) Run(ctx context.Context, prompt Prompt, sink Sink) (Usage, error) {
	run := &promptRun{
		Prompts:     p,
		prompt:      prompt,
		sink:        sink,
		fingerprint: fingerprinter.Request(prompt.Team, prompt.Text),
		tokens:      fingerprinter.Tokens(prompt.Text),
		hashed:      map[string][]fingerprinter.Block{},
		tried:       map[string]bool{},
		found:       map[string]archiver.Found{},
	}
	run.root = fingerprinter.Root(run.seed(""), prompt.Text)
	p.Budget.Request()
	if err := run.judge(); err != nil {
		return Usage{}, err
	}
	for attempt := 0; ; attempt++ {
		err := run.attempt(ctx)
		if err == nil {
			p.Suspects.Clear(run.fingerprint)
			return run.usage, nil
		}
		run.ran = run.ran || MayHaveRun(err)
		if err := run.again(ctx, attempt, err); err != nil {
			return run.usage, run.mark(err)
		}
	}
}

// mark notes on a final error that an earlier attempt may have run.
func (r *promptRun) mark(err error) error {
	if !r.ran {
		return err
	}
	return errors.Mark(err, ErrMayHaveRun)
}

// judge applies what is known of the request's crashes.
func (r *promptRun) judge() error {
	switch r.Suspects.Judge(r.Now(), r.fingerprint) {
	case retrier.VerdictRefuse:
		return ErrPoison
	case retrier.VerdictAlone:
		r.alone = true
	}
	return nil
}

// again returns nil when the failed attempt may be followed by another.
func (r *promptRun) again(ctx context.Context, attempt int, cause error) error {
	if ctx.Err() != nil || errors.Is(cause, ErrCaller) || attempt+1 >= maxAttempts {
		return cause
	}
	switch {
	case errors.Is(cause, ErrNotSent), errors.Is(cause, ErrRefused):
		// Nothing ran, so the attempt costs no budget.
	case errors.Is(cause, ErrBroken), errors.Is(cause, ErrStalled):
		if err := r.afterFailure(cause); err != nil {
			return err
		}
	default:
		return cause
	}
	r.event(recorder.KindRetry, "", cause.Error())
	wait := retrier.Backoff(attempt, backoffBase, backoffLimit, r.Jitter)
	if errors.Is(cause, ErrBroken) {
		wait = max(wait, spreadWait)
	}
	if err := retrier.Sleep(ctx, wait); err != nil {
		return err
	}
	// Peers may have seen crashes of the same request meanwhile.
	if err := r.judge(); err != nil {
		return errors.CombineErrors(err, cause)
	}
	return nil
}

func (r *promptRun) afterFailure(cause error) error {
	if errors.Is(cause, ErrBroken) {
		r.Suspects.Crash(r.Now(), r.fingerprint)
		r.Spread()
		r.event(recorder.KindSuspect, "", cause.Error())
	}
	if !r.Budget.Spend() {
		return errors.CombineErrors(ErrBudget, cause)
	}
	return nil
}

func (r *promptRun) attempt(ctx context.Context) error {
	chosen, err := r.choose(ctx)
	if err != nil {
		return err
	}
	row := chosen.row
	defer r.Flight.leave(row.Name, r.alone)
	r.queue(chosen)
	defer r.unqueue()
	r.tried[row.Name] = true
	if chosen.transfer {
		r.bring(ctx, chosen)
	}
	kind := recorder.KindDispatch
	if len(r.delivered) > 0 {
		kind = recorder.KindResume
	}
	r.event(kind, row.Name, fmt.Sprintf("weights %s, %d tokens delivered", row.Report.Version, len(r.delivered)))
	stream, err := r.Engine.Complete(ctx, row.Endpoint, r.completion(row, chosen.chain))
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := r.relay(stream, row); err != nil {
		if errors.Is(err, ErrBroken) && ctx.Err() == nil {
			// The endpoint may have crashed and lost its cache.
			r.Hints.Forget(row.Name)
		}
		return err
	}
	r.Hints.Stored(row.Name, chosen.chain)
	r.store(chosen)
	return nil
}

// queue counts the prompt's work on its endpoint until the first token comes.
func (r *promptRun) queue(chosen place) {
	r.Flight.queue(chosen.row.Name, chosen.tokens)
	r.unqueue = sync.OnceFunc(func() { r.Flight.queue(chosen.row.Name, -chosen.tokens) })
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

// relay passes tokens on until the answer is whole.
func (r *promptRun) relay(stream TokenStream, row registrar.Row) error {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.usage = stream.Usage()
			return r.checkLength()
		}
		if err != nil {
			return err
		}
		if err := r.deliver(token, row); err != nil {
			return err
		}
	}
}

func (r *promptRun) checkLength() error {
	if r.usage.Completion != len(r.delivered) {
		return errors.Wrapf(ErrBroken, "answer has %d tokens, %d were delivered", r.usage.Completion, len(r.delivered))
	}
	return nil
}

func (r *promptRun) deliver(token Token, row registrar.Row) error {
	r.unqueue()
	if token.Index != len(r.delivered) {
		return errors.Wrapf(ErrBroken, "token %d came in place of token %d", token.Index, len(r.delivered))
	}
	if r.weights == "" {
		r.weights = token.Weights
		r.event(recorder.KindFirstToken, row.Name, "")
	}
	if token.Weights != r.weights {
		return errors.Wrapf(ErrVersionGone, "answer began with %s, %s has %s", r.weights, row.Name, token.Weights)
	}
	if err := r.sink.Token(token); err != nil {
		return errors.Mark(err, ErrCaller)
	}
	r.delivered = append(r.delivered, token.Text)
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
