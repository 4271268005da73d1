package sender

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes is the largest head of a response.
	maxHeadBytes = 32 << 10
	// maxCauseBytes is the length at which the text of a cause is cut, since it may quote
	// the response.
	maxCauseBytes = 200
)

const (
	// protocolName begins each response, and oldProtocol one of the version without transfer codings.
	protocolName = "HTTP/"
	oldProtocol  = "HTTP/1.0"
	// codingField is the name of the field that names a transfer coding, in lower case.
	codingField = "transfer-encoding"
)

var (
	// errLimit is returned by Read beyond the limit.
	errLimit      = errors.New("too many bytes")
	errNoResponse = errors.New("bytes are no HTTP response")
	errHeadTooBig = errors.New("head of the answer is too big")
	errBodyTooBig = errors.New("body of the answer is too big")
	errCoding     = errors.New("answer of HTTP/1.0 has a transfer coding")
)

// MalformedError describes an answer that is no answer or has too many bytes. It is marked
// with forwarder.ErrMalformed.
type MalformedError struct {
	Cause error
	// Bytes is the number of bytes that were read. Limit is the number of bytes that was
	// exceeded, or zero if the bytes are malformed in another way.
	Bytes int64
	Limit int64
}

// Error implements error.
func (m *MalformedError) Error() string {
	text := m.Cause.Error()
	if len(text) > maxCauseBytes {
		text = strings.ToValidUTF8(text[:maxCauseBytes], "") + "..."
	}
	if m.Limit > 0 {
		return fmt.Sprintf("%s: %d bytes read, limit %d", text, m.Bytes, m.Limit)
	}
	return fmt.Sprintf("%s: %d bytes read", text, m.Bytes)
}

// Mark returns the error with the sentinels of package forwarder.
func (m *MalformedError) Mark() error {
	return errors.Mark(errors.Mark(m, forwarder.ErrBroken), forwarder.ErrMalformed)
}

// source reads from a connection. It limits the bytes of heads and bodies, counts them and
// remembers whether the connection has ended. It is not safe for concurrent use.
type source struct {
	raw net.Conn
	// limited is set while only left more bytes may be read.
	limited bool
	left    int64
	// bytes is the number of bytes read since the request was sent.
	bytes int64
	// ended is set once a read has failed.
	ended bool
	// path is told of the bytes that are read; nil if nobody asks.
	path Path
	// head holds what was read since the begin of a head of HTTP/1.0; nil for other heads.
	head []byte
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.limited {
		if s.left <= 0 {
			return 0, errLimit
		}
		p = p[:min(int64(len(p)), s.left)]
	}
	n, err := s.raw.Read(p)
	if n > 0 && s.path != nil {
		s.path.RecordBytes(time.Now())
	}
	if s.head != nil {
		s.head = append(s.head, p[:n]...)
	}
	s.left -= int64(n)
	s.bytes += int64(n)
	s.ended = s.ended || err != nil
	return n, err
}

// beginHead begins to read a head, and checks that it begins like one.
func (s *source) beginHead(reader *bufio.Reader) error {
	s.limited, s.left, s.head = true, maxHeadBytes, nil
	start, err := reader.Peek(len(protocolName))
	switch {
	case !bytes.HasPrefix([]byte(protocolName), start):
		return s.malformed(errNoResponse, 0)
	case errors.Is(err, io.EOF):
		return errors.Mark(io.ErrUnexpectedEOF, forwarder.ErrBroken)
	}
	if err == nil {
		err = s.keepOldHead(reader)
	}
	return s.markHead(err)
}

// keepOldHead begins to keep a head if it is one of HTTP/1.0.
func (s *source) keepOldHead(reader *bufio.Reader) error {
	start, err := reader.Peek(len(oldProtocol))
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if string(start) == oldProtocol {
		// These bytes are there, so that Peek does not fail.
		buffered, _ := reader.Peek(reader.Buffered())
		s.head = bytes.Clone(buffered)
	}
	return err
}

// hasCoding reports whether the head of HTTP/1.0 that was read last names a transfer coding, and forgets the
// head. net/http passes over such a field, and would take the coded body for the body.
func (s *source) hasCoding() bool {
	head := s.head
	s.head = nil
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(bytes.TrimSpace(name)), codingField) {
			return true
		}
	}
	return false
}

// beginStream begins to read a body without a limit.
func (s *source) beginStream() { s.limited = false }

// beginBody begins to read a body, of which chunk sizes and trailers count as bytes too.
func (s *source) beginBody() { s.limited, s.left = true, maxBodyBytes }

// mark marks the error of reading a body.
func (s *source) mark(err error) error { return s.markLimited(err, errBodyTooBig, maxBodyBytes) }

// markHead marks the error of reading a head.
func (s *source) markHead(err error) error { return s.markLimited(err, errHeadTooBig, maxHeadBytes) }

// markLimited marks the error of reading under a limit. If the connection has not ended, the
// cause is in the bytes.
func (s *source) markLimited(err, tooBig error, limit int64) error {
	switch {
	case err == nil || errors.Is(err, forwarder.ErrBroken):
		return err
	case errors.Is(err, errLimit):
		return s.malformed(tooBig, limit)
	case s.ended:
		return errors.Mark(err, forwarder.ErrBroken)
	default:
		return s.malformed(err, 0)
	}
}

func (s *source) malformed(cause error, limit int64) error {
	return (&MalformedError{Cause: cause, Bytes: s.bytes, Limit: limit}).Mark()
}
