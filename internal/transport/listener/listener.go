// Package listener serves callers over HTTP: chat completions, plain services
// and health checks.
//
// # Usage
//
//	server := &listener.Server{SnapshotPointer: current, PromptRunner: prompts, CallRunner: calls, …}
//	http.Serve(listener, server.Handler())
//
// Routes:
//
//	POST /v1/chat/completions      OpenAI-compatible, streamed or in one piece
//	GET  /v1/models
//	POST /v1/tickets               a ticket to run one request at most once while the log is down
//	ANY  /v1/services/NAME/PATH    forwarded to the plain service NAME
//	GET  /healthz, /readyz
//
// Every refusal is a problem document whose member run says whether the request
// ran; see refuser.
package listener

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/refuser"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

// MaxBodyBytes is the largest body of a caller's request.
const MaxBodyBytes = 8 << 20

const (
	headerRequest    = "X-Request-Id"
	headerPriority   = "X-Priority"
	headerKey        = "Idempotency-Key"
	headerReturn     = "X-Expected-Return"
	headerTicket     = "Ticket"
	headerRepeatable = "Repeatable"
	headerReplayed   = "Idempotent-Replayed"

	startingRetryAfter = 2 * time.Second
)

// Prompter runs prompts.
type Prompter interface {
	Run(ctx context.Context, prompt dispatcher.Prompt, sink dispatcher.Sink) (dispatcher.Usage, error)
}

// Caller runs calls to plain services.
type Caller interface {
	Run(ctx context.Context, team string, call dispatcher.Call) (dispatcher.Response, error)
}

// KeyedCaller runs calls at most once per idempotency key. Finish stores the
// answer for later requests with the same key.
type KeyedCaller interface {
	Run(ctx context.Context, team, idempotencyKey string, call dispatcher.Call) (dispatcher.CallResult, error)
	Finish(ctx context.Context, result dispatcher.CallResult) error
}

// Ticketer issues tickets and runs calls at most once per ticket, without the
// log.
type Ticketer interface {
	Issue(team string) (string, error)
	Run(ctx context.Context, team, ticket string, call dispatcher.Call) (dispatcher.CallResult, error)
}

// Inspector looks up the state of an idempotency key in the claim log.
type Inspector interface {
	Inspect(ctx context.Context, key indexer.Key) (claimer.State, error)
}

// Server serves callers. Its exported fields are set before Handler.
type Server struct {
	Node             string
	SnapshotPointer  *publisher.SnapshotPointer
	Limiter          *limiter.Limiter
	PromptRunner     Prompter
	CallRunner       Caller
	KeyedCallRunner  KeyedCaller
	TicketCallRunner Ticketer
	Inspect          Inspector
	Journal          dispatcher.Journal
	Metrics          tally.Scope
	Log              zerolog.Logger
	Now              func() time.Time
	Instance         uint64

	requestCounter atomic.Uint64
	inspections    atomic.Int32
	background     sync.WaitGroup
}

// Wait blocks until all work started by Background, and the storing of answers,
// is done.
func (s *Server) Wait() { s.background.Wait() }

// Background runs work that goes on after its request has been answered. A
// graceful shutdown waits for it.
func (s *Server) Background(work func(ctx context.Context)) {
	s.background.Go(func() { work(context.Background()) })
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.authenticated(s.chat))
	mux.HandleFunc("GET /v1/models", s.authenticated(s.models))
	mux.HandleFunc("POST /v1/tickets", s.authenticated(s.issueTicket))
	mux.HandleFunc("/v1/services/{service}/{path...}", s.authenticated(s.service))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuser.Write(w, refuser.Problem{
			Type: "no-route", Status: http.StatusNotFound, Title: "there is no such route",
			Detail: r.Method + " " + r.URL.Path, RunStatus: refuser.NotRun,
		})
	})
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.SnapshotPointer.Load()
	switch {
	case snapshot.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !snapshot.Ready:
		http.Error(w, "configuration is not read yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// exchange is one request of a caller and its response.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	id       string
	team     configurator.Team
	snapshot *publisher.Snapshot
	body     []byte
	started  time.Time
	// key is the idempotency key. It is empty for a request without one, and for one
	// that ignores it.
	key string
	// summary is the detail of the request's event in the timeline.
	summary string
}

// authenticated wraps a handler: it authenticates the team by its bearer key and
// reads the request body first.
func (s *Server) authenticated(handle func(e *exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e := &exchange{
			server:   s,
			w:        w,
			r:        r,
			id:       s.newRequestID(),
			snapshot: s.SnapshotPointer.Load(),
			started:  s.Now(),
			key:      r.Header.Get(headerKey),
		}
		w.Header().Set(headerRequest, e.id)
		if !e.snapshot.Ready {
			e.refuse(problem{status: http.StatusServiceUnavailable, kind: "starting", title: "node has not read the configuration yet", retryAfter: startingRetryAfter})
			return
		}
		if !e.identify() || !e.readBody() {
			return
		}
		e.event(recorder.KindReceive, r.Method+" "+r.URL.Path)
		handle(e)
	}
}

func (s *Server) newRequestID() string {
	return fmt.Sprintf("%s-%08x-%d", s.Node, uint32(s.Instance), s.requestCounter.Add(1))
}

func (e *exchange) identify() bool {
	key, ok := strings.CutPrefix(e.r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	team, known := e.snapshot.Teams[hex.EncodeToString(sum[:])]
	if !ok || !known {
		// Idempotency keys belong to a team. Without a team there is nothing to look
		// up, and nothing can have run.
		e.key = ""
		e.refuse(problem{status: http.StatusUnauthorized, kind: "no-team", title: "bearer key belongs to no team"})
		return false
	}
	e.team = team
	return true
}

func (e *exchange) readBody() bool {
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, MaxBodyBytes))
	if err != nil {
		e.refuse(problem{status: http.StatusRequestEntityTooLarge, kind: "body", title: "request body can't be read", detail: err.Error()})
		return false
	}
	e.body = body
	return true
}

