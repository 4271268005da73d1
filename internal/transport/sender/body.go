package sender

import (
	"io"
	"net/http"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
)

const (
	// maxBodyBytes is the largest response body.
	maxBodyBytes = 16 << 20
	// initialBodyBytes is the size of the buffer of a body that is read whole. It grows with
	// the bytes that arrive, since a declared length may be wrong.
	initialBodyBytes = 8 << 10
)

// Read implements io.Reader on the response body. Errors are marked with
// forwarder.ErrBroken, and with forwarder.ErrMalformed unless the connection
// has ended.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch {
	case err == io.EOF:
		r.complete = true
		return n, err
	case err != nil && r.memory.Revoked():
		return n, r.outOfMemory(reserver.ErrRevoked)
	default:
		return n, r.conn.source.mark(err)
	}
}

// BytesRead returns the number of bytes of the response that were read, its
// head included.
func (r *Reply) BytesRead() int64 { return r.conn.source.bytes }

// Malformed returns a *MalformedError, marked with the sentinels of package forwarder. The
// limit is in bytes, zero for none.
func (r *Reply) Malformed(cause error, limit int64) error {
	return r.conn.source.malformed(cause, limit)
}

// Reserve reserves memory for a size in bytes, before a reader of the body allocates it. It
// fails if the endpoints' answers together take too much memory and this one is the largest.
func (r *Reply) Reserve(size int) error {
	if err := r.memory.Grow(size); err != nil {
		return r.outOfMemory(err)
	}
	return nil
}

func (r *Reply) outOfMemory(err error) error {
	return r.Malformed(err, int64(r.sender.Memory.Limit))
}

// ReadAll reads the response body to its end. It fails on a body over
// maxBodyBytes, chunk sizes included, and if Reserve fails.
func (r *Reply) ReadAll() ([]byte, error) {
	if r.ContentLength > maxBodyBytes && r.Body != http.NoBody {
		return nil, r.Malformed(errBodyTooBig, maxBodyBytes)
	}
	r.conn.source.beginBody()
	body := make([]byte, 0, initialBodyBytes)
	for {
		if len(body) == cap(body) {
			larger, err := r.grow(body)
			if err != nil {
				return body, err
			}
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, r.keep()
		}
		if err != nil {
			return body, err
		}
	}
}

// grow returns a copy of a part of the body with room for more.
func (r *Reply) grow(body []byte) ([]byte, error) {
	size := reserver.NextSize(cap(body))
	if declared := int(r.ContentLength); declared > cap(body) {
		size = min(size, declared)
	}
	if err := r.Reserve(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}

func (r *Reply) keep() error {
	if err := r.memory.Keep(); err != nil {
		return r.outOfMemory(err)
	}
	return nil
}
