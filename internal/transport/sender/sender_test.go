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

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

const patience = 5 * time.Second

// endpoint stands in for a back end that answers each request with a script's
// bytes.
type endpoint struct {
	target   sender.Target
	conns    atomic.Int64
	requests atomic.Int64
}

// script handles one request on a connection; false closes it.
type script func(conn net.Conn, r *http.Request) bool

func newEndpoint(t *testing.T, handle script) *endpoint {
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
			go e.serve(conn, handle)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn, handle script) {
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

// answer is a script that reads the request and writes text.
func answer(text string) script {
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return err == nil
	}
}

const good = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nbody"

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

func own(id string) sender.Own {
	return func(response *http.Response) bool { return response.Header.Get("Id") == id }
}

func send(t *testing.T, s *sender.Sender, e *endpoint, method, id string, size int) (*sender.Reply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	return s.Send(ctx, e.target, request(method, id, size), own(id))
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

func TestConnections(t *testing.T) {
	t.Run("are kept", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, answer(good))
		for i := range 3 {
			assertBody(t, s, e, fmt.Sprint(i))
		}
		assert.EqualValues(t, 1, e.conns.Load())
	})
	t.Run("are not kept beyond the endpoint's idle time", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, answer(strings.Replace(good, "Id:", "Keep-Alive: timeout=0\r\nId:", 1)))
		assertBody(t, s, e, "1")
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("are not kept when the endpoint closes", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, answer(strings.Replace(good, "Id:", "Connection: close\r\nId:", 1)))
		assertBody(t, s, e, "1")
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("that the endpoint has closed are not used", func(t *testing.T) {
		s := newSender()
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			answer(good)(conn, r)
			return false
		})
		assertBody(t, s, e, "1")
		time.Sleep(50 * time.Millisecond)
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.requests.Load())
	})
	t.Run("with stray bytes are not used", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, answer(good+"HTTP/1.1 200 OK\r\n"))
		assertBody(t, s, e, "1")
		time.Sleep(50 * time.Millisecond)
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("of one process are not used for the next at its address", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, answer(good))
		assertBody(t, s, e, "1")
		e.target.ID = "e2"
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
}

func TestAnswers(t *testing.T) {
	t.Run("to another request are passed over", func(t *testing.T) {
		stray := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
		assertBody(t, newSender(), newEndpoint(t, answer(stray+good)), "1")
	})
	t.Run("of interim status are passed over", func(t *testing.T) {
		assertBody(t, newSender(), newEndpoint(t, answer("HTTP/1.1 103 Early Hints\r\nId: ID\r\n\r\n"+good)), "1")
	})
	t.Run("without length end with the connection", func(t *testing.T) {
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			answer("HTTP/1.1 200 OK\r\nId: ID\r\n\r\nbody")(conn, r)
			return false
		})
		assertBody(t, newSender(), e, "1")
	})
	t.Run("that come before the body was read leave the connection unused", func(t *testing.T) {
		s := newSender()
		e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			_, _ = io.WriteString(conn, strings.ReplaceAll(good, "ID", r.Header.Get("Id")))
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

func assertBroken(t *testing.T, handle script) {
	t.Helper()
	e := newEndpoint(t, handle)
	reply, err := send(t, newSender(), e, http.MethodGet, "1", 0)
	if err == nil {
		_, err = reply.ReadAll()
		reply.Close()
		assert.Error(t, err)
	} else {
		assertMarked(t, err, exchanger.ErrBroken)
	}
	assert.EqualValues(t, 1, e.requests.Load(), "sent again")
}

func TestBroken(t *testing.T) {
	reset := func(conn net.Conn) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	t.Run("closed without an answer", func(t *testing.T) {
		assertBroken(t, func(net.Conn, *http.Request) bool { return false })
	})
	t.Run("reset", func(t *testing.T) {
		assertBroken(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	})
	t.Run("short body", func(t *testing.T) {
		assertBroken(t, func(conn net.Conn, r *http.Request) bool {
			answer("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nbody")(conn, r)
			return false
		})
	})
	t.Run("chunks without end", func(t *testing.T) {
		assertBroken(t, func(conn net.Conn, r *http.Request) bool {
			answer("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")(conn, r)
			return false
		})
	})
	t.Run("no HTTP", func(t *testing.T) { assertBroken(t, answer("hello\r\n\r\n")) })
	t.Run("only answers to others", func(t *testing.T) {
		assertBroken(t, answer(strings.Repeat("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n", 9)))
	})
	t.Run("nobody listens", func(t *testing.T) {
		e := &endpoint{target: sender.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}}
		_, err := send(t, newSender(), e, http.MethodGet, "1", 0)
		assertMarked(t, err, exchanger.ErrNotSent)
	})
}

func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := newSender().Send(ctx, e.target, request(http.MethodGet, "1", 0), own("1"))
	assert.Error(t, err)
	select {
	case <-gone:
	case <-time.After(patience):
		t.Error("endpoint still holds the connection")
	}
}

func TestTargetIsSentAsWritten(t *testing.T) {
	var target atomic.Value
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		target.Store(r.RequestURI)
		return answer(good)(conn, r)
	})
	assertBody(t, newSender(), e, "1")
	assert.Equal(t, "/a//b?c=%20", target.Load())
}
