package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

const (
	// inlineBodyBytes is the largest declared length of a body that is written
	// before the response is read. It fits the smallest socket buffers, so the
	// write does not block. Longer bodies are written by another goroutine
	// while the response is read.
	inlineBodyBytes = 2 << 10
)

// errTooManyMismatches is returned when maxMismatches responses have been
// skipped.
var errTooManyMismatches = errors.New("connection has too many answers to other requests")

// conn is a connection that serves one request at a time.
type conn struct {
	target Target
	raw    net.Conn
	// stream is raw, or the same with the end of what is read verified.
	stream net.Conn
	source *source
	reader *bufio.Reader
	// expires is the time after which an idle connection is not reused.
	expires time.Time
	// used is set once a response has come over the connection, and answered has the ids of the
	// tries that were answered and may be sent again.
	used     bool
	answered []string
	// via is the node that the connection leads through; invalid if it is direct.
	via netip.AddrPort
}

func newConn(target Target, raw net.Conn) *conn {
	c := &conn{target: target, raw: raw}
	if relayed, ok := raw.(Relayed); ok {
		// The other node says how the endpoint has ended its connection.
		c.via, c.stream = relayed.Via(), raw
	} else {
		c.stream = &verifier.Conn{Conn: raw}
	}
	c.source = &source{raw: c.stream}
	c.reader = bufio.NewReaderSize(c.source, readBufferBytes)
	return c
}

// begin tells path of a request over a direct connection, and of the bytes of its answer, until
// end.
func (c *conn) begin(path Path) {
	if path == nil || c.via.IsValid() {
		return
	}
	path.Begin(time.Now())
	c.source.path = path
}

func (c *conn) end() {
	if c.source.path != nil {
		c.source.path.End()
		c.source.path = nil
	}
}

func (c *conn) close() { _ = c.raw.Close() }

// usable reports whether an idle connection may be reused: it has not expired
// and is clean.
func (c *conn) usable(now time.Time) bool { return now.Before(c.expires) && c.isClean() }

// isClean reports whether the connection is open and has no unread bytes, which
// would belong to no request.
func (c *conn) isClean() bool { return c.reader.Buffered() == 0 && hasNoPendingData(c.raw) }

// hasNoPendingData reports whether a connection is open and has no bytes to
// read. It does not block. It reports true for a connection without a file
// descriptor.
func hasNoPendingData(raw net.Conn) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// roundTrip writes a request and reads the head of its response. A large body
// is written in the background, so the response may arrive before the body has
// been written.
func (c *conn) roundTrip(ctx context.Context, request Request) (*Reply, error) {
	r := request.Encode()
	reply := &Reply{conn: c, id: request.ID, writeDone: make(chan struct{})}
	reply.stopCancel = context.AfterFunc(ctx, c.close)
	c.source.bytes = 0
	if r.ContentLength <= inlineBodyBytes {
		if err := reply.writeRequest(r); err != nil {
			reply.stopCancel()
			return nil, err
		}
	} else {
		go func() { _ = reply.writeRequest(r) }()
	}
	response, err := c.readResponseHead(r, request.Matches)
	if err != nil {
		reply.stopCancel()
		return nil, err
	}
	reply.Response = response
	return reply, nil
}

// readResponseHead reads the head of the response that belongs to the request.
// It skips interim responses and responses to other requests, and fails after
// maxMismatches of them.
func (c *conn) readResponseHead(r *http.Request, matches func(response *http.Response, first bool) bool) (*http.Response, error) {
	first := !c.used
	c.used = true
	for range maxMismatches {
		if err := c.source.beginHead(c.reader); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, c.source.markHead(err)
		}
		if err := c.checkHead(response); err != nil {
			return nil, c.source.malformed(err, 0)
		}
		if response.StatusCode >= 200 && matches(response, first) {
			c.source.beginStream()
			return response, nil
		}
		if err := c.skip(response.Body); err != nil {
			return nil, err
		}
	}
	return nil, c.source.malformed(errTooManyMismatches, 0)
}

// checkHead returns an error if the head that was read last is malformed.
func (c *conn) checkHead(response *http.Response) error {
	if !response.ProtoAtLeast(1, 1) && c.source.hasCoding() {
		return errCoding
	}
	return verifier.CheckHead(response)
}

func (c *conn) skip(body io.Reader) error {
	c.source.beginBody()
	_, err := io.Copy(io.Discard, body)
	return c.source.mark(err)
}

// Reply is the response to a request.
type Reply struct {
	*http.Response
	// OnBytes is called when bytes of the body have been read; nil if nobody asks.
	OnBytes func()

	sender     *Sender
	conn       *conn
	id         string
	memory     *reserver.Buffer
	stopCancel func() bool
	// writeDone is closed once the request has been written; writeErr is valid
	// after that.
	writeDone chan struct{}
	writeErr  error
	// complete is set once the body has been read to its end, and unset by Discard.
	complete bool
}

func (r *Reply) writeRequest(request *http.Request) error {
	defer close(r.writeDone)
	r.writeErr = request.Write(r.conn.stream)
	return r.writeErr
}

// Discard makes Close close the connection: the body has its end, but its contents do not, so
// the endpoint is about to close the connection too or does not know where its answers end.
func (r *Reply) Discard() { r.complete = false }

// MayRepeat records that the try may be sent again: not over this connection, where this answer
// could be taken for the one to come.
func (r *Reply) MayRepeat() { r.conn.answered = append(r.conn.answered, r.id) }

// Via returns the node that the connection leads through; invalid if it is direct.
func (r *Reply) Via() netip.AddrPort { return r.conn.via }

// Close returns the connection to the pool if the response is complete and the
// endpoint keeps the connection open, and closes it otherwise.
func (r *Reply) Close() {
	r.memory.Release()
	r.conn.end()
	notCancelled := r.stopCancel()
	if notCancelled && r.reusable() {
		r.conn.expires = time.Now().Add(idleTimeout(r.Header))
		r.sender.putIdle(r.conn)
		return
	}
	r.conn.close()
}

func (r *Reply) reusable() bool {
	select {
	case <-r.writeDone:
	default:
		return false
	}
	if r.conn.via.IsValid() || len(r.conn.answered) > maxAnswered {
		return false
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	if r.memory.Revoked() {
		// Its connection is closed, or about to be.
		return false
	}
	return r.writeErr == nil && r.complete && framed && !r.Response.Close && r.ProtoAtLeast(1, 1) && r.conn.isClean()
}

// idleTimeout returns how long an idle connection may be reused: the timeout in
// the endpoint's Keep-Alive header, or defaultIdleTimeout, less idleMargin.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(min(seconds, int(maxIdleTimeout/time.Second)))*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout - idleMargin
}
