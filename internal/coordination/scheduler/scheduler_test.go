package scheduler_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
)

const objective = time.Second

// site stands in for engines with room for a number of requests, or of tokens.
type site struct {
	scheduler *scheduler.Scheduler

	mu    sync.Mutex
	free  int
	order []string
}

func newSite(free int) *site {
	return &site{scheduler: &scheduler.Scheduler{Now: time.Now}, free: free}
}

// pick takes n of the room for a named request.
func (s *site) pick(name string, n int) func() (balancer.Choice, bool) {
	return func() (balancer.Choice, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.free < n {
			return balancer.Choice{}, false
		}
		s.free -= n
		s.order = append(s.order, name)
		return balancer.Choice{}, true
	}
}

func (s *site) release(n int) {
	s.mu.Lock()
	s.free += n
	s.mu.Unlock()
	s.scheduler.Pump()
}

func (s *site) request(name string) scheduler.Request {
	return scheduler.Request{
		Service: "s", Received: time.Now(), Objective: objective, Deadline: time.Now().Add(15 * time.Second),
		Tokens: 100, Pick: s.pick(name, 1),
	}
}

// start acquires for a request on a goroutine of its own.
func (s *site) start(ctx context.Context, request scheduler.Request) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := s.scheduler.Acquire(ctx, request)
		result <- err
	}()
	synctest.Wait()
	return result
}

func assertStarted(t *testing.T, result <-chan error) {
	t.Helper()
	synctest.Wait()
	select {
	case err := <-result:
		assert.NoError(t, err)
	default:
		t.Error("request still waits")
	}
}

func assertWaits(t *testing.T, result <-chan error) {
	t.Helper()
	synctest.Wait()
	assert.Empty(t, result)
}

func assertRefused(t *testing.T, err error) *limiter.Refusal {
	t.Helper()
	var refusal *limiter.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.True(t, errors.Is(err, scheduler.ErrBusy))
	assert.Positive(t, refusal.Retry)
	return refusal
}

func TestAcquire(t *testing.T) {
	t.Run("starts at once when there is room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1)
			assertStarted(t, s.start(t.Context(), s.request("a")))
		})
	})
	t.Run("waits for room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1)
			assertStarted(t, s.start(t.Context(), s.request("a")))
			waiting := s.start(t.Context(), s.request("b"))
			assertWaits(t, waiting)
			s.release(1)
			assertStarted(t, waiting)
		})
	})
	t.Run("is given up after its patience with a time to come back", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(0)
			began := time.Now()
			assertRefused(t, <-s.start(t.Context(), s.request("a")))
			assert.Equal(t, 700*time.Millisecond, time.Since(began), "the rest of the objective is for the prompt")
		})
	})
	t.Run("is not asked back sooner than it has waited in vain", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(40)
			// The pace of small ones says that the large one should start at once.
			for range 40 {
				assertStarted(t, s.start(t.Context(), s.request("small")))
			}
			request := s.request("large")
			request.Tokens = 12_000
			refusal := assertRefused(t, <-s.start(t.Context(), request))
			assert.Equal(t, 700*time.Millisecond, refusal.Retry)
		})
	})
	t.Run("is kept waiting for a quarter of a short deadline only", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(0)
			request := s.request("a")
			request.Deadline = time.Now().Add(800 * time.Millisecond)
			began := time.Now()
			assertRefused(t, <-s.start(t.Context(), request))
			assert.Equal(t, 200*time.Millisecond, time.Since(began))
		})
	})
	t.Run("ends with its caller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(0)
			ctx, cancel := context.WithCancel(t.Context())
			waiting := s.start(ctx, s.request("a"))
			cancel()
			assert.ErrorIs(t, <-waiting, context.Canceled)
			assert.Zero(t, s.scheduler.Waiting())
		})
	})
	t.Run("is refused at once when the queue is longer than it can wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(1)
			patient := func(name string) scheduler.Request {
				request := s.request(name)
				request.Objective, request.Deadline = 30*time.Second, time.Now().Add(time.Minute)
				return request
			}
			assertStarted(t, s.start(t.Context(), patient("first")))
			for range 21 {
				s.start(t.Context(), patient("queued"))
			}
			began := time.Now()
			refusal := assertRefused(t, <-s.start(t.Context(), patient("last")))
			assert.Zero(t, time.Since(began))
			assert.Equal(t, 3*time.Second, refusal.Retry)
		})
	})
}

