package exchanger

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"io"
	"strconv"
	"strings"
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
		r.Balancer.Heard(attempt.Endpoint.ID, r.Now())
		if events == 0 {
			r.first = r.Now()
			r.Meter.First(r.Service, r.first.Sub(r.Received), r.waited)
			r.Balancer.Begun(&r.choice)
		}
		if err := r.event(answer, event); err != nil {
			return errors.Mark(err, ErrCaller)
		}
		events++
	}
}

func (r *run) event(answer Answer, event Event) error {
	if !r.begun {
		r.begun = true
		if err := r.sink.Begin(answer); err != nil {
			return err
		}
	}
	if err := r.sink.Event(event); err != nil {
		return err
	}
	if event.ID != "" {
		r.after = event.ID
	}
	return nil
}

func (r *run) complete(attempt Attempt, answer Answer, events int) error {
	if !r.begun {
		r.begun = true
		if err := r.sink.Begin(answer); err != nil {
			return errors.Mark(err, ErrCaller)
		}
	}
	r.Suspects.Clear(r.print)
	r.decide("streamed", attempt).Int("events", events).Dur("first", r.first.Sub(r.Received)).Send()
	return nil
}

// Salt returns the text under which an engine caches parts. wall is the name of
// an isolated team, or empty.
func Salt(wall, model string, version int64) string {
	return wall + "/" + model + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt takes a salt apart; ok is false for one of another form.
func ParseSalt(salt string) (model string, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) != 3 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(fields[2], 10, 64)
	return fields[1], version, err == nil
}

// fingerprint recognizes a request that comes again: the same caller, path and
// body.
func (x *Exchange) fingerprint() uint64 {
	sum := fnv.New64a()
	for _, field := range []string{x.Caller, x.Method, x.Host, x.Target} {
		_ = binary.Write(sum, binary.BigEndian, uint32(len(field)))
		_, _ = io.WriteString(sum, field)
	}
	_, _ = sum.Write(x.Body)
	return sum.Sum64()
}
