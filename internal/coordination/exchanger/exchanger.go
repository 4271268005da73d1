package exchanger

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	// maxSends bounds the endpoints that one request is offered to, refusals
	// included.
	maxSends = 5
	// minLeft is the least time worth giving to an endpoint.
	minLeft = 10 * time.Millisecond
	// fetchShare is the part of the objective within which a fetch must end; then
	// reading the prompt still leaves a chance to meet it.
	fetchShare = 0.45
	// retryAfter is when a refused caller may come back: by then an endpoint
	// that was full has finished some of its requests.
	retryAfter = 300 * time.Millisecond
)

// View is what the run of a request sees of the site.
type View struct {
	Catalog   *cataloger.Catalog
	Endpoints map[string][]tracker.Endpoint
	// Namings holds the named versions of each model, the newest last.
	Namings map[string][]Naming
	// Retained holds the oldest version of each model whose parts are kept in
	// stores.
	Retained map[string]int64
}

// Naming is a version of a model's weights that the endpoints are to load.
type Naming struct {
	Version int64
	// At is when it was named; zero if that is unknown.
	At time.Time
}

// Named returns the newest named version of a model; zero for none.
func (v View) Named(model string) int64 {
	namings := v.Namings[model]
	if len(namings) == 0 {
		return 0
	}
	return namings[len(namings)-1].Version
}

// outdated returns the endpoints of a service that must not begin requests for a
// model any more: a newer version than theirs was named more than limit ago, or
// at an unknown time while other endpoints have the newest.
func (v View) outdated(now time.Time, service, model string, limit time.Duration) map[string]bool {
	newest := v.Named(model)
	current := slices.ContainsFunc(v.Endpoints[service], func(endpoint tracker.Endpoint) bool {
		return endpoint.Weights[model] >= newest && !endpoint.Leaving
	})
	outdated := map[string]bool{}
	for _, endpoint := range v.Endpoints[service] {
		for _, naming := range v.Namings[model] {
			unknown := naming.At.IsZero()
			over := unknown && current || !unknown && now.Sub(naming.At) >= limit
			if endpoint.Weights[model] < naming.Version && over {
				outdated[endpoint.ID] = true
			}
		}
	}
	return outdated
}

// Meter takes the figures of requests.
type Meter interface {
	// Request counts a request and its time to the end.
	Request(service, outcome string, elapsed time.Duration)
	// Attempt counts an attempt at an endpoint.
	Attempt(service, outcome string)
	// First records the time to the first event, and the part of it in the queue.
	First(service string, first, waited time.Duration)
}

// Exchanger runs exchanges. Its fields are set before use.
type Exchanger struct {
	View     func() View
	Sender   Sender
	Balancer *balancer.Balancer
	Locator  *locator.Locator
	// Scheduler decides what waits and what is turned away.
	Scheduler *scheduler.Scheduler
	Budget    *retrier.Window
	Suspects  *retrier.Suspects
	// Misdirected is told the version that an endpoint has when it was not the
	// expected one, or zero.
	Misdirected func(endpoint tracker.Endpoint, model string, version int64)
	// InTouch reports whether the node would have heard of new weights by now.
	InTouch func() bool
	// Spread tells the peers about a new suspect at once.
	Spread func()
	// StaleLimit is how long after new weights were named requests may begin on
	// the old ones.
	StaleLimit time.Duration
	Meter      Meter
	Log        zerolog.Logger
	Now        func() time.Time
}

// run is one exchange on its way through its attempts.
type run struct {
	*Exchanger
	*Exchange
	sink Sink
	// tried holds the endpoints that the request was sent to.
	tried map[string]bool
	avoid map[string]bool
	// choice is the endpoint of the attempt under way.
	choice balancer.Choice
	// waited is the time in the queue, first when the first event came.
	waited time.Duration
	first  time.Time
	// sends counts all attempts, ran those that may have run.
	sends int
	ran   int
	// begun is set once the caller has the head of a stream.
	begun bool
	after string
	// fallback is a failure of an endpoint that is delivered if nothing better
	// comes.
	fallback *Answer
	print    uint64
}

