package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// response simulates how an endpoint responds to one attempt.
type response func(ctx context.Context, attempt forwarder.Attempt) (forwarder.Answer, error)

// standinSender uses its responses in order; the last one is repeated.
type standinSender struct {
	responses  []response
	attempts   []forwarder.Attempt
	closedIdle []string
}

// CloseIdle implements forwarder.Sender.
func (s *standinSender) CloseIdle(endpoint endpointtracker.Endpoint) {
	s.closedIdle = append(s.closedIdle, endpoint.ID)
}

// Send implements forwarder.Sender.
func (s *standinSender) Send(ctx context.Context, attempt forwarder.Attempt) (forwarder.Answer, error) {
	respond := s.responses[min(len(s.attempts), len(s.responses)-1)]
	s.attempts = append(s.attempts, attempt)
	answer, err := respond(ctx, attempt)
	answer.Close = func() {}
	return answer, err
}

func status(code int) response {
	return func(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
		return forwarder.Answer{Status: code, Failed: code >= 500, Body: []byte{byte(code)}, Header: http.Header{}}, nil
	}
}

func refused(_ context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
	return forwarder.Answer{Status: 503, RunStatus: forwarder.RunRefused}, nil
}

func misdirected(_ context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
	return forwarder.Answer{Status: 421, RunStatus: forwarder.RunMisdirected}, nil
}

func failsWith(sentinel error) response {
	return func(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
		return forwarder.Answer{}, errors.Mark(errors.New("failed"), sentinel)
	}
}

func neverAnswers(ctx context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
	<-ctx.Done()
	return forwarder.Answer{}, errors.Mark(ctx.Err(), forwarder.ErrBroken)
}

func neverConnects(ctx context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
	<-ctx.Done()
	return forwarder.Answer{}, errors.Mark(ctx.Err(), forwarder.ErrNotSent)
}

// stream sends events and then returns err; io.EOF ends the stream normally.
func stream(err error, ids ...string) response {
	return func(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
		return forwarder.Answer{Status: 200, Header: http.Header{}, EventStream: &standinEvents{ids: ids, err: err}}, nil
	}
}

// streamAfter sends an event after each pause and then ends normally.
func streamAfter(pauses ...time.Duration) response {
	return func(ctx context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
		return forwarder.Answer{Status: 200, Header: http.Header{}, EventStream: &pausingEvents{ctx: ctx, pauses: pauses}}, nil
	}
}

type pausingEvents struct {
	ctx    context.Context
	pauses []time.Duration
	sent   int
}

// Next implements forwarder.EventStream.
func (e *pausingEvents) Next() (forwarder.Event, error) {
	if e.sent == len(e.pauses) {
		return forwarder.Event{}, io.EOF
	}
	if err := retrier.Sleep(e.ctx, e.pauses[e.sent]); err != nil {
		return forwarder.Event{}, errors.Mark(err, forwarder.ErrBroken)
	}
	e.sent++
	return forwarder.Event{ID: strconv.Itoa(e.sent), Data: []byte("x")}, nil
}

type standinEvents struct {
	ids []string
	err error
}

// Next implements forwarder.EventStream.
func (e *standinEvents) Next() (forwarder.Event, error) {
	if len(e.ids) == 0 {
		return forwarder.Event{}, e.err
	}
	id := e.ids[0]
	e.ids = e.ids[1:]
	return forwarder.Event{ID: id, Data: []byte(id)}, nil
}

// standinSink records what is delivered to it. Its methods return err.
type standinSink struct {
	status int
	begins int
	events []string
	err    error
}

// DeliverComplete implements forwarder.Sink.
func (s *standinSink) DeliverComplete(answer forwarder.Answer) error {
	s.status = answer.Status
	return s.err
}

// Begin implements forwarder.Sink.
func (s *standinSink) Begin(answer forwarder.Answer) error {
	s.begins++
	s.status = answer.Status
	return s.err
}

// Event implements forwarder.Sink.
func (s *standinSink) Event(event forwarder.Event) error {
	s.events = append(s.events, event.ID)
	return s.err
}

const service = "s"

func view() placer.View {
	services := []cataloger.Service{{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}}}
	v := placer.View{Catalog: cataloger.New(1, nil, services, nil, cataloger.Limits{}), Endpoints: map[string][]endpointtracker.Endpoint{}}
	for i, id := range []string{"e1", "e2", "e3"} {
		v.Endpoints[service] = append(v.Endpoints[service], endpointtracker.Endpoint{
			ID: id, Service: service, Slots: 4, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Weights: map[string]int64{"m": 1},
		})
	}
	return v
}

