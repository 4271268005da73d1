// Package admitter limits the connections of a server, and the memory of requests that have begun to
// arrive and are not complete. When there are too many, the connection that has made the least progress is
// closed, so that callers that finish what they begin are served. Requests that are being served
// are ended only if their callers do not read the answers.
//
// A connection that waits for a request is closed by the goroutine that reads from it, after a last
// read has found nothing. Bytes of a request may lie in the socket or in a buffer while that
// goroutine does not run, which on a host with little processor time takes hundreds of
// milliseconds; closing the connection from elsewhere would lose the request.
//
// # Usage
//
//	a := &admitter.Admitter{MaxConns: 500, MaxUnfinished: 8 << 20, BodyBytes: 16 << 10, Limits: limits, OnClosed: count, OnEnded: log}
//	server := &http.Server{Handler: a.Handler(handler)}
//	a.Watch(server)
//	go a.Run(ctx)
//	err := server.Serve(a.Listener(listener))
//
// To stop:
//
//	err := a.Drain(ctx)
package admitter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// checkPeriod is the time between checks for connections that take too long, and between
	// reports.
	checkPeriod = time.Second
	// readAheadBytes is how much net/http reads beyond the head of a request.
	readAheadBytes = 4 << 10
	// requestBytes is the memory of an unfinished request without its bytes. headFactor is how much
	// a byte of a head takes at most, raw and parsed, when its lines are short; bodyFactor that of
	// a body, as its buffer grows by doubling.
	requestBytes = 4 << 10
	headFactor   = 5
	bodyFactor   = 2
	// stalledWriteTime is how long a write may take before the caller counts as one that does not
	// read. It covers a lost packet that is sent again twice.
	stalledWriteTime = time.Second
	// unfinishedBytes and idleBytes are added to the bytes that a connection has received when its
	// progress is compared. Requests that have just begun, and connections on which a request was
	// served, thereby rank above requests that have stood still for a second.
	unfinishedBytes = 64 << 10
	idleBytes       = 1 << 20
)

// Cause is the limit for which a connection was closed.
type Cause string

// Causes of closed connections.
const (
	Conns         Cause = "connections"
	Unfinished    Cause = "unfinished requests"
	HeaderBytes   Cause = "header bytes"
	HeaderTimeout Cause = "header time"
	BodyTimeout   Cause = "body time"
	IdleTimeout   Cause = "idle time"
	Stop          Cause = "stop"
)

// Ended is a request that was read in whole, and whose connection was closed before its service began.
type Ended struct {
	Cause Cause
	// Waited is the time since the first byte of the request was read.
	Waited time.Duration
}

// Limits are the limits of one connection; zero means no limit.
type Limits struct {
	// HeaderBytes bounds the head of a request, and HeaderTimeout the time from its first byte on.
	HeaderBytes   int
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time for a body.
	BodyTimeout time.Duration
	// IdleTimeout bounds the wait for the next request.
	IdleTimeout time.Duration
}

// Closed are the connections that were closed for one cause since the last report.
type Closed struct {
	N int
	// Last is the address of the last one.
	Last netip.AddrPort
}

// Admitter limits the connections of one server. Its exported fields are set before use, and it is
// safe for concurrent use.
type Admitter struct {
	// MaxConns is the largest number of open connections.
	MaxConns int
	// MaxUnfinished bounds the memory of requests that have arrived in part, in bytes. It grows with
	// what has arrived. Of each body, BodyBytes count at most.
	MaxUnfinished int
	BodyBytes     int
	// Limits returns the limits that hold now.
	Limits func() Limits
	// OnClosed is called with the closed connections of a cause, once a second at most.
	OnClosed func(Cause, Closed)
	// OnEnded is called with each request that is not served since its connection was closed; nil if
	// not needed.
	OnEnded func(r *http.Request, ended Ended)

	mu         sync.Mutex
	limits     Limits
	listeners  []*listener
	conns      map[*conn]struct{}
	unfinished map[*conn]struct{}
	// held is the memory of the unfinished requests.
	held   int
	closed map[Cause]Closed
}

type connKey struct{}

