package admitter_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/admitter"
)

const (
	idleTimeout   = 15 * time.Second
	headerTimeout = 3 * time.Second
	headerBytes   = 16 << 10
)

// pipes is a listener of connections in memory.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	if conn, ok := <-p; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (p pipes) Close() error { close(p); return nil }

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// site is a server with an admitter.
type site struct {
	*admitter.Admitter
	pipes pipes
	mu    sync.Mutex
	// closed counts the closed connections, and served the requests whose bodies were read.
	closed map[admitter.Cause]int
	served int
	idle   time.Duration
	// hold blocks the service of requests to /hold.
	hold chan struct{}
}

// run runs a test with a server that admits up to conns connections, and a memory of unfinished
// requests.
func run(t *testing.T, conns, unfinished int, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{pipes: make(pipes), closed: map[admitter.Cause]int{}, hold: make(chan struct{}), idle: idleTimeout}
		s.Admitter = &admitter.Admitter{
			MaxConns: conns, MaxUnfinished: unfinished, BodyBytes: 16 << 10,
			Limits: func() admitter.Limits {
				s.mu.Lock()
				defer s.mu.Unlock()
				return admitter.Limits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, IdleTimeout: s.idle, BodyTimeout: headerTimeout}
			},
			OnClosed: func(cause admitter.Cause, closed admitter.Closed) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.closed[cause] += closed.N
			},
		}
		server := &http.Server{Handler: s.Handler(s)}
		s.Watch(server)
		ctx, stop := context.WithCancel(t.Context())
		go s.Run(ctx)
		go func() { _ = server.Serve(s.Listener(s.pipes)) }()
		defer func() {
			close(s.hold)
			stop()
			assert.NoError(t, server.Close())
			synctest.Wait()
		}()
		test(t, s)
	})
}

// ServeHTTP implements http.Handler.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refuse" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
	if r.URL.Path == "/hold" {
		<-s.hold
	}
	if r.URL.Path == "/large" {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}
}

// setIdleTimeout changes the configured idle time.
func (s *site) setIdleTimeout(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = d
}

// counts returns the numbers of closed connections by cause, and that of served requests.
func (s *site) counts() (closed map[admitter.Cause]int, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.closed), s.served
}

// assertClosed waits for the next report, and checks the numbers of closed connections by cause.
func (s *site) assertClosed(t *testing.T, want map[admitter.Cause]int) {
	t.Helper()
	time.Sleep(2 * time.Second)
	closed, _ := s.counts()
	assert.Equal(t, want, closed)
}

// open opens a connection and sends a text.
func (s *site) open(t *testing.T, text string) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	s.pipes <- far
	send(near, text)
	return near
}

// send sends a text in the background, as the server may not read it.
func send(conn net.Conn, text string) {
	go func() { _, _ = io.WriteString(conn, text) }()
	synctest.Wait()
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func assertAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	synctest.Wait()
}

func assertOpen(t *testing.T, conn net.Conn, want bool) {
	t.Helper()
	// Deadlines fail on connections that the server has closed.
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	assert.Equal(t, want, errors.As(err, &timeout) && timeout.Timeout(), "read: %v", err)
	_ = conn.SetReadDeadline(time.Time{})
}

// TestTimeouts guards against connections that are kept without end, and against the end of those
// that stay idle for no longer than the configuration allows.
func TestTimeouts(t *testing.T) {
	t.Run("a connection idle for four fifths of the timeout is reused", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			conn := s.open(t, request)
			for range 3 {
				assertAnswer(t, conn)
				time.Sleep(idleTimeout * 4 / 5)
				send(conn, request)
			}
			assertAnswer(t, conn)
		})
	})
	for _, c := range []struct {
		name, text string
		cause      admitter.Cause
		timeout    time.Duration
	}{
		{"a new connection without a request", "", admitter.IdleTimeout, idleTimeout},
		{"an unfinished head", "GET / HTTP/1.1\r\n", admitter.HeaderTimeout, headerTimeout},
		{"an unfinished body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", admitter.BodyTimeout, headerTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 10, 1<<20, func(t *testing.T, s *site) {
				conn := s.open(t, c.text)
				time.Sleep(c.timeout * 9 / 10)
				assertOpen(t, conn, true)
				time.Sleep(c.timeout/10 + 3*time.Second)
				assertOpen(t, conn, false)
				s.assertClosed(t, map[admitter.Cause]int{c.cause: 1})
				_, served := s.counts()
				assert.Zero(t, served)
			})
		})
	}
}

