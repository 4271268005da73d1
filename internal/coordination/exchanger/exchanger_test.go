package exchanger_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// reaction is what an endpoint does with one attempt.
type reaction func(ctx context.Context, attempt exchanger.Attempt) (exchanger.Answer, error)

// endpoints plays reactions in turn; the last one is repeated.
type endpoints struct {
	reactions []reaction
	attempts  []exchanger.Attempt
	dropped   []string
}

// Drop implements exchanger.Sender.
func (e *endpoints) Drop(endpoint tracker.Endpoint) { e.dropped = append(e.dropped, endpoint.ID) }

// Send implements exchanger.Sender.
func (e *endpoints) Send(ctx context.Context, attempt exchanger.Attempt) (exchanger.Answer, error) {
	react := e.reactions[min(len(e.attempts), len(e.reactions)-1)]
	e.attempts = append(e.attempts, attempt)
	answer, err := react(ctx, attempt)
	answer.Close = func() {}
	return answer, err
}

func status(code int) reaction {
	return func(context.Context, exchanger.Attempt) (exchanger.Answer, error) {
		return exchanger.Answer{Status: code, Failed: code >= 500, Body: []byte{byte(code)}, Header: http.Header{}}, nil
	}
}

func refused(_ context.Context, _ exchanger.Attempt) (exchanger.Answer, error) {
	return exchanger.Answer{Status: 503, Run: exchanger.RunRefused}, nil
}

func misdirected(_ context.Context, _ exchanger.Attempt) (exchanger.Answer, error) {
	return exchanger.Answer{Status: 421, Run: exchanger.RunMisdirected}, nil
}

func fails(sentinel error) reaction {
	return func(context.Context, exchanger.Attempt) (exchanger.Answer, error) {
		return exchanger.Answer{}, errors.Mark(errors.New("failed"), sentinel)
	}
}

func silent(ctx context.Context, _ exchanger.Attempt) (exchanger.Answer, error) {
	<-ctx.Done()
	return exchanger.Answer{}, errors.Mark(ctx.Err(), exchanger.ErrBroken)
}

// stream sends events and ends with err; io.EOF is a complete end.
func stream(err error, ids ...string) reaction {
	return func(context.Context, exchanger.Attempt) (exchanger.Answer, error) {
		return exchanger.Answer{Status: 200, Header: http.Header{}, Events: &events{ids: ids, err: err}}, nil
	}
}

type events struct {
	ids []string
	err error
}

// Next implements exchanger.Events.
func (e *events) Next() (exchanger.Event, error) {
	if len(e.ids) == 0 {
		return exchanger.Event{}, e.err
	}
	id := e.ids[0]
	e.ids = e.ids[1:]
	return exchanger.Event{ID: id, Data: []byte(id)}, nil
}

// caller records what it gets.
type caller struct {
	status int
	begun  int
	events []string
	err    error
}

// Whole implements exchanger.Sink.
func (c *caller) Whole(answer exchanger.Answer) error {
	c.status = answer.Status
	return c.err
}

// Begin implements exchanger.Sink.
func (c *caller) Begin(answer exchanger.Answer) error {
	c.begun++
	c.status = answer.Status
	return c.err
}

// Event implements exchanger.Sink.
func (c *caller) Event(event exchanger.Event) error {
	c.events = append(c.events, event.ID)
	return c.err
}

const service = "s"

func view() placer.View {
	services := []cataloger.Service{{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}}}
	v := placer.View{Catalog: cataloger.New(1, nil, services, nil, cataloger.Limits{}), Endpoints: map[string][]tracker.Endpoint{}}
	for i, id := range []string{"e1", "e2", "e3"} {
		v.Endpoints[service] = append(v.Endpoints[service], tracker.Endpoint{
			ID: id, Service: service, Slots: 4, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Weights: map[string]int64{"m": 1},
		})
	}
	return v
}

func newExchanger(e *endpoints) *exchanger.Exchanger {
	return &exchanger.Exchanger{
		Placer: &placer.Placer{
			View: view, Balancer: &balancer.Balancer{}, Locator: locator.New(), Scheduler: &scheduler.Scheduler{Now: time.Now},
			Misdirected: func(tracker.Endpoint, string, int64) {}, Nodes: func() int { return 1 }, InTouch: func() bool { return true }, StaleLimit: 8 * time.Second, Now: time.Now,
		},
		Sender:   e,
		Budget:   &retrier.Window{Share: 1, Slack: 100, Span: time.Second, Nodes: func() int { return 1 }},
		Suspects: &retrier.Suspects{Node: "n", Expiry: time.Hour},
		Spread:   func() {}, Meter: figures{}, Log: zerolog.Nop(), Now: time.Now,
	}
}

func placerOf(x *exchanger.Exchanger) *placer.Placer { return x.Placer.(*placer.Placer) }

// figures drops all figures.
type figures struct{}

