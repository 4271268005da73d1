// Package splitter splits a stream of server-sent events into complete events
// without changing their bytes.
//
// # Usage
//
//	s := splitter.New(body)
//	event, err := s.Next()
package splitter

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Sentinel errors.
var (
	// ErrPartial is returned when a stream ends in the middle of an event.
	ErrPartial = errors.New("stream ended in the middle of an event")
	// ErrTooLong is returned for an event over the size limit.
	ErrTooLong = errors.New("event is too long")
)

const (
	initialBufferBytes = 1 << 10
	// MaxEventBytes is the size at which an incomplete event is rejected.
	MaxEventBytes = 1 << 20
)

// Event is one event. Data contains all its bytes including the blank line at its
// end, and is valid until the next call of Next.
type Event struct {
	ID   string
	Data []byte
}

// Splitter reads events from a stream. It is not safe for concurrent use.
type Splitter struct {
	// Reserve is called with the new size in bytes before the buffer grows. If it returns
	// an error, Next returns that error. It may be nil, and is set before the first call
	// of Next.
	Reserve func(size int) error

	source io.Reader
	buffer []byte
	// start is the index in buffer at which the next event begins, and scanned the
	// index up to which its end has been searched for.
	start   int
	scanned int
	eof     bool
}

// New returns a splitter that reads from source.
func New(source io.Reader) *Splitter {
	return &Splitter{source: source, buffer: make([]byte, 0, initialBufferBytes)}
}

// Next returns the next event. It returns io.EOF at the end of a complete stream,
// ErrPartial at the end of an incomplete one, ErrTooLong, or the error of the source or of
// Reserve.
func (s *Splitter) Next() (Event, error) {
	for {
		if eventEnd := s.eventEnd(); eventEnd > 0 {
			data := s.buffer[s.start:eventEnd]
			s.start, s.scanned = eventEnd, eventEnd
			return Event{ID: eventID(data), Data: data}, nil
		}
		if s.eof {
			if s.start < len(s.buffer) {
				return Event{}, ErrPartial
			}
			return Event{}, io.EOF
		}
		if err := s.fill(); err != nil {
			return Event{}, err
		}
	}
}

// eventEnd returns the index in buffer after the end of the next event, or 0 if
// the event is incomplete. An event ends with LF LF or CR LF CR LF; mixed line
// ends are not recognized.
func (s *Splitter) eventEnd() int {
	// A terminator of up to four bytes may have been read only in part.
	at := max(s.start, s.scanned-3)
	for {
		next := bytes.IndexByte(s.buffer[at:], '\n')
		if next < 0 {
			s.scanned = len(s.buffer)
			return 0
		}
		at += next + 1
		rest := s.buffer[at:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return at + 1
		}
		if bytes.HasSuffix(s.buffer[s.start:at], []byte("\r\n")) && bytes.HasPrefix(rest, []byte("\r\n")) {
			return at + 2
		}
	}
}

func (s *Splitter) fill() error {
	if s.start > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.start:])]
		s.scanned -= s.start
		s.start = 0
	}
	if len(s.buffer) == cap(s.buffer) {
		if len(s.buffer) >= MaxEventBytes {
			return ErrTooLong
		}
		if err := s.grow(2 * len(s.buffer)); err != nil {
			return err
		}
	}
	n, err := s.source.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if err == io.EOF {
		s.eof = true
		return nil
	}
	return err
}

func (s *Splitter) grow(size int) error {
	if s.Reserve != nil {
		if err := s.Reserve(size); err != nil {
			return err
		}
	}
	s.buffer = append(make([]byte, 0, size), s.buffer...)
	return nil
}

// eventID returns the event's id field, or "" if it has none.
func eventID(data []byte) string {
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		data = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