// Watch makes a server report the states of its connections. It is called after all other changes
// of the server's hooks.
func (a *Admitter) Watch(server *http.Server) {
	nextContext, nextState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			own.wait()
		}
		if nextState != nil {
			nextState(c, state)
		}
	}
}

// Handler wraps a handler to tell when requests are complete. A request whose connection was closed
// before that is not served.
func (a *Admitter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case r.ContentLength != 0:
			c.beginBody()
			// net/http goes by the body of its own request when it answers one that was not read.
			r = r.WithContext(r.Context())
			r.Body = &body{ReadCloser: r.Body, conn: c, request: r}
		case !c.serve():
			a.recordEnded(r, c)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Run closes connections that take too long, and reports closed ones, until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		a.check(a.Limits())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Admitter) check(limits Limits) {
	a.mu.Lock()
	a.limits = limits
	now := time.Now()
	for c := range a.conns {
		cause, timeout := c.timeout(limits)
		switch {
		case timeout == 0 || now.Sub(c.since) <= timeout:
		case c.phase == waiting:
			c.expire(cause)
		default:
			a.close(c, cause)
		}
	}
	closed := a.closed
	a.closed = nil
	a.mu.Unlock()
	for cause, n := range closed {
		a.OnClosed(cause, n)
	}
}

// admit adds a connection, in the place of another one if need be. It returns nil if requests are
// served on all others.
func (a *Admitter) admit(accepted net.Conn) net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &conn{Conn: accepted, admitter: a, since: time.Now(), idleTimeout: a.limits.IdleTimeout}
	if a.conns == nil {
		a.conns, a.unfinished = map[*conn]struct{}{}, map[*conn]struct{}{}
	}
	if len(a.conns) >= a.MaxConns {
		slowest := a.slowest(a.conns)
		if slowest == nil {
			slowest = c
		}
		a.close(slowest, Conns)
	}
	if c.closed {
		return nil
	}
	a.conns[c] = struct{}{}
	return c
}

// slowest returns the connection of a set that has made the least progress; nil if all are busy.
func (a *Admitter) slowest(set map[*conn]struct{}) *conn {
	var found *conn
	least, now := 0.0, time.Now()
	for c := range set {
		if c.busy(now) {
			continue
		}
		if progress := c.progress(now); found == nil || progress < least {
			found, least = c, progress
		}
	}
	return found
}

// close closes a connection for a cause. The caller holds the lock.
func (a *Admitter) close(c *conn, cause Cause) {
	a.count(c, cause)
	c.cause = cause
	a.remove(c)
	// An error means that the connection has ended.
	_ = c.Conn.Close()
}

// count adds a connection to the next report. The caller holds the lock.
func (a *Admitter) count(c *conn, cause Cause) {
	if a.closed == nil {
		a.closed = map[Cause]Closed{}
	}
	// Addresses of other networks than TCP are reported as invalid.
	last, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	a.closed[cause] = Closed{N: a.closed[cause].N + 1, Last: last}
}

// hold counts the memory of an unfinished request, in the place of others if need be. The caller
// holds the lock.
func (a *Admitter) hold(c *conn) {
	a.unfinished[c] = struct{}{}
	memory := c.memory()
	a.held += memory - c.held
	c.held = memory
	for a.held > a.MaxUnfinished {
		slowest := a.slowest(a.unfinished)
		if slowest == nil {
			return
		}
		a.close(slowest, Unfinished)
	}
}

// recordEnded reports a request that is not served.
func (a *Admitter) recordEnded(r *http.Request, c *conn) {
	if a.OnEnded == nil {
		return
	}
	a.mu.Lock()
	ended := Ended{Cause: c.cause, Waited: time.Since(c.began)}
	a.mu.Unlock()
	a.OnEnded(r, ended)
}

// EndCause returns the limit for which the connection of a request was closed, if it was.
func EndCause(r *http.Request) (Cause, bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return "", false
	}
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	return c.cause, c.cause != ""
}

func (a *Admitter) finish(c *conn) {
	delete(a.unfinished, c)
	a.held -= c.held
	c.held = 0
}

func (a *Admitter) remove(c *conn) {
	c.closed = true
	delete(a.conns, c)
	a.finish(c)
}
