package listener

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// standinDispatcher replaces the components that the server calls. It returns preset
// tokens, errors and key states, and counts runs.
type standinDispatcher struct {
	tokens   []string
	err      error
	state    claimer.State
	stateErr error
	runs     int
}

// Run implements Prompter.
func (b *standinDispatcher) Run(_ context.Context, _ dispatcher.Prompt, sink dispatcher.Sink) (dispatcher.Usage, error) {
	b.runs++
	for i, text := range b.tokens {
		if err := sink.Token(dispatcher.Token{Index: i, Text: text}); err != nil {
			return dispatcher.Usage{}, err
		}
	}
	return dispatcher.Usage{Prompt: 10, Cached: 4, Completion: len(b.tokens), Reason: "stop"}, b.err
}

// Inspect implements Inspector.
func (b *standinDispatcher) Inspect(context.Context, indexer.Key) (claimer.State, error) {
	return b.state, b.stateErr
}

// standinCalls implements Caller.
type standinCalls struct{ *standinDispatcher }

func (c standinCalls) Run(_ context.Context, _ string, call dispatcher.Call) (dispatcher.Response, error) {
	c.runs++
	return dispatcher.Response{Status: http.StatusOK, Body: []byte(call.Method + " " + call.Target)}, c.err
}

// standinKeyedCalls implements KeyedCaller.
type standinKeyedCalls struct{ *standinDispatcher }

func (o standinKeyedCalls) Run(_ context.Context, _, _ string, call dispatcher.Call) (dispatcher.CallResult, error) {
	o.runs++
	return dispatcher.CallResult{Response: dispatcher.Response{Status: http.StatusCreated, Body: []byte(call.Target)}}, o.err
}

func (o standinKeyedCalls) Finish(context.Context, dispatcher.CallResult) error { return nil }

const bearer = "members-key"

func newServer(t *testing.T, b *standinDispatcher, rate float64) http.Handler {
	t.Helper()
	sum := sha256.Sum256([]byte(bearer))
	record := configurator.Record{Rules: configurator.RulesVersion, Changes: []configurator.Change{
		configurator.Put(configurator.Priority{Name: "chat", Deadline: time.Second}),
		configurator.Put(configurator.Team{Name: "members", KeyHash: hex.EncodeToString(sum[:]), Rate: rate, Burst: 1, Concurrency: 10}),
		configurator.Put(configurator.Service{
			Name: "llm", Type: configurator.ServiceModel, Objective: configurator.ObjectiveRecompute,
			Priority: "chat", Concurrency: 1, Timeout: time.Second,
		}),
		configurator.Put(configurator.Service{Name: "shop", Type: configurator.ServicePlain, Priority: "chat", Concurrency: 1, Timeout: time.Second}),
		configurator.Put(configurator.Version{Name: "v", Model: "m", Weights: "w"}),
		configurator.Put(configurator.Model{Name: "m", Service: "llm", Version: "v"}),
	}}
	state, verdict, err := configurator.New().Apply(0, record)
	require.NoError(t, err)
	require.NoError(t, verdict.Reason)
	rows := []registrar.EndpointState{{Endpoint: registrar.Endpoint{Name: "e", Service: "llm"}}, {Endpoint: registrar.Endpoint{Name: "s", Service: "shop"}}}
	snapshot := publisher.Build(state, nil, rows)
	snapshot.Ready = true
	current := &publisher.SnapshotPointer{}
	current.Store(snapshot)
	limits := &limiter.Limiter{Slots: func(string) int { return 10 }}
	limits.Configure(limiter.Capacity{Watts: -1, Nodes: 1})
	server := &Server{
		Node: "n1", SnapshotPointer: current, Limiter: limits, PromptRunner: b, CallRunner: standinCalls{b}, KeyedCallRunner: standinKeyedCalls{b}, Inspect: b,
		Journal: &recorder.Ring{Capacity: 16}, Metrics: tally.NoopScope, Log: zerolog.Nop(), Now: time.Now,
	}
	return server.Handler()
}

// send sends a request with the team's key and headers of the form NAME:VALUE.
func send(handler http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+bearer)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Set(name, value)
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

func assertProblem(t *testing.T, response *httptest.ResponseRecorder, status int, kind, run string) {
	t.Helper()
	assert.Equal(t, status, response.Code)
	assert.Equal(t, "application/problem+json", response.Header().Get("Content-Type"))
	var problem struct {
		Type string `json:"type"`
		Run  string `json:"run"`
	}
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &problem))
	assert.Equal(t, "urn:lacewingrelay:"+kind, problem.Type)
	assert.Equal(t, run, problem.Run)
}

const (
	prompt   = `{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`
	chatPath = "/v1/chat/completions"
	shopPath = "/v1/services/shop/orders"
)

