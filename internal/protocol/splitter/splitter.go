// Package splitter cuts a stream of server-sent events into whole events with
// their bytes unchanged.
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
	firstBuffer = 1 << 10
	// maxEvent bounds one event in bytes.
	maxEvent = 1 << 20
)

// Event is one event. Data holds all its bytes, the blank line at its end
// included, and is valid until the next call.
type Event struct {
	ID   string
	Data []byte
}

// Splitter reads events.
type Splitter struct {
	source io.Reader
	buffer []byte
	// start is where the next event begins, seen up to where its end was looked
	// for.
	start int
	seen  int
	ended bool
}

// New returns a splitter of source.
func New(source io.Reader) *Splitter {
	return &Splitter{source: source, buffer: make([]byte, 0, firstBuffer)}
}

// Next returns the next event. It returns io.EOF after a complete stream,
// ErrPartial, ErrTooLong, or the source's error.
func (s *Splitter) Next() (Event, error) {
	for {
		if end := s.end(); end > 0 {
			data := s.buffer[s.start:end]
			s.start, s.seen = end, end
			return Event{ID: id(data), Data: data}, nil
		}
		if s.ended {
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

// end returns where the event in the buffer ends, or 0.
func (s *Splitter) end() int {
	from := max(s.start, s.seen-3)
	rest := s.buffer[from:]
	s.seen = len(s.buffer)
	best := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.Index(rest, mark); at >= 0 {
			if end := from + at + len(mark); best == 0 || end < best {
				best = end
			}
		}
	}
	return best
}

func (s *Splitter) fill() error {
	if s.start > 0 {
		s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.start:])]
		s.seen -= s.start
		s.start = 0
	}
	if len(s.buffer) == cap(s.buffer) {
		if len(s.buffer) >= maxEvent {
			return ErrTooLong
		}
		s.buffer = append(s.buffer, make([]byte, len(s.buffer))...)[:len(s.buffer)]
	}
	n, err := s.source.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if err == io.EOF {
		s.ended = true
		return nil
	}
	return err
}

// id returns the event's id field, or "".
func id(data []byte) string {
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte("\n"))
		data = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
