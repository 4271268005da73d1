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

// slowWriter is an output that takes delay for each write.
type slowWriter struct {
	delay time.Duration

	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *slowWriter) lines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.text.String(), "\n")
}

// runSpooler starts a spooler, writes n lines at once, waits, and stops the
// spooler. On return all queued lines have been written to w.
func runSpooler(t *testing.T, w *slowWriter, limit float64, n int, wait time.Duration) {
	t.Helper()
	s := &spooler.Spooler{Out: w, LinesPerSecond: limit}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	started := time.Now()
	for range n {
		_, err := s.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.Zero(t, time.Since(started), "Write blocked")
	time.Sleep(wait)
	cancel()
	<-done
}

func TestSpooler(t *testing.T) {
	t.Run("writes all lines", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &slowWriter{}
			runSpooler(t, w, 100, 10, time.Second)
			assert.Equal(t, 10, w.lines())
		})
	})
	t.Run("writes queued lines when stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &slowWriter{}
			runSpooler(t, w, 100, 10, 0)
			assert.Equal(t, 10, w.lines())
		})
	})
	t.Run("drops and counts lines over the rate limit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &slowWriter{}
			runSpooler(t, w, 100, 1_000, time.Second)
			assert.Equal(t, 201, w.lines())
			assert.Contains(t, w.text.String(), `"event":"log lines dropped","count":800`)
		})
	})
	t.Run("does not block on a slow output", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := &slowWriter{delay: time.Minute}
			runSpooler(t, w, 1e6, 10_000, time.Second)
			assert.Contains(t, w.text.String(), "log lines dropped")
		})
	})
}

// BenchmarkBurst measures what one log line costs the goroutine that logs it,
// while the output is slower than the lines arrive, within the rate limit and
// beyond it.
func BenchmarkBurst(b *testing.B) {
	run := func(name string, limit float64) {
		b.Run(name, func(b *testing.B) {
			s := &spooler.Spooler{Out: &slowWriter{delay: time.Millisecond}, LinesPerSecond: limit}
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
