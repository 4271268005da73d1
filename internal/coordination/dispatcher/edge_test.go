package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// TestRefusalsSpendTheBudget replays engines that all refuse: offering each
// prompt to all of them would multiply the load that they refuse for.
func TestRefusalsSpendTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPromptWorld(1, "refused", "refused", "refused", "refused")
		w.nodes[0].Budget = &retrier.Budget{Reserve: 1}
		err := w.run(0, "members", "is the enamel original? ")
		require.True(t, errors.Is(err, ErrRefused), "%v", err)
		assert.False(t, MayHaveRun(err))
		assert.Len(t, w.faults, 2, "one offer and one more from the budget")
		assert.Empty(t, w.found)
	})
}

// answering is a plain service that gives the same answer to all calls.
type answering struct {
	status int
	err    error
	calls  int
}

// Do implements Caller.
func (a *answering) Do(context.Context, registrar.Endpoint, Call) (Response, error) {
	a.calls++
	return Response{Status: a.status}, a.err
}

func callOnce(service *answering, repeatable bool) (Response, error) {
	cell := &publisher.Cell{}
	rows := []registrar.Row{
		{Endpoint: registrar.Endpoint{Name: "worker-1", Service: "shop"}},
		{Endpoint: registrar.Endpoint{Name: "worker-2", Service: "shop"}},
	}
	cell.Store(publisher.Build(configurator.New(), nil, rows))
	calls := &Calls{
		Cell: cell, Caller: service, Flight: &Flight{}, Budget: &retrier.Budget{Reserve: 10}, Jitter: steady,
		Journal: &recorder.Ring{Capacity: 16}, Now: time.Now,
	}
	call := Call{Request: "r", Service: configurator.Service{Name: "shop"}, Method: http.MethodGet, Target: "/", Repeatable: repeatable}
	return calls.Run(context.Background(), "members", call)
}

func TestCalls(t *testing.T) {
	cases := []struct {
		name       string
		service    answering
		repeatable bool
		sent       int
		runs       bool
	}{
		{"a service's own failure is its answer", answering{status: 500}, true, 1, true},
		{"a call that may run twice goes elsewhere", answering{err: ErrBroken}, true, 5, true},
		{"another one does not", answering{err: ErrBroken}, false, 1, true},
		{"one that was not sent does", answering{err: ErrNotSent}, false, 5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				response, err := callOnce(&c.service, c.repeatable)
				assert.Equal(t, c.sent, c.service.calls)
				assert.Equal(t, c.service.status, response.Status)
				assert.Equal(t, c.service.err == nil, err == nil)
				if err != nil {
					assert.Equal(t, c.runs, MayHaveRun(err))
				}
			})
		})
	}
}

func TestOutcome(t *testing.T) {
	gone := errors.Mark(errors.New("gone"), ErrCaller)
	overload := &limiter.Refusal{Cause: limiter.ErrDeadline, Retry: time.Second}
	cases := []struct {
		name string
		err  error
		is   error
		ran  bool
	}{
		{"overload stays a refusal", overload, overload, false},
		{"no endpoint", &limiter.Refusal{Cause: ErrNoEndpoint}, ErrNoEndpoint, false},
		{"no endpoint after an attempt that ran", ErrNoEndpoint, ErrNoEndpoint, true},
		{"broken", errors.Mark(errors.New("reset"), exchanger.ErrBroken), ErrBroken, true},
		{"caller left before it was sent", errors.Mark(gone, ErrNotSent), ErrNotSent, false},
		{"caller left after", gone, ErrCaller, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := outcome(c.err)
			assert.True(t, errors.Is(err, c.is), "%v", err)
			assert.Equal(t, c.ran, MayHaveRun(err))
		})
	}
}
