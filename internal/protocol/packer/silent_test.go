package packer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// TestSilentLoads guards against an unknown time since the last data being taken for zero.
func TestSilentLoads(t *testing.T) {
	for name, loads := range map[string][]peertracker.Load{
		"all unknown": {{Endpoint: 1, Running: 1}, {Endpoint: 2, Running: 1}},
		"one known":   {{Endpoint: 1, Running: 1, HasSilent: true}, {Endpoint: 2, Running: 1}, {Endpoint: 3, Silent: 2500 * time.Millisecond, HasSilent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			heartbeat := peertracker.Heartbeat{Name: "n", Address: netip.MustParseAddrPort("10.0.0.1:80"), Loads: &peertracker.LoadReport{Last: 9, Loads: loads}}
			datagram, err := packer.Packer{}.Pack(packer.Message{Sender: heartbeat})
			require.NoError(t, err)
			message, err := packer.Packer{}.Unpack(datagram)
			require.NoError(t, err)
			assert.Equal(t, loads, message.Sender.Loads.Loads)
		})
	}
}
