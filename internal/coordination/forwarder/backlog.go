package forwarder

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrSlowCaller marks the end of a request whose caller did not read its answer fast enough. It is
// used together with ErrCallerGone.
var ErrSlowCaller = errors.New("caller does not read its answer")

// Backlog limits the bytes that were read from endpoints and that callers have not read yet. If
// they exceed the limit, the request with the most unread bytes ends. Its fields are set before
// use, and it is safe for concurrent use. A nil Backlog has no limit.
type Backlog struct {
	// Limit is the most unread bytes of all requests together. A single request may have more.
	Limit int

	mu       sync.Mutex
	used     int
	requests map[*unread]struct{}
}

// unread is the part of the Backlog that one request takes.
type unread struct {
	// revoke is called, without the lock, if the request has to end.
	revoke func(err error)
	bytes  int
	// revoked requests no longer count, since what they hold is dropped.
	revoked bool
}

// Used returns the number of unread bytes.
func (b *Backlog) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// add counts bytes as unread, and ends the requests with the most unread bytes, which may be this
// one, until the limit holds.
func (b *Backlog) add(u *unread, bytes int) {
	if b == nil {
		return
	}
	for _, revoked := range b.count(u, bytes) {
		revoked()
	}
}

func (b *Backlog) count(u *unread, bytes int) (revocations []func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.revoked {
		return nil
	}
	if b.requests == nil {
		b.requests = map[*unread]struct{}{}
	}
	b.used, u.bytes = b.used+bytes, u.bytes+bytes
	b.requests[u] = struct{}{}
	for b.used > b.Limit && len(b.requests) > 1 {
		most := b.most()
		err := errors.Wrapf(ErrSlowCaller, "%d bytes are unread, of all requests %d, limit %d", most.bytes, b.used, b.Limit)
		b.drop(most)
		most.revoked = true
		revocations = append(revocations, func() { most.revoke(err) })
	}
	return revocations
}

func (b *Backlog) most() *unread {
	var most *unread
	for u := range b.requests {
		if most == nil || u.bytes > most.bytes {
			most = u
		}
	}
	return most
}

// remove counts bytes as read.
func (b *Backlog) remove(u *unread, bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.revoked {
		return
	}
	b.used, u.bytes = b.used-bytes, u.bytes-bytes
	if u.bytes == 0 {
		b.drop(u)
	}
}

// release ends the counting for a request.
func (b *Backlog) release(u *unread) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(u)
	u.revoked = true
}

func (b *Backlog) drop(u *unread) {
	b.used -= u.bytes
	u.bytes = 0
	delete(b.requests, u)
}
