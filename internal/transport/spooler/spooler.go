// Package spooler writes log lines asynchronously, so that logging never blocks.
//
// Lines go through a bounded queue to one goroutine, which writes them in
// batches. Lines that exceed the rate limit, or arrive while the queue is full
// because the output is slow, are dropped. The next batch ends with a line that
// gives their number.
//
// # Usage
//
//	s := &spooler.Spooler{Out: os.Stdout, LinesPerSecond: 500}
//	go s.Run(ctx)
//	log := zerolog.New(s)
package spooler

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow output.
	maxQueuedLines = 2048
	// maxBatchBytes is the size at which a batch is written without further delay.
	maxBatchBytes = 32 << 10
	// batchDelay is the longest time that a line waits for its batch to fill.
	batchDelay = 100 * time.Millisecond
	// burstSeconds is the burst size, in seconds of the rate limit.
	burstSeconds = 2
)

// Spooler is an io.Writer that takes one complete line in each Write. Its exported
// fields are set before Run, and it is safe for concurrent use.
type Spooler struct {
	Out io.Writer
	// LinesPerSecond is the sustained rate limit.
	LinesPerSecond float64

	once  sync.Once
	lines chan []byte

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	dropped  int
}

func (s *Spooler) queue() chan []byte {
	s.once.Do(func() { s.lines = make(chan []byte, maxQueuedLines) })
	return s.lines
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	if !s.allow(time.Now()) {
		return len(line), nil
	}
	select {
	case s.queue() <- bytes.Clone(line):
	default:
		s.countDropped()
	}
	return len(line), nil
}

// allow reports whether the rate limit allows a line, and counts the line as
// dropped if not. The limit is a token bucket.
func (s *Spooler) allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refilled.IsZero() {
		s.tokens = burstSeconds * s.LinesPerSecond
	} else {
		s.tokens = min(s.tokens+s.LinesPerSecond*now.Sub(s.refilled).Seconds(), burstSeconds*s.LinesPerSecond)
	}
	s.refilled = now
	if s.tokens < 1 {
		s.dropped++
		return false
	}
	s.tokens--
	return true
}

func (s *Spooler) countDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// Run writes lines until ctx is done, and then those that are still queued.
func (s *Spooler) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.queue():
			s.flush(line, time.After(batchDelay))
		case <-ctx.Done():
			s.drainQueue()
			return
		}
	}
}

// flush writes a line in one batch with those that arrive until the timer fires or
// the batch is full.
func (s *Spooler) flush(batch []byte, timer <-chan time.Time) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.queue():
			batch = append(batch, line...)
			continue
		case <-timer:
		}
		break
	}
	s.writeBatch(batch)
}

func (s *Spooler) drainQueue() {
	var batch []byte
	for {
		select {
		case line := <-s.queue():
			batch = append(batch, line...)
		default:
			s.writeBatch(batch)
			return
		}
	}
}

func (s *Spooler) writeBatch(batch []byte) {
	s.mu.Lock()
	if s.dropped > 0 {
		batch = append(batch, `{"level":"warn","event":"log lines dropped","count":`...)
		batch = strconv.AppendInt(batch, int64(s.dropped), 10)
		batch = append(batch, "}\n"...)
		s.dropped = 0
	}
	s.mu.Unlock()
	// This is the log output itself, so a failure can't be logged.
	_, _ = s.Out.Write(batch)
}
