package spooler_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/spooler"
)

// reader is a reader of the log that takes its time.
type reader struct {
	pause time.Duration

	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (r *reader) Write(p []byte) (int, error) {
	time.Sleep(r.pause)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *reader) lines() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.text.String(), "\n")
}

// write writes n lines at once and returns what the reader has after wait.
func write(t *testing.T, r *reader, limit float64, n int, wait time.Duration) {
	t.Helper()
	s := &spooler.Spooler{Out: r, Limit: limit}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	began := time.Now()
	for range n {
		_, err := s.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.Zero(t, time.Since(began), "writers waited")
	time.Sleep(wait)
	cancel()
	<-done
}

func TestSpooler(t *testing.T) {
	t.Run("writes all lines", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := &reader{}
			write(t, r, 100, 10, time.Second)
			assert.Equal(t, 10, r.lines())
		})
	})
	t.Run("writes what is left at the end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := &reader{}
			write(t, r, 100, 10, 0)
			assert.Equal(t, 10, r.lines())
		})
	})
	t.Run("drops and counts what is over the limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := &reader{}
			write(t, r, 100, 1_000, time.Second)
			assert.Equal(t, 201, r.lines())
			assert.Contains(t, r.text.String(), `"event":"log lines dropped","count":800`)
		})
	})
	t.Run("never waits for a slow reader", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := &reader{pause: time.Minute}
			write(t, r, 1e6, 10_000, time.Second)
			assert.Contains(t, r.text.String(), "log lines dropped")
		})
	})
}

// BenchmarkBurst writes lines as they are written for attempts, faster than a slow
// reader takes them: what a line costs its writer, within the limit and beyond.
func BenchmarkBurst(b *testing.B) {
	run := func(name string, limit float64) {
		b.Run(name, func(b *testing.B) {
			s := &spooler.Spooler{Out: &reader{pause: time.Millisecond}, Limit: limit}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			go func() {
				s.Run(ctx)
				close(done)
			}()
			log := zerolog.New(s).With().Timestamp().Str("node", "front-1").Logger()
			for b.Loop() {
				log.Info().Str("event", "attempt").Str("request", "07adf3504d85b425").Str("outcome", "streamed").
					Str("endpoint", "i-0a34f96d13").Int("send", 1).Int64("weights", 1).Dur("left", time.Second).
					Float64("cost", 1.64).Int("read", 238).Int("fetch", 1707).Dur("waited", time.Millisecond).Send()
			}
			cancel()
			<-done
		})
	}
	run("within the limit", 1e9)
	run("beyond the limit", 400)
}
