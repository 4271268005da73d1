package verifier_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

// endingConn is a connection that has ended for its reader. Its writes wait for the write deadline, or
// for a reset.
type endingConn struct {
	net.Conn
	writing  chan struct{}
	deadline chan struct{}
	err      error
}

func (c *endingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endingConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.deadline
	return 0, c.err
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// TestResetReceivedByWrite guards against a reset that is taken for an orderly end, since a write that is
// under way has received it.
func TestResetReceivedByWrite(t *testing.T) {
	for name, c := range map[string]struct{ write, want error }{
		"reset":       {syscall.ECONNRESET, verifier.ErrReset},
		"orderly end": {&net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, io.EOF},
		"written":     {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			raw := &endingConn{writing: make(chan struct{}), deadline: make(chan struct{}), err: c.write}
			conn := &verifier.Conn{Conn: raw}
			go func() { _, _ = conn.Write([]byte("request")) }()
			<-raw.writing
			_, err := conn.Read(make([]byte, 1))
			assert.True(t, errors.Is(err, c.want), "%v", err)
		})
	}
}
