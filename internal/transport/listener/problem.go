package listener

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/refuser"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

const (
	// inspectTimeout limits the lookup of a refused request's idempotency key.
	inspectTimeout = 100 * time.Millisecond
	// maxInspections is the largest number of concurrent lookups.
	maxInspections = 32

	shortRetryAfter  = time.Second
	poisonRetryAfter = 10 * time.Minute
)

// problem is a refusal whose run status has not been determined yet.
type problem struct {
	status     int
	kind       string
	title      string
	detail     string
	retryAfter time.Duration
	// mayHaveRun is set when part of the request may have been sent to an endpoint.
	mayHaveRun bool
}

// problemsBySentinel maps errors of the dispatcher and the claimer to problems.
// The first match applies.
var problemsBySentinel = []struct {
	sentinel error
	problem  problem
}{
	{dispatcher.ErrKeyReused, problem{status: http.StatusUnprocessableEntity, kind: "key-reused", title: "idempotency key was used for another request"}},
	{dispatcher.ErrOutcomeUnknown, problem{status: http.StatusConflict, kind: "outcome-unknown", title: "an earlier request with this key may have run", retryAfter: shortRetryAfter}},
	{dispatcher.ErrTicketRejected, problem{status: http.StatusUnprocessableEntity, kind: "ticket", title: "ticket can't be redeemed for this request"}},
	{claimer.ErrUnavailable, problem{status: http.StatusServiceUnavailable, kind: "claim-log", title: "claim log can't be read", retryAfter: shortRetryAfter}},
	{dispatcher.ErrPoison, problem{status: http.StatusUnprocessableEntity, kind: "poison", title: "request has crashed endpoints", retryAfter: poisonRetryAfter}},
	{dispatcher.ErrNoEndpoint, problem{status: http.StatusServiceUnavailable, kind: "no-endpoint", title: "no endpoint is available", retryAfter: shortRetryAfter}},
	{dispatcher.ErrRefused, problem{status: http.StatusServiceUnavailable, kind: "refused", title: "endpoints refused the request", retryAfter: shortRetryAfter}},
	{dispatcher.ErrNotSent, problem{status: http.StatusServiceUnavailable, kind: "not-sent", title: "no endpoint could be reached", retryAfter: shortRetryAfter}},
	{dispatcher.ErrVersionGone, problem{status: http.StatusBadGateway, kind: "version-gone", title: "weights of the started answer are gone", retryAfter: shortRetryAfter}},
	{dispatcher.ErrRetryBudget, problem{status: http.StatusBadGateway, kind: "retry-budget", title: "endpoint failed and the retry budget is used up", retryAfter: shortRetryAfter}},
	{dispatcher.ErrStalled, problem{status: http.StatusGatewayTimeout, kind: "stalled", title: "endpoint stopped making progress", retryAfter: shortRetryAfter}},
	{dispatcher.ErrBroken, problem{status: http.StatusBadGateway, kind: "broken", title: "endpoint broke off", retryAfter: shortRetryAfter}},
}

func problemFromError(err error) problem {
	for _, failure := range problemsBySentinel {
		if errors.Is(err, failure.sentinel) {
			found := failure.problem
			found.detail = err.Error()
			found.mayHaveRun = dispatcher.MayHaveRun(err)
			return found
		}
	}
	return problem{status: http.StatusBadGateway, kind: "failed", title: "request failed", detail: err.Error(), mayHaveRun: true}
}

// refuseError refuses the request with the problem for an error.
func (e *exchange) refuseError(err error) {
	var refusal *limiter.Refusal
	if errors.As(err, &refusal) && !dispatcher.MayHaveRun(err) {
		e.refuseLimit(err)
		return
	}
	e.refuse(problemFromError(err))
}

func (e *exchange) refuseLimit(err error) {
	found := problem{status: http.StatusTooManyRequests, kind: "limit", title: err.Error(), retryAfter: shortRetryAfter}
	var refusal *limiter.Refusal
	if errors.As(err, &refusal) {
		found.retryAfter = max(refusal.RetryAfter, time.Millisecond)
	}
	if errors.Is(err, limiter.ErrDeadline) || errors.Is(err, limiter.ErrPower) {
		found.status = http.StatusServiceUnavailable
		found.kind = "overload"
	}
	e.refuse(found)
}

// refuse records a refusal and writes it as the response.
func (e *exchange) refuse(p problem) {
	document := e.document(p)
	e.event(recorder.KindRefuse, p.kind+", run "+string(document.RunStatus))
	e.server.Metrics.Tagged(map[string]string{"kind": p.kind}).Counter("refusals").Inc(1)
	refuser.Write(e.w, document)
}

func (e *exchange) document(p problem) refuser.Problem {
	return refuser.Problem{
		Type:      p.kind,
		Status:    p.status,
		Title:     p.title,
		Detail:    p.detail,
		Request:   e.id,
		RunStatus: e.runStatus(p),
		Sent:      p.mayHaveRun,
		Retry:     p.retryAfter,
	}
}

// runStatus determines whether the request ran. All requests with the same
// idempotency key count as one, so the status is "not run" only once the claim
// log shows that no earlier request holds the key.
func (e *exchange) runStatus(p problem) refuser.RunStatus {
	switch {
	case p.mayHaveRun:
		return refuser.Unknown
	case p.kind == "answer-omitted":
		return refuser.Completed
	case e.key == "", p.kind == "key-reused":
		// A key is bound to the first request that used it, so this other request
		// did not run under it.
		return refuser.NotRun
	case p.kind == "claim-log", p.kind == "outcome-unknown":
		return refuser.Unknown
	}
	return e.inspectKey()
}

func (e *exchange) inspectKey() refuser.RunStatus {
	defer e.server.inspections.Add(-1)
	if e.server.inspections.Add(1) > maxInspections {
		return refuser.Unknown
	}
	ctx, cancel := context.WithTimeout(e.r.Context(), inspectTimeout)
	defer cancel()
	state, err := e.server.Inspect.Inspect(ctx, indexer.NewKey(e.team.Name, e.key))
	switch {
	case err != nil, state == claimer.StateClaimed:
		return refuser.Unknown
	case state == claimer.StateDone:
		return refuser.Completed
	default:
		return refuser.NotRun
	}
}
