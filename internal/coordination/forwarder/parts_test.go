package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// TestFailedAttemptLogsParts guards against log lines that don't tell which of the broken
// requests at an endpoint had begun to be answered, and which parts they share.
func TestFailedAttemptLogsParts(t *testing.T) {
	run := func(t *testing.T, parts []locator.Part, respond response) map[string]any {
		t.Helper()
		var log bytes.Buffer
		e := &standinSender{responses: []response{respond}}
		f := newForwarder(e)
		f.Log = zerolog.New(&log)
		x := exchange(cataloger.RetryIfNotRun)
		x.Prompt = &forwarder.Prompt{Model: "m", Parts: parts}
		require.Error(t, f.Run(t.Context(), x, &standinSink{}))
		var line map[string]any
		require.NoError(t, json.NewDecoder(&log).Decode(&line))
		require.Equal(t, "attempt failed", line["outcome"])
		return line
	}
	t.Run("without events", func(t *testing.T) {
		line := run(t, []locator.Part{{ID: "a"}, {ID: "b"}, {ID: "own"}}, stream(errors.Mark(errors.New("cut"), forwarder.ErrBroken)))
		assert.Equal(t, []any{"a", "b"}, line["parts"])
		assert.Equal(t, false, line["events"])
	})
	t.Run("with events", func(t *testing.T) {
		line := run(t, []locator.Part{{ID: "a"}, {ID: "own"}}, stream(errors.Mark(errors.New("cut"), forwarder.ErrBroken), "1"))
		assert.Equal(t, true, line["events"])
		assert.Contains(t, line, "sinceEvent")
	})
	t.Run("bounds parts and their length", func(t *testing.T) {
		parts := make([]locator.Part, 100)
		for i := range parts {
			parts[i].ID = strings.Repeat("x", 1000)
		}
		line := run(t, parts, failsWith(forwarder.ErrBroken))
		require.Len(t, line["parts"], 8)
		assert.Len(t, line["parts"].([]any)[0], 64)
		assert.EqualValues(t, 99, line["sharedParts"])
	})
}

// newPartForwarder returns a forwarder at whose endpoints a broken connection is a crash.
func newPartForwarder(e *standinSender) *forwarder.Forwarder {
	f := newForwarder(e)
	f.PartSuspects = &retrier.PartSuspects{Node: "n", Expiry: time.Hour}
	f.Crashes = &retrier.CrashConfirmer{
		Suspects: f.PartSuspects, Broadcast: func() {}, Log: zerolog.Nop(), Now: time.Now,
		Refuses: func(context.Context, netip.AddrPort) bool { return true },
	}
	return f
}

func partExchange(ids ...string) *forwarder.Exchange {
	x := exchange(cataloger.RetryIfNotRun)
	x.Prompt = &forwarder.Prompt{Model: "m"}
	for _, id := range ids {
		x.Prompt.Parts = append(x.Prompt.Parts, locator.Part{ID: id})
	}
	return x
}

// accuse records three crashes of a part that two nodes saw.
func accuse(f *forwarder.Forwarder, part string) {
	hash := retrier.PartHash(part)
	first := uint32(hash)
	f.PartSuspects.Update(time.Now(), peertracker.PartSuspect{Part: hash, Crashes: []peertracker.PartCrash{
		{Endpoint: first, Observer: 1, Age: 3 * time.Second}, {Endpoint: first + 1, Observer: 2, Age: 2 * time.Second}, {Endpoint: first + 2, Observer: 1, Age: time.Second},
	}})
}

func TestAccusedParts(t *testing.T) {
	broken := errors.Mark(errors.New("cut"), forwarder.ErrBroken)
	after := func(d time.Duration, err error) response {
		return func(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
			return forwarder.Answer{Status: 200, EventStream: &pausedEvents{pause: d, err: err}}, nil
		}
	}
	for _, c := range []struct {
		name    string
		respond response
		want    []string
	}{
		{"breaks before the first event", stream(broken), []string{"a", "b"}},
		{"breaks just after the first event", stream(broken, "1"), []string{"a", "b"}},
		{"breaks long after the first event", after(300*time.Millisecond, broken), nil},
		{"completes", stream(io.EOF, "1"), nil},
		{"completes without events", stream(io.EOF), []string{"a", "b"}},
		{"ends with its connection just after the first event", endsWithConnection(stream(io.EOF, "1")), []string{"a", "b"}},
		{"ends with its connection long after the first event", endsWithConnection(after(300*time.Millisecond, io.EOF)), nil},
		{"ends with its connection and is no stream", endsWithConnection(status(200)), []string{"a", "b"}},
		{"is no stream", status(200), nil},
		{"stalls", failsWith(forwarder.ErrStalled), nil},
		{"is not sent", failsWith(forwarder.ErrNotSent), nil},
		{"has lost its weights", failsWith(forwarder.ErrVersionGone), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPartForwarder(&standinSender{responses: []response{c.respond}})
				_ = f.Run(t.Context(), partExchange("a", "b", "own"), &standinSink{})
				time.Sleep(time.Second)
				var accused, want []uint64
				for _, suspect := range f.PartSuspects.Known(time.Now(), 10) {
					accused = append(accused, suspect.Part)
				}
				for _, id := range c.want {
					want = append(want, retrier.PartHash(id))
				}
				assert.ElementsMatch(t, want, accused)
			})
		})
	}
}

