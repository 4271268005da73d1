package sender_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// TestMalformedHeads guards against heads that are none by the protocol and are taken for those of answers, or
// skipped.
func TestMalformedHeads(t *testing.T) {
	const ok, length, chunks = "HTTP/1.1 200 OK", "Content-Length: 4", "4\r\nbody\r\n0\r\n\r\n"
	for name, answer := range map[string]struct{ status, fields, body string }{
		"status 000":                        {"HTTP/1.1 000 Down", length, "body"},
		"status 000 without a body":         {"HTTP/1.1 000 Down", "Content-Length: 0", ""},
		"status 099":                        {"HTTP/1.1 099 Down", length, "body"},
		"status with a sign":                {"HTTP/1.1 +20 Down", length, "body"},
		"status 600":                        {"HTTP/1.1 600 Down", length, "body"},
		"other protocol version":            {"HTTP/2.0 200 OK", length, "body"},
		"blank before the colon":            {ok, "Content-Length : 4", "body"},
		"blank in a name":                   {ok, "Content Length: 4\r\nContent-Length: 4", "body"},
		"tab in a name":                     {ok, "Content\tType: a\r\nContent-Length: 4", "body"},
		"control byte in a name":            {ok, "Content\x01Type: a\r\nContent-Length: 4", "body"},
		"control byte in a value":           {ok, "Content-Type: a\x00b\r\nContent-Length: 4", "body"},
		"blank behind the name of a coding": {ok, "Transfer-Encoding : chunked", chunks},
		"coding in HTTP/1.0":                {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked", chunks},
		"coding in HTTP/1.0, long head":     {"HTTP/1.0 200 OK", "A: " + strings.Repeat("a", 8<<10) + "\r\ntransfer-encoding: chunked", chunks},
	} {
		for _, before := range []string{"", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s, interim %t", name, before != ""), func(t *testing.T) {
				t.Parallel()
				assertMalformed(t, newEndpoint(t, respondWith(before+answer.status+"\r\nId: ID\r\n"+answer.fields+"\r\n\r\n"+answer.body)))
			})
		}
	}
	t.Run("interim response", func(t *testing.T) {
		assertMalformed(t, newEndpoint(t, respondWith("HTTP/1.1 103 Hints\r\nA b: c\r\n\r\n"+okResponse)))
	})
}

// assertMalformed checks that the answer of an endpoint is given up at once.
func assertMalformed(t *testing.T, e *endpoint) {
	t.Helper()
	began := time.Now()
	body, err := sendAndRead(t, &sender.Sender{DialTimeout: testTimeout}, e, strings.Repeat("1", 8))
	require.Error(t, err, "%q", body)
	assert.True(t, errors.Is(err, forwarder.ErrMalformed), "%v", err)
	assert.Less(t, time.Since(began), testTimeout/2)
}
