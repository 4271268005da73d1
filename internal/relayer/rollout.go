package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/leaser"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/upgrader"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// leaseDuration is how long a claim entitles its holder to issue orders.
	leaseDuration = 500 * time.Millisecond
	// handoverMargin is added to the pause between two holders, for orders that are
	// still in transit when a lease ends.
	handoverMargin = 300 * time.Millisecond
	// minLeaseLeft is how much of the lease must be left to issue an order.
	minLeaseLeft = 200 * time.Millisecond
	// idlePeriod is the time between checks for endpoints without the target
	// versions, and activePeriod the same while there are some.
	idlePeriod   = 250 * time.Millisecond
	activePeriod = 120 * time.Millisecond
	// reannouncePeriod is the time between announcements of the endpoints that drain for
	// or load new weights.
	reannouncePeriod = 400 * time.Millisecond
	// claimReadWait is how long one read of the claim log waits for a new claim.
	claimReadWait = 500 * time.Millisecond
	// maxClaimRestarts is the number of times that one reading of the claims starts anew
	// because the log was restored or has dropped claims.
	maxClaimRestarts = 2
)

// Outcome is the result of an order to an endpoint.
type Outcome int

// The values of Outcome.
const (
	// OutcomeAccepted: the endpoint carries out the order, or already has the weights.
	OutcomeAccepted Outcome = iota
	// OutcomeRefused: the endpoint refused the order.
	OutcomeRefused
	// OutcomeUnknown: there was no response; the endpoint may have accepted the order or
	// may do so later.
	OutcomeUnknown
)

// ErrConflict is returned for a claim that was not appended because the log does not
// end at the expected offset.
var ErrConflict = errors.New("log does not end at the expected offset")

// ClaimLog is the log through which nodes acquire the lease: a claim is appended
// only if the log ends at the offset that the node expects.
type ClaimLog interface {
	// Claims returns the claims from a position on and the log's end. It waits at most
	// wait for the first claim. If claims from there on were dropped, it returns
	// ErrDropped and the oldest position that the log still has; if the log is in another
	// era, ErrRestored and the position of that era's start.
	Claims(ctx context.Context, from Position, wait time.Duration) ([]leaser.Claim, Position, error)
	// Claim appends a claim at an offset and returns its position, whose era may differ
	// from that of at. It returns ErrConflict if the log does not end at the offset.
	Claim(ctx context.Context, at Position, holder string) (Position, error)
}

// Endpoints is the client of the endpoints' control calls: Report queries an
// endpoint's report of itself, and OrderWeights issues an order with the fencing token
// of the lease holder.
type Endpoints interface {
	Report(ctx context.Context, endpoint endpointtracker.Endpoint) (upgrader.Report, error)
	OrderWeights(ctx context.Context, order upgrader.Order, holder string, token int64) Outcome
}

// Rollout orders endpoints to load the target versions of their models. Only the
// node that holds the lease issues orders. Its exported fields are set before Run.
type Rollout struct {
	Node      *Relayer
	Log       ClaimLog
	Endpoints Endpoints
	// Active reports whether this node may claim the lease.
	Active func() bool
	// Self identifies this node in claims; it must be unique.
	Self string
	// AnnounceLoading is called for each endpoint that is to get no new requests because
	// it drains for or loads new weights.
	AnnounceLoading func(endpoint endpointtracker.Endpoint)
	// OnLoaded is called for each model of an endpoint that has the target versions
	// after this node ordered it to load them.
	OnLoaded func(endpoint endpointtracker.Endpoint, model string, version int64)
	// HandoverDelay is the minimum pause between the orders of two lease holders.
	HandoverDelay time.Duration
	Logger        zerolog.Logger

	lease  leaser.Lease
	states map[string]upgrader.State
	// logFailing is set while calls to the claim log fail.
	logFailing bool
	// lastAnnounced is when the draining and loading endpoints were last announced to
	// peers.
	lastAnnounced time.Duration
}

