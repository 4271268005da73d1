package forwarder

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
)

// relayEvents queues the events of a stream for the caller as they arrive. The
// head is delivered with the first event; a stream that fails before its first
// event can still be retried on another endpoint.
func (r *run) relayEvents(ctx context.Context, attempt Attempt, answer Answer, timer *stallTimer) error {
	events := 0
	for {
		event, err := answer.EventStream.Next()
		if errors.Is(err, io.EOF) {
			return r.completeStream(attempt, answer, events)
		}
		if err != nil {
			return r.streamFailure(ctx, attempt, err)
		}
		if events == 0 {
			if err := r.checkBuild(attempt); err != nil {
				r.executed--
				return r.handleFailure(ctx, attempt, errors.Mark(err, ErrMalformed))
			}
		}
		timer.restartAfterEvent()
		r.beginTimer.Stop()
		r.placement.OnEvent(events == 0)
		r.recordFirstEvent()
		if r.hasBegun() {
			r.recordSurvival()
		}
		if err := r.beginStream(answer); err != nil {
			return err
		}
		if err := r.event(ctx, attempt, event); err != nil {
			return err
		}
		// The stream was not read while the caller was too far behind.
		timer.restartAfterEvent()
		events++
	}
}

// event queues an event for the caller, or delivers it if nothing is read ahead.
func (r *run) event(ctx context.Context, attempt Attempt, event Event) error {
	if r.delivery != nil {
		if err := r.delivery.push(ctx, event); err != nil {
			return r.streamFailure(ctx, attempt, err)
		}
		return nil
	}
	if err := r.sink.Event(event); err != nil {
		return r.callerGone(err)
	}
	if event.ID != "" {
		r.Progress.LastEventID = event.ID
	}
	return nil
}

// streamFailure returns the error of a stream that can't be read or delivered any further.
func (r *run) streamFailure(ctx context.Context, attempt Attempt, err error) error {
	if r.delivery != nil {
		if failed := r.delivery.failure(); failed != nil {
			return r.callerGone(failed)
		}
	}
	// deliver counted this attempt already, and handleFailure counts it again.
	r.executed--
	return r.handleFailure(ctx, attempt, err)
}

func (r *run) completeStream(attempt Attempt, answer Answer, events int) error {
	if err := r.beginStream(answer); err != nil {
		return err
	}
	r.Suspects.Clear(r.fingerprint)
	r.recordEnd(attempt, answer)
	r.placement.OnComplete()
	r.logAttempt("streamed", attempt).Int("events", events).Dur("first", r.firstEvent.Sub(r.Received)).Send()
	return nil
}
