// Package placer chooses the endpoint of each attempt: by load, by the tokens
// that the endpoint must prefill or fetch for the prompt, and by the version of
// its weights. It also says from where the endpoint fetches parts of the prompt
// and where it saves them. Requests for which no endpoint has room wait in the
// scheduler.
//
// It serves package platform; for the chat interface, package dispatcher
// chooses the endpoints.
//
// # Usage
//
//	p := &placer.Placer{View: view, Balancer: balancer, Locator: locator, Scheduler: scheduler, …}
//	placement, err := p.Place(ctx, exchange, progress)
//	defer placement.Release()
package placer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// MaxFetchTime is the longest time for which an endpoint fetches parts after the attempt was
// placed. It includes the time for which the attempt waits at the endpoint.
const MaxFetchTime = 5 * time.Second

// Placer implements forwarder.Placer. Its fields are set before use.
type Placer struct {
	View     func() View
	Balancer *balancer.Balancer
	Locator  *locator.Locator
	// Scheduler queues requests and refuses those that can't start in time.
	Scheduler *scheduler.Scheduler
	// DomainRegions are the regions of the failure domains, for requests that are restricted to
	// regions.
	DomainRegions cataloger.DomainRegions
	// OnMisdirected is called when an endpoint answers RunMisdirected, with the
	// version of the weights that it reported, or zero.
	OnMisdirected func(endpoint endpointtracker.Endpoint, model string, version int64)
	// OnLeaving is called for an endpoint that says in an answer that it is leaving.
	OnLeaving func(endpoint endpointtracker.Endpoint)
	// OnLimit is called with what an endpoint says in its answer to a request of the requests
	// that it takes from all nodes together; sentAt is when the request was sent. OnLimit and
	// Limit are nil if endpoints name no limits.
	OnLimit func(request string, endpoint endpointtracker.Endpoint, limit throttler.Statement, sentAt time.Time)
	// OnFull is called when an endpoint refused a request; nil if that matters to no one.
	OnFull func(request string, endpoint endpointtracker.Endpoint)
	// OnLost is called when an endpoint refused a connection or broke one off, and OnAnswered when
	// it answered a request; nil if that matters to no one.
	OnLost     func(endpoint endpointtracker.Endpoint)
	OnAnswered func(endpoint endpointtracker.Endpoint)
	// IsRefused reports whether an error is that of a refused connection; it is set with OnLost.
	IsRefused func(err error) bool
	// Limit returns the limit that an endpoint has named, in requests a second; zero for none.
	Limit func(endpoint endpointtracker.Endpoint) float64
	// Nodes returns the number of nodes that are alive. They share the links of
	// the stores.
	Nodes func() int
	// EndpointClock returns the endpoints' clock at a time of this node, or false while it is
	// unknown. No parts are fetched then, since fetches could not be ended in time.
	EndpointClock func(t time.Time) (time.Time, bool)
	// FetchLimit returns how long endpoints may fetch parts after an attempt was placed, at most
	// MaxFetchTime.
	FetchLimit func() time.Duration
	// OnFetch is called before an attempt is placed that may fetch parts of a version, with the
	// time at which fetching has ended at the latest; nil if nobody frees parts.
	OnFetch func(model string, version int64, end time.Time)
	// HasContact reports whether this node had contact with the log or a peer
	// recently enough to know of new target weights.
	HasContact func() bool
	// KnownAge limits the use of weights that were replaced at a known time, counted from
	// then, and UnknownAge that of others, counted from when this node learned of it.
	KnownAge   WeightsLimits
	UnknownAge WeightsLimits
	Now        func() time.Time
}

// selection is the endpoint selection for one attempt.
type selection struct {
	*Placer
	*forwarder.Exchange
	forwarder.Progress
}

// Place implements forwarder.Placer.
func (p *Placer) Place(ctx context.Context, exchange *forwarder.Exchange, progress forwarder.Progress) (forwarder.Placement, error) {
	s := &selection{Placer: p, Exchange: exchange, Progress: progress}
	if err := s.checkEligible(); err != nil {
		return nil, err
	}
	replacedBefore := s.oldestRetained()
	s.awaitPermits(ctx)
	choice, err := p.Scheduler.Acquire(ctx, scheduler.Request{
		Service: s.Service, Rank: s.Rank(), Received: s.Received, Objective: s.Route.Objective,
		Deadline: s.EffectiveDeadline(), Urgent: s.isUrgent(), Begun: s.StreamStarted, Tokens: s.tokens(), Pick: s.pick,
		Hold: s.hold, Check: s.checkEvacuated, Group: s.group(),
	})
	if err != nil {
		return nil, err
	}
	return &placement{Placer: p, choice: choice, attempt: s.attempt(choice, replacedBefore), placedAt: s.Now()}, nil
}