func (e *exchange) event(kind recorder.Kind, detail string) {
	e.server.Journal.Record(e.server.Now(), recorder.Event{
		Kind:    kind,
		Request: e.id,
		Team:    e.team.Name,
		Detail:  detail,
	})
}

// finish records the end of a request in metrics, the timeline and the log.
func (e *exchange) finish(class string, err error) {
	took := e.server.Now().Sub(e.started)
	scope := e.server.Metrics.Tagged(map[string]string{"class": class})
	scope.Timer("request_time").Record(took)
	if err != nil {
		scope.Counter("requests_failed").Inc(1)
		e.event(recorder.KindFail, err.Error())
		e.server.Log.Warn().Err(err).Str("request", e.id).Str("team", e.team.Name).Dur("took", took).Msg("request failed")
		return
	}
	scope.Counter("requests_answered").Inc(1)
	e.event(recorder.KindAnswer, e.summary)
	e.server.Log.Debug().Str("request", e.id).Str("team", e.team.Name).Dur("took", took).Msg("request answered")
}

// withAdmission calls run once the request is admitted. It refuses the request if
// the service has no endpoint or the limiter does not admit it.
func (e *exchange) withAdmission(service configurator.Service, run func()) {
	if len(e.snapshot.Services[service.Name]) == 0 {
		e.refuse(problem{status: http.StatusServiceUnavailable, kind: "no-endpoint", title: "no endpoint is available", retryAfter: shortRetryAfter})
		return
	}
	ticket, ok := e.admit(service)
	if !ok {
		return
	}
	defer func() { e.server.Limiter.Release(e.server.Now(), ticket) }()
	run()
}

// admit queues the request and waits for its admission. It refuses the request
// if it is not admitted, and then returns false.
func (e *exchange) admit(service configurator.Service) (*limiter.Ticket, bool) {
	priority, ok := e.snapshot.Priority(e.r.Header.Get(headerPriority), service)
	if !ok {
		e.refuse(problem{status: http.StatusBadRequest, kind: "priority", title: "there is no such priority", detail: e.r.Header.Get(headerPriority)})
		return nil, false
	}
	request := limiter.Request{Team: e.team, Priority: priority, Service: service.Name, Watts: service.RunWatts}
	ticket, err := e.server.Limiter.Submit(e.server.Now(), request)
	if err != nil {
		e.refuseLimit(err)
		return nil, false
	}
	return ticket, e.awaitAdmission(ticket)
}

func (e *exchange) awaitAdmission(ticket *limiter.Ticket) bool {
	timer := time.NewTimer(ticket.Deadline().Sub(e.server.Now()))
	defer timer.Stop()
	select {
	case <-ticket.Ready():
		e.event(recorder.KindAdmit, "")
		return true
	case <-e.r.Context().Done():
		e.server.Limiter.Release(e.server.Now(), ticket)
		return false
	case <-timer.C:
	}
	if err := e.server.Limiter.Expire(ticket); err != nil {
		e.refuseLimit(err)
		return false
	}
	e.event(recorder.KindAdmit, "")
	return true
}

func (s *Server) models(e *exchange) {
	type wireModel struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string      `json:"object"`
		Data   []wireModel `json:"data"`
	}{Object: "list", Data: []wireModel{}}
	for _, model := range configurator.All[configurator.Model](e.snapshot.Configuration) {
		list.Data = append(list.Data, wireModel{ID: model.Name, Object: "model", OwnedBy: model.Service})
	}
	e.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(e.w).Encode(list)
}
