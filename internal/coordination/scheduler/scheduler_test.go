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

// standinEngines simulates engines with room for a number of requests, or of tokens.
type standinEngines struct {
	scheduler *scheduler.Scheduler

	mu        sync.Mutex
	available int
	order     []string
}

func newStandinEngines(available int) *standinEngines {
	return &standinEngines{scheduler: &scheduler.Scheduler{Now: time.Now}, available: available}
}

// pick returns a Pick function that takes n of the available room for the named
// request.
func (s *standinEngines) pick(name string, n int) func() (balancer.Choice, bool) {
	return func() (balancer.Choice, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.available < n {
			return balancer.Choice{}, false
		}
		s.available -= n
		s.order = append(s.order, name)
		return balancer.Choice{}, true
	}
}

func (s *standinEngines) release(n int) {
	s.mu.Lock()
	s.available += n
	s.mu.Unlock()
	s.scheduler.StartWaiting()
}

func (s *standinEngines) request(name string) scheduler.Request {
	return scheduler.Request{
		Service: "s", Received: time.Now(), Objective: objective, Deadline: time.Now().Add(15 * time.Second),
		Tokens: 100, Pick: s.pick(name, 1),
	}
}

// start calls Acquire for a request in a new goroutine.
func (s *standinEngines) start(ctx context.Context, request scheduler.Request) <-chan error {
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
	assert.Positive(t, refusal.RetryAfter)
	return refusal
}

func TestAcquire(t *testing.T) {
	t.Run("starts at once when there is room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(1)
			assertStarted(t, s.start(t.Context(), s.request("a")))
		})
	})
	t.Run("waits for room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(1)
			assertStarted(t, s.start(t.Context(), s.request("a")))
			waiting := s.start(t.Context(), s.request("b"))
			assertWaits(t, waiting)
			s.release(1)
			assertStarted(t, waiting)
		})
	})
	t.Run("is refused after its maximum queue time with a time to retry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(0)
			began := time.Now()
			assertRefused(t, <-s.start(t.Context(), s.request("a")))
			assert.Equal(t, 700*time.Millisecond, time.Since(began), "the rest of the objective is for the prefill")
		})
	})
	t.Run("is not asked to retry sooner than it has waited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(40)
			// The start rate of the small requests predicts that the large one
			// starts at once.
			for range 40 {
				assertStarted(t, s.start(t.Context(), s.request("small")))
			}
			request := s.request("large")
			request.Tokens = 12_000
			refusal := assertRefused(t, <-s.start(t.Context(), request))
			assert.Equal(t, 700*time.Millisecond, refusal.RetryAfter)
		})
	})
	t.Run("waits for at most a quarter of a short timeout", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(0)
			request := s.request("a")
			request.Deadline = time.Now().Add(800 * time.Millisecond)
			began := time.Now()
			assertRefused(t, <-s.start(t.Context(), request))
			assert.Equal(t, 200*time.Millisecond, time.Since(began))
		})
	})
	t.Run("stops waiting when its caller cancels", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(0)
			ctx, cancel := context.WithCancel(t.Context())
			waiting := s.start(ctx, s.request("a"))
			cancel()
			assert.ErrorIs(t, <-waiting, context.Canceled)
			assert.Zero(t, s.scheduler.QueueLength())
		})
	})
	t.Run("is refused at once when the expected wait is too long", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(1)
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
			assert.Equal(t, 3*time.Second, refusal.RetryAfter)
		})
	})
}

