package assembler

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/allocator"
)

const (
	// firstPort is the lowest port that FreeAddress uses. Each process owns one of
	// processRanges ranges of portsPerProcess ports. They end below 32768, where Linux
	// starts to pick ports for outgoing connections, so that no outgoing connection
	// occupies one.
	firstPort       = 10000
	portsPerProcess = 100
	processRanges   = 200
)

var portCounter atomic.Uint32

// portRange is the first port of the range that this process owns. It owns the range
// for as long as it listens on that port, so that two processes never choose from the
// same one.
var portRange = sync.OnceValue(func() int {
	var base int
	rangeOwner, base = ownRange(os.Getpid())
	return base
})

// rangeOwner is kept open until the process ends.
var rangeOwner net.Listener

// ownRange takes a range that has no owner, the first one after that which the process
// ID selects. It returns the listener that owns the range, and its first port.
func ownRange(pid int) (net.Listener, int) {
	for {
		firstOf := func(i int) int { return firstPort + i*portsPerProcess }
		owner, i, err := allocator.Lock(pid, processRanges, func(i int) netip.AddrPort {
			return netip.AddrPortFrom(loopback, uint16(firstOf(i)))
		})
		if err == nil {
			return owner, firstOf(i)
		}
		time.Sleep(rangeRetryPause)
	}
}

// rangeRetryPause is the pause before the ranges are tried again when all have owners.
const rangeRetryPause = 100 * time.Millisecond

// FreeAddress returns a loopback address that is free for TCP and for UDP at the time
// of the call. It does not return while none of the process's ports is free.
func FreeAddress() netip.AddrPort {
	base := portRange()
	for {
		port := base + 1 + int(portCounter.Add(1))%(portsPerProcess-1)
		address := netip.AddrPortFrom(loopback, uint16(port))
		if isFree(address) {
			return address
		}
	}
}

func isFree(address netip.AddrPort) bool {
	stream, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	defer stream.Close()
	datagrams, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}
