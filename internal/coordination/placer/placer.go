// Package placer chooses endpoints on a site whose endpoints cache parts of
// prompts: by their load, by what they must read or fetch for a prompt, and by
// the weights that they have. What finds no room waits in the scheduler.
//
// It answers prompts that return after long gaps while weights change and
// endpoints come and go.
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
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// fetchShare is the part of the objective within which a fetch must end; then
// reading the prompt still leaves a chance to meet it.
const fetchShare = 0.45

// Placer implements exchanger.Placer. Its fields are set before use.
type Placer struct {
	View     func() View
	Balancer *balancer.Balancer
	Locator  *locator.Locator
	// Scheduler decides what waits and what is turned away.
	Scheduler *scheduler.Scheduler
	// Misdirected is told the version that an endpoint has when it was not the
	// expected one, or zero.
	Misdirected func(endpoint tracker.Endpoint, model string, version int64)
	// Nodes returns the number of nodes that are alive.
	Nodes func() int
	// InTouch reports whether the node would have heard of new weights by now.
	InTouch func() bool
	// StaleLimit is how long after new weights were named requests may begin on
	// the old ones.
	StaleLimit time.Duration
	Now        func() time.Time
}

// search is the choice for one attempt.
type search struct {
	*Placer
	*exchanger.Exchange
	exchanger.Progress
}

// Place implements exchanger.Placer.
func (p *Placer) Place(ctx context.Context, exchange *exchanger.Exchange, progress exchanger.Progress) (exchanger.Placement, error) {
	s := &search{Placer: p, Exchange: exchange, Progress: progress}
	if !s.possible() {
		return nil, exchanger.ErrUnavailable
	}
	choice, err := p.Scheduler.Acquire(ctx, scheduler.Request{
		Service: s.Service, Rank: s.Rank(), Received: s.Received, Objective: s.Route.Objective,
		Deadline: s.EffectiveDeadline(), Urgent: s.StreamStarted, Tokens: s.tokens(), Pick: s.pick,
	})
	if err != nil {
		return nil, err
	}
	return &placement{Placer: p, choice: choice, attempt: s.attempt(choice)}, nil
}

// attempt works out what goes with the request.
func (s *search) attempt(choice balancer.Choice) exchanger.Attempt {
	view, now, endpoint := s.View(), s.Now(), choice.Endpoint
	attempt := exchanger.Attempt{
		Exchange: s.Exchange, Endpoint: endpoint, Left: s.EffectiveDeadline().Sub(now), After: s.Progress.After,
		PlacementReason: exchanger.PlacementReason{Cost: choice.Cost, Read: choice.Work.Read, Fetch: choice.Work.Fetch},
	}
	if s.Prompt == nil {
		return attempt
	}
	attempt.Weights = endpoint.Weights[s.Prompt.Model]
	attempt.Salt = s.salt(attempt.Weights)
	query := s.at(s.query(view), view, endpoint)
	query.Nodes = s.Nodes()
	plan := s.Locator.Plan(now, query)
	attempt.Fetch, attempt.Save = plan.Fetch, plan.Save
	attempt.FetchWithin = time.Duration(fetchShare * float64(s.Route.Objective))
	return attempt
}

// possible reports whether any endpoint may get the request, now or later.
func (s *search) possible() bool {
	view := s.View()
	banned := s.banned(s.Now(), view)
	for _, endpoint := range view.Endpoints[s.Service] {
		if !endpoint.Leaving && !banned[endpoint.ID] {
			return true
		}
	}
	return false
}

// pick chooses an endpoint with room by the newest view.
func (s *search) pick() (balancer.Choice, bool) {
	view, now := s.View(), s.Now()
	return s.Balancer.Pick(now, balancer.Request{
		Endpoints: view.Endpoints[s.Service],
		Tokens:    s.tokens(),
		Capacity:  capacity(view.Catalog, s.Service),
		Urgent:    s.StreamStarted,
		Work:      s.work(view),
		Stale:     s.stale(view),
		Tried:     s.Tried,
		Avoid:     s.banned(now, view),
	})
}

