//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	began time.Time

	mu     sync.Mutex
	out    io.Writer
	breaks int
}

func newRecord(out io.Writer) *record { return &record{began: time.Now(), out: out} }

// note adds a line, with the time since the start in seconds.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation adds a line that says how the rule was broken.
func (r *record) violation(format string, args ...any) {
	r.note("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks++
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks
}
