package dialer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	crdb "github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const stallTimeout = 200 * time.Millisecond

func serve(t *testing.T, handler http.Handler) registrar.Endpoint {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return registrar.Endpoint{Name: "e", Address: address}
}

func newEngine() *Engine { return &Engine{Pools: &Pools{DialTimeout: time.Second}} }

// run reads a completion to its end, with stallTimeout unless it names another.
func run(engine *Engine, endpoint registrar.Endpoint, completion dispatcher.Completion) (string, error) {
	completion.StallTimeout = cmp.Or(completion.StallTimeout, stallTimeout)
	stream, err := engine.Complete(context.Background(), endpoint, completion)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(token.Text)
	}
}

func TestMessagesAreForwardedUnchanged(t *testing.T) {
	message := `{"role":"user","content":"a <b> & c \u003c \u2028"}`
	var got []json.RawMessage
	endpoint := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Messages []json.RawMessage `json:"messages"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		got = body.Messages
		w.WriteHeader(http.StatusConflict)
	}))
	_, err := run(newEngine(), endpoint, dispatcher.Completion{Messages: [][]byte{[]byte(message)}, Options: []byte(`{"stop":["<"]}`)})
	assert.True(t, crdb.Is(err, dispatcher.ErrRefused))
	require.Len(t, got, 1)
	assert.Equal(t, message, string(got[0]))
}

func TestErrorsAreMarked(t *testing.T) {
	write := func(w http.ResponseWriter, text string) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	const token = `data: {"index":0,"weights":"w","choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	cases := []struct {
		name       string
		handler    http.HandlerFunc
		sentinel   error
		mayHaveRun bool
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, dispatcher.ErrRefused, false},
		{"closed before the headers", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatcher.ErrBroken, true},
		{"closed in the middle of the stream", func(w http.ResponseWriter, _ *http.Request) { write(w, token); panic(http.ErrAbortHandler) }, dispatcher.ErrBroken, true},
		{"no [DONE] event", func(w http.ResponseWriter, _ *http.Request) { write(w, token) }, dispatcher.ErrBroken, true},
		{"[DONE] without usage", func(w http.ResponseWriter, _ *http.Request) { write(w, token+"data: [DONE]\n\n") }, dispatcher.ErrBroken, true},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { write(w, "data: {\n\n") }, dispatcher.ErrBroken, true},
		{"stalled", func(w http.ResponseWriter, r *http.Request) { write(w, token); <-r.Context().Done() }, dispatcher.ErrStalled, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := run(newEngine(), serve(t, c.handler), dispatcher.Completion{})
			assert.True(t, crdb.Is(err, c.sentinel), "%v", err)
			assert.Equal(t, c.mayHaveRun, dispatcher.MayHaveRun(err))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		_, err := run(newEngine(), registrar.Endpoint{Address: netip.MustParseAddrPort("127.0.0.1:1")}, dispatcher.Completion{})
		assert.True(t, crdb.Is(err, dispatcher.ErrNotSent))
	})
}

func TestLoadReports(t *testing.T) {
	endpoint := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"weights":"w2","running":3,"queued_tokens":40,"watts":90,"prefill_rate":1000,"loading":true,"leaving":true}`)
	}))
	report, err := newEngine().Load(context.Background(), endpoint.Address, time.Second)
	require.NoError(t, err)
	assert.Equal(t, registrar.Report{
		Version: "w2", Running: 3, QueuedTokens: 40, Watts: 90, PrefillRate: 1000, Loading: true, Leaving: true,
	}, report)
	assert.True(t, registrar.EndpointState{Report: report}.IsLeaving(), "an endpoint that reports leaving gets no new requests")
}

func TestEngineRejectsStaleFencingToken(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		standin := &generator.Server{LoadedWeights: "w1", Fencing: fencing, LoadTime: time.Millisecond}
		endpoint := serve(t, standin)
		engine := newEngine()
		order := func(fencingToken uint64, weights string) error {
			return engine.Order(context.Background(), endpoint.Address, fencingToken, weights, time.Second)
		}
		require.NoError(t, order(7, "w2"))
		require.Eventually(t, func() bool { return standin.Weights() == "w2" }, 10*time.Second, time.Millisecond)
		err := order(6, "w1")
		assert.Equal(t, fencing, crdb.Is(err, dispatcher.ErrRefused), "fencing %t: %v", fencing, err)
	}
}

// TestUnrepeatableCallsUseNewConnections guards against sending a call that can't
// be retried on an idle connection whose peer may be gone.
func TestUnrepeatableCallsUseNewConnections(t *testing.T) {
	var connections []string
	endpoint := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		connections = append(connections, r.RemoteAddr)
	}))
	service := &Service{Pools: &Pools{DialTimeout: time.Second}}
	for _, repeatable := range []bool{true, true, false, false} {
		call := dispatcher.Call{Method: http.MethodPost, Header: http.Header{}, Repeatable: repeatable, Service: configurator.Service{Timeout: time.Second}}
		_, err := service.Do(context.Background(), endpoint, call)
		require.NoError(t, err)
	}
	assert.Equal(t, connections[0], connections[1])
	assert.NotEqual(t, connections[1], connections[2])
	assert.NotEqual(t, connections[2], connections[3])
}