// work tells what each endpoint must do for the prompt.
func (s *search) work(view View) func(tracker.Endpoint) balancer.Work {
	if s.Prompt == nil {
		return nil
	}
	query := s.query(view)
	return func(endpoint tracker.Endpoint) balancer.Work {
		held, fetched := s.Locator.Cached(s.at(query, view, endpoint))
		return balancer.Work{Read: s.Prompt.Tokens() - held - fetched, Fetch: fetched}
	}
}

// query asks for the prompt's parts; at says for which endpoint.
func (s *search) query(view View) locator.Query {
	return locator.Query{
		Parts: s.Prompt.Parts, Engines: engines(view.Endpoints[s.Service]), Stores: stores(view.Catalog, s.Service),
	}
}

// at completes a query for one endpoint. Parts of versions that are not retained
// are about to be freed in the stores, and any may be while this node is out of
// touch; they are fetched from engines only.
func (s *search) at(query locator.Query, view View, endpoint tracker.Endpoint) locator.Query {
	version := endpoint.Weights[s.Prompt.Model]
	query.Salt, query.At, query.Domain = s.salt(version), endpoint.Address, endpoint.Domain
	if version < view.Retained[s.Prompt.Model] || !s.InTouch() {
		query.Stores = nil
	}
	return query
}

// banned returns the endpoints that must not get the request.
func (s *search) banned(now time.Time, view View) map[string]bool {
	if s.Prompt == nil {
		return s.Progress.Misdirected
	}
	banned := view.outdated(now, s.Service, s.Prompt.Model, s.StaleLimit)
	if len(banned) == 0 {
		return s.Progress.Misdirected
	}
	for id, misdirected := range s.Progress.Misdirected {
		banned[id] = banned[id] || misdirected
	}
	return banned
}

func (s *search) stale(view View) func(tracker.Endpoint) bool {
	if s.Prompt == nil {
		return nil
	}
	return func(endpoint tracker.Endpoint) bool {
		return endpoint.Weights[s.Prompt.Model] < view.Named(s.Prompt.Model)
	}
}

func (s *search) tokens() int {
	if s.Prompt == nil {
		return 0
	}
	return s.Prompt.Tokens() + s.Prompt.TokensOut
}

// salt separates cached parts by model, weights and, for isolated teams, team.
func (s *search) salt(version int64) string {
	wall := ""
	if s.Team.Isolated {
		wall = s.Team.Name
	}
	return Salt(wall, s.Prompt.Model, version)
}

// placement implements exchanger.Placement.
type placement struct {
	*Placer
	choice  balancer.Choice
	attempt exchanger.Attempt
}

// Attempt implements exchanger.Placement.
func (p *placement) Attempt() exchanger.Attempt { return p.attempt }

// OnAnswer implements exchanger.Placement.
func (p *placement) OnAnswer(answer exchanger.Answer) {
	id, now := p.attempt.Endpoint.ID, p.Now()
	p.Balancer.Heard(id, now)
	if answer.Load != nil {
		p.Balancer.Tell(id, now, *answer.Load)
	}
	switch answer.Run {
	case exchanger.RunDone:
		p.Balancer.Recover(id)
	case exchanger.RunRefused:
		p.Balancer.Full(id, now)
	case exchanger.RunMisdirected:
		model := ""
		if p.attempt.Prompt != nil {
			model = p.attempt.Prompt.Model
		}
		p.Misdirected(p.attempt.Endpoint, model, answer.Weights)
	}
}

// OnEvent implements exchanger.Placement.
func (p *placement) OnEvent(first bool) {
	p.Balancer.Heard(p.attempt.Endpoint.ID, p.Now())
	if first {
		p.Balancer.Begun(&p.choice)
	}
}

// OnFailure implements exchanger.Placement. An endpoint that broke one answer off
// may be well otherwise.
func (p *placement) OnFailure(err error) {
	if errors.IsAny(err, exchanger.ErrNotSent, exchanger.ErrStalled) {
		p.Balancer.Fail(p.attempt.Endpoint.ID, p.Now())
	}
}

// OnComplete implements exchanger.Placement.
func (p *placement) OnComplete() {}

// Release implements exchanger.Placement. It may make room for a waiting request.
func (p *placement) Release() {
	p.Balancer.Done(p.choice)
	p.Scheduler.Pump()
}
