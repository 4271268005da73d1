// Package sender sends HTTP requests to endpoints over pooled connections, each
// request at most once. Relay nodes on the platform use it; nodes of package
// runner use package dialer.
//
// It never retries a request by itself, checks that an idle connection is open
// and has no unread bytes before it is reused, and skips responses that belong
// to another request. Cancelling the context closes the connection, which tells
// the endpoint to stop.
//
// # Usage
//
//	s := &sender.Sender{DialTimeout: time.Second}
//	reply, err := s.Send(ctx, target, request, matches)
//	if err != nil {
//		return err
//	}
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

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
)

const (
	// defaultIdleTimeout is the idle timeout assumed for an endpoint that sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the idle timeout that an endpoint may ask for.
	maxIdleTimeout = 10 * time.Minute
	// idleMargin is subtracted from the endpoint's idle timeout, so that the
	// endpoint does not close a connection while a request is on its way.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerTarget is the largest number of idle connections to one target.
	maxIdlePerTarget = 64
	// maxMismatches is the number of responses that are skipped, interim ones
	// included, after which the connection is closed.
	maxMismatches = 4
)

// Target is one process at an address. A process that restarts at the same
// address is a new target, so connections to its predecessor are not reused.
type Target struct {
	Address netip.AddrPort
	ID      string
}

// ResponseMatcher reports whether a response belongs to the request that was
// sent.
type ResponseMatcher func(response *http.Response) bool

// Sender pools idle connections by target. Its fields are set before use, and it
// is safe for concurrent use.
type Sender struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// Dial opens connections; nil for those of the operating system.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Memory limits the memory for answers; nil for no limit.
	Memory *reserver.Pool

	mu   sync.Mutex
	idle map[Target][]*conn
}

// Send sends a request and returns its response, whose body has not been read
// yet. Errors are marked with forwarder.ErrNotSent if no byte of the request can
// have been sent, and with forwarder.ErrBroken otherwise. A malformed answer, or one whose
// head is over maxHeadBytes, is also marked with forwarder.ErrMalformed; its connection is
// closed.
func (s *Sender) Send(ctx context.Context, target Target, r *http.Request, matches ResponseMatcher) (*Reply, error) {
	c, err := s.connect(ctx, target)
	if err != nil {
		return nil, errors.Mark(err, forwarder.ErrNotSent)
	}
	reply, err := c.roundTrip(ctx, r, matches)
	if err != nil {
		c.close()
		return nil, errors.Mark(err, forwarder.ErrBroken)
	}
	reply.sender = s
	reply.memory = s.Memory.NewBuffer(target.Address, c.close)
	return reply, nil
}

func (s *Sender) connect(ctx context.Context, target Target) (*conn, error) {
	for {
		c := s.takeIdle(target)
		if c == nil {
			return s.dial(ctx, target)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

func (s *Sender) takeIdle(target Target) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.idle[target]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	s.idle[target] = conns[:len(conns)-1]
	return c
}

func (s *Sender) dial(ctx context.Context, target Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
	defer cancel()
	dial := s.Dial
	if dial == nil {
		dial = dialDirect
	}
	raw, err := dial(ctx, target.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", target.Address)
	}
	return newConn(target, raw), nil
}

func dialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address.String())
}

func (s *Sender) putIdle(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[Target][]*conn{}
	}
	if len(s.idle[c.target]) >= maxIdlePerTarget {
		c.close()
		return
	}
	s.idle[c.target] = append(s.idle[c.target], c)
}

// CloseIdle closes the idle connections to a target.
func (s *Sender) CloseIdle(target Target) {
	s.mu.Lock()
	conns := s.idle[target]
	delete(s.idle, target)
	s.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// CloseExpired closes idle connections that have expired, were closed by the endpoint, or
// have unread bytes. The socket's buffer bounds what may arrive between calls.
func (s *Sender) CloseExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for target, conns := range s.idle {
		var remaining []*conn
		for _, c := range conns {
			if c.usable(now) {
				remaining = append(remaining, c)
			} else {
				c.close()
			}
		}
		if len(remaining) == 0 {
			delete(s.idle, target)
			continue
		}
		s.idle[target] = remaining
	}
}