// Run carries an exchange to its end. Without error the caller has a complete
// answer. An error is a *limiter.Refusal if the request has not run, or marked
// with one of the sentinels.
func (e *Exchanger) Run(ctx context.Context, exchange *Exchange, sink Sink) error {
	r := &run{
		Exchanger: e, Exchange: exchange, sink: sink,
		tried: map[string]bool{}, avoid: map[string]bool{},
		after: exchange.After, print: exchange.fingerprint(),
	}
	ctx, cancel := context.WithDeadlineCause(ctx, exchange.Limit(), ErrTimeout)
	defer cancel()
	e.Budget.Request(e.Now(), exchange.Service)
	err := r.run(ctx)
	r.note(err)
	return err
}

func (r *run) run(ctx context.Context) error {
	if r.Suspects.Judge(r.Now(), r.print) == retrier.VerdictRefuse {
		return ErrPoison
	}
	for {
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		if err := r.again(ctx, err); err != nil {
			return r.finish(err)
		}
	}
}

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

// capacity is the memory of one endpoint of a service, in tokens.
func capacity(catalog *cataloger.Catalog, service string) int {
	if engine := catalog.Services[service].Engine; engine != nil {
		return engine.Capacity
	}
	return 0
}

// pause is the longest time without progress before an endpoint is given up.
// It follows the callers' patience.
func (r *run) pause() time.Duration {
	return max(2*time.Second, 4*r.Route.Objective, 8*r.Route.Pause)
}

// watch cancels an attempt at an endpoint that makes no progress.
func (r *run) watch(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(r.pause(), func() { cancel(ErrStalled) })
}

// failed classifies the error of an attempt.
func (r *run) failed(ctx context.Context, attempt Attempt, err error) error {
	id := attempt.Endpoint.ID
	if errors.Is(err, ErrNotSent) {
		if context.Cause(ctx) != nil {
			return r.ended(ctx, err)
		}
		r.Balancer.Fail(id, r.Now())
		r.decide("not sent", attempt).Err(err).Send()
		return err
	}
	r.ran++
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrStalled):
		r.Balancer.Fail(id, r.Now())
		err = errors.Mark(err, ErrStalled)
	case cause != nil:
		err = r.ended(ctx, err)
	default:
		err = errors.Mark(err, ErrBroken)
		r.Suspects.Crash(r.Now(), r.print)
		r.Spread()
	}
	r.decide("attempt failed", attempt).Err(err).Send()
	return err
}

// ended marks an error with what ended the request from outside, if anything
// did: its time is over, or its caller is gone.
func (r *run) ended(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return err
	case errors.Is(cause, ErrTimeout):
		return errors.Mark(err, ErrTimeout)
	default:
		return errors.Mark(err, ErrCaller)
	}
}

// learn takes in what an answer tells of its endpoint.
func (r *run) learn(attempt Attempt, answer Answer) {
	id, now := attempt.Endpoint.ID, r.Now()
	r.Balancer.Heard(id, now)
	if answer.Load != nil {
		r.Balancer.Tell(id, now, *answer.Load)
	}
	switch answer.Run {
	case RunDone:
		r.Balancer.Recover(id)
	case RunRefused:
		r.Balancer.Full(id, now)
	case RunMisdirected:
		r.avoid[id] = true
		model := ""
		if r.Prompt != nil {
			model = r.Prompt.Model
		}
		r.Misdirected(attempt.Endpoint, model, answer.Weights)
	}
}

// deliver passes an answer on to the caller.
func (r *run) deliver(ctx context.Context, attempt Attempt, answer Answer, stall *time.Timer) error {
	if answer.Run != RunDone {
		r.decide("endpoint refused", attempt).Int("status", answer.Status).Send()
		return errRefused
	}
	r.ran++
	if answer.Events != nil {
		return r.relay(ctx, attempt, answer, stall)
	}
	if r.begun {
		return errors.Wrapf(ErrBroken, "status %d in the middle of a stream", answer.Status)
	}
	if answer.Status >= 500 && r.Route.Repeat != cataloger.RepeatOnce {
		r.fallback = &answer
		r.decide("endpoint failed", attempt).Int("status", answer.Status).Send()
		return errFailed
	}
	r.Suspects.Clear(r.print)
	r.decide("answered", attempt).Int("status", answer.Status).Send()
	return r.whole(answer)
}

func (r *run) whole(answer Answer) error {
	if err := r.sink.Whole(answer); err != nil {
		return errors.Mark(err, ErrCaller)
	}
	return nil
}

// Internal outcomes of attempts.
var (
	// errRefused marks an attempt that the endpoint has not run.
	errRefused = errors.New("endpoint refused the request")
	// errFailed marks an attempt that ran and failed by the endpoint's own word.
	errFailed = errors.New("endpoint failed the request")
)

