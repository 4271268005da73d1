package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read;
	// it fits the smallest socket buffers.
	inlineBody = 2 << 10
	// maxBody bounds whole answers.
	maxBody = 16 << 20
)

// errTooManyStrays is returned when a connection yields only answers to other
// requests.
var errTooManyStrays = errors.New("connection has too many answers to other requests")

// conn is a connection that serves one request at a time.
type conn struct {
	target Target
	raw    net.Conn
	reader *bufio.Reader
	// until is when an idle connection is no longer used.
	until time.Time
}

func newConn(target Target, raw net.Conn) *conn {
	return &conn{target: target, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

func (c *conn) close() { _ = c.raw.Close() }

// fresh reports whether an idle connection may be used: it is within its time,
// open, and has no bytes that belong to no request.
func (c *conn) fresh(now time.Time) bool {
	return now.Before(c.until) && c.reader.Buffered() == 0 && silent(c.raw)
}

// silent looks for bytes or an end on a connection without waiting.
func silent(raw net.Conn) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange writes a request and reads the head of its answer. An answer may come
// before the body has been written.
func (c *conn) exchange(ctx context.Context, r *http.Request, own Own) (*Reply, error) {
	reply := &Reply{conn: c, written: make(chan struct{})}
	reply.stop = context.AfterFunc(ctx, c.close)
	if r.ContentLength <= inlineBody {
		if err := reply.write(r); err != nil {
			reply.stop()
			return nil, err
		}
	} else {
		go func() { _ = reply.write(r) }()
	}
	response, err := c.answer(r, own)
	if err != nil {
		reply.stop()
		return nil, err
	}
	reply.Response = response
	return reply, nil
}

// answer reads the head of the answer that belongs to the request.
func (c *conn) answer(r *http.Request, own Own) (*http.Response, error) {
	for range maxStrays {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 && own(response) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBody)); err != nil {
			return nil, err
		}
	}
	return nil, errTooManyStrays
}

// Reply is the answer to a request that was sent.
type Reply struct {
	*http.Response

	sender  *Sender
	conn    *conn
	stop    func() bool
	written chan struct{}
	failed  error
	whole   bool
}

func (r *Reply) write(request *http.Request) error {
	defer close(r.written)
	r.failed = request.Write(r.conn.raw)
	return r.failed
}

// Read reads the body.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// ReadAll reads the whole body.
func (r *Reply) ReadAll() ([]byte, error) {
	var buffer []byte
	if r.ContentLength > 0 && r.ContentLength <= maxBody {
		buffer = make([]byte, 0, r.ContentLength)
	}
	body, err := appendAll(buffer, r)
	if err == nil && len(body) > maxBody {
		return nil, errors.Newf("answer is over %d bytes", maxBody)
	}
	return body, err
}

func appendAll(buffer []byte, r io.Reader) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil || len(buffer) > maxBody {
			return buffer, err
		}
	}
}

// Close releases the connection. It is kept only after a complete answer on a
// connection whose endpoint keeps it too.
func (r *Reply) Close() {
	untouched := r.stop()
	if untouched && r.reusable() {
		r.conn.until = time.Now().Add(idleTime(r.Header))
		r.sender.keep(r.conn)
		return
	}
	r.conn.close()
}

func (r *Reply) reusable() bool {
	select {
	case <-r.written:
	default:
		return false
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return r.failed == nil && r.whole && framed && !r.Response.Close && r.ProtoAtLeast(1, 1) && r.conn.reader.Buffered() == 0
}

// idleTime reads how long the endpoint keeps an idle connection.
func idleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle - idleMargin
}
