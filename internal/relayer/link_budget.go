package relayer

import (
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// heartbeatShare is the share of the host's link that heartbeats may fill before members get none
	// with nothing but load. The link carries requests and the members' reads of logs as well.
	heartbeatShare = 0.25
	// headerBytes is the size of the IP and UDP headers of a datagram.
	headerBytes = 28
)

// linkBudget bounds the bytes of heartbeats that may be left out. It is a token bucket from which all
// heartbeats draw, and for which only those that may be left out wait. It is safe for concurrent use.
type linkBudget struct {
	mu sync.Mutex
	// debt is the number of bytes that the share of the link has not carried yet.
	debt float64
	at   time.Time
}

// charge records that bytes are sent over a link of a bandwidth in bytes per second, zero if unknown.
func (b *linkBudget) charge(now time.Time, bandwidth float64, bytes int) {
	if bandwidth <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pay(now, bandwidth)
	b.debt += float64(bytes)
}

// allows reports whether heartbeats that may be left out may be sent.
func (b *linkBudget) allows(now time.Time, bandwidth float64) bool {
	if bandwidth <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pay(now, bandwidth)
	return b.debt <= 0
}

// pay reduces the debt by what the share of the link carries in the meantime. The caller holds the lock.
func (b *linkBudget) pay(now time.Time, bandwidth float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.debt = max(b.debt-elapsed.Seconds()*heartbeatShare*bandwidth, 0)
		b.at = now
	}
}

// estimatedSize returns the size of a heartbeat on the link.
func estimatedSize(heartbeat peertracker.Heartbeat) int {
	size := headerBytes + fixedBytes + len(heartbeat.Suspects)*suspectBytes + partSuspectsSize(heartbeat.PartSuspects) +
		len(heartbeat.Changes)*changeBytes + len(heartbeat.Limits)*limitBytes
	if heartbeat.Loads != nil {
		size += len(heartbeat.Loads.Loads) * loadBytes
	}
	if heartbeat.Parts != nil {
		size += partsBytes
	}
	return size
}
