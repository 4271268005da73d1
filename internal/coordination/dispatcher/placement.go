package dispatcher

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

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
	r.hash(rows)
	if r.distrust() {
		for _, row := range rows {
			r.lookup(ctx, snapshot, row.Report.Version)
		}
	}
	chosen, err := r.take(rows)
	if err != nil || !r.lacks(chosen) {
		return chosen, err
	}
	// The choice was made without the store tier, and the chosen endpoint lacks
	// a part: what is stored may make another choice the better one.
	r.Flight.leave(chosen.row.Name, r.alone)
	r.lookup(ctx, snapshot, chosen.row.Report.Version)
	return r.take(rows)
}

// take lets the policy choose and counts the request at its choice.
func (r *promptRun) take(rows []registrar.Row) (place, error) {
	var chosen place
	var overload time.Duration
	_, ok := r.Flight.take(r.alone, func(turn uint64) (string, bool) {
		candidates := r.candidates(rows)
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
		chosen = r.place(rows[choice.Index], candidates[choice.Index], choice)
		return chosen.row.Name, true
	})
	if overload > 0 {
		return place{}, &limiter.Refusal{Cause: limiter.ErrDeadline, Retry: overload}
	}
	if !ok {
		return place{}, ErrNoEndpoint
	}
	return chosen, nil
}

func (r *promptRun) place(row registrar.Row, candidate router.Candidate, choice router.Choice) place {
	version := row.Report.Version
	found := r.found[version]
	return place{
		row:      row,
		chain:    r.hashed[version],
		found:    found,
		transfer: choice.Import || r.distrust() && found.Blocks() > 0,
		tokens:   max(r.tokens-max(candidate.CachedTokens, candidate.StoredTokens), 0),
	}
}

func (r *promptRun) request(turn uint64) router.Request {
	return router.Request{
		Tokens:    r.tokens,
		Root:      r.root,
		Objective: r.prompt.Service.Objective,
		Turn:      turn,
		Alone:     r.alone,
	}
}

// lookup asks the store tier for the prompt's blocks, once per version.
func (r *promptRun) lookup(ctx context.Context, snapshot *publisher.Snapshot, version string) {
	if _, asked := r.found[version]; asked || r.Archive == nil {
		return
	}
	r.found[version] = r.Archive.Lookup(ctx, snapshot.Stores(), r.hashed[version], r.group())
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
	rows := r.candidatesOf(snapshot)
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

// candidatesOf returns the endpoints to choose from: those that answer and have
// not been tried; else those that have failed to report, which may only be slow;
// else all, since a second try may meet a new connection.
func (r *promptRun) candidatesOf(snapshot *publisher.Snapshot) []registrar.Row {
	rows := snapshot.Services[r.prompt.Service.Name]
	choices := []func(row registrar.Row) bool{
		func(row registrar.Row) bool { return !r.tried[row.Name] && row.Failures == 0 },
		func(row registrar.Row) bool { return !r.tried[row.Name] },
		func(registrar.Row) bool { return true },
	}
	for _, choice := range choices {
		var chosen []registrar.Row
		for _, row := range rows {
			if !row.Left() && !row.Report.Loading && choice(row) {
				chosen = append(chosen, row)
			}
		}
		if len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}

func (r *promptRun) group() evictor.Group {
	return evictor.NewGroup(r.prompt.Team, r.prompt.Priority.Name)
}

func (r *promptRun) seed(weights string) fingerprinter.Seed {
	return fingerprinter.Seed{Team: r.prompt.Team, Model: r.prompt.Model.Name, Weights: weights}
}

// hash works out the names of the prompt's blocks for each version among rows,
// once per version.
func (r *promptRun) hash(rows []registrar.Row) {
	for _, row := range rows {
		version := row.Report.Version
		if _, done := r.hashed[version]; !done {
			r.hashed[version] = fingerprinter.Chain(r.seed(version), r.prompt.Text)
		}
	}
}

func (r *promptRun) candidates(rows []registrar.Row) []router.Candidate {
	candidates := make([]router.Candidate, 0, len(rows))
	for _, row := range rows {
		chain, found := r.hashed[row.Report.Version], r.found[row.Report.Version]
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