func TestOrder(t *testing.T) {
	run := func(t *testing.T, requests func(s *site) []scheduler.Request, want ...string) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := newSite(0)
			for _, request := range requests(s) {
				s.start(t.Context(), request)
			}
			for range want {
				s.release(1)
				synctest.Wait()
			}
			assert.Equal(t, want, s.order)
		})
	}
	t.Run("first due first", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			slow, fast := s.request("slow"), s.request("fast")
			fast.Objective = objective / 2
			return []scheduler.Request{slow, fast}
		}, "fast", "slow")
	})
	t.Run("lower rank first among equals", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			bulk, chat := s.request("bulk"), s.request("chat")
			bulk.Rank = 2
			return []scheduler.Request{bulk, chat}
		}, "chat", "bulk")
	})
	t.Run("an old request of a higher rank gets its turn", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			bulk, chat := s.request("bulk"), s.request("chat")
			bulk.Rank, bulk.Received = 1, bulk.Received.Add(-objective/2)
			return []scheduler.Request{chat, bulk}
		}, "bulk", "chat")
	})
	t.Run("a large one makes way for small ones", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			large, small := s.request("large"), s.request("small")
			large.Tokens = 12_000
			return []scheduler.Request{large, small}
		}, "small", "large")
	})
	t.Run("for a second at most", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			large, small := s.request("large"), s.request("small")
			large.Tokens, large.Objective, small.Objective = 1_000_000, 5*objective, 5*objective
			large.Received = large.Received.Add(-1010 * time.Millisecond)
			return []scheduler.Request{small, large}
		}, "large", "small")
	})
	t.Run("those that are late already come last", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			late, timely := s.request("late"), s.request("timely")
			late.Received = late.Received.Add(-2 * objective)
			return []scheduler.Request{late, timely}
		}, "timely", "late")
	})
	t.Run("streams that go on elsewhere come first", func(t *testing.T) {
		run(t, func(s *site) []scheduler.Request {
			timely, urgent := s.request("timely"), s.request("urgent")
			urgent.Urgent = true
			return []scheduler.Request{timely, urgent}
		}, "urgent", "timely")
	})
}

// TestOverload replays a burst of twice what the engines can run for three
// seconds. Requests that start must mostly start in time, and nobody must be
// kept for long only to be refused.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots   = 10
			service = 200 * time.Millisecond
			gap     = 10 * time.Millisecond // 100 requests a second for 50
			count   = 300
		)
		s := newSite(slots)
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var timely, late, refused, heldLong int
		var group sync.WaitGroup
		for range count {
			group.Go(func() {
				request := s.request("r")
				request.Deadline = request.Received.Add(3 * time.Second)
				_, err := s.scheduler.Acquire(t.Context(), request)
				waited := time.Since(request.Received)
				mu.Lock()
				switch {
				case err != nil:
					refused++
					if waited > 750*time.Millisecond {
						heldLong++
					}
				case waited <= objective:
					timely++
				default:
					late++
				}
				mu.Unlock()
				if err == nil {
					time.Sleep(service)
					s.release(1)
				}
			})
			time.Sleep(time.Duration(random.Int64N(int64(2 * gap))))
		}
		group.Wait()
		capacity := int(float64(slots) / service.Seconds() * (count * gap).Seconds())
		assert.GreaterOrEqual(t, timely, capacity*9/10, "timely %d late %d refused %d", timely, late, refused)
		assert.Zero(t, late)
		assert.Zero(t, heldLong)
		assert.Zero(t, s.scheduler.Waiting())
	})
}

// kind is a kind of request in a replayed load.
type kind struct {
	tokens    int
	runs      time.Duration
	perSecond int
	deadline  time.Duration

	timely, late, refused int
	longest               time.Duration
}

// TestMixedOverload replays cold engines: short prompts that take little memory
// beside long ones of which a half more come than fit. The short ones must not
// wait behind the long, and those long ones that start must start in time.
func TestMixedOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			span   = 10 * time.Second
			memory = 100_000
		)
		s := newSite(memory)
		short := &kind{tokens: 2_000, runs: 200 * time.Millisecond, perSecond: 50, deadline: 3 * time.Second}
		long := &kind{tokens: 12_000, runs: 2 * time.Second, perSecond: 5, deadline: 15 * time.Second}
		random := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		var group sync.WaitGroup
		send := func(k *kind) {
			request := scheduler.Request{
				Service: "s", Received: time.Now(), Objective: objective, Deadline: time.Now().Add(k.deadline),
				Tokens: k.tokens, Pick: s.pick("", k.tokens),
			}
			_, err := s.scheduler.Acquire(t.Context(), request)
			waited := time.Since(request.Received)
			mu.Lock()
			k.longest = max(k.longest, waited)
			switch {
			case err != nil:
				k.refused++
			case waited <= objective*7/10:
				k.timely++
			default:
				k.late++
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(k.runs)
				s.release(k.tokens)
			}
		}
		for _, k := range []*kind{short, long} {
			group.Go(func() {
				for range int(span.Seconds()) * k.perSecond {
					group.Go(func() { send(k) })
					mu.Lock()
					pause := time.Duration(random.Int64N(int64(2 * time.Second / time.Duration(k.perSecond))))
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
		group.Wait()
		shortMemory := float64(short.tokens*short.perSecond) * short.runs.Seconds()
		room := (memory - shortMemory) / float64(long.tokens) / long.runs.Seconds() * span.Seconds()
		assert.GreaterOrEqual(t, short.timely, int(span.Seconds())*short.perSecond*95/100, "short %+v", *short)
		assert.GreaterOrEqual(t, float64(long.timely), 0.8*room, "long %+v", *long)
		assert.Zero(t, short.late+long.late)
		assert.LessOrEqual(t, long.longest, objective, "nobody is held after the answer can't be in time any more")
	})
}
