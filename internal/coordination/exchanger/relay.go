package exchanger

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// relay passes a stream's events on as they come. The head goes out with the
// first event, so that a stream that breaks before it can go elsewhere.
func (r *run) relay(ctx context.Context, attempt Attempt, answer Answer, stall *time.Timer) error {
	events := 0
	for {
		event, err := answer.Events.Next()
		if errors.Is(err, io.EOF) {
			return r.complete(attempt, answer, events)
		}
		if err != nil {
			r.ran--
			return r.failed(ctx, attempt, err)
		}
		stall.Reset(r.pause())
		r.placement.Event(events == 0)
		r.begin()
		if err := r.event(answer, event); err != nil {
			return errors.Mark(err, ErrCaller)
		}
		events++
	}
}

func (r *run) event(answer Answer, event Event) error {
	if !r.Begun {
		r.Begun = true
		if err := r.sink.Begin(answer); err != nil {
			return err
		}
	}
	if err := r.sink.Event(event); err != nil {
		return err
	}
	if event.ID != "" {
		r.Progress.After = event.ID
	}
	return nil
}

func (r *run) complete(attempt Attempt, answer Answer, events int) error {
	if !r.Begun {
		r.Begun = true
		if err := r.sink.Begin(answer); err != nil {
			return errors.Mark(err, ErrCaller)
		}
	}
	r.Suspects.Clear(r.fingerprint)
	r.placement.Completed()
	r.decide("streamed", attempt).Int("events", events).Dur("first", r.first.Sub(r.Received)).Send()
	return nil
}