// TestHeaderBytes guards against heads that are larger than the configuration allows.
func TestHeaderBytes(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		large bool
	}{"legal": {headerBytes - 100, false}, "too large": {headerBytes + 8<<10, true}} {
		t.Run(name, func(t *testing.T) {
			run(t, 10, 1<<20, func(t *testing.T, s *site) {
				time.Sleep(time.Second)
				conn := s.open(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", c.size)+"\r\n\r\n")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				if c.large {
					assert.Equal(t, http.StatusBadRequest, response.StatusCode)
					s.assertClosed(t, map[admitter.Cause]int{admitter.HeaderBytes: 1})
					return
				}
				assert.Equal(t, http.StatusOK, response.StatusCode)
				s.assertClosed(t, map[admitter.Cause]int{})
			})
		})
	}
}

// TestRefusedBodyIsNotAskedFor guards against a server that asks for the body of a request that it
// has refused.
func TestRefusedBodyIsNotAskedFor(t *testing.T) {
	run(t, 10, 1<<20, func(t *testing.T, s *site) {
		assertAnswer(t, s.open(t, "POST /refuse HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n"))
	})
}

// TestConns guards against a crowd that takes all connections from callers that finish what they
// begin, and against the end of requests that are being served.
func TestConns(t *testing.T) {
	t.Run("the one with the least progress is closed", func(t *testing.T) {
		run(t, 3, 1<<20, func(t *testing.T, s *site) {
			idle := s.open(t, request)
			assertAnswer(t, idle)
			slow := s.open(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nx")
			fast := s.open(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("x", 800000))
			time.Sleep(time.Second)
			assertAnswer(t, s.open(t, request))
			assertOpen(t, slow, false)
			assertOpen(t, fast, true)
			assertOpen(t, idle, true)
			s.assertClosed(t, map[admitter.Cause]int{admitter.Conns: 1})
		})
	})
	t.Run("no request that is served is ended", func(t *testing.T) {
		run(t, 2, 1<<20, func(t *testing.T, s *site) {
			held := []net.Conn{s.open(t, strings.Replace(request, "/", "/hold", 1)), s.open(t, strings.Replace(request, "/", "/hold", 1))}
			time.Sleep(time.Second)
			assertOpen(t, s.open(t, request), false)
			for _, conn := range held {
				assertOpen(t, conn, true)
			}
		})
	})
	t.Run("a caller that does not read its answer is closed", func(t *testing.T) {
		run(t, 1, 1<<20, func(t *testing.T, s *site) {
			conn := s.open(t, strings.Replace(request, "/", "/large", 1))
			time.Sleep(2 * time.Second)
			assertAnswer(t, s.open(t, request))
			_, err := io.Copy(io.Discard, conn)
			assert.NoError(t, err)
			s.assertClosed(t, map[admitter.Cause]int{admitter.Conns: 1})
		})
	})
}

// TestUnfinishedCountByArrival guards against bounds on what may still arrive, which many small
// requests at once would reach. Of the large heads, each of which takes 54 KiB, 18 fit in 1 MiB.
func TestUnfinishedCountByArrival(t *testing.T) {
	for name, c := range map[string]struct {
		size   int
		closed map[admitter.Cause]int
	}{"small": {100, map[admitter.Cause]int{}}, "large": {10 << 10, map[admitter.Cause]int{admitter.Unfinished: 82}}} {
		t.Run(name, func(t *testing.T) {
			run(t, 1000, 1<<20, func(t *testing.T, s *site) {
				for range 100 {
					s.open(t, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", c.size))
				}
				s.assertClosed(t, c.closed)
			})
		})
	}
}

// TestUnfinished guards against a crowd of unfinished requests, each of which holds memory.
func TestUnfinished(t *testing.T) {
	run(t, 100, 10<<10, func(t *testing.T, s *site) {
		head := s.open(t, "GET / HTTP/1.1\r\n")
		time.Sleep(time.Second)
		body := s.open(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
		assertOpen(t, head, true)
		assertAnswer(t, s.open(t, request))
		assertOpen(t, head, false)
		time.Sleep(time.Second)
		send(body, "x")
		assertAnswer(t, body)
		s.assertClosed(t, map[admitter.Cause]int{admitter.Unfinished: 1})
		_, served := s.counts()
		assert.Equal(t, 2, served)
	})
}