// again returns nil if another attempt may follow the failed one.
func (r *run) again(ctx context.Context, cause error) error {
	switch {
	case errors.Is(cause, ErrCaller), errors.Is(cause, ErrTimeout), errors.Is(cause, ErrUnavailable), errors.Is(cause, scheduler.ErrBusy):
		return cause
	case r.sends >= maxSends:
		return cause
	case context.Cause(ctx) != nil:
		return errors.Mark(cause, context.Cause(ctx))
	case errors.Is(cause, ErrNotSent):
		return nil
	case errors.Is(cause, errRefused):
		return r.spend(cause)
	}
	if r.Route.Repeat == cataloger.RepeatOnce || r.ran >= r.Route.Attempts {
		return cause
	}
	if r.Suspects.Judge(r.Now(), r.print) == retrier.VerdictRefuse {
		return errors.Mark(cause, ErrPoison)
	}
	return r.spend(cause)
}

// spend takes another arrival at an endpoint from the retry budget.
func (r *run) spend(cause error) error {
	if r.Budget.Spend(r.Now(), r.Service) {
		return nil
	}
	r.Log.Warn().Str("request", r.ID).Str("service", r.Service).Msg("retry budget is used up")
	return cause
}

// finish turns the last attempt's error into the exchange's.
func (r *run) finish(cause error) error {
	if errors.Is(cause, ErrCaller) {
		return cause
	}
	if r.fallback != nil && !r.begun {
		return r.whole(*r.fallback)
	}
	var refusal *limiter.Refusal
	refused := errors.As(cause, &refusal)
	switch {
	case r.ran == 0 && refused:
		return refusal
	case r.ran == 0:
		return &limiter.Refusal{Cause: cause, Retry: retryAfter}
	case refused:
		// An earlier attempt may have run.
		return errors.Wrapf(ErrBroken, "no other endpoint: %v", refusal.Cause)
	default:
		return cause
	}
}

// salt separates cached parts by model, weights and, for isolated teams, team.
func (r *run) salt(version int64) string {
	wall := ""
	if r.Team.Isolated {
		wall = r.Team.Name
	}
	return Salt(wall, r.Prompt.Model, version)
}

func engines(endpoints []tracker.Endpoint) []locator.Engine {
	all := make([]locator.Engine, len(endpoints))
	for i, endpoint := range endpoints {
		all[i] = locator.Engine{Address: endpoint.Address, Domain: endpoint.Domain}
	}
	return all
}

func stores(catalog *cataloger.Catalog) []locator.Store {
	var all []locator.Store
	for _, service := range catalog.Stores() {
		all = append(all, locator.Store{
			Address: service.Store.Address, Domain: service.Store.Domain, Capacity: service.Store.Capacity,
		})
	}
	return all
}

// decide begins the log line of a decision on an attempt.
func (r *run) decide(outcome string, attempt Attempt) *zerolog.Event {
	r.Meter.Attempt(r.Service, outcome)
	return r.Log.Info().Str("event", "attempt").Str("request", r.ID).Str("outcome", outcome).
		Str("endpoint", attempt.Endpoint.ID).Int("send", r.sends).Int64("weights", attempt.Weights).
		Dur("left", attempt.Left).Int("read", r.choice.Work.Read).Int("fetch", r.choice.Work.Fetch).Dur("waited", r.waited).Dur("elapsed", r.Now().Sub(r.Received))
}

// outcome names the end of an exchange.
func outcome(err error) string {
	var refusal *limiter.Refusal
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refusal):
		return "refused"
	case errors.Is(err, ErrCaller):
		return "caller gone"
	case errors.Is(err, ErrTimeout):
		return "timed out"
	case errors.Is(err, ErrPoison):
		return "poison"
	default:
		return "broken"
	}
}

// note logs and counts the end of the exchange.
func (r *run) note(err error) {
	r.Meter.Request(r.Service, outcome(err), r.Now().Sub(r.Received))
	event := r.Log.Info()
	if err != nil {
		event = r.Log.Warn().Err(err)
	}
	event.Str("event", "request").Str("outcome", outcome(err)).Str("request", r.ID).Str("route", r.Route.Name).Str("service", r.Service).
		Str("team", r.Team.Name).Int64("configuration", r.View().Catalog.Version).Int("sends", r.sends).Int("ran", r.ran).
		Bool("begun", r.begun).Dur("elapsed", r.Now().Sub(r.Received)).Send()
}
