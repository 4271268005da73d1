package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

const testTimeout = 5 * time.Second

// endpoint is a stand-in that serves each request with a handler and counts
// connections, those that are open, and requests.
type endpoint struct {
	target   sender.Target
	conns    atomic.Int64
	open     atomic.Int64
	requests atomic.Int64
}

// handler serves one request on a connection and reports whether to keep the
// connection open.
type handler func(conn net.Conn, r *http.Request) bool

func newEndpoint(t *testing.T, handle handler) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{target: sender.Target{Address: netip.MustParseAddrPort(listener.Addr().String()), ID: "e1"}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			e.open.Add(1)
			go e.serve(conn, handle)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn, handle handler) {
	defer e.open.Add(-1)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.requests.Add(1)
		if !handle(conn, r) {
			return
		}
	}
}

// respondWith returns a handler that reads the request and writes text, with the
// request's Id in place of ID.
func respondWith(text string) handler {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return err == nil
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nbody"

func request(method, id string, size int) *http.Request {
	r := &http.Request{
		Method: method, URL: &url.URL{Opaque: "/a//b?c=%20"}, Host: "relay.example",
		Header: http.Header{"Id": {id}}, ProtoMajor: 1, ProtoMinor: 1,
	}
	if size > 0 {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
	}
	return r
}

func sendable(method, id string, size int) sender.Request {
	return sender.Request{
		ID: id, Encode: func() *http.Request { return request(method, id, size) },
		Matches: func(response *http.Response, _ bool) bool { return response.Header.Get("Id") == id },
	}
}

func send(t *testing.T, s *sender.Sender, e *endpoint, method, id string, size int) (*sender.Reply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return s.Send(ctx, e.target, sendable(method, id, size))
}

func assertBody(t *testing.T, s *sender.Sender, e *endpoint, id string) {
	t.Helper()
	reply, err := send(t, s, e, http.MethodGet, id, 0)
	require.NoError(t, err)
	defer reply.Close()
	body, err := reply.ReadAll()
	require.NoError(t, err)
	assert.Equal(t, "body", string(body))
	assert.Equal(t, id, reply.Header.Get("Id"))
}

func newSender() *sender.Sender { return &sender.Sender{DialTimeout: time.Second} }

func TestConnectionReuse(t *testing.T) {
	t.Run("idle connections are reused", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(okResponse))
		for i := range 3 {
			assertBody(t, s, e, fmt.Sprint(i))
		}
		assert.EqualValues(t, 1, e.conns.Load())
	})
	t.Run("not beyond the endpoint's idle timeout", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(strings.Replace(okResponse, "Id:", "Keep-Alive: timeout=0\r\nId:", 1)))
		assertBody(t, s, e, "1")
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("not after Connection: close", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(strings.Replace(okResponse, "Id:", "Connection: close\r\nId:", 1)))
		assertBody(t, s, e, "1")
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("not after the endpoint has closed the connection", func(t *testing.T) {
		s := newSender()
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			respondWith(okResponse)(conn, r)
			return false
		})
		assertBody(t, s, e, "1")
		time.Sleep(50 * time.Millisecond)
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.requests.Load())
	})
	t.Run("not with unread bytes", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(okResponse+"HTTP/1.1 200 OK\r\n"))
		assertBody(t, s, e, "1")
		time.Sleep(50 * time.Millisecond)
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("not for another process at the same address", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(okResponse))
		assertBody(t, s, e, "1")
		e.target.ID = "e2"
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
}

func TestResponses(t *testing.T) {
	t.Run("to another request are skipped", func(t *testing.T) {
		mismatch := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
		assertBody(t, newSender(), newEndpoint(t, respondWith(mismatch+okResponse)), "1")
	})
	t.Run("of interim status are skipped", func(t *testing.T) {
		assertBody(t, newSender(), newEndpoint(t, respondWith("HTTP/1.1 103 Early Hints\r\nId: ID\r\n\r\n"+okResponse)), "1")
	})
	t.Run("without a length end when the connection closes", func(t *testing.T) {
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			respondWith("HTTP/1.1 200 OK\r\nId: ID\r\n\r\nbody")(conn, r)
			return false
		})
		assertBody(t, newSender(), e, "1")
	})
	t.Run("that arrive before the request body is written prevent reuse", func(t *testing.T) {
		s := newSender()
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			_, _ = io.WriteString(conn, strings.ReplaceAll(okResponse, "ID", r.Header.Get("Id")))
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
			return true
		})
		reply, err := send(t, s, e, http.MethodPost, "1", 8<<20)
		require.NoError(t, err)
		_, err = reply.ReadAll()
		require.NoError(t, err)
		reply.Close()
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
}

func assertMarked(t *testing.T, err, sentinel error) {
	t.Helper()
	assert.True(t, errors.Is(err, sentinel), "%v", err)
}

func assertBroken(t *testing.T, handle handler) {
	t.Helper()
	e := newEndpoint(t, handle)
	reply, err := send(t, newSender(), e, http.MethodGet, "1", 0)
	if err == nil {
		_, err = reply.ReadAll()
		reply.Close()
		assert.Error(t, err)
	} else {
		assertMarked(t, err, forwarder.ErrBroken)
	}
	assert.EqualValues(t, 1, e.requests.Load(), "request was sent more than once")
}

func TestBrokenResponses(t *testing.T) {
	reset := func(conn net.Conn) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	t.Run("closed without a response", func(t *testing.T) {
		assertBroken(t, func(net.Conn, *http.Request) bool { return false })
	})
	t.Run("reset", func(t *testing.T) {
		assertBroken(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	})
	t.Run("truncated body", func(t *testing.T) {
		assertBroken(t, func(conn net.Conn, r *http.Request) bool {
			respondWith("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nbody")(conn, r)
			return false
		})
	})
	t.Run("chunked body without its last chunk", func(t *testing.T) {
		assertBroken(t, func(conn net.Conn, r *http.Request) bool {
			respondWith("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")(conn, r)
			return false
		})
	})
	t.Run("not HTTP", func(t *testing.T) { assertBroken(t, respondWith("hello\r\n\r\n")) })
	t.Run("only responses to other requests", func(t *testing.T) {
		assertBroken(t, respondWith(strings.Repeat("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n", 9)))
	})
	t.Run("connection refused", func(t *testing.T) {
		e := &endpoint{target: sender.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}}
		_, err := send(t, newSender(), e, http.MethodGet, "1", 0)
		assertMarked(t, err, forwarder.ErrNotSent)
	})
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newSender().Send(ctx, e.target, sendable(http.MethodGet, "1", 0))
	assert.Error(t, err)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("connection is still open after the context was cancelled")
	}
}

func TestRequestTargetIsSentUnchanged(t *testing.T) {
	var target atomic.Value
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		target.Store(r.RequestURI)
		return respondWith(okResponse)(conn, r)
	})
	assertBody(t, newSender(), e, "1")
	assert.Equal(t, "/a//b?c=%20", target.Load())
}