// Request implements exchanger.Meter.
func (figures) Request(string, string, time.Duration) {}

// Attempt implements exchanger.Meter.
func (figures) Attempt(string, string) {}

// First implements exchanger.Meter.
func (figures) First(string, time.Duration, time.Duration) {}

func exchange(repeat cataloger.Repeat) *exchanger.Exchange {
	return &exchanger.Exchange{
		ID: "id", Service: service, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Route: cataloger.Route{
			Name: "r", Repeat: repeat, Stream: repeat == cataloger.RepeatResumable,
			Timeout: 10 * time.Second, Objective: time.Second, Attempts: 2,
		},
	}
}

// play runs one exchange against reactions.
func play(t *testing.T, x *exchanger.Exchange, c *caller, reactions ...reaction) (*endpoints, error) {
	t.Helper()
	e := &endpoints{reactions: reactions}
	err := newExchanger(e).Run(t.Context(), x, c)
	return e, err
}

func assertNotRun(t *testing.T, err error) {
	t.Helper()
	var refusal *limiter.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Positive(t, refusal.Retry)
}

func assertMayHaveRun(t *testing.T, err, sentinel error) {
	t.Helper()
	require.Error(t, err)
	var refusal *limiter.Refusal
	assert.False(t, errors.As(err, &refusal), "%v says not run", err)
	assert.True(t, errors.Is(err, sentinel), "%v", err)
}

func assertSends(t *testing.T, e *endpoints, want int) {
	t.Helper()
	assert.Len(t, e.attempts, want)
}

func TestOnce(t *testing.T) {
	run := func(name string, check func(t *testing.T, c *caller, e *endpoints, err error), reactions ...reaction) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &caller{}
				e, err := play(t, exchange(cataloger.RepeatOnce), c, reactions...)
				check(t, c, e, err)
			})
		})
	}
	run("answered", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assert.Equal(t, 200, c.status)
		assertSends(t, e, 1)
	}, status(200))
	run("the endpoint's own failure is delivered", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assert.Equal(t, 500, c.status)
		assertSends(t, e, 1)
	}, status(500), status(200))
	run("a refusal goes elsewhere", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assertSends(t, e, 3)
	}, refused, misdirected, status(200))
	run("an unsent one goes elsewhere", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assertSends(t, e, 2)
		assert.NotEqual(t, e.attempts[0].Endpoint.ID, e.attempts[1].Endpoint.ID)
	}, fails(exchanger.ErrNotSent), status(200))
	run("a broken one is never sent again", func(t *testing.T, c *caller, e *endpoints, err error) {
		assertMayHaveRun(t, err, exchanger.ErrBroken)
		assertSends(t, e, 1)
	}, fails(exchanger.ErrBroken), status(200))
	run("a broken one after a refusal is not called not-run", func(t *testing.T, c *caller, e *endpoints, err error) {
		assertMayHaveRun(t, err, exchanger.ErrBroken)
		assertSends(t, e, 2)
	}, refused, fails(exchanger.ErrBroken))
	run("a silent one is given up and not sent again", func(t *testing.T, c *caller, e *endpoints, err error) {
		assertMayHaveRun(t, err, exchanger.ErrStalled)
		assertSends(t, e, 1)
		assert.Equal(t, []string{e.attempts[0].Endpoint.ID}, e.dropped, "other kept connections may be silent too")
	}, silent)
	run("refused by all", func(t *testing.T, c *caller, e *endpoints, err error) {
		assertNotRun(t, err)
		assert.LessOrEqual(t, len(e.attempts), 5)
	}, refused)
	run("a stream that breaks is not joined with another", func(t *testing.T, c *caller, e *endpoints, err error) {
		assertMayHaveRun(t, err, exchanger.ErrBroken)
		assertSends(t, e, 1)
		assert.Equal(t, []string{"1"}, c.events)
	}, stream(errors.Mark(errors.New("reset"), exchanger.ErrBroken), "1"), stream(io.EOF, "1", "2"))
}

func TestSafe(t *testing.T) {
	run := func(name string, check func(t *testing.T, c *caller, e *endpoints, err error), reactions ...reaction) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &caller{}
				e, err := play(t, exchange(cataloger.RepeatSafe), c, reactions...)
				check(t, c, e, err)
			})
		})
	}
	run("a broken one is sent again", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assertSends(t, e, 2)
	}, fails(exchanger.ErrBroken), status(200))
	run("a failed one is sent again", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assert.Equal(t, 200, c.status)
	}, status(500), status(200))
	run("not to more endpoints than allowed, and the failure is delivered", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.NoError(t, err)
		assert.Equal(t, 500, c.status)
		assertSends(t, e, 2)
	}, status(500))
	run("refusals after a run do not make it not-run", func(t *testing.T, c *caller, e *endpoints, err error) {
		require.Error(t, err)
		var refusal *limiter.Refusal
		assert.False(t, errors.As(err, &refusal))
	}, fails(exchanger.ErrBroken), refused)
}

