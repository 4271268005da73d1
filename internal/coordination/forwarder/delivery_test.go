package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// slowSink takes a pause before it accepts an event, or never does if pause is negative.
type slowSink struct {
	standinSink
	pause       time.Duration
	once        sync.Once
	interrupted chan struct{}
	text        string
}

func newSlowSink(pause time.Duration) *slowSink {
	return &slowSink{pause: pause, interrupted: make(chan struct{})}
}

func (s *slowSink) wait() error {
	var timer <-chan time.Time
	if s.pause >= 0 {
		timer = time.After(s.pause)
	}
	select {
	case <-timer:
		return nil
	case <-s.interrupted:
		return io.ErrClosedPipe
	}
}

// DeliverComplete implements forwarder.Sink.
func (s *slowSink) DeliverComplete(answer forwarder.Answer) error {
	if err := s.wait(); err != nil {
		return err
	}
	return s.standinSink.DeliverComplete(answer)
}

// Event implements forwarder.Sink.
func (s *slowSink) Event(event forwarder.Event) error {
	if err := s.wait(); err != nil {
		return err
	}
	s.text += string(event.Data)
	return s.standinSink.Event(event)
}

// Interrupt implements forwarder.Interrupter.
func (s *slowSink) Interrupt() { s.once.Do(func() { close(s.interrupted) }) }

// eventBuffer returns n events of a size in the same memory, as a splitter does, and then err.
type eventBuffer struct {
	n, size, sent int
	err           error
	data          []byte
}

// Next implements forwarder.EventStream.
func (e *eventBuffer) Next() (forwarder.Event, error) {
	if e.sent == e.n {
		return forwarder.Event{}, e.err
	}
	e.sent++
	id := fmt.Sprint(e.sent)
	e.data = append(e.data[:0], strings.Repeat(id[:1], e.size)...)
	return forwarder.Event{ID: id, Data: e.data}, nil
}

func streamOf(events *eventBuffer) response {
	return func(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
		return forwarder.Answer{Status: 200, EventStream: events}, nil
	}
}

func ids(from, to int) []string {
	var all []string
	for i := from; i <= to; i++ {
		all = append(all, fmt.Sprint(i))
	}
	return all
}

// closingSender records when the answer of the last attempt was closed.
type closingSender struct {
	standinSender
	closedAt time.Time
}

// Send implements forwarder.Sender.
func (s *closingSender) Send(ctx context.Context, attempt forwarder.Attempt) (forwarder.Answer, error) {
	answer, err := s.standinSender.Send(ctx, attempt)
	answer.Close = func() { s.closedAt = time.Now() }
	return answer, err
}

func newReadAhead(limit int, responses ...response) (*forwarder.Forwarder, *closingSender) {
	s := &closingSender{standinSender: standinSender{responses: responses}}
	f := newForwarder(&s.standinSender)
	f.Sender, f.Backlog = s, &forwarder.Backlog{Limit: limit}
	return f, s
}

// assertSlow checks that a request ended because its caller was too slow.
func assertSlow(t *testing.T, err error) {
	t.Helper()
	assert.True(t, errors.Is(err, forwarder.ErrSlowCaller), "%v", err)
	assert.True(t, errors.Is(err, forwarder.ErrCallerGone), "%v", err)
	assert.False(t, errors.Is(err, forwarder.ErrNotSent), "%v", err)
}

