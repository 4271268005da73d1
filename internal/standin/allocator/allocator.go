// Package allocator gives loopback addresses and ports to test processes, so that no two processes
// use the same ones at a time.
//
// # Usage
//
//	block, err := allocator.NewBlock()
//	defer block.Close()
//	ip := block.Address(3)
package allocator

import (
	"net"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	// blocks is the number of blocks of loopback addresses. The second byte tells them apart.
	blocks       = 250
	hostsPerByte = 250
	// lockPort is the port of the lock of a block, at an address beyond those that Address returns.
	lockByte, lockPort = 255, 8000
)

// ErrNoneFree is returned if other processes use all there is.
var ErrNoneFree = errors.New("no range of addresses is free")

// Lock listens on the first of n addresses on which no process listens, beginning with the one that
// the process ID selects. It returns the index of the address, which this process owns until the
// listener is closed. It returns ErrNoneFree if there is none.
func Lock(pid, n int, address func(i int) netip.AddrPort) (lock net.Listener, index int, err error) {
	for k := range n {
		i := (pid + k) % n
		if lock, err := net.Listen("tcp", address(i).String()); err == nil {
			return lock, i, nil
		}
	}
	return nil, 0, ErrNoneFree
}

// Block is a block of loopback addresses that no other process uses until it is closed.
type Block struct {
	lock   net.Listener
	second byte
}

// NewBlock returns a block that is free. Its error is ErrNoneFree.
func NewBlock() (*Block, error) {
	lock, i, err := Lock(os.Getpid(), blocks, func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + i), lockByte, 1}), lockPort)
	})
	if err != nil {
		return nil, err
	}
	return &Block{lock: lock, second: byte(1 + i)}, nil
}

// Address returns the n-th address of the block, for n from 0 to 63,749.
func (b *Block) Address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.second, byte(n / hostsPerByte), byte(1 + n%hostsPerByte)})
}

// Close gives the block up. It returns the error of the listener that locks it.
func (b *Block) Close() error { return b.lock.Close() }
