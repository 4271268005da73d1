package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// relayEvents passes the events of a stream to the caller as they arrive. The
// head is delivered with the first event; a stream that fails before its first
// event can still be retried on another endpoint.
func (r *run) relayEvents(ctx context.Context, attempt Attempt, answer Answer, stallTimer *time.Timer) error {
	events := 0
	for {
		event, err := answer.EventStream.Next()
		if errors.Is(err, io.EOF) {
			return r.completeStream(attempt, answer, events)
		}
		if err != nil {
			// deliver counted this attempt already, and handleFailure counts it again.
			r.executed--
			return r.handleFailure(ctx, attempt, err)
		}
		if events == 0 {
			if err := r.checkBuild(attempt); err != nil {
				r.executed--
				return r.handleFailure(ctx, attempt, errors.Mark(err, ErrMalformed))
			}
		}
		stallTimer.Reset(r.stallTimeout())
		r.beginTimer.Stop()
		r.placement.OnEvent(events == 0)
		r.recordFirstEvent()
		if r.hasBegun() {
			r.recordSurvival()
		}
		if err := r.event(answer, event); err != nil {
			return errors.Mark(err, ErrCallerGone)
		}
		events++
	}
}

func (r *run) event(answer Answer, event Event) error {
	if !r.StreamStarted {
		r.StreamStarted = true
		if err := r.sink.Begin(answer); err != nil {
			return err
		}
	}
	if err := r.sink.Event(event); err != nil {
		return err
	}
	if event.ID != "" {
		r.Progress.LastEventID = event.ID
	}
	return nil
}

func (r *run) completeStream(attempt Attempt, answer Answer, events int) error {
	if !r.StreamStarted {
		r.StreamStarted = true
		if err := r.sink.Begin(answer); err != nil {
			return errors.Mark(err, ErrCallerGone)
		}
	}
	r.Suspects.Clear(r.fingerprint)
	r.recordEnd(attempt, answer)
	r.placement.OnComplete()
	r.logAttempt("streamed", attempt).Int("events", events).Dur("first", r.firstEvent.Sub(r.Received)).Send()
	return nil
}