func TestResumable(t *testing.T) {
	broken := errors.Mark(errors.New("reset"), exchanger.ErrBroken)
	t.Run("goes on after the last event", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &caller{}
			e, err := play(t, exchange(cataloger.RepeatResumable), c, stream(broken, "1", "2"), stream(io.EOF, "3"))
			require.NoError(t, err)
			assert.Equal(t, []string{"1", "2", "3"}, c.events)
			assert.Equal(t, 1, c.begun)
			assert.Equal(t, "2", e.attempts[1].After)
		})
	})
	t.Run("not with a failure in the middle", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &caller{}
			_, err := play(t, exchange(cataloger.RepeatResumable), c, stream(broken, "1"), status(500))
			assertMayHaveRun(t, err, exchanger.ErrBroken)
			assert.Equal(t, 200, c.status)
		})
	})
	t.Run("not beyond the allowed endpoints", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &caller{}
			e, err := play(t, exchange(cataloger.RepeatResumable), c, stream(broken, "1"), stream(broken, "2"), stream(io.EOF, "3"))
			assertMayHaveRun(t, err, exchanger.ErrBroken)
			assertSends(t, e, 2)
		})
	})
}

func TestEnds(t *testing.T) {
	t.Run("at the route's timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := exchange(cataloger.RepeatSafe)
			x.Route.Timeout = time.Second
			began := time.Now()
			e, err := play(t, x, &caller{}, silent)
			assertMayHaveRun(t, err, exchanger.ErrTimeout)
			assert.Equal(t, time.Second, time.Since(began))
			assert.Equal(t, time.Second, e.attempts[0].Left)
		})
	})
	t.Run("when the caller leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, cancel)
			began := time.Now()
			err := newExchanger(&endpoints{reactions: []reaction{silent}}).Run(ctx, exchange(cataloger.RepeatSafe), &caller{})
			assertMayHaveRun(t, err, exchanger.ErrCaller)
			assert.Equal(t, 300*time.Millisecond, time.Since(began))
		})
	})
	t.Run("when the caller leaves while it waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := &endpoints{reactions: []reaction{status(200)}}
			x := newExchanger(e)
			for _, endpoint := range view().Endpoints[service] {
				placerOf(x).Balancer.Loading(endpoint.ID, time.Now())
			}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, cancel)
			assertMayHaveRun(t, x.Run(ctx, exchange(cataloger.RepeatSafe), &caller{}), exchanger.ErrCaller)
			assertSends(t, e, 0)
		})
	})
	t.Run("without a mark on the endpoint when the caller leaves while it connects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			connecting := func(ctx context.Context, _ exchanger.Attempt) (exchanger.Answer, error) {
				<-ctx.Done()
				return exchanger.Answer{}, errors.Mark(ctx.Err(), exchanger.ErrNotSent)
			}
			e := &endpoints{reactions: []reaction{connecting, status(200)}}
			x := newExchanger(e)
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			assertMayHaveRun(t, x.Run(ctx, exchange(cataloger.RepeatSafe), &caller{}), exchanger.ErrCaller)
			first := e.attempts[0].Endpoint.ID
			request := balancer.Request{Endpoints: view().Endpoints[service], Avoid: map[string]bool{}}
			for _, endpoint := range request.Endpoints {
				request.Avoid[endpoint.ID] = endpoint.ID != first
			}
			_, ok := placerOf(x).Balancer.Pick(time.Now(), request)
			assert.True(t, ok)
		})
	})
	t.Run("when the caller does not take the answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e, err := play(t, exchange(cataloger.RepeatResumable), &caller{err: io.ErrClosedPipe}, stream(io.EOF, "1"))
			assertMayHaveRun(t, err, exchanger.ErrCaller)
			assertSends(t, e, 1)
		})
	})
	t.Run("at once without endpoints", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			x := exchange(cataloger.RepeatSafe)
			x.Service = "unknown"
			began := time.Now()
			_, err := play(t, x, &caller{}, status(200))
			assertNotRun(t, err)
			assert.Zero(t, time.Since(began))
		})
	})
}

// TestPoison replays a request that crashes what runs it and comes again.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoints{reactions: []reaction{fails(exchanger.ErrBroken)}}
		x := newExchanger(e)
		for range 4 {
			_ = x.Run(t.Context(), exchange(cataloger.RepeatSafe), &caller{})
		}
		sent := len(e.attempts)
		err := x.Run(t.Context(), exchange(cataloger.RepeatSafe), &caller{})
		assertMayHaveRun(t, err, exchanger.ErrPoison)
		assertSends(t, e, sent)
		other := exchange(cataloger.RepeatSafe)
		other.Caller = "another"
		e.reactions = []reaction{status(200)}
		assert.NoError(t, x.Run(t.Context(), other, &caller{}))
	})
}
