package verifier

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose reads don't report an orderly end if a write has failed. Conn is set before
// use. Like other connections, it is safe for one reader and one writer at a time.
type Conn struct {
	net.Conn

	// mu is held while a write is under way.
	mu sync.Mutex
	// err is the error of a write that has failed.
	err error
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection it ends a write that is under way, as nothing is
// answered any more.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// An error means that the connection has no deadlines; the write then ends by itself.
	_ = c.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return n, errors.Mark(errors.Wrap(c.err, "write"), ErrReset)
	}
	return n, io.EOF
}