// TestSlowCallers guards against answers that remain unread at the endpoint because of their
// callers, and against answers that lose or repeat events when they are read ahead.
func TestSlowCallers(t *testing.T) {
	const kib, mib = 1 << 10, 1 << 20
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("a caller that reads slowly gets all of an answer that was read at once", func(t *testing.T) {
		f, s := newReadAhead(mib, streamOf(&eventBuffer{n: 9, size: 2, err: io.EOF}))
		sink, started := newSlowSink(time.Second), time.Now()
		require.NoError(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), sink))
		assert.Equal(t, ids(1, 9), sink.events)
		assert.Equal(t, "112233445566778899", sink.text)
		assert.Zero(t, s.closedAt.Sub(started))
		assert.Equal(t, 9*time.Second, time.Since(started))
		assert.Zero(t, f.Backlog.Used())
	})
	run("a caller that reads nothing ends, and its endpoint is not kept", func(t *testing.T) {
		events := &eventBuffer{n: 1000, size: 64 * kib, err: io.EOF}
		f, s := newReadAhead(16*mib, streamOf(events))
		sink, started := newSlowSink(-1), time.Now()
		assertSlow(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), sink))
		assert.Equal(t, time.Second, time.Since(started))
		assert.Equal(t, time.Second, s.closedAt.Sub(started))
		assert.Len(t, s.attempts, 1)
		assert.LessOrEqual(t, events.sent, 17)
		assert.Zero(t, f.Backlog.Used())
	})
	run("a caller that keeps up may get more than the bound", func(t *testing.T) {
		f, _ := newReadAhead(mib, streamOf(&eventBuffer{n: 100, size: 64 * kib, err: io.EOF}))
		sink := newSlowSink(50 * time.Millisecond)
		require.NoError(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), sink))
		assert.Equal(t, ids(1, 100), sink.events)
	})
	run("a stream is resumed after the last event that the caller was given", func(t *testing.T) {
		f, s := newReadAhead(mib, streamOf(&eventBuffer{n: 4, size: 10, err: errors.Mark(io.ErrUnexpectedEOF, forwarder.ErrBroken)}), stream(io.EOF, "5", "6"))
		sink := newSlowSink(100 * time.Millisecond)
		require.NoError(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), sink))
		require.Len(t, s.attempts, 2)
		assert.Equal(t, "4", s.attempts[1].LastEventID)
		assert.Equal(t, ids(1, 6), sink.events)
		assert.Equal(t, 1, sink.begins)
	})
	run("a caller that leaves ends its request at once", func(t *testing.T) {
		f, _ := newReadAhead(mib, streamAfter(0, 0, time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		started := time.Now()
		err := f.Run(ctx, exchange(cataloger.RetryResumable), newSlowSink(-1))
		assert.True(t, errors.Is(err, forwarder.ErrCallerGone), "%v", err)
		assert.Equal(t, 300*time.Millisecond, time.Since(started))
	})
	run("a caller that takes no complete answer keeps nothing of the endpoint", func(t *testing.T) {
		f, s := newReadAhead(mib, status(200))
		ctx, cancel := context.WithCancel(t.Context())
		sink, started := newSlowSink(time.Minute), time.Now()
		require.NoError(t, f.Run(ctx, exchange(cataloger.RetrySafe), sink))
		cancel()
		assert.Equal(t, 200, sink.status)
		assert.Zero(t, s.closedAt.Sub(started))
	})
	run("many callers that read nothing cost an ordinary one nothing", func(t *testing.T) {
		backlog := &forwarder.Backlog{Limit: 4 * mib}
		results := make(chan error, 40)
		for i := range 40 {
			f, _ := newReadAhead(0, streamOf(&eventBuffer{n: 8, size: (i + 1) * 4 * kib, err: io.EOF}))
			f.Backlog = backlog
			go func() { results <- f.Run(t.Context(), exchange(cataloger.RetryResumable), newSlowSink(-1)) }()
		}
		synctest.Wait()
		assert.LessOrEqual(t, backlog.Used(), backlog.Limit)
		assert.Greater(t, backlog.Used(), backlog.Limit/2)
		ended := len(results)
		assert.Positive(t, ended)
		for range ended {
			assertSlow(t, <-results)
		}
		f, _ := newReadAhead(0, streamOf(&eventBuffer{n: 30, size: kib, err: io.EOF}))
		f.Backlog = backlog
		sink, started := newSlowSink(10*time.Millisecond), time.Now()
		require.NoError(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), sink))
		assert.Equal(t, ids(1, 30), sink.events)
		assert.Equal(t, 300*time.Millisecond, time.Since(started))
		for range 40 - ended {
			// The others have read nothing, and end with their deadline or for lack of memory.
			assert.Error(t, <-results)
		}
		assert.Zero(t, backlog.Used())
	})
	run("the request with the most unread bytes ends first", func(t *testing.T) {
		backlog := &forwarder.Backlog{Limit: 100 * kib}
		start := func(events, size int) chan error {
			f, _ := newReadAhead(0, streamOf(&eventBuffer{n: events, size: size, err: io.EOF}))
			f.Backlog = backlog
			result := make(chan error, 1)
			go func() { result <- f.Run(t.Context(), exchange(cataloger.RetryResumable), newSlowSink(-1)) }()
			synctest.Wait()
			return result
		}
		large, small := start(7, 8*kib), start(5, 8*kib)
		assert.Empty(t, large)
		third := start(2, 8*kib)
		assert.Empty(t, small)
		assert.Empty(t, third)
		assertSlow(t, <-large)
		assert.Error(t, <-small)
		assert.Error(t, <-third)
	})
}
