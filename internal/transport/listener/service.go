package listener

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// recordTimeout limits the time spent on recording the answer of a keyed call,
	// with all retries. Their delays grow from recordBackoff to maxRecordBackoff.
	recordTimeout    = 30 * time.Second
	recordBackoff    = 100 * time.Millisecond
	maxRecordBackoff = 5 * time.Second

	maxKeyBytes = 255

	servicesPath = "/v1/services/"
)

func (s *Server) service(e *exchange) {
	name := e.r.PathValue("service")
	service, ok := e.snapshot.Service(name)
	if !ok || service.Type != configurator.ServicePlain {
		e.refuse(problem{status: http.StatusNotFound, kind: "no-service", title: "there is no such plain service", detail: name})
		return
	}
	if len(e.key) > maxKeyBytes {
		e.key = ""
		e.refuse(problem{status: http.StatusBadRequest, kind: "key", title: "idempotency key is over 255 bytes"})
		return
	}
	e.withAdmission(service, func() { s.runService(e, service) })
}

// runService runs an admitted request to a plain service.
func (s *Server) runService(e *exchange, service configurator.Service) {
	switch {
	case e.r.Header.Get(headerTicket) != "":
		s.runTicket(e, service)
	case e.key != "":
		s.runKeyedCall(e, service)
	default:
		s.runCall(e, service)
	}
}

// issueTicket responds with a new ticket. Only the process that issued a ticket
// can redeem it.
func (s *Server) issueTicket(e *exchange) {
	e.key = ""
	ticket, err := s.TicketCallRunner.Issue(e.team.Name)
	if err != nil {
		e.refuse(problem{status: http.StatusServiceUnavailable, kind: "tickets", title: err.Error(), retryAfter: shortRetryAfter})
		return
	}
	e.w.Header().Set("Content-Type", "application/json")
	e.w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(e.w).Encode(struct {
		Ticket string `json:"ticket"`
	}{ticket})
}

func (s *Server) runTicket(e *exchange, service configurator.Service) {
	e.key = ""
	ctx := context.WithoutCancel(e.r.Context())
	result, err := s.TicketCallRunner.Run(ctx, e.team.Name, e.r.Header.Get(headerTicket), e.call(service))
	e.finish(service.Name, err)
	if err != nil {
		e.refuse(ticketProblem(err))
		return
	}
	e.writeResult(result)
}

// ticketProblem maps the error of a run under a ticket to a problem. A ticket's
// state can't be looked up in the claim log, so the request may have run unless
// the error says that it was not sent or the ticket was refused.
func ticketProblem(err error) problem {
	found := problemFromError(err)
	found.mayHaveRun = found.mayHaveRun || !errors.Is(err, dispatcher.ErrNotSent) && !errors.Is(err, dispatcher.ErrTicketRejected)
	return found
}

func (e *exchange) writeResult(result dispatcher.CallResult) {
	if result.Replayed {
		e.w.Header().Set(headerReplayed, "true")
	}
	if result.Omitted {
		e.refuse(problem{status: http.StatusConflict, kind: "answer-omitted", title: "the request ran, its answer was too large to keep"})
		return
	}
	e.writeResponse(result.Response)
}

func (s *Server) runCall(e *exchange, service configurator.Service) {
	call := e.call(service)
	call.Repeatable = repeatable(e.r)
	response, err := s.CallRunner.Run(e.r.Context(), e.team.Name, call)
	e.finish(service.Name, err)
	if err != nil {
		e.refuse(problemFromError(err))
		return
	}
	e.writeResponse(response)
}

// repeatable reports whether a request may run more than once. The caller's
// Repeatable header decides, or without it whether the method is idempotent
// (RFC 9110, section 9.2.2).
func repeatable(r *http.Request) bool {
	if declared := r.Header.Get(headerRepeatable); declared != "" {
		return declared == "true"
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (s *Server) runKeyedCall(e *exchange, service configurator.Service) {
	// A call with an idempotency key runs to its end even if the caller disconnects.
	ctx := context.WithoutCancel(e.r.Context())
	result, err := s.KeyedCallRunner.Run(ctx, e.team.Name, e.key, e.call(service))
	e.finish(service.Name, err)
	if err != nil {
		e.refuse(problemFromError(err))
		return
	}
	s.background.Go(func() { s.recordAnswer(ctx, e, result) })
	e.writeResult(result)
}

// recordAnswer stores the answer of a keyed call, so that later requests with
// the same key get it. Without it they get "outcome unknown".
func (s *Server) recordAnswer(ctx context.Context, e *exchange, result dispatcher.CallResult) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := s.KeyedCallRunner.Finish(ctx, result)
		if err == nil {
			return
		}
		if retrier.Sleep(ctx, retrier.Backoff(attempt, recordBackoff, maxRecordBackoff, retrier.UniformJitter)) != nil {
			s.Log.Error().Err(err).Str("request", e.id).Msg("failed to record the answer of a call with an idempotency key")
			return
		}
	}
}

func (e *exchange) call(service configurator.Service) dispatcher.Call {
	_, path, _ := strings.Cut(strings.TrimPrefix(e.r.URL.EscapedPath(), servicesPath), "/")
	target := "/" + path
	if e.r.URL.RawQuery != "" {
		target += "?" + e.r.URL.RawQuery
	}
	return dispatcher.Call{
		Request: e.id,
		Service: service,
		Method:  e.r.Method,
		Target:  target,
		Header:  forwardedHeader(e.r.Header),
		Body:    e.body,
	}
}

// strippedHeaders are not forwarded: they apply to one connection only (RFC 9110,
// section 7.6.1) or are addressed to this program.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", headerRepeatable, headerPriority, headerTicket,
}

func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range strippedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func (e *exchange) writeResponse(response dispatcher.Response) {
	header := e.w.Header()
	for name, values := range forwardedHeader(response.Header) {
		if name != headerRequest {
			header[name] = values
		}
	}
	e.w.WriteHeader(response.Status)
	_, _ = e.w.Write(response.Body)
}
