package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/leaser"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/upgrader"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// claimHold is how long one claim lets a node give orders.
	claimHold = 500 * time.Millisecond
	// claimMargin is added to the pause between two holders, for orders that are
	// on their way when a claim ends.
	claimMargin = 300 * time.Millisecond
	// renewBefore is how much of a claim must be left to begin an order.
	renewBefore = 200 * time.Millisecond
	// idlePeriod is the time between looks for endpoints that are behind, and
	// workPeriod the same while there are some.
	idlePeriod = 250 * time.Millisecond
	workPeriod = 120 * time.Millisecond
	// remindPeriod is the time between reminders of endpoints that load.
	remindPeriod = 400 * time.Millisecond
	// claimWait is how long one read of the log of claims waits for news.
	claimWait = 500 * time.Millisecond
)

// Outcome is an endpoint's answer to an order.
type Outcome int

// The values of Outcome.
const (
	// OutcomeAccepted: the order is being carried out, or holds already.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused: the order was refused.
	OutcomeRefused
	// OutcomeUnknown: there was no answer; it may be carried out later.
	OutcomeUnknown
)

// ErrConflict is returned for a claim whose log has another end than expected.
var ErrConflict = errors.New("log does not end at the expected offset")

// ClaimLog is the log of claims.
type ClaimLog interface {
	// Claims returns the claims from an offset on and the log's end, waiting at
	// most wait for the first. For claims that are no longer kept it returns
	// ErrExpired with the first offset that is.
	Claims(ctx context.Context, from int64, wait time.Duration) ([]leaser.Claim, int64, error)
	// Claim appends a claim at an offset. It returns ErrConflict.
	Claim(ctx context.Context, at int64, holder string) (int64, error)
}

// Endpoints gives orders to endpoints and asks for their reports.
type Endpoints interface {
	Report(ctx context.Context, endpoint tracker.Endpoint) (upgrader.Report, error)
	Load(ctx context.Context, order upgrader.Order, holder string, token int64) Outcome
}

// Upgrades brings endpoints to the named weights. One node at a time gives
// orders. Its fields are set before Run.
type Upgrades struct {
	Node      *Relayer
	Log       ClaimLog
	Endpoints Endpoints
	// Self names this host.
	Self string
	// Unload is told of each endpoint that is to get no new requests for a while.
	Unload func(endpoint tracker.Endpoint)
	// Loaded is told of each endpoint that has the weights it was ordered to load.
	Loaded func(endpoint tracker.Endpoint, model string, version int64)
	// Apart is the pause between the orders of two holders.
	Apart  time.Duration
	Logger zerolog.Logger

	lease  leaser.Lease
	states map[string]upgrader.State
	failed bool
	// reminded is when peers were last told which endpoints load.
	reminded time.Duration
}

// Run works until ctx ends.
func (u *Upgrades) Run(ctx context.Context) {
	if _, ok := SinceBoot(); !ok {
		u.Logger.Error().Str("event", "orders off").Msg("host has no clock that runs on while it is suspended; this node gives no orders")
		return
	}
	u.lease = leaser.Lease{Self: u.Self, Hold: claimHold, Apart: u.Apart + claimMargin}
	u.states = map[string]upgrader.State{}
	for ctx.Err() == nil {
		period := idlePeriod
		if u.behind() {
			u.note(ctx, u.work(ctx))
			period = workPeriod
		}
		_ = retrier.Sleep(ctx, period)
	}
}

// note logs the loss and the return of the log of claims.
func (u *Upgrades) note(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == u.failed {
		return
	}
	u.failed = err != nil
	if u.failed {
		u.Logger.Warn().Str("event", "dependency lost").Str("feed", "claims").Err(err).Send()
		return
	}
	u.Logger.Info().Str("event", "dependency regained").Str("feed", "claims").Send()
}

// behind takes in the node's view and reports whether an endpoint needs orders.
func (u *Upgrades) behind() bool {
	view, named := u.Node.View(), u.Node.Named()
	found := false
	listed := map[string]bool{}
	for _, endpoints := range view.Endpoints {
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			state, ok := u.states[endpoint.ID]
			if !ok || !state.Endpoint.Same(endpoint) {
				state = upgrader.State{}
			}
			state.Endpoint = endpoint
			if _, _, ok := upgrader.Behind(endpoint.Weights, named); !ok {
				u.loaded(state)
				state = upgrader.State{Endpoint: endpoint}
			} else if !endpoint.Leaving {
				found = true
			}
			u.states[endpoint.ID] = state
		}
	}
	for id := range u.states {
		if !listed[id] {
			delete(u.states, id)
		}
	}
	return found
}

// loaded tells the peers of an endpoint that has loaded what this node ordered.
func (u *Upgrades) loaded(state upgrader.State) {
	if state.Ordered == 0 {
		return
	}
	for model, version := range state.Endpoint.Weights {
		u.Loaded(state.Endpoint, model, version)
	}
}

func elapsed() time.Duration {
	now, _ := SinceBoot()
	return now
}

