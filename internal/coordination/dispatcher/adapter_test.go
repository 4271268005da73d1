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

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// TestRefusalsConsumeRetryBudget checks that attempts after a refusal are limited
// by the retry budget. Engines refuse when they are overloaded; sending each
// prompt to all of them would multiply the load.
func TestRefusalsConsumeRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newPromptSimulation(1, "refused", "refused", "refused", "refused")
		sim.nodes[0].Budget = &retrier.Budget{Reserve: 1}
		err := sim.run(0, "members", "is the enamel original? ")
		require.True(t, errors.Is(err, ErrRefused), "%v", err)
		assert.False(t, MayHaveRun(err))
		assert.Len(t, sim.faults, 2, "the first attempt and one retry from the budget")
		assert.Empty(t, sim.violations)
	})
}

// standinService simulates a plain service that returns the same response to
// all calls.
type standinService struct {
	status int
	err    error
	calls  int
}

// Do implements ServiceClient.
func (s *standinService) Do(context.Context, registrar.Endpoint, Call) (Response, error) {
	s.calls++
	return Response{Status: s.status}, s.err
}

func callOnce(service *standinService, repeatable bool) (Response, error) {
	current := &publisher.SnapshotPointer{}
	endpoints := []registrar.EndpointState{
		{Endpoint: registrar.Endpoint{Name: "worker-1", Service: "shop"}},
		{Endpoint: registrar.Endpoint{Name: "worker-2", Service: "shop"}},
	}
	current.Store(publisher.Build(configurator.New(), nil, endpoints))
	calls := &CallRunner{
		SnapshotPointer: current, ServiceClient: service, InFlight: &InFlight{}, Budget: &retrier.Budget{Reserve: 10}, Jitter: fixedJitter,
		Journal: &recorder.Ring{Capacity: 16}, Now: time.Now,
	}
	call := Call{Request: "r", Service: configurator.Service{Name: "shop"}, Method: http.MethodGet, Target: "/", Repeatable: repeatable}
	return calls.Run(context.Background(), "members", call)
}

func TestCallRunner(t *testing.T) {
	cases := []struct {
		name       string
		service    standinService
		repeatable bool
		sends      int
		mayHaveRun bool
	}{
		{"a failure response of the service is returned", standinService{status: 500}, true, 1, true},
		{"an interrupted repeatable call is retried", standinService{err: ErrBroken}, true, 5, true},
		{"an interrupted call that is not repeatable is not retried", standinService{err: ErrBroken}, false, 1, true},
		{"a call that was not sent is retried", standinService{err: ErrNotSent}, false, 5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				response, err := callOnce(&c.service, c.repeatable)
				assert.Equal(t, c.sends, c.service.calls)
				assert.Equal(t, c.service.status, response.Status)
				assert.Equal(t, c.service.err == nil, err == nil)
				if err != nil {
					assert.Equal(t, c.mayHaveRun, MayHaveRun(err))
				}
			})
		})
	}
}

func TestTranslateError(t *testing.T) {
	callerGone := errors.Mark(errors.New("gone"), ErrCallerGone)
	overload := &limiter.Refusal{Cause: limiter.ErrDeadline, RetryAfter: time.Second}
	cases := []struct {
		name       string
		err        error
		is         error
		mayHaveRun bool
	}{
		{"overload stays a refusal", overload, overload, false},
		{"no endpoint", &limiter.Refusal{Cause: ErrNoEndpoint}, ErrNoEndpoint, false},
		{"no endpoint after an attempt that ran", ErrNoEndpoint, ErrNoEndpoint, true},
		{"broken", errors.Mark(errors.New("reset"), forwarder.ErrBroken), ErrBroken, true},
		{"caller cancelled before the request was sent", errors.Mark(callerGone, ErrNotSent), ErrNotSent, false},
		{"caller cancelled after the request was sent", callerGone, ErrCallerGone, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := translateError(c.err)
			assert.True(t, errors.Is(err, c.is), "%v", err)
			assert.Equal(t, c.mayHaveRun, MayHaveRun(err))
		})
	}
}
