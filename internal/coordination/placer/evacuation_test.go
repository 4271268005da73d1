package placer_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// evacuatedView returns a view with engines e1 to e3 in domains d1 to d3, of which some are evacuated.
func evacuatedView(domains ...string) placer.View {
	view := testView(nil, 1, 1, 1)
	for i := range view.Endpoints[service] {
		view.Endpoints[service][i].Domain = "d" + string(rune('1'+i))
	}
	view.Evacuated = map[string]bool{}
	for _, domain := range domains {
		view.Evacuated[domain] = true
	}
	view.Prepare()
	return view
}

// fill occupies all endpoints.
func fill(p *placer.Placer, view placer.View) (choices []balancer.Choice) {
	for {
		choice, ok := p.Balancer.Pick(time.Now(), balancer.Request{Endpoints: view.Endpoints[service], Tokens: 160, Capacity: 10_000})
		if !ok {
			return choices
		}
		choices = append(choices, choice)
	}
}

// TestEvacuatedDomains guards against requests that still reach an evacuated domain.
func TestEvacuatedDomains(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	assertOn := func(t *testing.T, p *placer.Placer, progress forwarder.Progress, want string) {
		t.Helper()
		for range 3 {
			attempt, err := place(t, p, cataloger.Team{}, progress)
			require.NoError(t, err)
			assert.Equal(t, want, attempt.Endpoint.ID)
		}
	}
	run("new requests", func(t *testing.T) { assertOn(t, newPlacer(evacuatedView("d1", "d2")), forwarder.Progress{}, "e3") })
	run("retries", func(t *testing.T) {
		assertOn(t, newPlacer(evacuatedView("d1", "d2")), forwarder.Progress{Tried: map[string]bool{"e3": true}}, "e3")
	})
	run("urgent requests while the other endpoints are full", func(t *testing.T) {
		view := evacuatedView("d1", "d2")
		p := newPlacer(view)
		for _, choice := range fill(p, view) {
			if choice.Endpoint.ID != "e3" {
				p.Balancer.Done(choice)
			}
		}
		assertOn(t, p, forwarder.Progress{StreamStarted: true}, "e3")
	})
	run("streams whose build is in the domain only", func(t *testing.T) {
		view := evacuatedView("d1")
		view.Endpoints[service][0].Build = "v1"
		_, err := place(t, newPlacer(view), cataloger.Team{}, forwarder.Progress{Build: resumer.Build{Service: service, Version: "v1"}})
		assert.True(t, errors.Is(err, forwarder.ErrBuildGone), "%v", err)
	})
	run("all domains", func(t *testing.T) { assertUnavailable(t, evacuatedView("d1", "d2", "d3")) })
	run("weights that only evacuated endpoints have exclude no others at once", func(t *testing.T) {
		view := evacuatedView("d1")
		view.Endpoints[service][0].Weights = map[string]int64{"m": 2}
		view.TargetVersions["m"] = []placer.TargetVersion{{Version: 2, Learned: time.Now()}}
		attempt, err := place(t, newPlacer(view), cataloger.Team{}, forwarder.Progress{})
		require.NoError(t, err)
		assert.NotEqual(t, "e1", attempt.Endpoint.ID)
	})
	for name, domains := range map[string][]string{"waiting requests": {"d1"}, "waiting requests, all domains": {"d1", "d2", "d3"}} {
		run(name, func(t *testing.T) {
			var current atomic.Pointer[placer.View]
			view, changed := evacuatedView(), evacuatedView(domains...)
			current.Store(&view)
			p := newPlacer(view)
			p.View = func() placer.View { return *current.Load() }
			choices := fill(p, view)
			attempts, failed := make(chan forwarder.Attempt, 1), make(chan error, 1)
			go func() {
				attempt, err := place(t, p, cataloger.Team{}, forwarder.Progress{Tried: map[string]bool{"e2": true, "e3": true}})
				attempts <- attempt
				failed <- err
			}()
			time.Sleep(10 * time.Millisecond)
			current.Store(&changed)
			for _, choice := range choices {
				p.Balancer.Done(choice)
			}
			p.Scheduler.StartOrRefuseWaiting()
			began := time.Now()
			assert.NotEqual(t, "e1", (<-attempts).Endpoint.ID)
			assert.Equal(t, len(domains) == 3, errors.Is(<-failed, forwarder.ErrUnavailable))
			assert.Zero(t, time.Since(began))
		})
	}
	run("sources of parts", func(t *testing.T) {
		fetched := func(evacuated ...string) netip.AddrPort {
			view := evacuatedView(evacuated...)
			p := newPlacer(view)
			p.Locator.Reset(view.Endpoints[service][0].Address, map[locator.Key]int{{Salt: placer.Salt("", "m", 1), Part: "a"}: 100}, 0)
			attempt, err := place(t, p, cataloger.Team{}, forwarder.Progress{Misdirected: map[string]bool{"e1": true}})
			require.NoError(t, err)
			return attempt.Fetch[0]
		}
		assert.True(t, fetched().IsValid())
		assert.False(t, fetched("d1").IsValid())
	})
}