// Run issues orders until ctx ends. It returns at once if the host has no clock that
// counts suspended time, since the node then can't tell whether its lease is valid.
func (r *Rollout) Run(ctx context.Context) {
	if _, ok := SinceBoot(); !ok {
		r.Logger.Error().Str("event", "orders off").Msg("host has no clock that counts suspended time; this node can't hold the lease and issues no orders")
		return
	}
	r.lease = leaser.Lease{Self: r.Self, Term: leaseDuration, HandoverDelay: r.HandoverDelay + handoverMargin}
	r.states = map[string]upgrader.State{}
	for ctx.Err() == nil {
		period := idlePeriod
		if !r.Active() {
			_ = retrier.Sleep(ctx, period)
			continue
		}
		if !r.lease.Known() {
			// The wait for an unknown holder counts from the first reading.
			r.logOutage(ctx, r.readClaims(ctx, 0))
		}
		if r.updateStates() {
			r.logOutage(ctx, r.step(ctx))
			period = activePeriod
		}
		_ = retrier.Sleep(ctx, period)
	}
}

// logOutage logs when calls to the claim log start to fail and when they succeed again.
func (r *Rollout) logOutage(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == r.logFailing {
		return
	}
	r.logFailing = err != nil
	if r.logFailing {
		r.Logger.Warn().Str("event", "dependency lost").Str("feed", "claims").Err(err).Send()
		return
	}
	r.Logger.Info().Str("event", "dependency regained").Str("feed", "claims").Send()
}

// updateStates updates the states from the node's view. It reports whether an
// endpoint that is not leaving lacks a target version.
func (r *Rollout) updateStates() bool {
	view, targets := r.Node.View(), r.Node.NewestTarget()
	behind := false
	listed := map[string]bool{}
	for _, endpoints := range view.Endpoints {
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			state, ok := r.states[endpoint.ID]
			if !ok || !state.Endpoint.SameProcess(endpoint) {
				state = upgrader.State{}
			}
			state.Endpoint = endpoint
			if _, _, ok := upgrader.PendingUpgrade(endpoint.Weights, targets); !ok {
				r.notifyLoaded(state)
				state = upgrader.State{Endpoint: endpoint}
			} else if !endpoint.Leaving {
				behind = true
			}
			r.states[endpoint.ID] = state
		}
	}
	for id := range r.states {
		if !listed[id] {
			delete(r.states, id)
		}
	}
	return behind
}

// notifyLoaded calls OnLoaded for an endpoint that has the target versions, if this
// node ordered it to load them.
func (r *Rollout) notifyLoaded(state upgrader.State) {
	if state.OrderedAt == 0 {
		return
	}
	for model, version := range state.Endpoint.Weights {
		r.OnLoaded(state.Endpoint, model, version)
	}
}

func uptime() time.Duration {
	now, _ := SinceBoot()
	return now
}

// step reads the claim log while another node may hold the lease. Otherwise it
// queries reports and issues the orders that are due.
func (r *Rollout) step(ctx context.Context) error {
	if !r.lease.Known() {
		return nil
	}
	if wait := r.lease.Wait(uptime()); wait > 0 {
		r.resetStates()
		return r.readClaims(ctx, min(wait, claimReadWait))
	}
	r.queryReports(ctx)
	return r.order(ctx)
}

// resetStates drops the progress of earlier orders, since another node issues orders now.
func (r *Rollout) resetStates() {
	for id, state := range r.states {
		r.states[id] = upgrader.State{Endpoint: state.Endpoint}
	}
}

func (r *Rollout) readClaims(ctx context.Context, wait time.Duration) error {
	claims, end, err := r.Log.Claims(ctx, r.lease.Next(), wait)
	for range maxClaimRestarts {
		if !errors.IsAny(err, ErrDropped, ErrRestored) {
			break
		}
		// Dropped claims are too old to be valid. end is here the oldest position that the
		// log still has.
		claims, end, err = r.Log.Claims(ctx, end, 0)
	}
	if err != nil {
		return err
	}
	if r.lease.Known() && end.Era != r.lease.Next().Era {
		r.Logger.Warn().Str("event", "lease lost").Int64("era", end.Era).Int64("previous era", r.lease.Next().Era).
			Msg("log was restored from a copy; the holder of the lease is unknown")
	}
	r.lease.Observe(uptime(), claims, end)
	return nil
}

