package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

var (
	start = time.Unix(0, 0)
	chat  = configurator.Priority{Name: "chat", Rank: 0, Deadline: 10 * time.Second}
	bulk  = configurator.Priority{Name: "bulk", Rank: 9, Deadline: 10 * time.Second}
	big   = configurator.Team{Name: "big", Rate: 1000, Burst: 1000, Concurrency: 1000}
	small = configurator.Team{Name: "small", Rate: 2, Burst: 2, Concurrency: 4}
)

func newLimiter(watts float64, slots int) *Limiter {
	l := &Limiter{Slots: func(string) int { return slots }}
	l.Configure(Capacity{Watts: watts, Nodes: 1})
	return l
}

func admit(t *testing.T, l *Limiter, team configurator.Team, priority configurator.Priority, watts float64) *Ticket {
	t.Helper()
	ticket, err := l.Submit(start, Request{Team: team, Priority: priority, Service: "llm", Watts: watts})
	require.NoError(t, err)
	return ticket
}

func assertReady(t *testing.T, expected bool, ticket *Ticket) {
	t.Helper()
	select {
	case <-ticket.Ready():
		assert.True(t, expected, "ticket is admitted")
	default:
		assert.False(t, expected, "ticket is not admitted")
	}
}

func assertRefused(t *testing.T, err, sentinel error) {
	t.Helper()
	require.True(t, errors.Is(err, sentinel), "%v", err)
	var refusal *Refusal
	require.True(t, errors.As(err, &refusal))
	assert.Positive(t, refusal.RetryAfter, "a refusal has a retry time")
}

func TestPower(t *testing.T) {
	t.Run("running requests never exceed the power share", func(t *testing.T) {
		l := newLimiter(100, 100)
		var tickets []*Ticket
		for range 5 {
			tickets = append(tickets, admit(t, l, big, chat, 40))
		}
		assertReady(t, true, tickets[1])
		assertReady(t, false, tickets[2])
		l.Release(start, tickets[0])
		assertReady(t, true, tickets[2])
		_, peak := l.Watts()
		assert.LessOrEqual(t, peak, 100.0)
	})
	t.Run("a request above the whole power share is refused", func(t *testing.T) {
		_, err := newLimiter(100, 100).Submit(start, Request{Team: big, Priority: chat, Watts: 101})
		assertRefused(t, err, ErrPower)
	})
	t.Run("a small request does not overtake a large one", func(t *testing.T) {
		l := newLimiter(100, 100)
		running := admit(t, l, big, chat, 60)
		large := admit(t, l, big, chat, 90)
		late := admit(t, l, big, chat, 10)
		assertReady(t, false, late)
		l.Release(start, running)
		assertReady(t, true, large)
	})
}

func TestPriorities(t *testing.T) {
	l := newLimiter(-1, 1)
	running := admit(t, l, big, bulk, 0)
	bulkRequest := admit(t, l, big, bulk, 0)
	interactive := admit(t, l, big, chat, 0)
	l.Release(start, running)
	assertReady(t, true, interactive)
	assertReady(t, false, bulkRequest)
}

func TestSlotsOfOneServiceDoNotBlockAnother(t *testing.T) {
	l := &Limiter{Slots: func(service string) int {
		if service == "full" {
			return 0
		}
		return 1
	}}
	l.Configure(Capacity{Watts: -1, Nodes: 1})
	_, err := l.Submit(start, Request{Team: big, Priority: chat, Service: "full"})
	require.NoError(t, err)
	other, err := l.Submit(start, Request{Team: big, Priority: chat, Service: "free"})
	require.NoError(t, err)
	assertReady(t, true, other)
}

func TestTeams(t *testing.T) {
	request := Request{Team: small, Priority: chat, Service: "llm"}
	t.Run("rate", func(t *testing.T) {
		l := newLimiter(-1, 100)
		for range 2 {
			l.Release(start, admit(t, l, small, chat, 0))
		}
		_, err := l.Submit(start, request)
		assertRefused(t, err, ErrRate)
		_, err = l.Submit(start.Add(time.Second), request)
		assert.NoError(t, err)
	})
	t.Run("concurrency", func(t *testing.T) {
		l := newLimiter(-1, 100)
		for i := range 4 {
			_, err := l.Submit(start.Add(time.Duration(i)*time.Second), request)
			require.NoError(t, err)
		}
		_, err := l.Submit(start.Add(time.Minute), request)
		assertRefused(t, err, ErrConcurrency)
	})
	t.Run("one team's limit does not affect another", func(t *testing.T) {
		l := newLimiter(-1, 100)
		for range 3 {
			_, _ = l.Submit(start, request)
		}
		assertReady(t, true, admit(t, l, big, chat, 0))
	})
}

func TestDeadlines(t *testing.T) {
	t.Run("a request is refused at once when the queue is too long", func(t *testing.T) {
		l := newLimiter(-1, 1)
		var err error
		for i := 0; err == nil; i++ {
			require.Less(t, i, 1000)
			_, err = l.Submit(start, Request{Team: big, Priority: chat, Service: "llm"})
		}
		assertRefused(t, err, ErrDeadline)
	})
	t.Run("an expired ticket leaves the queue", func(t *testing.T) {
		l := newLimiter(-1, 1)
		admit(t, l, big, chat, 0)
		waiting := admit(t, l, big, chat, 0)
		assertRefused(t, l.Expire(waiting), ErrDeadline)
		assert.Zero(t, l.Queued())
		l.Release(start, waiting)
	})
}

func BenchmarkSubmit(b *testing.B) {
	l := newLimiter(-1, 1<<30)
	teams := make([]configurator.Team, 3600)
	for i := range teams {
		teams[i] = configurator.Team{Name: fmt.Sprint(i), Rate: 1e9, Burst: 1e9, Concurrency: 1e9}
	}
	for i := range b.N {
		ticket, err := l.Submit(start, Request{Team: teams[i%len(teams)], Priority: chat, Service: "llm"})
		if err != nil {
			b.Fatal(err)
		}
		l.Release(start, ticket)
	}
}