func newForwarder(e *standinSender) *forwarder.Forwarder {
	return &forwarder.Forwarder{
		Placer: &placer.Placer{
			View: view, Balancer: &balancer.Balancer{}, Locator: locator.New(), Scheduler: &scheduler.Scheduler{Now: time.Now},
			OnMisdirected: func(endpointtracker.Endpoint, string, int64) {}, Nodes: func() int { return 1 }, HasContact: func() bool { return true }, EndpointClock: func(t time.Time) (time.Time, bool) { return t, true }, FetchLimit: func() time.Duration { return placer.MaxFetchTime },
			KnownAge: placer.WeightsLimits{Place: 8 * time.Second, Begin: 9 * time.Second}, Now: time.Now,
		},
		Sender:    e,
		Budget:    &retrier.WindowBudget{Ratio: 1, Slack: 100, Length: time.Second, Nodes: func() int { return 1 }},
		Suspects:  &retrier.Suspects{Node: "n", Expiry: time.Hour},
		Broadcast: func() {}, Meter: discardMeter{}, Log: zerolog.Nop(), Now: time.Now,
	}
}

func placerOf(x *forwarder.Forwarder) *placer.Placer { return x.Placer.(*placer.Placer) }

// discardMeter records nothing.
type discardMeter struct{}

// Request implements forwarder.Meter.
func (discardMeter) Request(string, string, time.Duration) {}

// Attempt implements forwarder.Meter.
func (discardMeter) Attempt(string, string) {}

// FirstEvent implements forwarder.Meter.
func (discardMeter) FirstEvent(string, time.Duration, time.Duration) {}

func exchange(policy cataloger.RetryPolicy) *forwarder.Exchange {
	return &forwarder.Exchange{
		ID: "id", Service: service, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Route: cataloger.Route{
			Name: "r", RetryPolicy: policy, Stream: policy == cataloger.RetryResumable,
			Timeout: 10 * time.Second, Objective: time.Second, Attempts: 2,
		},
	}
}

// runExchange runs one exchange against the given responses.
func runExchange(t *testing.T, x *forwarder.Exchange, c *standinSink, responses ...response) (*standinSender, error) {
	t.Helper()
	e := &standinSender{responses: responses}
	err := newForwarder(e).Run(t.Context(), x, c)
	return e, err
}

func assertNotRun(t *testing.T, err error) {
	t.Helper()
	var refusal *limiter.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Positive(t, refusal.RetryAfter)
}

func assertFails(t *testing.T, err, sentinel error) {
	t.Helper()
	require.Error(t, err)
	var refusal *limiter.Refusal
	assert.False(t, errors.As(err, &refusal), "%v is a refusal", err)
	assert.True(t, errors.Is(err, sentinel), "%v", err)
}

func assertSends(t *testing.T, e *standinSender, want int) {
	t.Helper()
	assert.Len(t, e.attempts, want)
}

func TestRetryIfNotRun(t *testing.T) {
	run := func(name string, check func(t *testing.T, c *standinSink, e *standinSender, err error), responses ...response) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &standinSink{}
				e, err := runExchange(t, exchange(cataloger.RetryIfNotRun), c, responses...)
				check(t, c, e, err)
			})
		})
	}
	run("answered", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assert.Equal(t, 200, c.status)
		assertSends(t, e, 1)
	}, status(200))
	run("an endpoint's failure answer is delivered", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assert.Equal(t, 500, c.status)
		assertSends(t, e, 1)
	}, status(500), status(200))
	run("a refused request is sent to another endpoint", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assertSends(t, e, 3)
	}, refused, misdirected, status(200))
	run("an attempt that was not sent is retried on another endpoint", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assertSends(t, e, 2)
		assert.NotEqual(t, e.attempts[0].Endpoint.ID, e.attempts[1].Endpoint.ID)
	}, failsWith(forwarder.ErrNotSent), status(200))
	run("an interrupted request is not retried", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		assertFails(t, err, forwarder.ErrBroken)
		assertSends(t, e, 1)
	}, failsWith(forwarder.ErrBroken), status(200))
	run("an interrupted request after a refusal may have run", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		assertFails(t, err, forwarder.ErrBroken)
		assertSends(t, e, 2)
	}, refused, failsWith(forwarder.ErrBroken))
	run("a stalled request is cancelled and not retried", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		assertFails(t, err, forwarder.ErrStalled)
		assertSends(t, e, 1)
		assert.Equal(t, []string{e.attempts[0].Endpoint.ID}, e.closedIdle, "other idle connections may hang too")
	}, neverAnswers)
	run("refused by all endpoints", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		assertNotRun(t, err)
		assert.LessOrEqual(t, len(e.attempts), 5)
	}, refused)
	run("an interrupted stream is not resumed", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		assertFails(t, err, forwarder.ErrBroken)
		assertSends(t, e, 1)
		assert.Equal(t, []string{"1"}, c.events)
	}, stream(errors.Mark(errors.New("reset"), forwarder.ErrBroken), "1"), stream(io.EOF, "1", "2"))
}

