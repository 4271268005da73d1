// Package spooler writes log lines without ever holding up their writers.
//
// Lines go through a bounded queue to one goroutine, which writes them in
// batches. What comes faster than the limit, or does not fit the queue because
// the reader is slow, is dropped and counted; a line with the count follows.
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
	// queueLines is the number of lines that wait for a slow reader.
	maxQueuedLines = 2048
	// batchBytes is the size up to which lines are written together.
	maxBatchBytes = 32 << 10
	// batchPause is how long lines may wait for others.
	batchDelay = 100 * time.Millisecond
	// burstSeconds is how many seconds' worth of lines may come at once.
	burstSeconds = 2
)

// Spooler is an io.Writer of whole lines. Its exported fields are set before
// Run, and it is safe for concurrent use.
type Spooler struct {
	Out io.Writer
	// LinesPerSecond is the largest number of lines a second over a longer time.
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

// take takes a line from the limit.
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

// Run writes lines until ctx ends, and then those that are left.
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

// flush writes a line with those that come within the pause.
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
	// There is nowhere else to report a failure to.
	_, _ = s.Out.Write(batch)
}
