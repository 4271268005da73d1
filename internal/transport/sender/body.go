package sender

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
)

// maxBodyBytes is the largest response body.
const maxBodyBytes = 16 << 20

// Read implements io.Reader on the response body. Errors are marked with
// forwarder.ErrBroken, and with forwarder.ErrMalformed unless the connection
// has ended.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if n > 0 && r.OnBytes != nil {
		r.OnBytes()
	}
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
	body, err := r.memory.ReadAll(r, maxBodyBytes)
	switch {
	case errors.Is(err, reserver.ErrRevoked):
		return nil, r.outOfMemory(err)
	case errors.Is(err, reserver.ErrTooLong):
		return nil, r.Malformed(errBodyTooBig, maxBodyBytes)
	}
	return body, err
}