// work takes one step: it reads the claims, claims if it may, and gives orders.
func (u *Upgrades) work(ctx context.Context) error {
	if !u.lease.Known() {
		if err := u.observe(ctx, 0); err != nil {
			return err
		}
	}
	if wait := u.lease.Wait(elapsed()); wait > 0 {
		u.forget()
		return u.observe(ctx, min(wait, claimWait))
	}
	u.ask(ctx)
	return u.order(ctx)
}

// forget drops what was done under an earlier claim: another node acts now.
func (u *Upgrades) forget() {
	for id, state := range u.states {
		u.states[id] = upgrader.State{Endpoint: state.Endpoint}
	}
}

func (u *Upgrades) observe(ctx context.Context, wait time.Duration) error {
	claims, end, err := u.Log.Claims(ctx, u.lease.End(), wait)
	if errors.Is(err, ErrExpired) {
		// Claims that the log has dropped are older than any hold.
		claims, end, err = u.Log.Claims(ctx, end, 0)
	}
	if err != nil {
		return err
	}
	u.lease.Observe(elapsed(), claims, end)
	return nil
}

// renew makes sure that enough of a claim is left to give an order. Without
// error the claim may still be another's.
func (u *Upgrades) renew(ctx context.Context) error {
	before := elapsed()
	if u.lease.Valid(before+renewBefore) || !u.lease.Claimable(before) {
		return nil
	}
	offset, err := u.Log.Claim(ctx, u.lease.End(), u.Self)
	if errors.Is(err, ErrConflict) {
		u.lease.Conflict()
		return u.observe(ctx, 0)
	}
	if err != nil {
		return err
	}
	u.lease.Claimed(before, offset)
	u.Logger.Info().Str("event", "claim").Int64("token", u.lease.Token()).Send()
	return nil
}

func (u *Upgrades) list() []upgrader.State {
	states := make([]upgrader.State, 0, len(u.states))
	for _, state := range u.states {
		states = append(states, state)
	}
	return states
}

// ask gets the reports that the next decision needs.
func (u *Upgrades) ask(ctx context.Context) {
	named := u.Node.Named()
	type reply struct {
		id     string
		report upgrader.Report
		asked  time.Duration
		err    error
	}
	asked := upgrader.Busy(elapsed(), u.list(), named)
	u.remind(asked)
	replies := make(chan reply, len(asked))
	for _, endpoint := range asked {
		go func() {
			before := elapsed()
			report, err := u.Endpoints.Report(ctx, endpoint)
			replies <- reply{id: endpoint.ID, report: report, asked: before, err: err}
		}()
	}
	for range asked {
		got := <-replies
		if got.err != nil {
			u.Logger.Warn().Str("event", "report").Str("endpoint", got.id).Err(got.err).Send()
			continue
		}
		state := u.states[got.id]
		state.Report, state.Reported = &got.report, got.asked
		u.states[got.id] = state
		for model, version := range got.report.Weights {
			if version > state.Endpoint.Weights[model] {
				u.Node.Reweigh(state.Endpoint, model, version)
			}
		}
	}
}

// remind repeats to the peers which endpoints load: without it they soon use
// them again.
func (u *Upgrades) remind(busy []tracker.Endpoint) {
	now := elapsed()
	if now-u.reminded < remindPeriod {
		return
	}
	u.reminded = now
	for _, endpoint := range busy {
		u.Unload(endpoint)
	}
}

// order drains endpoints and gives the orders that are due, each only while the
// claim holds.
func (u *Upgrades) order(ctx context.Context) error {
	plan := upgrader.Next(elapsed(), u.list(), u.Node.Named())
	if len(plan.Drain)+len(plan.Orders) == 0 {
		return nil
	}
	if err := u.renew(ctx); err != nil {
		return err
	}
	if !u.lease.Valid(elapsed()) {
		return nil
	}
	for _, endpoint := range plan.Drain {
		state := u.states[endpoint.ID]
		state.Drained = elapsed()
		u.states[endpoint.ID] = state
		u.Unload(endpoint)
		u.Logger.Info().Str("event", "drain for weights").Str("endpoint", endpoint.ID).Send()
	}
	for _, order := range plan.Orders {
		if err := u.give(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

func (u *Upgrades) give(ctx context.Context, order upgrader.Order) error {
	if err := u.renew(ctx); err != nil {
		return err
	}
	now := elapsed()
	if !u.lease.Valid(now) {
		return nil
	}
	outcome := u.Endpoints.Load(ctx, order, u.Self, u.lease.Token())
	u.Logger.Info().Str("event", "order").Str("endpoint", order.Endpoint.ID).Str("model", order.Model).
		Int64("version", order.Version).Int64("sequence", order.Sequence).Int64("token", u.lease.Token()).Int("outcome", int(outcome)).Send()
	state := u.states[order.Endpoint.ID]
	state.Report = nil
	if outcome != OutcomeRefused {
		state.Ordered = now
		u.Unload(order.Endpoint)
	}
	u.states[order.Endpoint.ID] = state
	return nil
}