func TestRetrySafe(t *testing.T) {
	run := func(name string, check func(t *testing.T, c *standinSink, e *standinSender, err error), responses ...response) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &standinSink{}
				e, err := runExchange(t, exchange(cataloger.RetrySafe), c, responses...)
				check(t, c, e, err)
			})
		})
	}
	run("an interrupted request is retried", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assertSends(t, e, 2)
	}, failsWith(forwarder.ErrBroken), status(200))
	run("a failed request is retried", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assert.Equal(t, 200, c.status)
	}, status(500), status(200))
	run("no more attempts than allowed, then the failure answer is delivered", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.NoError(t, err)
		assert.Equal(t, 500, c.status)
		assertSends(t, e, 2)
	}, status(500))
	run("a refusal after an interrupted attempt does not mean that the request did not run", func(t *testing.T, c *standinSink, e *standinSender, err error) {
		require.Error(t, err)
		var refusal *limiter.Refusal
		assert.False(t, errors.As(err, &refusal))
	}, failsWith(forwarder.ErrBroken), refused)
}

func TestRetryResumable(t *testing.T) {
	broken := errors.Mark(errors.New("reset"), forwarder.ErrBroken)
	t.Run("resumes after the last event", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &standinSink{}
			e, err := runExchange(t, exchange(cataloger.RetryResumable), c, stream(broken, "1", "2"), stream(io.EOF, "3"))
			require.NoError(t, err)
			assert.Equal(t, []string{"1", "2", "3"}, c.events)
			assert.Equal(t, 1, c.begins)
			assert.Equal(t, "2", e.attempts[1].LastEventID)
		})
	})
	t.Run("resumes in a node that stops", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e, c := &standinSender{responses: []response{stream(broken, "1"), stream(io.EOF, "2")}}, &standinSink{}
			f := newForwarder(e)
			f.Stop = &forwarder.Stop{AcceptTime: time.Second}
			time.AfterFunc(time.Millisecond, func() { f.Stop.Begin(time.Now(), time.Now().Add(time.Second)) })
			f.Backoff = func(int, error) time.Duration { return 2 * time.Millisecond }
			require.NoError(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), c))
			assert.Equal(t, []string{"1", "2"}, c.events)
		})
	})
	t.Run("does not resume with a failure answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &standinSink{}
			_, err := runExchange(t, exchange(cataloger.RetryResumable), c, stream(broken, "1"), status(500))
			assertFails(t, err, forwarder.ErrBroken)
			assert.Equal(t, 200, c.status)
		})
	})
	t.Run("does not exceed the allowed attempts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &standinSink{}
			e, err := runExchange(t, exchange(cataloger.RetryResumable), c, stream(broken, "1"), stream(broken, "2"), stream(io.EOF, "3"))
			assertFails(t, err, forwarder.ErrBroken)
			assertSends(t, e, 2)
		})
	})
}