// ensureLease acquires or renews the lease unless enough of it is left to issue an
// order. A nil error does not mean that this node holds the lease: callers check
// lease.Valid.
func (r *Rollout) ensureLease(ctx context.Context) error {
	started := uptime()
	if r.lease.Valid(started+minLeaseLeft) || !r.lease.Claimable(started) {
		return nil
	}
	position, err := r.Log.Claim(ctx, r.lease.Next(), r.Self)
	if errors.Is(err, ErrConflict) {
		r.lease.Conflict()
		return r.readClaims(ctx, 0)
	}
	if err != nil {
		return err
	}
	r.lease.Claimed(started, position)
	r.Logger.Info().Str("event", "claim").Int64("era", position.Era).Int64("offset", position.Offset).Bool("valid", r.lease.Valid(uptime())).Send()
	return nil
}

func (r *Rollout) stateList() []upgrader.State {
	states := make([]upgrader.State, 0, len(r.states))
	for _, state := range r.states {
		if len(state.Endpoint.Weights) > 0 {
			states = append(states, state)
		}
	}
	return states
}

// queryReports queries the reports of the endpoints that drain or load, concurrently,
// and updates the node's versions from them.
func (r *Rollout) queryReports(ctx context.Context) {
	targets := r.Node.NewestTarget()
	type reply struct {
		id      string
		report  upgrader.Report
		queried time.Duration
		err     error
	}
	queried := upgrader.Upgrading(uptime(), r.stateList(), targets)
	r.reannounceLoading(queried)
	replies := make(chan reply, len(queried))
	for _, endpoint := range queried {
		go func() {
			started := uptime()
			report, err := r.Endpoints.Report(ctx, endpoint)
			replies <- reply{id: endpoint.ID, report: report, queried: started, err: err}
		}()
	}
	for range queried {
		got := <-replies
		if got.err != nil {
			r.Logger.Warn().Str("event", "report").Str("endpoint", got.id).Err(got.err).Send()
			continue
		}
		state := r.states[got.id]
		state.Report, state.ReportedAt = &got.report, got.queried
		r.states[got.id] = state
		for model, version := range got.report.Weights {
			if version > state.Endpoint.Weights[model] {
				r.Node.UpdateWeights(state.Endpoint, model, version)
			}
		}
	}
}

// reannounceLoading announces the draining and loading endpoints again. Peers would
// otherwise soon send them requests again.
func (r *Rollout) reannounceLoading(upgrading []endpointtracker.Endpoint) {
	now := uptime()
	if now-r.lastAnnounced < reannouncePeriod {
		return
	}
	r.lastAnnounced = now
	for _, endpoint := range upgrading {
		r.AnnounceLoading(endpoint)
	}
}

// order drains endpoints and issues the orders that are due, each only while the
// lease is valid.
func (r *Rollout) order(ctx context.Context) error {
	plan := upgrader.Next(uptime(), r.stateList(), r.Node.NewestTarget())
	if len(plan.Drain)+len(plan.Orders) == 0 {
		return nil
	}
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	if !r.lease.Valid(uptime()) {
		return nil
	}
	for _, endpoint := range plan.Drain {
		state := r.states[endpoint.ID]
		state.DrainStartedAt = uptime()
		r.states[endpoint.ID] = state
		r.AnnounceLoading(endpoint)
		r.Logger.Info().Str("event", "drain for weights").Str("endpoint", endpoint.ID).Send()
	}
	for _, order := range plan.Orders {
		if err := r.issueOrder(ctx, order); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rollout) issueOrder(ctx context.Context, order upgrader.Order) error {
	if err := r.ensureLease(ctx); err != nil {
		return err
	}
	now := uptime()
	if !r.lease.Valid(now) {
		return nil
	}
	outcome := r.Endpoints.OrderWeights(ctx, order, r.Self, r.lease.Token())
	r.Logger.Info().Str("event", "order").Str("endpoint", order.Endpoint.ID).Str("model", order.Model).
		Int64("version", order.Version).Int64("sequence", order.Sequence).Int64("token", r.lease.Token()).Int("outcome", int(outcome)).Send()
	state := r.states[order.Endpoint.ID]
	state.Report = nil
	if outcome != OutcomeRefused {
		state.OrderedAt = now
		r.AnnounceLoading(order.Endpoint)
	}
	r.states[order.Endpoint.ID] = state
	return nil
}
