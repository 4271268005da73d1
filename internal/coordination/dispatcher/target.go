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

// target is the endpoint that was chosen for an attempt, with what is cached and
// stored of the prompt.
type target struct {
	row registrar.EndpointState
	// chain holds the IDs of the prompt's blocks for the endpoint's weights.
	chain  []fingerprinter.Block
	stored archiver.StoredPrefix
	// transfer is set if stored blocks are imported to the endpoint before the
	// attempt.
	transfer bool
	// tokens is the number of prompt tokens that the endpoint is expected to
	// compute.
	tokens int
}

// chooseTarget chooses an endpoint and counts the request on it. An exclusive
// request waits up to exclusiveWait for an endpoint without running requests.
func (r *promptRun) chooseTarget(ctx context.Context) (target, error) {
	deadline := r.Now().Add(exclusiveWait)
	for {
		chosen, err := r.pickTarget(ctx)
		if err == nil || !r.exclusive || r.Now().After(deadline) {
			return chosen, err
		}
		if err := retrier.Sleep(ctx, exclusivePollInterval); err != nil {
			return target{}, err
		}
	}
}

func (r *promptRun) pickTarget(ctx context.Context) (target, error) {
	snapshot := r.SnapshotPointer.Load()
	rows, err := r.rows(snapshot)
	if err != nil {
		return target{}, err
	}
	r.hashBlocks(rows)
	if r.alwaysImports() {
		for _, row := range rows {
			r.lookupStored(ctx, snapshot, row.Report.Version)
		}
	}
	chosen, err := r.reserve(rows)
	if err != nil || !r.needsStoreLookup(chosen) {
		return chosen, err
	}
	// The choice was made without asking the store tier, and the chosen endpoint
	// lacks a part of the prompt. Taking stored blocks into account, another
	// endpoint may be better.
	r.InFlight.release(chosen.row.Name, r.exclusive)
	r.lookupStored(ctx, snapshot, chosen.row.Report.Version)
	return r.reserve(rows)
}

// reserve lets the policy choose an endpoint and counts the request on it.
func (r *promptRun) reserve(rows []registrar.EndpointState) (target, error) {
	var chosen target
	var overload time.Duration
	_, ok := r.InFlight.reserve(r.exclusive, func(sequence uint64) (string, bool) {
		candidates := r.candidates(rows)
		choice, picked := r.Policy.Pick(r.routerRequest(sequence), candidates)
		if !picked && !r.exclusive {
			choice, picked = leastLoaded(candidates)
		}
		if !picked {
			return "", false
		}
		if choice.Queue > r.prompt.Priority.Deadline && len(r.delivered) == 0 {
			overload = choice.Queue - r.prompt.Priority.Deadline
			return "", false
		}
		chosen = r.target(rows[choice.Index], candidates[choice.Index], choice)
		return chosen.row.Name, true
	})
	if overload > 0 {
		return target{}, &limiter.Refusal{Cause: limiter.ErrDeadline, RetryAfter: overload}
	}
	if !ok {
		return target{}, ErrNoEndpoint
	}
	return chosen, nil
}

func (r *promptRun) target(row registrar.EndpointState, candidate router.Candidate, choice router.Choice) target {
	version := row.Report.Version
	stored := r.stored[version]
	return target{
		row:      row,
		chain:    r.blocks[version],
		stored:   stored,
		transfer: choice.Import || r.alwaysImports() && stored.Blocks() > 0,
		tokens:   max(r.tokens-max(candidate.CachedTokens, candidate.StoredTokens), 0),
	}
}

func (r *promptRun) routerRequest(sequence uint64) router.Request {
	return router.Request{
		Tokens:     r.tokens,
		PrefixHash: r.prefixHash,
		Objective:  r.prompt.Service.Objective,
		Sequence:   sequence,
		Exclusive:  r.exclusive,
	}
}

// lookupStored asks the store tier for the prompt's blocks, once per version of
// the weights.
func (r *promptRun) lookupStored(ctx context.Context, snapshot *publisher.Snapshot, version string) {
	if _, asked := r.stored[version]; asked || r.Archive == nil {
		return
	}
	r.stored[version] = r.Archive.Lookup(ctx, snapshot.Stores(), r.blocks[version], r.group())
}

