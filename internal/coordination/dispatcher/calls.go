package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// CallRunner runs calls on plain services. Its fields are set before use.
type CallRunner struct {
	SnapshotPointer *publisher.SnapshotPointer
	ServiceClient   ServiceClient
	InFlight        *InFlight
	Budget          *retrier.Budget
	Jitter          retrier.Jitter
	Journal         Journal
	// Domain is the node's own failure domain.
	Domain string
	Now    func() time.Time
}

// Run sends a call to one endpoint. A repeatable call is retried on another
// endpoint within the retry budget. Any other call is retried only if no byte of
// it can have been sent. If that is true for all attempts, the error is marked
// ErrNotSent.
func (c *CallRunner) Run(ctx context.Context, team string, call Call) (Response, error) {
	run := &callRun{CallRunner: c, call: call, team: team}
	f := &forwarder.Forwarder{
		Placer: run, Sender: run, Budget: nodeBudget{c.Budget},
		// Without an Expiry, Suspects forgets each crash at once, so no call is
		// refused as poison: if a plain service is down, all calls to it fail,
		// whatever they contain.
		Suspects: &retrier.Suspects{}, Broadcast: func() {}, Backoff: run.backoff, Now: c.Now,
	}
	err := f.Run(ctx, run.exchange(), run)
	return run.response, translateError(err)
}

// callRun is the state of one call across its attempts.
type callRun struct {
	*CallRunner
	call     Call
	team     string
	endpoint registrar.EndpointState
	response Response
}

func (r *callRun) exchange() *forwarder.Exchange {
	policy := cataloger.RetryIfNotRun
	if r.call.Repeatable {
		policy = cataloger.RetrySafe
	}
	return &forwarder.Exchange{
		ID: r.call.Request, Caller: r.team, Service: r.call.Service.Name, Received: r.Now(), SenderDetectsStalls: true,
		Method: r.call.Method, Target: r.call.Target, Body: r.call.Body,
		Route: cataloger.Route{RetryPolicy: policy, Attempts: forwarder.MaxSends},
	}
}

// Place implements forwarder.Placer.
func (r *callRun) Place(_ context.Context, _ *forwarder.Exchange, progress forwarder.Progress) (forwarder.Placement, error) {
	endpoint, ok := r.pick(r.call, progress.Tried)
	if !ok {
		return nil, errors.Wrap(ErrNoEndpoint, r.call.Service.Name)
	}
	r.endpoint = endpoint
	r.recordEvent(recorder.KindDispatch, endpoint.Name, r.call.Method)
	return &callPlacement{run: r, endpoint: endpoint}, nil
}

// Send implements forwarder.Sender.
func (r *callRun) Send(ctx context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
	response, err := r.ServiceClient.Do(ctx, r.endpoint.Endpoint, r.call)
	if err != nil {
		return forwarder.Answer{}, err
	}
	return forwarder.Answer{Status: response.Status, Header: response.Header, Body: response.Body, Close: func() {}}, nil
}

// CloseIdle implements forwarder.Sender. It does nothing, since the
// ServiceClient closes idle connections itself.
func (r *callRun) CloseIdle(endpointtracker.Endpoint) {}

// DeliverComplete implements forwarder.Sink.
func (r *callRun) DeliverComplete(answer forwarder.Answer) error {
	r.response = Response{Status: answer.Status, Header: answer.Header, Body: answer.Body, Endpoint: r.endpoint.Name}
	return nil
}

// Begin implements forwarder.Sink. It is never called, since plain services don't
// stream.
func (r *callRun) Begin(forwarder.Answer) error { return nil }

// Event implements forwarder.Sink.
func (r *callRun) Event(forwarder.Event) error { return nil }

func (r *callRun) backoff(attempt int, cause error) time.Duration {
	r.recordEvent(recorder.KindRetry, "", cause.Error())
	return retrier.Backoff(attempt, backoffBase, backoffLimit, r.Jitter)
}

func (r *callRun) recordEvent(kind recorder.Kind, endpoint, detail string) {
	r.Journal.Record(r.Now(), recorder.Event{Kind: kind, Request: r.call.Request, Team: r.team, Endpoint: endpoint, Detail: detail})
}

// pick chooses the endpoint with the fewest running requests. It prefers
// endpoints in the node's own failure domain; those that failed to report come
// last. Once all endpoints have been tried, they are tried again: if an attempt
// stalled on a dead connection, the same endpoint may answer on a new one.
func (c *CallRunner) pick(call Call, tried map[string]bool) (registrar.EndpointState, bool) {
	endpoints := c.SnapshotPointer.Load().Services[call.Service.Name]
	if endpoint, ok := c.pickAmong(endpoints, tried); ok {
		return endpoint, true
	}
	return c.pickAmong(endpoints, nil)
}

func (c *CallRunner) pickAmong(endpoints []registrar.EndpointState, tried map[string]bool) (registrar.EndpointState, bool) {
	var chosen registrar.EndpointState
	_, ok := c.InFlight.reserve(false, func(sequence uint64) (string, bool) {
		best := -1
		for i := range endpoints {
			index := (i + int(sequence%uint64(len(endpoints)))) % len(endpoints)
			endpoint := endpoints[index]
			if endpoint.IsLeaving() || tried[endpoint.Name] {
				continue
			}
			if best < 0 || c.cost(endpoint) < c.cost(endpoints[best]) {
				best = index
			}
		}
		if best < 0 {
			return "", false
		}
		chosen = endpoints[best]
		return chosen.Name, true
	})
	return chosen, ok
}

const (
	// remoteDomainCost is the cost of the round trip to another failure domain,
	// in running requests.
	remoteDomainCost = 1
	// failedReportCost is the cost of an endpoint that failed to report, in
	// running requests. It is high enough to make such endpoints the last choice.
	failedReportCost = 1000
)

func (c *CallRunner) cost(endpoint registrar.EndpointState) int {
	cost := endpoint.OtherRunning() + c.InFlight.running[endpoint.Name]
	if endpoint.Domain != c.Domain {
		cost += remoteDomainCost
	}
	if endpoint.Failures > 0 {
		cost += failedReportCost
	}
	return cost
}
