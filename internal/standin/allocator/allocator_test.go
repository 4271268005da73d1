package allocator_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/allocator"
)

func newBlock(t *testing.T) *allocator.Block {
	t.Helper()
	b, err := allocator.NewBlock()
	require.NoError(t, err)
	return b
}

func TestBlock(t *testing.T) {
	first, second := newBlock(t), newBlock(t)
	t.Cleanup(func() { _ = second.Close() })
	t.Run("blocks share no address", func(t *testing.T) {
		seen := map[netip.Addr]bool{}
		for _, b := range []*allocator.Block{first, second} {
			for n := range 1000 {
				assert.False(t, seen[b.Address(n)], "%s", b.Address(n))
				assert.True(t, b.Address(n).IsLoopback())
				seen[b.Address(n)] = true
			}
		}
	})
	t.Run("a block is free again once it is closed", func(t *testing.T) {
		assert.NoError(t, first.Close())
		third := newBlock(t)
		assert.Equal(t, first.Address(0), third.Address(0))
		assert.NoError(t, third.Close())
	})
}

func TestLock(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	_, _, err = allocator.Lock(7, 3, func(int) netip.AddrPort {
		return netip.MustParseAddrPort(taken.Addr().String())
	})
	assert.ErrorIs(t, err, allocator.ErrNoneFree)
}
