package dialer

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	crdb "github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// floodBytes is the number of bytes after which an endpoint ends its endless answer by
// falling silent.
const floodBytes = 128 << 20

// flood returns a handler that answers with head and then unit without end, and counts the
// bytes.
func flood(head, unit string, written *atomic.Int64) http.HandlerFunc {
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = conn.Write([]byte(head))
		for err == nil && written.Load() < floodBytes {
			var n int
			n, err = conn.Write(block)
			written.Add(int64(n))
		}
		_, _ = conn.Read(make([]byte, 1))
	}
}

// answerRaw returns a handler that answers with text and ends the connection.
func answerRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = conn.Write([]byte(text))
			_ = conn.Close()
		}
	}
}

// TestMalformedHeads guards against answers of plain services that are delivered although their heads are none.
func TestMalformedHeads(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 Down\r\nContent-Length: 4\r\n\r\nbody",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"blank in a name":        "HTTP/1.1 200 OK\r\nSome thing: a\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			call := dispatcher.Call{Method: http.MethodGet, Target: "/", Header: http.Header{}, Service: configurator.Service{Timeout: time.Second}}
			response, err := (&Service{Pools: &Pools{DialTimeout: time.Second}}).Do(t.Context(), serve(t, answerRaw(text)), call)
			require.Error(t, err, "%d %q", response.Status, response.Body)
			assert.True(t, crdb.Is(err, dispatcher.ErrMalformed), "%v", err)
		})
	}
}

// TestEndlessAnswers makes each kind of call to an endpoint that answers without end.
func TestEndlessAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	pools := &Pools{DialTimeout: time.Second}
	complete := func(endpoint registrar.Endpoint) error {
		_, err := run(&Engine{Pools: pools}, endpoint, dispatcher.Completion{})
		return err
	}
	serviceCall := func(endpoint registrar.Endpoint) error {
		call := dispatcher.Call{Method: http.MethodGet, Target: "/", Header: http.Header{}, Service: configurator.Service{Timeout: time.Second}}
		_, err := (&Service{Pools: pools}).Do(context.Background(), endpoint, call)
		return err
	}
	load := func(endpoint registrar.Endpoint) error {
		_, err := (&Engine{Pools: pools}).Load(context.Background(), endpoint.Address, 2*time.Second)
		return err
	}
	hosts := func(endpoint registrar.Endpoint) error {
		_, err := (&Hosts{Address: endpoint.Address, HTTP: &http.Client{Timeout: 2 * time.Second}}).List(context.Background())
		return err
	}
	for name, c := range map[string]struct {
		call       func(endpoint registrar.Endpoint) error
		head, unit string
		malformed  bool
	}{
		"stream line":        {complete, ok + "\r\ndata: ", "x", true},
		"stream header":      {complete, ok, "A: b\r\n", false},
		"stream status line": {complete, "HTTP/1.1 200 ", "x", false},
		"service body":       {serviceCall, ok + "\r\n", "x", true},
		"service header":     {serviceCall, ok, "A: b\r\n", false},
		"load report":        {load, ok + "\r\n\"", "x", false},
		"host list":          {hosts, ok + "\r\n\"", "x", false},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			began := time.Now()
			err := c.call(serve(t, flood(c.head, c.unit, &written)))
			require.Error(t, err)
			assert.Less(t, time.Since(began), 2*time.Second)
			assert.Less(t, written.Load(), int64(floodBytes))
			if c.malformed {
				assert.True(t, crdb.Is(err, dispatcher.ErrBroken), "%v", err)
				assert.True(t, crdb.Is(err, dispatcher.ErrMalformed), "%v", err)
			}
		})
	}
}
