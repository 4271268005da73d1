package dialer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	crdb "github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// cutServer answers with the first n bytes of text and ends the connection.
type cutServer struct {
	text   string
	n      atomic.Int64
	resets bool
	// calls counts the requests.
	calls atomic.Int64
}

// keepPath is the path of requests with a whole answer, whose connections are kept.
const keepPath = "/keep"

// ServeHTTP implements http.Handler.
func (c *cutServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == keepPath {
		return
	}
	c.calls.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, c.text[:c.n.Load()])
	if c.resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// framed returns the answers with a body, by framing.
func framed(body string) map[string]string {
	half := len(body) / 2
	chunk := func(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	return map[string]string{
		"length":         head + body,
		"length, LF":     strings.ReplaceAll(head, "\r", "") + body,
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n",
		"none":           "HTTP/1.1 200 OK\r\n\r\n" + body,
		"interim answer": "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + head + body,
	}
}

// callService calls a plain service and returns the body of its answer.
func callService(repeatable bool) func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
	return func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
		call := dispatcher.Call{
			Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: []byte("x"), Repeatable: repeatable,
			Service: configurator.Service{Timeout: 5 * time.Second},
		}
		response, err := (&Service{Pools: pools}).Do(context.Background(), endpoint, call)
		return string(response.Body), err
	}
}

// cutCalls are the calls of a node, with the body of an answer and what a call makes of it.
var cutCalls = map[string]struct {
	body, want string
	make       func(pools *Pools, endpoint registrar.Endpoint) (got string, err error)
	// opaque is set if nothing in a body shows whether it is whole.
	opaque bool
}{
	"prompt": {
		`data: {"index":0,"choices":[{"delta":{"content":"ab"}}]}` + "\n\n" +
			`data: {"choices":[],"usage":{"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n",
		"ab", func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
			return run(&Engine{Pools: pools}, endpoint, dispatcher.Completion{StallTimeout: 5 * time.Second})
		}, false,
	},
	"call":           {"whole", "whole", callService(false), true},
	"call to repeat": {"whole", "whole", callService(true), true},
	"load report": {`{"weights":"w","running":3}`, "w 3", func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
		report, err := (&Engine{Pools: pools}).Load(context.Background(), endpoint.Address, 5*time.Second)
		return fmt.Sprint(report.Version, " ", report.Running), err
	}, false},
	"cache events": {`{"next":3,"events":[{"sequence":2,"type":"t","block":"b"}]}`, "1", func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
		events, err := (&Engine{Pools: pools}).Events(context.Background(), endpoint.Address, 1, 5*time.Second)
		return fmt.Sprint(len(events)), err
	}, false},
	"list of blobs": {`{"blobs":[{"name":"d-x","idle_ms":1}]}`, "1", func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
		names, err := (&Store{Pools: pools}).ListData(context.Background(), endpoint.Address)
		return fmt.Sprint(len(names)), err
	}, false},
	"list of manifests": {
		`{"blobs":[{"name":"m-x","idle_ms":1,"data":"` + encodedManifest + `"}]}`, "1",
		func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
			manifests, err := (&Store{Pools: pools}).FindManifests(context.Background(), endpoint.Address, []fingerprinter.Block{"x"})
			return fmt.Sprint(len(manifests)), err
		}, false,
	},
	"usage of a store": {`{"bytes":1,"capacity":2}`, "1 2", func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
		used, capacity, err := (&Store{Pools: pools}).Usage(context.Background(), endpoint.Address)
		return fmt.Sprint(used, " ", capacity), err
	}, false},
	"import of blocks": {`{"items":[{"block":"x"}]}`, "false", func(pools *Pools, endpoint registrar.Endpoint) (string, error) {
		done, err := (&Engine{Pools: pools}).Import(context.Background(), endpoint, []archiver.Transfer{{Block: "x"}})
		if err != nil {
			return "", err
		}
		return fmt.Sprint(done[0].Failed), nil
	}, false},
	"list of hosts": {`{"hosts":[{"name":"a","address":"127.0.0.1:1"}]}`, "1", func(_ *Pools, endpoint registrar.Endpoint) (string, error) {
		hosts, err := (&Hosts{Address: endpoint.Address, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}).List(context.Background())
		return fmt.Sprint(len(hosts)), err
	}, false},
}

// encodedManifest is {"block":"x","data":"d","bytes":1,"checksum":"c"} in base64.
const encodedManifest = "eyJibG9jayI6IngiLCJkYXRhIjoiZCIsImJ5dGVzIjoxLCJjaGVja3N1bSI6ImMifQ=="

// TestAnswersCutInTheHead guards against answers that broke off in their heads, or later, and are
// taken for whole or empty ones.
func TestAnswersCutInTheHead(t *testing.T) {
	for name, c := range cutCalls {
		for framing, text := range framed(c.body) {
			for _, resets := range []bool{false, true} {
				if !c.opaque && (strings.Contains(framing, " ") || resets && framing == "length") {
					// What package http makes of these does not depend on the call.
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, framing, resets), func(t *testing.T) {
					t.Parallel()
					server := &cutServer{text: text, resets: resets}
					listening := httptest.NewServer(server)
					t.Cleanup(listening.Close)
					endpoint := registrar.Endpoint{Name: "e", Address: netip.MustParseAddrPort(listening.Listener.Addr().String())}
					for n := range len(text) + 1 {
						server.n.Store(int64(n))
						pools := &Pools{DialTimeout: 5 * time.Second}
						if n%2 == 1 {
							keepConn(t, pools, endpoint)
						}
						server.calls.Store(0)
						got, err := c.make(pools, endpoint)
						assert.EqualValues(t, 1, server.calls.Load(), "requests")
						pools.Discard(endpoint.Address)
						unframed := framing == "none" && n >= strings.Index(text, c.body)
						switch {
						case err == nil && c.opaque && unframed && !resets:
							assert.Equal(t, text[strings.Index(text, c.body):n], got)
						case err == nil:
							assert.Equal(t, c.want, got, "%d bytes of %q", n, text)
							// The end of the framing may be cut, but nothing of what it frames.
							assert.Contains(t, unchunked(text[:n]), strings.TrimSpace(c.body))
						case n == len(text):
							assert.True(t, resets, "%+v", err)
						}
						if framing != "none" && n < len(text) && c.opaque {
							assert.True(t, crdb.Is(err, dispatcher.ErrBroken), "%v", err)
						}
					}
				})
			}
		}
	}
}

// keepConn leaves an idle connection to the endpoint.
func keepConn(t *testing.T, pools *Pools, endpoint registrar.Endpoint) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, endpointURL(endpoint.Address, keepPath), http.NoBody)
	require.NoError(t, err)
	response, err := pools.get(endpoint.Address).RoundTrip(r)
	require.NoError(t, err)
	drainBody(response.Body)
}

// unchunked removes the lines of chunk sizes within a text.
func unchunked(text string) string {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	if !strings.Contains(head, "chunked") {
		return text
	}
	whole, _ := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(body)))
	return string(whole)
}