func TestOrder(t *testing.T) {
	run := func(t *testing.T, requests func(s *standinEngines) []scheduler.Request, want ...string) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			s := newStandinEngines(0)
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
	t.Run("shorter objective first", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			slow, fast := s.request("slow"), s.request("fast")
			fast.Objective = objective / 2
			return []scheduler.Request{slow, fast}
		}, "fast", "slow")
	})
	t.Run("lower rank first among otherwise equal requests", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			bulk, chat := s.request("bulk"), s.request("chat")
			bulk.Rank = 2
			return []scheduler.Request{bulk, chat}
		}, "chat", "bulk")
	})
	t.Run("an older request of a higher rank is not starved", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			bulk, chat := s.request("bulk"), s.request("chat")
			bulk.Rank, bulk.Received = 1, bulk.Received.Add(-objective/2)
			return []scheduler.Request{chat, bulk}
		}, "bulk", "chat")
	})
	t.Run("small requests start before a large one", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			large, small := s.request("large"), s.request("small")
			large.Tokens = 12_000
			return []scheduler.Request{large, small}
		}, "small", "large")
	})
	t.Run("small requests delay a large one by at most a second", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			large, small := s.request("large"), s.request("small")
			large.Tokens, large.Objective, small.Objective = 1_000_000, 5*objective, 5*objective
			large.Received = large.Received.Add(-1010 * time.Millisecond)
			return []scheduler.Request{small, large}
		}, "large", "small")
	})
	t.Run("late requests come last", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			late, timely := s.request("late"), s.request("timely")
			late.Received = late.Received.Add(-2 * objective)
			return []scheduler.Request{late, timely}
		}, "timely", "late")
	})
	t.Run("urgent requests come first", func(t *testing.T) {
		run(t, func(s *standinEngines) []scheduler.Request {
			timely, urgent := s.request("timely"), s.request("urgent")
			urgent.Urgent = true
			return []scheduler.Request{timely, urgent}
		}, "urgent", "timely")
	})
}

// TestOverload sends twice the load that the engines can run, for three
// seconds. At least 90% of the capacity must go to requests that start within
// their objective, and no request may be queued for more than 750 ms and then
// refused.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots   = 10
			service = 200 * time.Millisecond
			gap     = 10 * time.Millisecond // 100 requests/s on average; the engines can run 50/s
			count   = 300
		)
		s := newStandinEngines(slots)
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		var timely, late, refused, refusedLate int
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
						refusedLate++
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
		assert.Zero(t, refusedLate)
		assert.Zero(t, s.scheduler.QueueLength())
	})
}

// requestClass is a class of requests in a simulated load, with its results.
type requestClass struct {
	tokens    int
	duration  time.Duration
	perSecond int
	deadline  time.Duration

	timely, late, refused int
	longestWait           time.Duration
}

// TestMixedOverload simulates engines with empty caches that receive short
// prompts, which need little memory, and 50% more long prompts than fit. Short
// prompts must not wait behind long ones, and long prompts that start must
// start within 70% of their objective.
func TestMixedOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			loadTime = 10 * time.Second
			memory   = 100_000
		)
		s := newStandinEngines(memory)
		short := &requestClass{tokens: 2_000, duration: 200 * time.Millisecond, perSecond: 50, deadline: 3 * time.Second}
		long := &requestClass{tokens: 12_000, duration: 2 * time.Second, perSecond: 5, deadline: 15 * time.Second}
		random := rand.New(rand.NewPCG(3, 4))
		var mu sync.Mutex
		var group sync.WaitGroup
		send := func(class *requestClass) {
			request := scheduler.Request{
				Service: "s", Received: time.Now(), Objective: objective, Deadline: time.Now().Add(class.deadline),
				Tokens: class.tokens, Pick: s.pick("", class.tokens),
			}
			_, err := s.scheduler.Acquire(t.Context(), request)
			waited := time.Since(request.Received)
			mu.Lock()
			class.longestWait = max(class.longestWait, waited)
			switch {
			case err != nil:
				class.refused++
			case waited <= objective*7/10:
				class.timely++
			default:
				class.late++
			}
			mu.Unlock()
			if err == nil {
				time.Sleep(class.duration)
				s.release(class.tokens)
			}
		}
		for _, class := range []*requestClass{short, long} {
			group.Go(func() {
				for range int(loadTime.Seconds()) * class.perSecond {
					group.Go(func() { send(class) })
					mu.Lock()
					pause := time.Duration(random.Int64N(int64(2 * time.Second / time.Duration(class.perSecond))))
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
		group.Wait()
		shortMemory := float64(short.tokens*short.perSecond) * short.duration.Seconds()
		longCapacity := (memory - shortMemory) / float64(long.tokens) / long.duration.Seconds() * loadTime.Seconds()
		assert.GreaterOrEqual(t, short.timely, int(loadTime.Seconds())*short.perSecond*95/100, "short %+v", *short)
		assert.GreaterOrEqual(t, float64(long.timely), 0.8*longCapacity, "long %+v", *long)
		assert.Zero(t, short.late+long.late)
		assert.LessOrEqual(t, long.longestWait, objective, "no request is queued for longer than its objective")
	})
}
