package sender_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

const cutBody = "whole body"

// framings are answers with ID in place of the request's id. least is the number of bytes from
// which on one is whole or, without a length, can't be told from a whole one.
func framings() map[string]struct {
	text  string
	least int
} {
	const start = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(cutBody), cutBody)
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n5;a=b\r\n body\r\n0\r\n\r\n"
	unframed := start + "Server: s\r\n\r\n" + cutBody
	lf := strings.ReplaceAll(length, "\r", "")
	return map[string]struct {
		text  string
		least int
	}{
		"length":               {length, len(length)},
		"length, LF":           {lf, len(lf)},
		"chunked":              {chunked, len(chunked)},
		"chunked with trailer": {strings.TrimSuffix(chunked, "\r\n") + "A: b\r\n\r\n", len(chunked) + len("A: b\r\n")},
		"none":                 {unframed, strings.Index(unframed, "\r\n\r\n") + 4},
		"none, HTTP/1.0":       {strings.Replace(unframed, "1.1", "1.0", 1), strings.Index(unframed, "\r\n\r\n") + 4},
	}
}

// cutEndpoint answers requests whose id is "cut" with the first n bytes of text, and ends the
// connection, and others with a whole answer.
func cutEndpoint(t *testing.T, text string, n int, resets bool) *endpoint {
	t.Helper()
	return newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("Id") != "cut" {
			return respondWith(okResponse)(conn, r)
		}
		// Unread bytes would make the close a reset.
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", "cut")[:n])
		if resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
}

// TestAnswersCutInTheHead guards against answers that broke off in their heads, or later, and are
// taken for whole ones.
func TestAnswersCutInTheHead(t *testing.T) {
	const interim = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"
	for name, framing := range framings() {
		for _, before := range []string{"", interim} {
			for _, kept := range []bool{false, true} {
				if kept && before != "" {
					continue
				}
				for _, resets := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, interim %t, kept %t, reset %t", name, before != "", kept, resets), func(t *testing.T) {
						t.Parallel()
						text := before + strings.ReplaceAll(framing.text, "ID", "cut")
						least := len(before) + framing.least + len("cut") - len("ID")
						for n := range len(text) + 1 {
							assertCut(t, text, n, least, kept, resets)
						}
					})
				}
			}
		}
	}
}

// assertCut sends a request whose answer ends after n bytes of text.
func assertCut(t *testing.T, text string, n, least int, kept, resets bool) {
	t.Helper()
	s, e := &sender.Sender{DialTimeout: testTimeout}, cutEndpoint(t, text, n, resets)
	defer s.CloseAllIdle()
	if kept {
		assertWhole(t, s, e)
	}
	body, err := sendAndRead(t, s, e, "cut")
	unframed := least < len(text)
	switch {
	case n < least || unframed && resets:
		require.Error(t, err, "%d bytes: %q", n, body)
		assert.True(t, errors.Is(err, forwarder.ErrBroken), "%d bytes: %v", n, err)
		assert.False(t, errors.Is(err, forwarder.ErrMalformed), "%d bytes: %v", n, err)
		assert.False(t, errors.Is(err, forwarder.ErrNotSent), "%d bytes: %v", n, err)
	case unframed:
		require.NoError(t, err, "%d bytes", n)
		assert.Equal(t, text[least:n], body)
	case !resets || err == nil:
		require.NoError(t, err, "%d bytes", n)
		assert.Equal(t, cutBody, body)
	}
	assert.EqualValues(t, 1, e.conns.Load(), "connections")
	if n == len(text) {
		// The connection of a whole answer may be reused before its end has arrived.
		s.CloseAllIdle()
	}
	assertWhole(t, s, e)
}

// assertWhole checks that a request gets its own answer.
func assertWhole(t *testing.T, s *sender.Sender, e *endpoint) {
	t.Helper()
	body, err := sendAndRead(t, s, e, "other")
	require.NoError(t, err)
	assert.Equal(t, "body", body)
}

func sendAndRead(t *testing.T, s *sender.Sender, e *endpoint, id string) (string, error) {
	t.Helper()
	reply, err := send(t, s, e, http.MethodPost, id, 1)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := reply.ReadAll()
	return string(body), err
}

// TestAnswersCutBeforeTheirOwn guards against an answer to another request that broke off on a kept
// connection, and is taken for the answer.
func TestAnswersCutBeforeTheirOwn(t *testing.T) {
	for name, framing := range framings() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := strings.ReplaceAll(framing.text, "ID", "late")
			for n := range len(text) {
				s, e := &sender.Sender{DialTimeout: testTimeout}, cutEndpoint(t, text, n, false)
				assertWhole(t, s, e)
				_, err := sendAndRead(t, s, e, "cut")
				require.Error(t, err, "%d bytes", n)
				assert.True(t, errors.Is(err, forwarder.ErrBroken), "%d bytes: %v", n, err)
				s.CloseAllIdle()
			}
		})
	}
}
