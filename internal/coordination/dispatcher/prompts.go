package dispatcher

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
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
	tried       map[string]bool
	alone       bool
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

// place is where an attempt runs.
type place struct {
	row registrar.Row
	// chain holds the prompt's blocks under the endpoint's weights.
	chain []fingerprinter.Block
	found archiver.Found
	// transfer asks for the stored blocks to be brought first.
	transfer bool
	// tokens is the part of the prompt that the endpoint is expected to compute.
	tokens int
}

// Run runs a prompt to its end and returns the usage of the last attempt. On
// error the caller has got a prefix of the answer at most, without end mark.
func (p *Prompts) Run(ctx context.Context, prompt Prompt, sink Sink) (Usage, error) {
	run := &promptRun{
		Prompts:     p,
		prompt:      prompt,
		sink:        sink,
		fingerprint: fingerprinter.Request(prompt.Team, prompt.Text),
		tried:       map[string]bool{},
		found:       map[string]archiver.Found{},
	}
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
		if errors.Is(err, ErrBroken) {
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

// choose picks an endpoint and counts the request there.
func (r *promptRun) choose(ctx context.Context) (place, error) {
	deadline := r.Now().Add(aloneWait)
	for {
		chosen, err := r.pick(ctx)
		if err == nil || !r.alone || r.Now().After(deadline) {
			return chosen, err
		}
		if err := retrier.Sleep(ctx, alonePoll); err != nil {
			return place{}, err
		}
	}
}

func (r *promptRun) pick(ctx context.Context) (place, error) {
	snapshot := r.Cell.Load()
	rows, err := r.rows(snapshot)
	if err != nil {
		return place{}, err
	}
	chains := r.chains(rows)
	if r.distrust() {
		for version, chain := range chains {
			r.lookup(ctx, snapshot, version, chain)
		}
	}
	chosen, err := r.take(rows, chains)
	if err != nil || !r.lacks(chosen) {
		return chosen, err
	}
	// The choice was made without the store tier, and the chosen endpoint lacks
	// a part: what is stored may make another choice the better one.
	r.Flight.leave(chosen.row.Name, r.alone)
	r.lookup(ctx, snapshot, chosen.row.Report.Version, chosen.chain)
	return r.take(rows, chains)
}

// take lets the policy choose and counts the request at its choice.
func (r *promptRun) take(rows []registrar.Row, chains map[string][]fingerprinter.Block) (place, error) {
	var chosen place
	var overload time.Duration
	_, ok := r.Flight.take(r.alone, func(turn uint64) (string, bool) {
		candidates := r.candidates(rows, chains)
		choice, picked := r.Policy.Pick(r.request(turn), candidates)
		if !picked && !r.alone {
			choice, picked = leastLoaded(candidates)
		}
		if !picked {
			return "", false
		}
		if choice.Queue > r.prompt.Priority.Deadline && len(r.delivered) == 0 {
			overload = choice.Queue - r.prompt.Priority.Deadline
			return "", false
		}
		row := rows[choice.Index]
		version := row.Report.Version
		chosen = place{row: row, chain: chains[version], found: r.found[version], transfer: choice.Import}
		chosen.tokens = max(fingerprinter.Tokens(r.prompt.Text)-max(candidates[choice.Index].CachedTokens, candidates[choice.Index].StoredTokens), 0)
		chosen.transfer = choice.Import || r.distrust() && chosen.found.Blocks() > 0
		return row.Name, true
	})
	if overload > 0 {
		return place{}, &limiter.Refusal{Cause: limiter.ErrDeadline, Retry: overload}
	}
	if !ok {
		return place{}, ErrNoEndpoint
	}
	return chosen, nil
}

func (r *promptRun) request(turn uint64) router.Request {
	return router.Request{
		Tokens:    fingerprinter.Tokens(r.prompt.Text),
		Root:      fingerprinter.Root(r.seed(""), r.prompt.Text),
		Objective: r.prompt.Service.Objective,
		Turn:      turn,
		Alone:     r.alone,
	}
}

// lookup asks the store tier for a chain, once per version.
func (r *promptRun) lookup(ctx context.Context, snapshot *publisher.Snapshot, version string, chain []fingerprinter.Block) {
	if _, asked := r.found[version]; asked || r.Archive == nil {
		return
	}
	r.found[version] = r.Archive.Lookup(ctx, snapshot.Stores(), chain, r.group())
}

// lacks reports whether the chosen endpoint lacks a part of the chain that the
// store tier has not been asked for.
func (r *promptRun) lacks(chosen place) bool {
	_, asked := r.found[chosen.row.Report.Version]
	return r.Archive != nil && !asked && r.Hints.Prefix(chosen.row.Name, chosen.chain) < len(chosen.chain)
}

// distrust reports whether blocks are brought even to an endpoint that is
// believed to hold them. Hints lag behind evictions; the order costs a round
// trip, and the endpoint fetches only what it lacks.
func (r *promptRun) distrust() bool {
	return r.prompt.Service.Objective == configurator.ObjectiveRecompute
}

// leastLoaded serves a request that was admitted on counts that have since
// proved old: engines batch, so one more request is taken.
func leastLoaded(candidates []router.Candidate) (router.Choice, bool) {
	best := -1
	for i, candidate := range candidates {
		if best < 0 || candidate.Running < candidates[best].Running {
			best = i
		}
	}
	return router.Choice{Index: best}, best >= 0
}

// rows returns the endpoints that may take the next attempt: those with the
// weights in force, or while these are still being loaded, all others.
func (r *promptRun) rows(snapshot *publisher.Snapshot) ([]registrar.Row, error) {
	wanted := snapshot.Weights(r.prompt.Model)
	if r.weights != "" {
		wanted = r.weights
	}
	rows := r.usable(snapshot, r.tried)
	if len(rows) == 0 {
		// All have been tried; a second try may meet a new connection.
		rows = r.usable(snapshot, nil)
	}
	var matching, others []registrar.Row
	for _, row := range rows {
		if row.Report.Version == wanted {
			matching = append(matching, row)
		} else if row.Report.Version != "" {
			others = append(others, row)
		}
	}
	if len(matching) > 0 {
		return matching, nil
	}
	if r.weights != "" {
		return nil, ErrVersionGone
	}
	if len(others) > 0 {
		return others, nil
	}
	return nil, ErrNoEndpoint
}

// usable returns the endpoints that take work and have not been tried.
func (r *promptRun) usable(snapshot *publisher.Snapshot, tried map[string]bool) []registrar.Row {
	var usable []registrar.Row
	for _, row := range snapshot.Services[r.prompt.Service.Name] {
		if !row.Left() && !tried[row.Name] && row.Failures == 0 && !row.Report.Loading {
			usable = append(usable, row)
		}
	}
	return usable
}

func (r *promptRun) group() evictor.Group {
	return evictor.NewGroup(r.prompt.Team, r.prompt.Priority.Name)
}

func (r *promptRun) seed(weights string) fingerprinter.Seed {
	return fingerprinter.Seed{Team: r.prompt.Team, Model: r.prompt.Model.Name, Weights: weights}
}

// chains returns the prompt's blocks for each version among rows.
func (r *promptRun) chains(rows []registrar.Row) map[string][]fingerprinter.Block {
	chains := map[string][]fingerprinter.Block{}
	for _, row := range rows {
		version := row.Report.Version
		if _, ok := chains[version]; !ok {
			chains[version] = fingerprinter.Chain(r.seed(version), r.prompt.Text)
		}
	}
	return chains
}

func (r *promptRun) candidates(rows []registrar.Row, chains map[string][]fingerprinter.Block) []router.Candidate {
	candidates := make([]router.Candidate, 0, len(rows))
	for _, row := range rows {
		chain, found := chains[row.Report.Version], r.found[row.Report.Version]
		cached := r.Hints.Prefix(row.Name, chain)
		candidate := router.Candidate{
			Name:         row.Name,
			Near:         row.Domain == r.Domain,
			Running:      row.Others() + r.Flight.running[row.Name],
			Slots:        r.prompt.Service.Concurrency,
			QueuedTokens: max(row.Report.QueuedTokens, r.Flight.pending[row.Name]),
			CachedTokens: cached * fingerprinter.BlockTokens,
			PrefillRate:  row.Report.PrefillRate,
		}
		if found.Blocks() > cached {
			candidate.StoredTokens = found.Blocks() * fingerprinter.BlockTokens
			candidate.ImportWait = r.Archive.Wait(found, cached)
		}
		if r.Flight.reserved[row.Name] {
			candidate.Slots = 0
		}
		candidates = append(candidates, candidate)
	}
	return candidates
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
