package tunneler_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/pathfinder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

// cutAnswers are answers by framing.
var cutAnswers = map[string]string{
	"length":  "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
	"none":    "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody",
}

// answerCut returns a handler that reads a request and answers with text, and ends its connection.
func answerCut(text string, resets bool) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		readHead(conn)
		_, _ = io.WriteString(conn, text)
		if resets {
			_ = conn.SetLinger(0)
		}
	}
}

// readHead reads the head of a request, and what else comes with it.
func readHead(conn net.Conn) {
	var head []byte
	for buffer := make([]byte, 512); !strings.Contains(string(head), "\r\n\r\n"); {
		n, err := conn.Read(buffer)
		if head = append(head, buffer[:n]...); err != nil {
			return
		}
	}
}

// newCutSite returns a node without links of its own, and a peer.
func newCutSite(t *testing.T, text string, resets bool) *site {
	t.Helper()
	s := newSite(t, 2, 1, answerCut(text, resets))
	s.nodes[0].links.Store(int32(linksRefused))
	return s
}

// sendTo sends a request to the endpoint and returns the body of the answer.
func (s *site) sendTo(t *testing.T) (string, error) {
	t.Helper()
	client := &sender.Sender{Dial: s.nodes[0].dialer.Dial}
	reply, err := client.Send(t.Context(), sender.Target{Address: s.endpoints[0].Address}, sender.Request{
		ID: "1",
		Encode: func() *http.Request {
			return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/"}, Host: "h", Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
		},
		Matches: func(*http.Response, bool) bool { return true },
	})
	if err != nil {
		return "", err
	}
	defer reply.Close()
	assert.True(t, reply.Via().IsValid(), "direct connection")
	body, err := reply.ReadAll()
	return string(body), err
}

// TestAnswersCutThroughPeer guards against answers that broke off, and are taken for whole ones at
// the far end of a tunnel.
func TestAnswersCutThroughPeer(t *testing.T) {
	for name, text := range cutAnswers {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, resets), func(t *testing.T) {
				t.Parallel()
				least := len(text)
				if name == "none" {
					least = strings.Index(text, "body")
				}
				for n := range len(text) + 1 {
					body, err := newCutSite(t, text[:n], resets).sendTo(t)
					switch {
					case n < least || resets && name == "none":
						require.Error(t, err, "%d bytes: %q", n, body)
						assert.True(t, errors.Is(err, forwarder.ErrBroken), "%d bytes: %v", n, err)
						assert.False(t, errors.Is(err, forwarder.ErrNotSent), "%d bytes: %v", n, err)
					case name == "none":
						require.NoError(t, err, "%d bytes", n)
						assert.Equal(t, text[least:n], body)
					case !resets || err == nil:
						require.NoError(t, err, "%d bytes", n)
						assert.Equal(t, "body", body)
					}
				}
			})
		}
	}
}

// TestTunnelCutInAFrame guards against a peer that is lost and passes for an endpoint that ended its
// answer: its connection ends at any byte.
func TestTunnelCutInAFrame(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, text := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			half := len(text) - len("dy")
			sent := head + frame(text[:half]) + frame(text[half:]) + frame("")
			for n := range len(sent) + 1 {
				s := newSite(t, 1, 1, answerCut("", false))
				s.nodes[0].links.Store(int32(linksRefused))
				peer := pathfinder.Peer{Address: listen(t, func(conn *net.TCPConn) {
					readHead(conn)
					if n <= len(head) {
						_, _ = io.WriteString(conn, sent[:n])
						return
					}
					_, _ = io.WriteString(conn, head)
					readHead(conn)
					_, _ = io.WriteString(conn, sent[len(head):n])
				}), Domain: "d0"}
				s.nodes[0].dialer.Peers = func() []pathfinder.Peer { return []pathfinder.Peer{peer} }
				conn, err := s.nodes[0].dialer.Dial(t.Context(), s.endpoints[0].Address)
				if n < len(head) {
					require.Error(t, err, "%d bytes", n)
					continue
				}
				require.NoError(t, err, "%d bytes", n)
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
				got, err := io.ReadAll(conn)
				_ = conn.Close()
				if n == len(sent) {
					require.NoError(t, err)
					assert.Equal(t, text, string(got))
					continue
				}
				require.Error(t, err, "%d bytes", n)
				assert.True(t, strings.HasPrefix(text, string(got)), "%d bytes: %q", n, got)
			}
		})
	}
}

// frame encodes a frame of a tunnel.
func frame(content string) string {
	return string(binary.BigEndian.AppendUint16(nil, uint16(len(content)))) + content
}
