package exchanger

import (
	"context"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// attempt sends the request to one endpoint and delivers its answer.
func (r *run) attempt(ctx context.Context) error {
	attempt, err := r.prepare(ctx)
	if err != nil {
		return err
	}
	defer r.release()
	r.sends++
	r.tried[attempt.Endpoint.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := r.watch(cancel)
	defer stall.Stop()
	answer, err := r.Sender.Send(ctx, attempt)
	if err != nil {
		return r.failed(ctx, attempt, err)
	}
	defer answer.Close()
	stall.Reset(r.pause())
	r.learn(attempt, answer)
	return r.deliver(ctx, attempt, answer, stall)
}

// prepare waits for an endpoint and works out what goes with the request.
func (r *run) prepare(ctx context.Context) (Attempt, error) {
	if r.Limit().Sub(r.Now()) < minLeft {
		return Attempt{}, ErrTimeout
	}
	if !r.possible() {
		return Attempt{}, ErrUnavailable
	}
	asked := r.Now()
	choice, err := r.Scheduler.Acquire(ctx, scheduler.Request{
		Service: r.Service, Rank: r.Rank(), Received: r.Received, Objective: r.Route.Objective,
		Deadline: r.Limit(), Urgent: r.begun, Tokens: r.tokens(), Pick: r.pick,
	})
	if err != nil {
		return Attempt{}, r.ended(ctx, err)
	}
	r.choice, r.waited = choice, r.waited+r.Now().Sub(asked)
	view, now, endpoint := r.View(), r.Now(), choice.Endpoint
	attempt := Attempt{Exchange: r.Exchange, Endpoint: endpoint, Left: r.Limit().Sub(now), After: r.after}
	if r.Prompt != nil {
		attempt.Weights = endpoint.Weights[r.Prompt.Model]
		attempt.Salt = r.salt(attempt.Weights)
		plan := r.Locator.Plan(now, r.at(r.query(view), view, endpoint))
		attempt.Fetch, attempt.Save = plan.Fetch, plan.Save
		attempt.FetchWithin = time.Duration(fetchShare * float64(r.Route.Objective))
	}
	return attempt, nil
}

// release ends the request's count on its endpoint, which may make room.
func (r *run) release() {
	r.Balancer.Done(r.choice)
	r.Scheduler.Pump()
}

// possible reports whether any endpoint may get the request, now or later.
func (r *run) possible() bool {
	view := r.View()
	banned := r.banned(r.Now(), view)
	for _, endpoint := range view.Endpoints[r.Service] {
		if !endpoint.Leaving && !banned[endpoint.ID] {
			return true
		}
	}
	return false
}

// pick chooses an endpoint with room by the newest view.
func (r *run) pick() (balancer.Choice, bool) {
	view, now := r.View(), r.Now()
	return r.Balancer.Pick(now, balancer.Request{
		Endpoints: view.Endpoints[r.Service],
		Tokens:    r.tokens(),
		Capacity:  capacity(view.Catalog, r.Service),
		Urgent:    r.begun,
		Work:      r.work(view),
		Stale:     r.stale(view),
		Tried:     r.tried,
		Avoid:     r.banned(now, view),
	})
}

// work tells what each endpoint must do for the prompt.
func (r *run) work(view View) func(tracker.Endpoint) balancer.Work {
	if r.Prompt == nil {
		return nil
	}
	query := r.query(view)
	return func(endpoint tracker.Endpoint) balancer.Work {
		held, fetched := r.Locator.Cached(r.at(query, view, endpoint))
		return balancer.Work{Read: r.Prompt.Tokens() - held - fetched, Fetch: fetched}
	}
}

// query asks for the prompt's parts; at says for which endpoint.
func (r *run) query(view View) locator.Query {
	return locator.Query{Parts: r.Prompt.Parts, Engines: engines(view.Endpoints[r.Service]), Stores: stores(view.Catalog)}
}

// at completes a query for one endpoint. Parts of versions that are not retained
// are about to be freed in the stores, and any may be while this node is out of
// touch; they are fetched from engines only.
func (r *run) at(query locator.Query, view View, endpoint tracker.Endpoint) locator.Query {
	version := endpoint.Weights[r.Prompt.Model]
	query.Salt, query.At, query.Domain = r.salt(version), endpoint.Address, endpoint.Domain
	if version < view.Retained[r.Prompt.Model] || !r.InTouch() {
		query.Stores = nil
	}
	return query
}

// banned returns the endpoints that must not get the request.
func (r *run) banned(now time.Time, view View) map[string]bool {
	if r.Prompt == nil {
		return r.avoid
	}
	banned := view.outdated(now, r.Service, r.Prompt.Model, r.StaleLimit)
	if len(banned) == 0 {
		return r.avoid
	}
	for id := range r.avoid {
		banned[id] = true
	}
	return banned
}

func (r *run) stale(view View) func(tracker.Endpoint) bool {
	if r.Prompt == nil {
		return nil
	}
	return func(endpoint tracker.Endpoint) bool {
		return endpoint.Weights[r.Prompt.Model] < view.Named(r.Prompt.Model)
	}
}

func (r *run) tokens() int {
	if r.Prompt == nil {
		return 0
	}
	return r.Prompt.Tokens() + r.Prompt.TokensOut
}

// salt separates cached parts by model, weights and, for isolated teams, team.
func (r *run) salt(version int64) string {
	wall := ""
	if r.Team.Isolated {
		wall = r.Team.Name
	}
	return Salt(wall, r.Prompt.Model, version)
}