// permitPatience is how long a request waits for the answer of a peer that issues permits for
// the endpoint that fits it best. Then it goes to another one.
const permitPatience = 40 * time.Millisecond

// awaitPermits asks for permits if the endpoint that fits the request best limits its
// requests, and waits for the answer.
func (s *selection) awaitPermits(ctx context.Context) {
	answered := s.Balancer.WantPermits(s.Now(), s.balancerRequest())
	if answered == nil {
		return
	}
	timer := time.NewTimer(permitPatience)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// oldestRetained returns the oldest version of the prompt's model whose parts are fetched from
// stores; zero without a prompt.
func (s *selection) oldestRetained() int64 {
	if s.Prompt == nil {
		return 0
	}
	return s.View().OldestRetained[s.Prompt.Model]
}

// attempt assembles what is sent to the chosen endpoint. replacedBefore is the retained version of
// an earlier view: nothing older is fetched from stores, so such a fetch need not be recorded.
func (s *selection) attempt(choice balancer.Choice, replacedBefore int64) forwarder.Attempt {
	// The end of fetches counts from, and is recorded, before the view is read: a newer view
	// may let stores free what this one fetches.
	fetchUntil := s.fetchUntil()
	fetchEnd, canFetch := s.EndpointClock(fetchUntil)
	if canFetch && s.Prompt != nil && s.OnFetch != nil && choice.Endpoint.Weights[s.Prompt.Model] >= replacedBefore {
		s.OnFetch(s.Prompt.Model, choice.Endpoint.Weights[s.Prompt.Model], fetchUntil)
	}
	view, now, endpoint := s.View(), s.Now(), choice.Endpoint
	attempt := forwarder.Attempt{
		Exchange: s.Exchange, Endpoint: endpoint, TimeLeft: s.EffectiveDeadline().Sub(now), LastEventID: s.Progress.LastEventID,
		OnBytes: func() { s.Balancer.RecordActivity(endpoint.ID, s.Now()) },
		PlacementReason: forwarder.PlacementReason{
			Cost: choice.Cost, Read: choice.Work.Read, Fetch: choice.Work.Fetch,
		},
	}
	if s.Limit != nil {
		attempt.PlacementReason.Limit = s.Limit(endpoint)
	}
	if s.Prompt == nil {
		return attempt
	}
	attempt.Priority = s.Rank()
	if view.Catalog != nil && s.Balancer.SharedHosts(now) {
		// Short and long prompts of teams of one rank would otherwise wait in one queue at the
		// engine, which is where they wait while hosts are shared.
		attempt.Priority = s.EnginePriority(view.Catalog.Ranks())
	}
	attempt.Weights = endpoint.Weights[s.Prompt.Model]
	if target, ok := view.replacedBy(endpoint, s.Prompt.Model); ok {
		attempt.PlacementReason.ReplacedBy = target.Version
		attempt.PlacementReason.ReplacedFor, _ = view.age(target)
		if s.Route.Stream {
			// Other answers arrive whole, so it is not known when they begin.
			attempt.BeginTimeout = view.beginTimeout(endpoint, s.Prompt.Model, s.ageLimits())
		}
	}
	attempt.Salt = s.salt(view, attempt.Weights)
	query := s.forEndpoint(s.query(view), view, endpoint)
	query.Nodes = s.Nodes()
	plan := s.Locator.Plan(now, query)
	attempt.Save = plan.Save
	if canFetch && !view.scopesSettling() {
		attempt.Fetch, attempt.FetchEnd = plan.Fetch, fetchEnd
	}
	return attempt
}

// fetchUntil returns when fetches of an attempt that is placed now must end.
func (s *selection) fetchUntil() time.Time {
	until := s.Now().Add(s.FetchLimit())
	if deadline := s.EffectiveDeadline(); !deadline.IsZero() && deadline.Before(until) {
		return deadline
	}
	return until
}

// checkEligible returns an error if no endpoint may run the request.
func (s *selection) checkEligible() error {
	if s.hasEligibleEndpoint() {
		return nil
	}
	if err := s.regionError(); err != nil {
		return err
	}
	switch {
	case s.Progress.Build != (resumer.Build{}):
		return errors.Wrapf(forwarder.ErrBuildGone, "build %s", s.Progress.Build.Version)
	default:
		return forwarder.ErrUnavailable
	}
}

// hasEligibleEndpoint reports whether any endpoint may run the request, now or
// when it has room.
func (s *selection) hasEligibleEndpoint() bool {
	view := s.View()
	excluded := s.excluded(view)
	for _, endpoint := range view.Endpoints[s.Service] {
		if !endpoint.Leaving && !excluded[endpoint.ID] {
			return true
		}
	}
	return false
}

// isUrgent reports whether the caller has a part of the answer already, also from an earlier
// request. Only some of the endpoints can go on with it, and to refuse it wastes what was done.
func (s *selection) isUrgent() bool {
	return s.StreamStarted || s.Progress.Build != (resumer.Build{})
}

// hold returns how long all endpoints that may run the request take no requests.
func (s *selection) hold() time.Duration {
	view, now := s.View(), s.Now()
	return s.Balancer.HoldLeft(now, balancer.Request{Endpoints: view.Endpoints[s.Service], Avoid: s.excluded(view)})
}

// pick chooses an endpoint that has room, using the current view.
func (s *selection) pick() (balancer.Choice, bool) {
	return s.Balancer.Pick(s.Now(), s.balancerRequest())
}

// balancerRequest returns the request as the Balancer sees it, by the current view.
func (s *selection) balancerRequest() balancer.Request {
	view := s.View()
	return balancer.Request{
		Endpoints: view.Endpoints[s.Service],
		Tokens:    s.tokens(),
		Capacity:  capacity(view.Catalog, s.Service),
		Urgent:    s.isUrgent(),
		Work:      s.work(view),
		Stale:     s.hasReplacedWeights(view),
		Tried:     s.Tried,
		Avoid:     s.excluded(view),
	}
}

// work returns a function that computes the tokens that an endpoint must prefill
// and fetch; nil for requests without a prompt.
func (s *selection) work(view View) func(endpointtracker.Endpoint) balancer.Work {
	if s.Prompt == nil {
		return nil
	}
	query, tokens := s.query(view), s.Prompt.Tokens()
	_, canFetch := s.EndpointClock(s.fetchUntil())
	// The salt and the usable stores depend on the version only.
	surveys := map[int64]locator.Survey{}
	return func(endpoint endpointtracker.Endpoint) balancer.Work {
		version := endpoint.Weights[s.Prompt.Model]
		survey, ok := surveys[version]
		if !ok {
			survey = s.Locator.Survey(s.forEndpoint(query, view, endpoint))
			surveys[version] = survey
		}
		cached, fetched := survey.Cached(endpoint.Address)
		if !canFetch || view.scopesSettling() {
			fetched = 0
		}
		return balancer.Work{Read: tokens - cached - fetched, Fetch: fetched}
	}
}

// query returns a locator query for the prompt's parts. forEndpoint adds the
// endpoint.
func (s *selection) query(view View) locator.Query {
	holders := s.allowedHolders(view)
	return locator.Query{Parts: s.Prompt.Parts, Engines: holders.engines, Stores: holders.stores}
}

// forEndpoint completes a query for one endpoint. Without stores in the query,
// parts are fetched from engines only. Stores are left out if the endpoint's
// version is not retained, because stores evict its parts, and while HasContact
// is false, because this node does not know which versions are retained.
func (s *selection) forEndpoint(query locator.Query, view View, endpoint endpointtracker.Endpoint) locator.Query {
	version := endpoint.Weights[s.Prompt.Model]
	query.Salt, query.Target, query.Domain = s.salt(view, version), endpoint.Address, endpoint.Domain
	if version < view.OldestRetained[s.Prompt.Model] || !s.HasContact() {
		query.Stores = nil
	}
	return query
}

// excluded returns the IDs of the endpoints that must not receive the request.
func (s *selection) excluded(view View) map[string]bool {
	excluded := map[string]bool{}
	if s.Prompt != nil {
		excluded = view.excludedByWeights(s.Service, s.Prompt.Model, s.ageLimits())
	}
	if s.Progress.Build != (resumer.Build{}) {
		for _, endpoint := range view.Endpoints[s.Service] {
			excluded[endpoint.ID] = excluded[endpoint.ID] || endpoint.Build != s.Progress.Build.Version
		}
	}
	view.excludeEvacuated(s.Service, excluded)
	for id := range s.outsideRegions(view) {
		excluded[id] = true
	}
	if len(excluded) == 0 {
		return s.Progress.Misdirected
	}
	for id, misdirected := range s.Progress.Misdirected {
		excluded[id] = excluded[id] || misdirected
	}
	return excluded
}

func (s *selection) hasReplacedWeights(view View) func(endpointtracker.Endpoint) bool {
	if s.Prompt == nil {
		return nil
	}
	return func(endpoint endpointtracker.Endpoint) bool {
		return endpoint.Weights[s.Prompt.Model] < view.NewestTarget(s.Prompt.Model)
	}
}

func (s *selection) ageLimits() ageLimits {
	return ageLimits{known: s.KnownAge, unknown: s.UnknownAge}
}

func (s *selection) tokens() int {
	if s.Prompt == nil {
		return 0
	}
	return s.Prompt.Tokens() + s.Prompt.MaxOutputTokens
}

// salt returns the cache salt for a version of the weights. The view may have a newer
// configuration than the one by which the request was accepted.
func (s *selection) salt(view View, version int64) string {
	return Salt(view.scope(s.Team), s.Prompt.Model, version)
}

// placement is an attempt that is counted in the Balancer. It implements
// forwarder.Placement.
type placement struct {
	*Placer
	choice   balancer.Choice
	attempt  forwarder.Attempt
	placedAt time.Time
}

// Attempt implements forwarder.Placement.
func (p *placement) Attempt() forwarder.Attempt { return p.attempt }

// OnAnswer implements forwarder.Placement. It updates the endpoint's state in the
// Balancer.
func (p *placement) OnAnswer(answer forwarder.Answer) {
	id, now := p.attempt.Endpoint.ID, p.Now()
	p.Balancer.RecordActivity(id, now)
	if answer.Load != nil {
		p.Balancer.UpdateEndpointLoad(id, now, *answer.Load)
	}
	if answer.Leaving {
		p.OnLeaving(p.attempt.Endpoint)
	}
	if p.OnAnswered != nil && answer.RunStatus != forwarder.RunMisdirected {
		p.OnAnswered(p.attempt.Endpoint)
	}
	if p.OnLimit != nil {
		p.OnLimit(p.attempt.ID, p.attempt.Endpoint, answer.Limit, p.placedAt)
	}
	if answer.Hold > 0 {
		p.Balancer.RecordHold(id, now, answer.Hold)
		time.AfterFunc(answer.Hold, p.Scheduler.StartWaiting)
	}
	switch answer.RunStatus {
	case forwarder.RunExecuted:
		p.Balancer.ResetBackoff(id)
	case forwarder.RunRefused:
		p.Balancer.RecordRefusal(id, now)
		if p.OnFull != nil {
			p.OnFull(p.attempt.ID, p.attempt.Endpoint)
		}
	case forwarder.RunMisdirected:
		model := ""
		if p.attempt.Prompt != nil {
			model = p.attempt.Prompt.Model
		}
		p.OnMisdirected(p.attempt.Endpoint, model, answer.Weights)
	}
}

// OnEvent implements forwarder.Placement.
func (p *placement) OnEvent(first bool) {
	p.Balancer.RecordActivity(p.attempt.Endpoint.ID, p.Now())
	if first {
		p.Balancer.RecordPrefillDone(&p.choice)
	}
}

// OnFailure implements forwarder.Placement. ErrBroken is not counted as a
// failure of the endpoint, which may work for other requests: the request is
// suspected instead, see retrier.Suspects. ErrNoPath says nothing of the endpoint.
func (p *placement) OnFailure(err error) {
	if errors.IsAny(err, forwarder.ErrNotSent, forwarder.ErrStalled) && !errors.Is(err, forwarder.ErrNoPath) {
		p.Balancer.RecordFailure(p.attempt.Endpoint.ID, p.Now())
	}
	if p.OnLost != nil && p.isLoss(err) {
		p.OnLost(p.attempt.Endpoint)
	}
}

// isLoss reports whether the process of an endpoint may have ended: it refused a connection or
// broke one off.
func (p *Placer) isLoss(err error) bool {
	broken := errors.Is(err, forwarder.ErrBroken) && !errors.Is(err, forwarder.ErrMalformed)
	return broken || p.IsRefused(err) && !errors.Is(err, forwarder.ErrNoPath)
}

// OnComplete implements forwarder.Placement.
func (p *placement) OnComplete() {}

// Release implements forwarder.Placement. It starts waiting requests, for which
// there may be room now.
func (p *placement) Release() {
	p.Balancer.Done(p.choice)
	p.Scheduler.StartWaiting()
}