// TestSilenceInAnswer guards against answers that have begun and are cut because the endpoint is
// silent, although they can't be resumed elsewhere.
func TestSilenceInAnswer(t *testing.T) {
	// The stall timeout of the exchanges is 4 s, their timeout 10 s.
	run := func(name string, x func() *forwarder.Exchange, responses []response, check func(t *testing.T, e *standinSender, c *standinSink, err error, took time.Duration)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, started := &standinSink{}, time.Now()
				e, err := runExchange(t, x(), c, responses...)
				check(t, e, c, err, time.Since(started))
			})
		})
	}
	assertWhole := func(t *testing.T, e *standinSender, c *standinSink, err error, _ time.Duration) {
		require.NoError(t, err)
		assertSends(t, e, 1)
		assert.Equal(t, []string{"1", "2"}, c.events)
	}
	once := func() *forwarder.Exchange { return exchange(cataloger.RetryIfNotRun) }
	resumable := func() *forwarder.Exchange { return exchange(cataloger.RetryResumable) }
	silent := streamAfter(0, 6*time.Second)
	run("sent once", once, []response{silent}, assertWhole)
	run("a route with one attempt", func() *forwarder.Exchange {
		x := resumable()
		x.Route.Attempts = 1
		return x
	}, []response{silent}, assertWhole)
	run("resumed elsewhere, and then silent again", resumable, []response{streamAfter(0, time.Minute), streamAfter(0, 5*time.Second)},
		func(t *testing.T, e *standinSender, c *standinSink, err error, took time.Duration) {
			require.NoError(t, err)
			assertSends(t, e, 2)
			assert.Len(t, c.events, 3)
			assert.Equal(t, 9*time.Second, took)
		})
	run("resumed elsewhere, and then silent before its first event", resumable, []response{stream(errors.Mark(errors.New("reset"), forwarder.ErrBroken), "1"), streamAfter(5 * time.Second)},
		func(t *testing.T, e *standinSender, c *standinSink, err error, _ time.Duration) {
			require.NoError(t, err)
			assertSends(t, e, 2)
			assert.Len(t, c.events, 2)
		})
	run("until the timeout", once, []response{streamAfter(0, time.Minute)},
		func(t *testing.T, _ *standinSender, _ *standinSink, err error, took time.Duration) {
			assertFails(t, err, forwarder.ErrTimeout)
			assert.Equal(t, 10*time.Second, took)
		})
}

// placesOnce places the first attempt only. It waits before it fails.
type placesOnce struct {
	forwarder.Placer
	wait   time.Duration
	placed bool
}

// Place implements forwarder.Placer.
func (p *placesOnce) Place(ctx context.Context, exchange *forwarder.Exchange, progress forwarder.Progress) (forwarder.Placement, error) {
	if !p.placed {
		p.placed = true
		return p.Placer.Place(ctx, exchange, progress)
	}
	if err := retrier.Sleep(ctx, p.wait); err != nil {
		return nil, err
	}
	return nil, forwarder.ErrUnavailable
}

// TestSilenceWithoutAnotherEndpoint guards against answers that have begun and are cut because the endpoint is silent,
// although the next attempt is then refused.
func TestSilenceWithoutAnotherEndpoint(t *testing.T) {
	for name, prepare := range map[string]func(f *forwarder.Forwarder){
		"the retry budget is used up": func(f *forwarder.Forwarder) {
			f.Budget = &retrier.WindowBudget{Length: time.Second, Nodes: func() int { return 1 }}
		},
		"no endpoint is free": func(f *forwarder.Forwarder) { f.Placer = &placesOnce{Placer: f.Placer} },
		"the answer goes on while another endpoint is awaited": func(f *forwarder.Forwarder) {
			f.Placer = &placesOnce{Placer: f.Placer, wait: time.Minute}
		},
		"the node stops": func(f *forwarder.Forwarder) {
			f.Stop = &forwarder.Stop{AcceptTime: time.Second}
			f.Stop.Begin(time.Now(), time.Now().Add(5*time.Second))
		},
		"the build of the answer is not known": func(f *forwarder.Forwarder) { f.Builds = &standinBuilds{} },
	} {
		for _, ahead := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read ahead %t", name, ahead), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e, c := &standinSender{responses: []response{streamAfter(0, 4500*time.Millisecond)}}, &standinSink{}
					f := newForwarder(e)
					prepare(f)
					if ahead {
						f.Backlog = &forwarder.Backlog{Limit: 1 << 20}
					}
					require.NoError(t, f.Run(t.Context(), exchange(cataloger.RetryResumable), c))
					assertSends(t, e, 1)
					assert.Equal(t, []string{"1", "2"}, c.events)
				})
			})
		}
	}
}

// beginsWithin makes answers of all attempts begin within d.
type beginsWithin struct {
	forwarder.Placer
	d time.Duration
}

type limitedPlacement struct {
	forwarder.Placement
	d time.Duration
}

// Place implements forwarder.Placer.
func (p beginsWithin) Place(ctx context.Context, exchange *forwarder.Exchange, progress forwarder.Progress) (forwarder.Placement, error) {
	placement, err := p.Placer.Place(ctx, exchange, progress)
	return limitedPlacement{placement, p.d}, err
}