func endsWithConnection(respond response) response {
	return func(ctx context.Context, attempt forwarder.Attempt) (forwarder.Answer, error) {
		answer, err := respond(ctx, attempt)
		answer.EndsWithConnection = true
		return answer, err
	}
}

// pausedEvents has two events with a pause between them, and then returns err.
type pausedEvents struct {
	pause time.Duration
	err   error
	n     int
}

// Next implements forwarder.EventStream.
func (p *pausedEvents) Next() (forwarder.Event, error) {
	switch p.n++; p.n {
	case 1:
		return forwarder.Event{ID: "1", Data: []byte("1")}, nil
	case 2:
		time.Sleep(p.pause)
		return forwarder.Event{ID: "2", Data: []byte("2")}, nil
	default:
		return forwarder.Event{}, p.err
	}
}

func TestRefusedPart(t *testing.T) {
	run := func(name string, check func(t *testing.T, f *forwarder.Forwarder, e *standinSender)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &standinSender{responses: []response{stream(io.EOF, "1")}}
				f := newPartForwarder(e)
				accuse(f, "x")
				check(t, f, e)
			})
		})
	}
	run("a request with it reaches no endpoint", func(t *testing.T, f *forwarder.Forwarder, e *standinSender) {
		assertFails(t, f.Run(t.Context(), partExchange("a", "x", "own"), &standinSink{}), forwarder.ErrPoison)
		assertSends(t, e, 0)
	})
	run("it is no reason to refuse a request whose own part has its id", func(t *testing.T, f *forwarder.Forwarder, e *standinSender) {
		assert.NoError(t, f.Run(t.Context(), partExchange("a", "x"), &standinSink{}))
		assertSends(t, e, 1)
	})
	run("a request without it runs", func(t *testing.T, f *forwarder.Forwarder, e *standinSender) {
		assert.NoError(t, f.Run(t.Context(), partExchange("a", "own"), &standinSink{}))
		assertSends(t, e, 1)
	})
	run("a request that waits for an endpoint meanwhile is not sent", func(t *testing.T, f *forwarder.Forwarder, e *standinSender) {
		f.Placer = accusingPlacer{f.Placer, func() { accuse(f, "late") }}
		assertFails(t, f.Run(t.Context(), partExchange("late", "own"), &standinSink{}), forwarder.ErrPoison)
		assertSends(t, e, 0)
	})
	run("one request runs after a while, and its answer clears the part", func(t *testing.T, f *forwarder.Forwarder, e *standinSender) {
		time.Sleep(5 * time.Minute)
		assert.NoError(t, f.Run(t.Context(), partExchange("x", "own"), &standinSink{}))
		assert.NoError(t, f.Run(t.Context(), partExchange("x", "own"), &standinSink{}))
		assertSends(t, e, 2)
	})
	run("that request is not retried", func(t *testing.T, f *forwarder.Forwarder, e *standinSender) {
		time.Sleep(5 * time.Minute)
		e.responses = []response{stream(errors.Mark(errors.New("cut"), forwarder.ErrBroken))}
		x := partExchange("x", "own")
		x.Route.RetryPolicy, x.Route.Attempts = cataloger.RetryResumable, 3
		assert.Error(t, f.Run(t.Context(), x, &standinSink{}))
		assertFails(t, f.Run(t.Context(), partExchange("x", "own"), &standinSink{}), forwarder.ErrPoison)
		assertSends(t, e, 1)
	})
}

// accusingPlacer calls accuse while a request waits.
type accusingPlacer struct {
	forwarder.Placer
	accuse func()
}

// Place implements forwarder.Placer.
func (p accusingPlacer) Place(ctx context.Context, x *forwarder.Exchange, progress forwarder.Progress) (forwarder.Placement, error) {
	p.accuse()
	return p.Placer.Place(ctx, x, progress)
}
