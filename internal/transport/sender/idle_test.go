package sender_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBytesWithoutEndOnIdleConnections covers endpoints that go on sending after a complete
// answer on a connection that is kept.
func TestBytesWithoutEndOnIdleConnections(t *testing.T) {
	kept := strings.Replace(okResponse, "Id:", "Keep-Alive: timeout=1000000\r\nId:", 1)
	t.Run("are not read, and their connection is closed", func(t *testing.T) {
		var total atomic.Int64
		endless := flood("", "x", &total)
		s, e := newSender(), newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
			respondWith(kept)(conn, r)
			time.Sleep(30 * time.Millisecond)
			return endless(conn, r)
		})
		assertBody(t, s, e, "1")
		assert.Eventually(t, func() bool {
			s.CloseExpired(time.Now())
			return e.open.Load() == 0
		}, noticeTime, 50*time.Millisecond, "connection is still open")
		assert.Less(t, total.Load(), int64(socketBytes))
	})
	t.Run("do not reach the next request", func(t *testing.T) {
		var total atomic.Int64
		s, e := newSender(), newEndpoint(t, flood(kept, okResponse, &total))
		assertBody(t, s, e, "1")
		time.Sleep(20 * time.Millisecond)
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
	t.Run("idle connections without bytes are kept", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(kept))
		assertBody(t, s, e, "1")
		s.CloseExpired(time.Now())
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 1, e.conns.Load())
	})
	t.Run("an endpoint's idle timeout is bounded", func(t *testing.T) {
		s, e := newSender(), newEndpoint(t, respondWith(kept))
		assertBody(t, s, e, "1")
		s.CloseExpired(time.Now().Add(time.Hour))
		assertBody(t, s, e, "2")
		assert.EqualValues(t, 2, e.conns.Load())
	})
}
