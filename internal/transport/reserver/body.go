package reserver

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// segmentBytes is the size of a segment. The first one of a body does not count.
const segmentBytes = FreeBytes

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = errors.New("body is too long")

type segment [segmentBytes]byte

// freeSegments holds segments for the next bodies, so that bodies that are given up make no
// garbage.
var freeSegments = sync.Pool{New: func() any { return new(segment) }}

// ReadAll reads a body of at most limit bytes from r to its end, and reserves memory before it
// reads on. The buffer is complete afterwards, as after Keep. It returns ErrTooLong, ErrRevoked
// or the error of r.
func (b *Buffer) ReadAll(r io.Reader, limit int) ([]byte, error) {
	var s segments
	defer s.free()
	for {
		if s.full() {
			if err := b.Grow(s.capacity() + segmentBytes); err != nil {
				return nil, err
			}
			s.grow()
		}
		n, err := r.Read(s.room())
		s.length += n
		switch {
		case b.Revoked():
			return nil, ErrRevoked
		case s.length > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return s.join(), b.Keep()
		case err != nil:
			return nil, err
		}
	}
}

// segments holds a body of a length in bytes while it is read.
type segments struct {
	list   []*segment
	length int
}

func (s *segments) capacity() int { return len(s.list) * segmentBytes }

func (s *segments) full() bool { return s.length == s.capacity() }

func (s *segments) grow() { s.list = append(s.list, freeSegments.Get().(*segment)) }

// room returns the part of the last segment that is not used.
func (s *segments) room() []byte { return s.list[len(s.list)-1][s.length%segmentBytes:] }

// join returns the body in one piece.
func (s *segments) join() []byte {
	body := make([]byte, 0, s.length)
	for _, part := range s.list {
		body = append(body, part[:min(segmentBytes, s.length-len(body))]...)
	}
	return body
}

func (s *segments) free() {
	for _, part := range s.list {
		freeSegments.Put(part)
	}
}
