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

// chosenEndpoint is the endpoint that was chosen for an attempt, with the IDs
// of the prompt's blocks and what the store tier holds of them.
type chosenEndpoint struct {
	endpoint registrar.EndpointState
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

// chooseEndpoint chooses an endpoint and counts the request on it. An exclusive
// request waits up to exclusiveWait for an endpoint without running requests.
func (r *promptRun) chooseEndpoint(ctx context.Context) (chosenEndpoint, error) {
	deadline := r.Now().Add(exclusiveWait)
	for {
		chosen, err := r.pickEndpoint(ctx)
		if err == nil || !r.exclusive || r.Now().After(deadline) {
			return chosen, err
		}
		if err := retrier.Sleep(ctx, exclusivePollInterval); err != nil {
			return chosenEndpoint{}, err
		}
	}
}

func (r *promptRun) pickEndpoint(ctx context.Context) (chosenEndpoint, error) {
	snapshot := r.SnapshotPointer.Load()
	endpoints, err := r.endpoints(snapshot)
	if err != nil {
		return chosenEndpoint{}, err
	}
	r.hashBlocks(endpoints)
	if r.alwaysImports() {
		for _, endpoint := range endpoints {
			r.lookupStored(ctx, snapshot, endpoint.Report.Version)
		}
	}
	chosen, err := r.reserve(endpoints)
	if err != nil || !r.needsStoreLookup(chosen) {
		return chosen, err
	}
	// The choice was made without asking the store tier, and the chosen endpoint
	// lacks a part of the prompt. Taking stored blocks into account, another
	// endpoint may be better.
	r.InFlight.release(chosen.endpoint.Name, r.exclusive)
	r.lookupStored(ctx, snapshot, chosen.endpoint.Report.Version)
	return r.reserve(endpoints)
}

// reserve lets the policy choose an endpoint and counts the request on it.
func (r *promptRun) reserve(endpoints []registrar.EndpointState) (chosenEndpoint, error) {
	var chosen chosenEndpoint
	var overload time.Duration
	_, ok := r.InFlight.reserve(r.exclusive, func(sequence uint64) (string, bool) {
		candidates := r.candidates(endpoints)
		choice, picked := r.Policy.Pick(r.routerRequest(sequence), candidates)
		if !picked && !r.exclusive {
			choice, picked = leastLoaded(candidates)
		}
		if !picked {
			return "", false
		}
		// A prompt that would start too late is refused, unless the caller already
		// has a part of the answer.
		if choice.Queue > r.prompt.Priority.Deadline && len(r.delivered) == 0 {
			overload = choice.Queue - r.prompt.Priority.Deadline
			return "", false
		}
		chosen = r.chosenEndpoint(endpoints[choice.Index], candidates[choice.Index], choice)
		return chosen.endpoint.Name, true
	})
	if overload > 0 {
		return chosenEndpoint{}, &limiter.Refusal{Cause: limiter.ErrDeadline, RetryAfter: overload}
	}
	if !ok {
		return chosenEndpoint{}, ErrNoEndpoint
	}
	return chosen, nil
}

func (r *promptRun) chosenEndpoint(endpoint registrar.EndpointState, candidate router.Candidate, choice router.Choice) chosenEndpoint {
	weights := endpoint.Report.Version
	stored := r.stored[weights]
	return chosenEndpoint{
		endpoint: endpoint,
		chain:    r.blocks[weights],
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

// lookupStored asks the store tier for the prompt's blocks, once per weights.
func (r *promptRun) lookupStored(ctx context.Context, snapshot *publisher.Snapshot, weights string) {
	if _, asked := r.stored[weights]; asked || r.Archive == nil {
		return
	}
	r.stored[weights] = r.Archive.Lookup(ctx, snapshot.Stores(), r.blocks[weights], r.group())
}

// needsStoreLookup reports whether the chosen endpoint lacks a part of the chain
// and the store tier has not been asked for it yet.
func (r *promptRun) needsStoreLookup(chosen chosenEndpoint) bool {
	_, asked := r.stored[chosen.endpoint.Report.Version]
	return r.Archive != nil && !asked && r.Hints.Prefix(chosen.endpoint.Name, chosen.chain) < len(chosen.chain)
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

// endpoints returns the endpoints that may run the next attempt: those with the
// target weights or, while no endpoint has loaded these, all with other weights.
// Once tokens have been delivered, only endpoints with the weights of the
// delivered tokens may run it.
func (r *promptRun) endpoints(snapshot *publisher.Snapshot) ([]registrar.EndpointState, error) {
	wanted := snapshot.Weights(r.prompt.Model)
	if r.weights != "" {
		wanted = r.weights
	}
	endpoints := r.availableEndpoints(snapshot)
	var matching, others []registrar.EndpointState
	for _, endpoint := range endpoints {
		if endpoint.Report.Version == wanted {
			matching = append(matching, endpoint)
		} else if endpoint.Report.Version != "" {
			others = append(others, endpoint)
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

// availableEndpoints returns the endpoints to choose from: those that report
// their load and have not been tried; else those that failed to report, which
// may only be slow; else all, since a second attempt may use a new connection.
func (r *promptRun) availableEndpoints(snapshot *publisher.Snapshot) []registrar.EndpointState {
	endpoints := snapshot.Services[r.prompt.Service.Name]
	filters := []func(endpoint registrar.EndpointState) bool{
		func(endpoint registrar.EndpointState) bool { return !r.tried[endpoint.Name] && endpoint.Failures == 0 },
		func(endpoint registrar.EndpointState) bool { return !r.tried[endpoint.Name] },
		func(registrar.EndpointState) bool { return true },
	}
	for _, accepts := range filters {
		var chosen []registrar.EndpointState
		for _, endpoint := range endpoints {
			if !endpoint.IsLeaving() && !endpoint.Report.Loading && accepts(endpoint) {
				chosen = append(chosen, endpoint)
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

// hashBlocks computes the IDs of the prompt's blocks for the weights of each of
// the endpoints, once per weights.
func (r *promptRun) hashBlocks(endpoints []registrar.EndpointState) {
	for _, endpoint := range endpoints {
		weights := endpoint.Report.Version
		if _, done := r.blocks[weights]; !done {
			r.blocks[weights] = fingerprinter.Chain(r.seed(weights), r.prompt.Text)
		}
	}
}

func (r *promptRun) candidates(endpoints []registrar.EndpointState) []router.Candidate {
	candidates := make([]router.Candidate, 0, len(endpoints))
	for _, endpoint := range endpoints {
		chain, stored := r.blocks[endpoint.Report.Version], r.stored[endpoint.Report.Version]
		cached := r.Hints.Prefix(endpoint.Name, chain)
		candidate := router.Candidate{
			Name:         endpoint.Name,
			SameDomain:   endpoint.Domain == r.Domain,
			Running:      endpoint.OtherRunning() + r.InFlight.running[endpoint.Name],
			Slots:        r.prompt.Service.Concurrency,
			QueuedTokens: max(endpoint.Report.QueuedTokens, r.InFlight.pending[endpoint.Name]),
			CachedTokens: cached * fingerprinter.BlockTokens,
			PrefillRate:  endpoint.Report.PrefillRate,
		}
		if stored.Blocks() > cached {
			candidate.StoredTokens = stored.Blocks() * fingerprinter.BlockTokens
			candidate.ImportWait = r.Archive.ExpectedWait(stored, cached)
		}
		if r.InFlight.runsExclusive[endpoint.Name] {
			candidate.Slots = 0
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}
