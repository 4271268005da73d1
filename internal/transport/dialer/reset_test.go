package dialer

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// resetEarly returns an endpoint that answers without a length before it has read the body of a request, and then
// resets the connection.
func resetEarly(t *testing.T) registrar.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nServer: s\r\n\r\npart"))
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return registrar.Endpoint{Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// TestResetWhileRequestIsWritten guards against a truncated answer without a length that is taken for a whole one
// since the reset of its connection was reported to the goroutine that writes the request. Which one gets it
// is a matter of chance.
func TestResetWhileRequestIsWritten(t *testing.T) {
	endpoint, service := resetEarly(t), &Service{Pools: &Pools{DialTimeout: time.Second}}
	for range 30 {
		call := dispatcher.Call{Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: make([]byte, 16<<20), Service: configurator.Service{Timeout: time.Second}}
		response, err := service.Do(t.Context(), endpoint, call)
		assert.Error(t, err, "%q", response.Body)
	}
}
