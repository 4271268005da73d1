// Package reserver limits the memory that holds what other processes send, over all
// connections together. If it runs short, the largest buffer of the process that takes most
// is revoked, so that one that sends without end takes no memory from the others.
//
// # Usage
//
//	pool := &reserver.Pool{Limit: 16 << 20}
//	buffer := pool.NewBuffer(address, conn.Close)
//	defer buffer.Release()
//	if err := buffer.Grow(size); err != nil {
//		return err
//	}
package reserver

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes is the part of each buffer that does not count.
	FreeBytes = 16 << 10
	// releaseTimeout is how long a buffer waits for the memory of revoked ones before it is
	// revoked too.
	releaseTimeout = time.Second
)

// ErrRevoked is returned for a buffer that has been revoked.
var ErrRevoked = errors.New("memory for received bytes is used up")

// Pool is the memory for received bytes. Its fields are set before use, and it is safe for
// concurrent use. A nil Pool has no limit.
type Pool struct {
	// Limit is the most that all buffers may hold together, in bytes, beyond the FreeBytes
	// of each. Revoked ones may hold as much again until they are released.
	Limit int

	mu sync.Mutex
	// used is the number of bytes of the buffers, revoked that of buffers that were revoked
	// and not released yet.
	used    int
	revoked int
	buffers map[*Buffer]struct{}
	// waiting holds the buffers that wait for memory, and the size that each asks for.
	waiting map[*Buffer]int
	// changed is closed when a buffer may stop waiting.
	changed chan struct{}
}

// Buffer is the memory for the bytes of one answer. A nil Buffer has no limit.
type Buffer struct {
	pool   *Pool
	source netip.AddrPort
	stop   func()
	// counted is the part of the size that counts. kept is set once the bytes have arrived
	// completely.
	counted int
	kept    bool
	revoked bool
}

// NewBuffer returns an empty buffer for bytes from a source. If it is revoked, stop is
// called, which must make the reader release it soon.
func (p *Pool) NewBuffer(source netip.AddrPort, stop func()) *Buffer {
	if p == nil {
		return nil
	}
	return &Buffer{pool: p, source: source, stop: stop}
}

// Used returns the number of bytes that count, without those of revoked buffers.
func (p *Pool) Used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Held returns the number of bytes that count, with those of revoked buffers.
func (p *Pool) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used + p.revoked
}

// Grow reserves memory for a size in bytes, before it is allocated. While too many revoked
// buffers have not been released it waits, for releaseTimeout at most; small buffers get
// memory first. It returns ErrRevoked if the buffer has been revoked.
func (b *Buffer) Grow(size int) error {
	if b == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		revoked, changed, err := b.pool.grow(b, max(size-FreeBytes, 0))
		for _, other := range revoked {
			other.stop()
		}
		if changed == nil {
			return err
		}
		if timeout == nil {
			timeout = time.After(releaseTimeout)
		}
		select {
		case <-changed:
		case <-timeout:
			return b.giveUp()
		}
	}
}

// grow adds memory to a buffer and returns the buffers that were revoked for it. If the buffer
// must wait, nothing is added, and changed is closed once it may try again.
func (p *Pool) grow(b *Buffer, counted int) (revoked []*Buffer, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.revoked {
		p.stopWaiting(b)
		return nil, nil, ErrRevoked
	}
	if counted <= b.counted {
		return nil, nil, nil
	}
	before := b.counted
	p.set(b, counted)
	for p.used > p.Limit {
		largest := p.largest()
		if largest == nil {
			// All others are kept.
			largest = b
		}
		if largest == b {
			p.set(b, before)
		}
		p.revoke(largest)
		revoked = append(revoked, largest)
	}
	switch {
	case b.revoked:
		err = ErrRevoked
	case p.used+p.revoked > 2*p.Limit || p.smallerWaits(counted):
		p.set(b, before)
		return revoked, p.wait(b, counted), nil
	}
	p.stopWaiting(b)
	return revoked, nil, err
}

func (p *Pool) smallerWaits(counted int) bool {
	for _, asked := range p.waiting {
		if asked < counted {
			return true
		}
	}
	return false
}

// wait enters a buffer that waits for memory, and returns a channel that is closed once it may
// try again.
func (p *Pool) wait(b *Buffer, counted int) <-chan struct{} {
	if p.waiting == nil {
		p.waiting = map[*Buffer]int{}
	}
	p.waiting[b] = counted
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// stopWaiting lets the larger ones try that waited for this buffer.
func (p *Pool) stopWaiting(b *Buffer) {
	if _, ok := p.waiting[b]; ok {
		delete(p.waiting, b)
		p.signal()
	}
}

// giveUp revokes a buffer that got no memory in time.
func (b *Buffer) giveUp() error {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.pool.stopWaiting(b)
	if !b.revoked {
		b.pool.revoke(b)
	}
	return ErrRevoked
}

func (p *Pool) set(b *Buffer, counted int) {
	p.used += counted - b.counted
	b.counted = counted
	if counted == 0 {
		delete(p.buffers, b)
		return
	}
	if p.buffers == nil {
		p.buffers = map[*Buffer]struct{}{}
	}
	p.buffers[b] = struct{}{}
}

func (p *Pool) revoke(b *Buffer) {
	b.revoked = true
	p.used -= b.counted
	p.revoked += b.counted
	delete(p.buffers, b)
	p.signal()
}

func (p *Pool) signal() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// largest returns the largest buffer that may be revoked, of the source that holds most.
func (p *Pool) largest() *Buffer {
	sums, most := map[netip.AddrPort]int{}, map[netip.AddrPort]*Buffer{}
	var found *Buffer
	for b := range p.buffers {
		if b.kept {
			continue
		}
		sums[b.source] += b.counted
		if most[b.source] == nil || b.counted > most[b.source].counted {
			most[b.source] = b
		}
	}
	for source, b := range most {
		if found == nil || sums[source] > sums[found.source] {
			found = b
		}
	}
	return found
}

// Keep ends the reading: the buffer is complete and can't be revoked any more. It returns
// ErrRevoked if it has been.
func (b *Buffer) Keep() error {
	if b == nil {
		return nil
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.revoked {
		return ErrRevoked
	}
	b.kept = true
	return nil
}

// Revoked reports whether the buffer has been revoked.
func (b *Buffer) Revoked() bool {
	if b == nil {
		return false
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	return b.revoked
}

// Release frees the memory.
func (b *Buffer) Release() {
	if b == nil {
		return
	}
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !b.revoked {
		p.set(b, 0)
		return
	}
	p.revoked -= b.counted
	b.counted = 0
	p.signal()
}
