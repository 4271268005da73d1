package sender_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

func TestRefusesConnections(t *testing.T) {
	s := &sender.Sender{DialTimeout: testTimeout}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	assert.False(t, s.RefusesConnections(t.Context(), address), "a process listens")
	require.NoError(t, listener.Close())
	assert.True(t, s.RefusesConnections(t.Context(), address), "no process listens")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.False(t, s.RefusesConnections(ctx, address), "the host was not asked")
}