// Attempt implements forwarder.Placement.
func (p limitedPlacement) Attempt() forwarder.Attempt {
	attempt := p.Placement.Attempt()
	attempt.BeginTimeout = p.d
	return attempt
}

func TestBeginTimeout(t *testing.T) {
	run := func(name string, policy cataloger.RetryPolicy, responses []response, check func(t *testing.T, e *standinSender, c *standinSink, err error, took time.Duration)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, c := &standinSender{responses: responses}, &standinSink{}
				x := newForwarder(e)
				x.Placer = beginsWithin{x.Placer, time.Second}
				started := time.Now()
				err := x.Run(t.Context(), exchange(policy), c)
				check(t, e, c, err, time.Since(started))
			})
		})
	}
	run("an attempt that does not begin is repeated elsewhere", cataloger.RetryResumable, []response{neverAnswers, stream(io.EOF, "1")},
		func(t *testing.T, e *standinSender, c *standinSink, err error, took time.Duration) {
			require.NoError(t, err)
			assertSends(t, e, 2)
			assert.NotEqual(t, e.attempts[0].Endpoint.ID, e.attempts[1].Endpoint.ID)
			assert.Equal(t, time.Second, took)
		})
	run("a request that may run once only fails", cataloger.RetryIfNotRun, []response{neverAnswers},
		func(t *testing.T, e *standinSender, _ *standinSink, err error, took time.Duration) {
			assertFails(t, err, forwarder.ErrNotBegun)
			assertSends(t, e, 1)
			assert.Equal(t, time.Second, took)
		})
	run("a head without an event is no begin", cataloger.RetryResumable, []response{streamAfter(2 * time.Second), stream(io.EOF, "1")},
		func(t *testing.T, e *standinSender, _ *standinSink, err error, _ time.Duration) {
			require.NoError(t, err)
			assertSends(t, e, 2)
		})
	run("a stream that has begun goes on", cataloger.RetryResumable, []response{streamAfter(0, 2*time.Second)},
		func(t *testing.T, e *standinSender, c *standinSink, err error, _ time.Duration) {
			require.NoError(t, err)
			assertSends(t, e, 1)
			assert.Equal(t, []string{"1", "2"}, c.events)
		})
	for name, policy := range map[string]cataloger.RetryPolicy{"once only": cataloger.RetryIfNotRun, "resumable": cataloger.RetryResumable} {
		run("an attempt that was not sent in time is repeated elsewhere, "+name, policy, []response{neverConnects, stream(io.EOF, "1")},
			func(t *testing.T, e *standinSender, _ *standinSink, err error, _ time.Duration) {
				require.NoError(t, err)
				assertSends(t, e, 2)
			})
	}
}

// TestBeginTimeoutBlamesNobody repeats a request that does not begin in time. Neither the request
// nor its endpoints become suspect.
func TestBeginTimeoutBlamesNobody(t *testing.T) {
	for name, respond := range map[string]response{"not begun": neverAnswers, "not sent": neverConnects} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &standinSender{responses: []response{respond}}
				x := newForwarder(e)
				p := placerOf(x)
				x.Placer = beginsWithin{x.Placer, time.Second}
				for range 3 {
					_ = x.Run(t.Context(), exchange(cataloger.RetryIfNotRun), &standinSink{})
				}
				assert.Empty(t, x.Suspects.Local(time.Now(), 8))
				for _, attempt := range e.attempts {
					_, ok := p.Balancer.Pick(time.Now(), balancer.Request{Endpoints: []endpointtracker.Endpoint{attempt.Endpoint}})
					assert.True(t, ok, attempt.Endpoint.ID)
				}
			})
		})
	}
}

