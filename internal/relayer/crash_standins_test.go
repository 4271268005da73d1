package relayer_test

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
)

// discardSink accepts all answers.
type discardSink struct{}

// DeliverComplete implements forwarder.Sink.
func (discardSink) DeliverComplete(forwarder.Answer) error { return nil }

// Begin implements forwarder.Sink.
func (discardSink) Begin(forwarder.Answer) error { return nil }

// Event implements forwarder.Sink.
func (discardSink) Event(forwarder.Event) error { return nil }

// attemptMeter records whether the answer began at the first attempt.
type attemptMeter struct {
	failed bool
	begun  bool
}

// Request implements forwarder.Meter.
func (m *attemptMeter) Request(string, string, time.Duration) {}

// Attempt implements forwarder.Meter. It is called when an attempt has ended.
func (m *attemptMeter) Attempt(_, outcome string) { m.failed = m.failed || outcome != "streamed" }

// FirstEvent implements forwarder.Meter.
func (m *attemptMeter) FirstEvent(string, time.Duration, time.Duration) { m.begun = !m.failed }
