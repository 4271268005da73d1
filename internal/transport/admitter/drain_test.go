package admitter_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/admitter"
)

// starvedConn is a connection at a host with little processor time: what a read returns is handled
// only after a delay.
type starvedConn struct {
	net.Conn
	delay time.Duration
}

func (c starvedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// openStarved opens a starved connection on which a request was served.
func (s *site) openStarved(t *testing.T, delay time.Duration) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	s.pipes <- starvedConn{far, delay}
	send(near, request)
	assertAnswer(t, near)
	return near
}

// TestRequestAtIdleTimeout guards against requests that are lost as the idle time of their
// connections ends.
func TestRequestAtIdleTimeout(t *testing.T) {
	t.Run("one that has been read is answered", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			conn := s.openStarved(t, 2*time.Second)
			time.Sleep(idleTimeout - 500*time.Millisecond)
			send(conn, request)
			assertAnswer(t, conn)
		})
	})
	t.Run("one that comes within the idle time that held when the last one was answered is answered", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			time.Sleep(time.Second)
			conn := s.open(t, request)
			assertAnswer(t, conn)
			s.setIdleTimeout(idleTimeout / 5)
			time.Sleep(idleTimeout * 4 / 5)
			send(conn, request)
			assertAnswer(t, conn)
			time.Sleep(idleTimeout*4/5 + time.Second)
			assertOpen(t, conn, false)
		})
	})
}

// drain drains the site in the background.
func (s *site) drain(t *testing.T) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	go func() { done <- s.Drain(ctx) }()
	synctest.Wait()
	return done
}

// TestDrain guards against requests that are lost in a planned stop, and against a stop that waits
// for connections without one.
func TestDrain(t *testing.T) {
	t.Run("a request that has been read is answered", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			conn := s.openStarved(t, time.Second)
			send(conn, request)
			done := s.drain(t)
			assertAnswer(t, conn)
			assert.NoError(t, <-done)
		})
	})
	t.Run("a request that is read in part keeps its connection", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			conn := s.open(t, request[:20])
			done := s.drain(t)
			time.Sleep(2 * time.Second)
			send(conn, request[20:])
			assertAnswer(t, conn)
			assert.NoError(t, <-done)
		})
	})
	t.Run("idle connections are closed, and none is served after that", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			idle := s.open(t, request)
			assertAnswer(t, idle)
			held := s.open(t, strings.Replace(request, "/", "/hold", 1))
			done := s.drain(t)
			time.Sleep(100 * time.Millisecond)
			assertOpen(t, idle, false)
			_, err := idle.Write([]byte(request))
			assert.Error(t, err)
			s.hold <- struct{}{}
			assertAnswer(t, held)
			assert.NoError(t, <-done)
			_, served := s.counts()
			assert.Equal(t, 2, served)
		})
	})
	t.Run("a connection that has carried nothing is served while requests run, and then closed", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			first, second := s.open(t, ""), s.open(t, "")
			held := s.open(t, strings.Replace(request, "/", "/hold", 1))
			done := s.drain(t)
			time.Sleep(3 * time.Second)
			send(first, request)
			assertAnswer(t, first)
			assertOpen(t, second, true)
			s.hold <- struct{}{}
			assertAnswer(t, held)
			assert.NoError(t, <-done)
			assertOpen(t, second, false)
		})
	})
	t.Run("ends with the context", func(t *testing.T) {
		run(t, 10, 1<<20, func(t *testing.T, s *site) {
			s.open(t, strings.Replace(request, "/", "/hold", 1))
			assert.ErrorIs(t, <-s.drain(t), context.DeadlineExceeded)
		})
	})
}

// TestEnded guards against requests that end without a trace of the cause.
func TestEnded(t *testing.T) {
	run(t, 1, 1<<20, func(t *testing.T, s *site) {
		ended := make(chan admitter.Ended, 1)
		s.OnEnded = func(_ *http.Request, e admitter.Ended) { ended <- e }
		send(s.openStarved(t, time.Second), request)
		assertAnswer(t, s.open(t, request))
		assert.Equal(t, admitter.Conns, (<-ended).Cause)
	})
}
