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
//	reply, err := s.Send(ctx, target, sender.Request{ID: id, Encode: encode, Matches: matches})
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
	"slices"
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
	// maxAnswered is the number of tries that may be sent again, and are remembered for a
	// connection. One with more is not kept.
	maxAnswered = 64
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

// Request is one try of a caller's request.
type Request struct {
	// ID is the same for all sends of a try.
	ID string
	// Encode returns the request once there is a connection for it.
	Encode func() *http.Request
	// Matches reports whether a response belongs to the request. first is set if the connection
	// carried no other request, so that nothing else can have been answered.
	Matches func(response *http.Response, first bool) bool
}

// Relayed is a connection that leads through another node.
type Relayed interface {
	// Via returns the address of that node.
	Via() netip.AddrPort
}

// Path follows the requests over this node's own links to the endpoints.
type Path interface {
	// Lost reports whether the links are lost. Idle connections are not used then.
	Lost() bool
	// Begin is called when a request is sent, RecordBytes when bytes have come from an endpoint,
	// and End when the request has ended.
	Begin(now time.Time)
	RecordBytes(now time.Time)
	End()
}

// Sender pools idle connections by target. Its fields are set before use, and it
// is safe for concurrent use.
type Sender struct {
	// DialTimeout limits the time to open a connection if Dial is nil.
	DialTimeout time.Duration
	// Dial opens connections; nil for those of the operating system. One that implements Relayed
	// carries one request.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Path is told of requests over connections that are not Relayed; nil if nobody asks.
	Path Path
	// Memory limits the memory for answers; nil for no limit.
	Memory *reserver.Pool

	mu   sync.Mutex
	idle map[Target][]*conn
}

// Send sends a request and returns its response, whose body has not been read
// yet. It uses no connection over which the same try was answered already, as the endpoint may
// say that answer again. Errors are marked with forwarder.ErrNotSent if no byte of the request can
// have been sent, and with forwarder.ErrBroken otherwise. A malformed answer, or one whose
// head is over maxHeadBytes, is also marked with forwarder.ErrMalformed; its connection is
// closed.
func (s *Sender) Send(ctx context.Context, target Target, request Request) (*Reply, error) {
	c, err := s.connect(ctx, target, request.ID)
	if err != nil {
		return nil, errors.Mark(err, forwarder.ErrNotSent)
	}
	c.begin(s.Path)
	reply, err := c.roundTrip(ctx, request)
	if err != nil {
		c.end()
		c.close()
		return nil, errors.Mark(err, forwarder.ErrBroken)
	}
	reply.sender = s
	reply.memory = s.Memory.NewBuffer(target.Address, c.close)
	return reply, nil
}

func (s *Sender) connect(ctx context.Context, target Target, id string) (*conn, error) {
	for {
		var c *conn
		if s.Path == nil || !s.Path.Lost() {
			c = s.takeIdle(target, id)
		}
		if c == nil {
			return s.dial(ctx, target)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

// takeIdle returns the idle connection that was used last, of those that did not carry an answer
// to a request; nil if there is none.
func (s *Sender) takeIdle(target Target, id string) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.idle[target]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(c.answered, id) {
			s.idle[target] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

func (s *Sender) dial(ctx context.Context, target Target) (*conn, error) {
	raw, err := s.open(ctx, target.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", target.Address)
	}
	return newConn(target, raw), nil
}

// open opens a connection with Dial, if it is set.
func (s *Sender) open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if s.Dial != nil {
		return s.Dial(ctx, address)
	}
	dialer := net.Dialer{Timeout: s.DialTimeout, KeepAlive: -1}
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

// CloseAllIdle closes all idle connections.
func (s *Sender) CloseAllIdle() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.close()
		}
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
