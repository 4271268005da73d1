package sender_test

import (
	"io"
	"net"
	"net/http"
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

const (
	// floodBytes is the number of bytes after which an endpoint ends its endless answer by
	// falling silent, so that a test without bounds fails instead of taking all memory.
	floodBytes = 128 << 20
	// socketBytes is the most that the sockets at both ends take of an answer that is not
	// read.
	socketBytes = 40 << 20
	noticeTime  = 3 * time.Second
)

// flood returns a handler that answers each request with head and then unit without end,
// until the connection is closed. It adds the bytes written to total.
func flood(head, unit string, total *atomic.Int64) handler {
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	return func(conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("Id")))
		for written := 0; err == nil && written < floodBytes; {
			var n int
			n, err = conn.Write(block)
			written += n
			total.Add(int64(n))
		}
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
}

// readWhole sends a request and reads the whole answer.
func readWhole(t *testing.T, s *sender.Sender, e *endpoint, id string) ([]byte, error) {
	t.Helper()
	reply, err := send(t, s, e, http.MethodGet, id, 0)
	if err != nil {
		return nil, err
	}
	defer reply.Close()
	return reply.ReadAll()
}

const okHead = "HTTP/1.1 200 OK\r\nId: ID\r\n"

// endlessAnswers holds answers without end, as pairs of a beginning and what is repeated.
var endlessAnswers = map[string][2]string{
	"bytes that are no answer":    {"", "x"},
	"status line":                 {"HTTP/1.1 200 ", "O"},
	"header line":                 {"HTTP/1.1 200 OK\r\nId: ", "x"},
	"header lines":                {okHead, "A: b\r\n"},
	"interim answers":             {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"header lines of an interim":  {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
	"answers to other requests":   {"", "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 2\r\n\r\nok"},
	"answer to another request":   {"HTTP/1.1 200 OK\r\nId: x\r\n\r\n", "x"},
	"body without length":         {okHead + "\r\n", "x"},
	"body with a length":          {okHead + "Content-Length: 1000000000000\r\n\r\n", "x"},
	"chunks":                      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
	"one chunk":                   {okHead + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "x"},
	"chunk size":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":             {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	"chunk extensions":            {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n"},
	"trailer lines":               {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "A: b\r\n"},
	"trailer line":                {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: ", "x"},
	"bytes in place of a chunk":   {okHead + "Transfer-Encoding: chunked\r\n\r\n", "x"},
	"bytes after the last chunk":  {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "x"},
	"bytes after a chunk's end":   {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody", "x"},
	"lines that are no header":    {okHead, "x\r\n"},
	"status lines without a code": {"HTTP/1.1 ", "x\r\n"},
}

func TestEndlessAnswers(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			var total atomic.Int64
			e := newEndpoint(t, flood(answer[0], answer[1], &total))
			began := time.Now()
			_, err := readWhole(t, newSender(), e, "1")
			require.Error(t, err)
			assert.Less(t, time.Since(began), noticeTime)
			assertMarked(t, err, forwarder.ErrBroken)
			assertMarked(t, err, forwarder.ErrMalformed)
			assert.False(t, errors.Is(err, forwarder.ErrNotSent))
			assertConnectionsEnd(t, e)
			assert.Less(t, total.Load(), int64(16<<20+socketBytes))
		})
	}
}

// assertConnectionsEnd waits until all connections to an endpoint have ended.
func assertConnectionsEnd(t *testing.T, e *endpoint) {
	t.Helper()
	assert.Eventually(t, func() bool { return e.open.Load() == 0 }, noticeTime, 5*time.Millisecond, "connection is still open")
}

// TestBytesThatEndWithTheirConnection tells answers that an endpoint may have crashed under
// from bytes that are no answer.
func TestBytesThatEndWithTheirConnection(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		malformed bool
	}{
		"no byte":                       {"", false},
		"part of the version":           {"HTT", false},
		"part of the status line":       {"HTTP/1.1 2", false},
		"part of the head":              {okHead + "A: ", false},
		"part of the body":              {okHead + "Content-Length: 9\r\n\r\nbody", false},
		"part of a chunk":               {okHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody", false},
		"chunks without the last":       {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		"a word":                        {"no", true},
		"a line":                        {"hello\r\n\r\n", true},
		"a head that is none":           {"HTTP/1.1 200 OK\r\nhello\r\n\r\n", true},
		"a status that is none":         {"HTTP/1.1 hello\r\n\r\n", true},
		"a length that is none":         {okHead + "Content-Length: x\r\n\r\n", true},
		"chunks that are none":          {okHead + "Transfer-Encoding: chunked\r\n\r\nhello\r\n\r\n", true},
		"answers to other requests":     {strings.Repeat("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n", 9), true},
		"an answer to another request":  {"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n", false},
		"a body over the largest":       {okHead + "Content-Length: 99999999999\r\n\r\nx", true},
		"an encoding that is not known": {okHead + "Transfer-Encoding: x\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				respondWith(c.text)(conn, r)
				return false
			})
			_, err := readWhole(t, newSender(), e, "1")
			require.Error(t, err)
			assertMarked(t, err, forwarder.ErrBroken)
			assert.Equal(t, c.malformed, errors.Is(err, forwarder.ErrMalformed), "%v", err)
		})
	}
}