// needsStoreLookup reports whether the chosen endpoint lacks a part of the chain
// and the store tier has not been asked for it yet.
func (r *promptRun) needsStoreLookup(chosen target) bool {
	_, asked := r.stored[chosen.row.Report.Version]
	return r.Archive != nil && !asked && r.Hints.Prefix(chosen.row.Name, chosen.chain) < len(chosen.chain)
}

// alwaysImports reports whether blocks are imported even to an endpoint that has
// them according to the hints. Hints lag behind evictions. The additional import
// costs one round trip, and the endpoint fetches only the blocks that it lacks.
func (r *promptRun) alwaysImports() bool {
	return r.prompt.Service.Objective == configurator.ObjectiveRecompute
}

// leastLoaded chooses the endpoint with the fewest running requests for a request
// that was admitted with outdated counts and finds no free slot. Engines batch
// requests, so they can take one more.
func leastLoaded(candidates []router.Candidate) (router.Choice, bool) {
	best := -1
	for i, candidate := range candidates {
		if best < 0 || candidate.Running < candidates[best].Running {
			best = i
		}
	}
	return router.Choice{Index: best}, best >= 0
}

// rows returns the endpoints that may run the next attempt: those with the target
// weights or, while no endpoint has loaded these, all with other weights. Once
// tokens have been delivered, only endpoints with the weights of the delivered
// tokens may run it.
func (r *promptRun) rows(snapshot *publisher.Snapshot) ([]registrar.EndpointState, error) {
	wanted := snapshot.Weights(r.prompt.Model)
	if r.weights != "" {
		wanted = r.weights
	}
	rows := r.availableRows(snapshot)
	var matching, others []registrar.EndpointState
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

// availableRows returns the endpoints to choose from: those that report their
// load and have not been tried; else those that failed to report, which may only
// be slow; else all, since a second attempt may use a new connection.
func (r *promptRun) availableRows(snapshot *publisher.Snapshot) []registrar.EndpointState {
	rows := snapshot.Services[r.prompt.Service.Name]
	filters := []func(row registrar.EndpointState) bool{
		func(row registrar.EndpointState) bool { return !r.tried[row.Name] && row.Failures == 0 },
		func(row registrar.EndpointState) bool { return !r.tried[row.Name] },
		func(registrar.EndpointState) bool { return true },
	}
	for _, accepts := range filters {
		var chosen []registrar.EndpointState
		for _, row := range rows {
			if !row.IsLeaving() && !row.Report.Loading && accepts(row) {
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

// hashBlocks computes the IDs of the prompt's blocks for each version of the
// weights among rows, once per version.
func (r *promptRun) hashBlocks(rows []registrar.EndpointState) {
	for _, row := range rows {
		version := row.Report.Version
		if _, done := r.blocks[version]; !done {
			r.blocks[version] = fingerprinter.Chain(r.seed(version), r.prompt.Text)
		}
	}
}

func (r *promptRun) candidates(rows []registrar.EndpointState) []router.Candidate {
	candidates := make([]router.Candidate, 0, len(rows))
	for _, row := range rows {
		chain, stored := r.blocks[row.Report.Version], r.stored[row.Report.Version]
		cached := r.Hints.Prefix(row.Name, chain)
		candidate := router.Candidate{
			Name:         row.Name,
			SameDomain:   row.Domain == r.Domain,
			Running:      row.OtherRunning() + r.InFlight.running[row.Name],
			Slots:        r.prompt.Service.Concurrency,
			QueuedTokens: max(row.Report.QueuedTokens, r.InFlight.pending[row.Name]),
			CachedTokens: cached * fingerprinter.BlockTokens,
			PrefillRate:  row.Report.PrefillRate,
		}
		if stored.Blocks() > cached {
			candidate.StoredTokens = stored.Blocks() * fingerprinter.BlockTokens
			candidate.ImportWait = r.Archive.ExpectedWait(stored, cached)
		}
		if r.InFlight.reserved[row.Name] {
			candidate.Slots = 0
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}
