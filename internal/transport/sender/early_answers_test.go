package sender_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

// uploadBytes does not fit into the buffers of a connection.
const uploadBytes = 16 << 20

// answerEarly answers a request whose body has not been read, without a length, and then ends the
// connection with end.
func answerEarly(t *testing.T, end func(conn *net.TCPConn)) *endpoint {
	t.Helper()
	return newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nServer: s\r\n\r\npart", r.Header.Get("Id"))
		// The goroutine that writes the request waits for room then.
		time.Sleep(50 * time.Millisecond)
		end(conn.(*net.TCPConn))
		return false
	})
}

// readLate reads an answer once its endpoint has ended the connection.
func readLate(t *testing.T, e *endpoint) (string, error) {
	t.Helper()
	reply, err := send(t, &sender.Sender{DialTimeout: testTimeout}, e, http.MethodPost, "1", uploadBytes)
	require.NoError(t, err)
	defer reply.Close()
	time.Sleep(150 * time.Millisecond)
	body, err := reply.ReadAll()
	return string(body), err
}

// TestResetWhileRequestIsWritten guards against a truncated answer without a length that is taken for a whole one
// since the reset of its connection was reported to the goroutine that writes the request.
func TestResetWhileRequestIsWritten(t *testing.T) {
	body, err := readLate(t, answerEarly(t, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }))
	require.Error(t, err, "%q", body)
	assert.True(t, errors.Is(err, forwarder.ErrBroken), "%v", err)
	assert.False(t, errors.Is(err, forwarder.ErrMalformed), "%v", err)
}

// TestEndWhileRequestIsWritten guards against whole answers without a length that are lost since the
// request is still being written.
func TestEndWhileRequestIsWritten(t *testing.T) {
	released := make(chan struct{})
	t.Cleanup(func() { close(released) })
	for name, end := range map[string]func(conn *net.TCPConn){
		"the endpoint reads on":         func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) },
		"the endpoint reads no further": func(conn *net.TCPConn) { _ = conn.CloseWrite(); <-released },
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			body, err := readLate(t, answerEarly(t, end))
			require.NoError(t, err)
			assert.Equal(t, "part", body)
			assert.Less(t, time.Since(began), testTimeout/2)
		})
	}
}