func TestRefusals(t *testing.T) {
	cases := []struct {
		name, method, path, body, header string
		status                           int
		kind                             string
	}{
		{"no team", "POST", chatPath, prompt, "Authorization:Bearer nobody", 401, "no-team"},
		{"no model", "POST", chatPath, strings.Replace(prompt, `"m"`, `"x"`, 1), "A:b", 404, "no-model"},
		{"malformed", "POST", chatPath, `{}`, "A:b", 400, "malformed"},
		{"no priority", "POST", chatPath, prompt, "X-Priority:none", 400, "priority"},
		{"no service", "GET", "/v1/services/none/x", "", "A:b", 404, "no-service"},
		{"a model service as a plain one", "GET", "/v1/services/llm/x", "", "A:b", 404, "no-service"},
		{"no route", "GET", "/v2", "", "A:b", 404, "no-route"},
		{"an oversize key", "POST", shopPath, "{}", "Idempotency-Key:" + strings.Repeat("k", 256), 400, "key"},
		{"an oversize body", "POST", shopPath, strings.Repeat("b", MaxBodyBytes+1), "A:b", 413, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &standinDispatcher{}
			assertProblem(t, send(newServer(t, b, 100), c.method, c.path, c.body, c.header), c.status, c.kind, "not-run")
			assert.Zero(t, b.runs)
		})
	}
}

// TestRefusalCoversEarlierRequestsOfKey guards against a refusal that says "not
// run" although an earlier request with the same key ran or may have run.
func TestRefusalCoversEarlierRequestsOfKey(t *testing.T) {
	cases := []struct {
		name  string
		state claimer.State
		err   error
		run   string
	}{
		{"no earlier request", claimer.StateFree, nil, "not-run"},
		{"an earlier request is running", claimer.StateClaimed, nil, "unknown"},
		{"an earlier request ran", claimer.StateDone, nil, "done"},
		{"the claim log is unavailable", claimer.StateFree, claimer.ErrUnavailable, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := newServer(t, &standinDispatcher{state: c.state, stateErr: c.err}, 0.001)
			require.Equal(t, http.StatusCreated, send(handler, "POST", shopPath, "{}", "Idempotency-Key:k").Code)
			refused := send(handler, "POST", shopPath, "{}", "Idempotency-Key:k")
			assertProblem(t, refused, http.StatusTooManyRequests, "limit", c.run)
			assert.NotEmpty(t, refused.Header().Get("Retry-After"))
		})
	}
}

func TestKeyedCallErrorsMapToProblems(t *testing.T) {
	cases := []struct {
		err    error
		status int
		kind   string
		run    string
	}{
		{dispatcher.ErrKeyReused, 422, "key-reused", "not-run"},
		{dispatcher.ErrOutcomeUnknown, 409, "outcome-unknown", "unknown"},
		{claimer.ErrUnavailable, 503, "claim-log", "unknown"},
		{dispatcher.ErrNotSent, 503, "not-sent", "not-run"},
		{dispatcher.ErrBroken, 502, "broken", "unknown"},
		{dispatcher.ErrStalled, 504, "stalled", "unknown"},
		{errors.Mark(dispatcher.ErrNoEndpoint, dispatcher.ErrMayHaveRun), 503, "no-endpoint", "unknown"},
		{errors.New("anything else"), 502, "failed", "unknown"},
	}
	for _, c := range cases {
		t.Run(c.kind+" "+c.run, func(t *testing.T) {
			handler := newServer(t, &standinDispatcher{err: c.err, state: claimer.StateFree}, 100)
			assertProblem(t, send(handler, "POST", shopPath, "{}", "Idempotency-Key:k"), c.status, c.kind, c.run)
		})
	}
}

// TestReusedKeyIsNotRun guards against reporting the run status of the key's
// first request for a different request that reuses the key.
func TestReusedKeyIsNotRun(t *testing.T) {
	handler := newServer(t, &standinDispatcher{err: dispatcher.ErrKeyReused, state: claimer.StateDone}, 100)
	assertProblem(t, send(handler, "POST", shopPath, "{}", "Idempotency-Key:k"), 422, "key-reused", "not-run")
}

func TestStreams(t *testing.T) {
	t.Run("a complete answer ends with [DONE]", func(t *testing.T) {
		body := send(newServer(t, &standinDispatcher{tokens: []string{"a", "b"}}, 100), "POST", chatPath, prompt).Body.String()
		assert.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
		assert.Contains(t, body, `"cached_tokens":4`)
	})
	t.Run("a broken answer ends with an error event and without [DONE]", func(t *testing.T) {
		body := send(newServer(t, &standinDispatcher{tokens: []string{"a"}, err: dispatcher.ErrBroken}, 100), "POST", chatPath, prompt).Body.String()
		assert.NotContains(t, body, "[DONE]")
		assert.Contains(t, body, "event: error")
		assert.Contains(t, body, `"run":"unknown"`)
	})
	t.Run("a failure before the first token is a refusal", func(t *testing.T) {
		response := send(newServer(t, &standinDispatcher{err: dispatcher.ErrNoEndpoint}, 100), "POST", chatPath, prompt)
		assertProblem(t, response, http.StatusServiceUnavailable, "no-endpoint", "not-run")
		assert.Equal(t, "1", response.Header().Get("Retry-After"))
	})
	t.Run("a failed buffered answer contains no text", func(t *testing.T) {
		whole := strings.Replace(prompt, `"stream":true,`, "", 1)
		response := send(newServer(t, &standinDispatcher{tokens: []string{"secret"}, err: dispatcher.ErrBroken}, 100), "POST", chatPath, whole)
		assertProblem(t, response, http.StatusBadGateway, "broken", "unknown")
		assert.NotContains(t, response.Body.String(), "secret")
	})
}

func TestTargetEscapingIsPreserved(t *testing.T) {
	response := send(newServer(t, &standinDispatcher{}, 100), "GET", "/v1/services/shop/a%2Fb/c?d=%20", "")
	assert.Equal(t, "GET /a%2Fb/c?d=%20", response.Body.String())
}
