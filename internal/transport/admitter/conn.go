package admitter

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by reads from a connection that was closed for a limit.
var ErrClosed = errors.New("connection was closed for a limit on connections")

// errHeader is returned to net/http, which then answers 400.
var errHeader = errors.New("head of a request is too large")

// lastReadTime is how long the last read of an expiring connection waits. Requests that arrive
// within it are served.
const lastReadTime = 50 * time.Millisecond

// phase is what a connection does.
type phase int

const (
	// waiting is the phase of a connection on which no byte of the next request has arrived.
	waiting phase = iota
	readingHead
	readingBody
	serving
)

// conn is a connection of a server. Its fields are guarded by the lock of the admitter.
type conn struct {
	net.Conn
	admitter *Admitter

	phase phase
	// since is when the phase began, and received the number of bytes since then.
	since    time.Time
	received int
	// head is the number of bytes of the request's head, and held the memory that counts.
	head, held int
	// headEnd is the state of the search for the end of the head, and whole is set once it was found.
	headEnd headEnd
	whole   bool
	// began is when the first byte of the last request was read.
	began time.Time
	// idleTimeout is the bound on the idle time when the connection became idle. Its caller goes by
	// it, also when a shorter one is configured.
	idleTimeout time.Duration
	// expiring is set if the connection is to be closed for a cause unless a request arrives.
	expiring Cause
	// served is set once a request has been served.
	served bool
	closed bool
	// cause is the limit for which the connection was closed, if any.
	cause Cause
	// writing is when the write under way began; zero if there is none.
	writing time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headTooLarge() {
		return 0, errHeader
	}
	n, err := c.read(p)
	a := c.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > 0 && c.expiring != "" {
		c.expiring = ""
		// An error means that the connection has ended.
		_ = c.SetReadDeadline(time.Time{})
	}
	switch {
	case n == 0, c.closed, c.phase == serving:
		return n, err
	case c.phase == waiting:
		c.enter(readingHead)
		c.began, c.headEnd, c.whole = c.since, 0, false
	}
	c.received += n
	if c.phase == readingHead && !c.whole {
		c.whole = c.headEnd.find(p[:n])
	}
	a.hold(c)
	return n, err
}

// read reads from the connection. If that is expiring, it is closed after a last read without data.
func (c *conn) read(p []byte) (int, error) {
	if !c.expires() {
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.expires() {
			return n, err
		}
	}
	// Errors of deadlines mean that the connection has ended.
	_ = c.SetReadDeadline(time.Now().Add(lastReadTime))
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.admitter.mu.Lock()
		defer c.admitter.mu.Unlock()
		c.admitter.count(c, c.expiring)
		c.cause = c.expiring
		c.admitter.remove(c)
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) expires() bool {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	return c.expiring != "" && !c.closed
}

// expire makes the goroutine that reads from a waiting connection close it, unless a request has
// arrived. The caller holds the lock.
func (c *conn) expire(cause Cause) {
	if c.expiring != "" {
		return
	}
	c.expiring = cause
	// The read under way ends. An error means that the connection has ended.
	_ = c.SetReadDeadline(time.Now())
}

// headEnd finds the end of a head, which is an empty line: it is the number of line ends without
// anything else between them.
type headEnd int

// find reports whether the head ends within the next bytes.
func (h *headEnd) find(p []byte) bool {
	for _, b := range p {
		switch b {
		case '\n':
			if *h++; *h == 2 {
				return true
			}
		case '\r':
		default:
			*h = 0
		}
	}
	return false
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	c.writing = since
}

// busy reports whether the connection may not be closed for another one: the head of a request has
// arrived whose handler has not begun, or a request is being served and its caller reads the answer.
func (c *conn) busy(now time.Time) bool {
	switch c.phase {
	case readingHead:
		return c.whole
	case serving:
		return c.writing.IsZero() || now.Sub(c.writing) < stalledWriteTime
	}
	return false
}

func (c *conn) headTooLarge() bool {
	a := c.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.phase != readingHead || a.limits.HeaderBytes == 0 || c.received < a.limits.HeaderBytes+readAheadBytes {
		return false
	}
	a.count(c, HeaderBytes)
	return true
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.admitter.mu.Lock()
	c.admitter.remove(c)
	c.admitter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends a TCP connection in one direction.
func (c *conn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with unsent bytes of a TCP connection.
func (c *conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// SetKeepAliveConfig sets the keep-alive probes of a TCP connection.
func (c *conn) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	if socket, ok := c.Conn.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
	}); ok {
		return socket.SetKeepAliveConfig(config)
	}
	return nil
}

func (c *conn) enter(p phase) { c.phase, c.since, c.received = p, time.Now(), 0 }

// wait begins the wait for the next request.
func (c *conn) wait() {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	c.admitter.finish(c)
	c.enter(waiting)
	c.idleTimeout = c.admitter.limits.IdleTimeout
	c.served = true
}

func (c *conn) beginBody() {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	if !c.closed {
		c.head = c.received
		c.enter(readingBody)
		c.admitter.hold(c)
	}
}

// memory returns what an unfinished request takes, in bytes.
func (c *conn) memory() int {
	if c.phase == readingHead {
		return requestBytes + headFactor*c.received
	}
	return requestBytes + headFactor*c.head + bodyFactor*min(c.received, c.admitter.BodyBytes)
}

// serve begins the service of a complete request. It reports whether it may be served.
func (c *conn) serve() bool {
	c.admitter.mu.Lock()
	defer c.admitter.mu.Unlock()
	c.admitter.finish(c)
	c.enter(serving)
	return !c.closed
}

// timeout returns the bound on the time of the current phase; zero if there is none.
func (c *conn) timeout(limits Limits) (Cause, time.Duration) {
	switch c.phase {
	case waiting:
		return IdleTimeout, max(limits.IdleTimeout, c.idleTimeout)
	case readingHead:
		if c.whole {
			return "", 0
		}
		return HeaderTimeout, limits.HeaderTimeout
	case readingBody:
		return BodyTimeout, limits.BodyTimeout
	}
	return "", 0
}

// progress returns the mean rate at which the connection has received in its phase, in bytes a
// second.
func (c *conn) progress(now time.Time) float64 {
	bytes := c.received + unfinishedBytes
	if c.phase == waiting && c.served {
		bytes = idleBytes
	}
	return float64(bytes) / (now.Sub(c.since) + time.Millisecond).Seconds()
}

// body is the body of a request. At its end the request is complete.
type body struct {
	io.ReadCloser
	conn    *conn
	request *http.Request
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.serve() {
		b.conn.admitter.recordEnded(b.request, b.conn)
		return n, ErrClosed
	}
	return n, err
}
