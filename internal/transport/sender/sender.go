// Package sender sends HTTP requests to endpoints over kept connections, each
// exactly once.
//
// It never repeats a request by itself, checks that a kept connection is alive
// and silent before it is used again, and passes over answers that belong to
// another request. Cancelling the context closes the connection, which tells
// the endpoint to stop.
//
// # Usage
//
//	s := &sender.Sender{DialTimeout: time.Second}
//	reply, err := s.Send(ctx, target, request, own)
//	defer reply.Close()
package sender

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
)

const (
	// defaultIdle is how long a connection is kept whose endpoint did not say
	// how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of the endpoint's own idle time that is left unused,
	// so that its close does not cross a request.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the kept connections to one target.
	maxIdle = 64
	// maxStrays is the number of answers to other requests that are passed over
	// on one connection.
	maxStrays = 4
)

// Target is one process at an address. Connections are not shared between
// processes that follow each other at an address.
type Target struct {
	Address netip.AddrPort
	ID      string
}

// Own reports whether an answer belongs to the request that was sent.
type Own func(response *http.Response) bool

// Sender keeps connections by target. Its fields are set before use, and it is
// safe for concurrent use.
type Sender struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration

	mu   sync.Mutex
	idle map[Target][]*conn
}

// Send sends a request and returns the head of its answer. Errors are marked
// with exchanger.ErrNotSent if no byte of the request can have left, and with
// exchanger.ErrBroken otherwise.
func (s *Sender) Send(ctx context.Context, target Target, r *http.Request, own Own) (*Reply, error) {
	c, err := s.connect(ctx, target)
	if err != nil {
		return nil, errors.Mark(err, exchanger.ErrNotSent)
	}
	reply, err := c.exchange(ctx, r, own)
	if err != nil {
		c.close()
		return nil, errors.Mark(err, exchanger.ErrBroken)
	}
	reply.sender = s
	return reply, nil
}

func (s *Sender) connect(ctx context.Context, target Target) (*conn, error) {
	for {
		c := s.take(target)
		if c == nil {
			return s.dial(ctx, target)
		}
		if c.fresh(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

func (s *Sender) take(target Target) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[target]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	s.idle[target] = kept[:len(kept)-1]
	return c
}

func (s *Sender) dial(ctx context.Context, target Target) (*conn, error) {
	dialer := net.Dialer{Timeout: s.DialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", target.Address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", target.Address)
	}
	return newConn(target, raw), nil
}

func (s *Sender) keep(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[Target][]*conn{}
	}
	if len(s.idle[c.target]) >= maxIdle {
		c.close()
		return
	}
	s.idle[c.target] = append(s.idle[c.target], c)
}

// Drop closes the kept connections to a target.
func (s *Sender) Drop(target Target) {
	s.mu.Lock()
	kept := s.idle[target]
	delete(s.idle, target)
	s.mu.Unlock()
	for _, c := range kept {
		c.close()
	}
}

// Sweep closes kept connections that are too old to be used again.
func (s *Sender) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, kept := range s.idle {
		var left []*conn
		for _, c := range kept {
			if now.Before(c.until) {
				left = append(left, c)
			} else {
				c.close()
			}
		}
		if len(left) == 0 {
			delete(s.idle, target)
			continue
		}
		s.idle[target] = left
	}
}