func TestTermination(t *testing.T) {
	t.Run("at the route's timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := exchange(cataloger.RetrySafe)
			x.Route.Timeout = time.Second
			began := time.Now()
			e, err := runExchange(t, x, &standinSink{}, neverAnswers)
			assertFails(t, err, forwarder.ErrTimeout)
			assert.Equal(t, time.Second, time.Since(began))
			assert.Equal(t, time.Second, e.attempts[0].TimeLeft)
		})
	})
	t.Run("when the caller cancels", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, cancel)
			began := time.Now()
			err := newForwarder(&standinSender{responses: []response{neverAnswers}}).Run(ctx, exchange(cataloger.RetrySafe), &standinSink{})
			assertFails(t, err, forwarder.ErrCallerGone)
			assert.Equal(t, 300*time.Millisecond, time.Since(began))
		})
	})
	t.Run("when the caller cancels while it waits for an endpoint", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := &standinSender{responses: []response{status(200)}}
			x := newForwarder(e)
			for _, endpoint := range view().Endpoints[service] {
				placerOf(x).Balancer.RecordLoading(endpoint.ID, time.Now())
			}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, cancel)
			assertFails(t, x.Run(ctx, exchange(cataloger.RetrySafe), &standinSink{}), forwarder.ErrCallerGone)
			assertSends(t, e, 0)
		})
	})
	t.Run("without a failure of the endpoint when the caller cancels during the connection attempt", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			connecting := func(ctx context.Context, _ forwarder.Attempt) (forwarder.Answer, error) {
				<-ctx.Done()
				return forwarder.Answer{}, errors.Mark(ctx.Err(), forwarder.ErrNotSent)
			}
			e := &standinSender{responses: []response{connecting, status(200)}}
			x := newForwarder(e)
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			assertFails(t, x.Run(ctx, exchange(cataloger.RetrySafe), &standinSink{}), forwarder.ErrCallerGone)
			first := e.attempts[0].Endpoint.ID
			request := balancer.Request{Endpoints: view().Endpoints[service], Avoid: map[string]bool{}}
			for _, endpoint := range request.Endpoints {
				request.Avoid[endpoint.ID] = endpoint.ID != first
			}
			_, ok := placerOf(x).Balancer.Pick(time.Now(), request)
			assert.True(t, ok)
		})
	})
	t.Run("when the answer can't be delivered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e, err := runExchange(t, exchange(cataloger.RetryResumable), &standinSink{err: io.ErrClosedPipe}, stream(io.EOF, "1"))
			assertFails(t, err, forwarder.ErrCallerGone)
			assertSends(t, e, 1)
		})
	})
	t.Run("at once when the service has no endpoints", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := exchange(cataloger.RetrySafe)
			x.Service = "unknown"
			began := time.Now()
			_, err := runExchange(t, x, &standinSink{}, status(200))
			assertNotRun(t, err)
			assert.Zero(t, time.Since(began))
		})
	})
}

// TestPoison sends several times a request that crashes every endpoint that
// runs it. It must be refused after a few crashes, and other callers' requests
// must still run.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standinSender{responses: []response{failsWith(forwarder.ErrBroken)}}
		x := newForwarder(e)
		for range 4 {
			_ = x.Run(t.Context(), exchange(cataloger.RetrySafe), &standinSink{})
		}
		sent := len(e.attempts)
		err := x.Run(t.Context(), exchange(cataloger.RetrySafe), &standinSink{})
		assertFails(t, err, forwarder.ErrPoison)
		assertSends(t, e, sent)
		other := exchange(cataloger.RetrySafe)
		other.Caller = "another"
		e.responses = []response{status(200)}
		assert.NoError(t, x.Run(t.Context(), other, &standinSink{}))
	})
}

// TestPoisonWhileWaiting covers a request that is found to crash endpoints while it waits in the
// scheduler for its first attempt.
func TestPoisonWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashes := &standinSender{responses: []response{failsWith(forwarder.ErrBroken)}}
		x := newForwarder(crashes)
		b := placerOf(x).Balancer
		for _, endpoint := range view().Endpoints[service] {
			b.RecordLoading(endpoint.ID, time.Now())
		}
		done := make(chan error)
		go func() { done <- x.Run(t.Context(), exchange(cataloger.RetryIfNotRun), &standinSink{}) }()
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		// Other requests with the same fingerprint have crashed endpoints meanwhile.
		sample := &standinSender{responses: []response{failsWith(forwarder.ErrBroken)}}
		other := newForwarder(sample)
		other.Suspects = x.Suspects
		for range 4 {
			_ = other.Run(t.Context(), exchange(cataloger.RetryIfNotRun), &standinSink{})
		}
		require.Less(t, len(sample.attempts), 4, "refused from some crash on")
		for _, endpoint := range view().Endpoints[service] {
			b.ResetBackoff(endpoint.ID)
		}
		placerOf(x).Scheduler.StartWaiting()
		<-done
		assertSends(t, crashes, 0)
	})
}
