package placer_test

import (
	"net/netip"
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
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const service = "s"

// testView returns a view with one engine for each given loaded version of model
// m.
func testView(targets []placer.TargetVersion, loaded ...int64) placer.View {
	services := []cataloger.Service{{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}}}
	v := placer.View{
		Catalog:        cataloger.New(1, nil, services, nil, cataloger.Limits{}),
		Endpoints:      map[string][]endpointtracker.Endpoint{},
		TargetVersions: map[string][]placer.TargetVersion{"m": targets},
		Now:            time.Now,
	}
	for i, version := range loaded {
		v.Endpoints[service] = append(v.Endpoints[service], endpointtracker.Endpoint{
			ID: "e" + string(rune('1'+i)), Service: service, Slots: 4,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Weights: map[string]int64{"m": version},
		})
	}
	return v
}

func newPlacer(view placer.View) *placer.Placer {
	return &placer.Placer{
		View: func() placer.View { return view }, Balancer: &balancer.Balancer{}, Locator: locator.New(),
		Scheduler:     &scheduler.Scheduler{Now: time.Now},
		OnMisdirected: func(endpointtracker.Endpoint, string, int64) {},
		Nodes:         func() int { return 1 }, HasContact: func() bool { return true },
		EndpointClock: func(t time.Time) (time.Time, bool) { return t, true }, FetchLimit: func() time.Duration { return placer.MaxFetchTime },
		KnownAge:   placer.WeightsLimits{Place: 8 * time.Second, Begin: 9 * time.Second},
		UnknownAge: placer.WeightsLimits{Place: 2 * time.Second, Begin: 3 * time.Second}, Now: time.Now,
	}
}

func place(t *testing.T, p *placer.Placer, team cataloger.Team, progress forwarder.Progress) (forwarder.Attempt, error) {
	t.Helper()
	placement, err := p.Place(t.Context(), &forwarder.Exchange{
		ID: "id", Service: service, Team: team, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route: cataloger.Route{Name: "r", Stream: true, RetryPolicy: cataloger.RetryResumable, Objective: time.Second},
		Prompt: &forwarder.Prompt{
			Model: "m", Parts: []locator.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 50}}, MaxOutputTokens: 10,
		},
	}, progress)
	if err != nil {
		return forwarder.Attempt{}, err
	}
	defer placement.Release()
	return placement.Attempt(), nil
}

func assertPlaced(t *testing.T, view placer.View, endpoint string) {
	t.Helper()
	attempt, err := place(t, newPlacer(view), cataloger.Team{}, forwarder.Progress{})
	require.NoError(t, err)
	assert.Equal(t, endpoint, attempt.Endpoint.ID)
}

func assertBeginTimeout(t *testing.T, view placer.View, want time.Duration) {
	t.Helper()
	attempt, err := place(t, newPlacer(view), cataloger.Team{}, forwarder.Progress{})
	require.NoError(t, err)
	assert.Equal(t, want, attempt.BeginTimeout)
}

func assertUnavailable(t *testing.T, view placer.View) {
	t.Helper()
	_, err := place(t, newPlacer(view), cataloger.Team{}, forwarder.Progress{})
	assert.True(t, errors.Is(err, forwarder.ErrUnavailable), "%v", err)
}

func TestPlace(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("the attempt names the expected weights, which are part of the salt", func(t *testing.T) {
		attempt, err := place(t, newPlacer(testView(nil, 1)), cataloger.Team{Name: "t"}, forwarder.Progress{})
		require.NoError(t, err)
		assert.EqualValues(t, 1, attempt.Weights)
		_, model, version, ok := placer.ParseSalt(attempt.Salt)
		assert.True(t, ok)
		assert.Equal(t, "m", model)
		assert.EqualValues(t, 1, version)
	})
	run("an isolated team has its own salt", func(t *testing.T) {
		salt := func(team cataloger.Team, isolated bool) string {
			attempt, err := place(t, newPlacer(configured(map[string]bool{"t": isolated, "u": false})), team, forwarder.Progress{})
			require.NoError(t, err)
			return attempt.Salt
		}
		assert.Equal(t, salt(cataloger.Team{Name: "t"}, false), salt(cataloger.Team{Name: "u"}, false))
		assert.NotEqual(t, salt(cataloger.Team{Name: "t"}, false), salt(cataloger.Team{Name: "t", Isolated: true}, true))
	})
	run("an endpoint that was tried is the last choice", func(t *testing.T) {
		attempt, err := place(t, newPlacer(testView(nil, 1, 1)), cataloger.Team{}, forwarder.Progress{Tried: map[string]bool{"e1": true}})
		require.NoError(t, err)
		assert.Equal(t, "e2", attempt.Endpoint.ID)
	})
	run("an endpoint that answered RunMisdirected is not used again", func(t *testing.T) {
		_, err := place(t, newPlacer(testView(nil, 1)), cataloger.Team{}, forwarder.Progress{Misdirected: map[string]bool{"e1": true}})
		assert.True(t, errors.Is(err, forwarder.ErrUnavailable), "%v", err)
	})
}

// TestReplacedWeights covers an upgrade that is delayed while a newer target
// version is set. The time limit of the earlier target version must still apply.
func TestReplacedWeights(t *testing.T) {
	targetsSetAgo := func(ago ...time.Duration) []placer.TargetVersion {
		var all []placer.TargetVersion
		for i, d := range ago {
			all = append(all, placer.TargetVersion{Version: int64(i + 2), Since: time.Now().Add(-d)})
		}
		return all
	}
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("old weights are used until the limit", func(t *testing.T) { assertPlaced(t, testView(targetsSetAgo(7*time.Second), 1, 1, 1), "e1") })
	run("old weights are not used after the limit", func(t *testing.T) { assertUnavailable(t, testView(targetsSetAgo(9*time.Second), 1, 1, 1)) })
	run("a newer target version does not extend the limit", func(t *testing.T) {
		assertPlaced(t, testView(targetsSetAgo(9*time.Second, time.Second), 1, 1, 2), "e3")
	})
	run("a target set at an unknown time excludes old weights even if no endpoint has a newer target yet", func(t *testing.T) {
		assertPlaced(t, testView([]placer.TargetVersion{{Version: 2, Learned: time.Now()}, {Version: 3, Since: time.Now()}}, 1, 1, 2), "e3")
	})
	run("target set at an unknown time excludes old weights once it has been known for the limit", func(t *testing.T) {
		assertUnavailable(t, testView([]placer.TargetVersion{{Version: 2, Learned: time.Now().Add(-3 * time.Second)}}, 1, 1, 1))
	})
	run("answers must begin before the limit on old weights", func(t *testing.T) {
		assertBeginTimeout(t, testView(targetsSetAgo(7*time.Second), 1), 2*time.Second)
	})
	run("the oldest version that an endpoint lacks counts for the limit", func(t *testing.T) {
		assertBeginTimeout(t, testView(targetsSetAgo(7*time.Second, time.Second), 2), 8*time.Second)
	})
	run("answers must begin before the limit on weights replaced at an unknown time", func(t *testing.T) {
		assertBeginTimeout(t, testView([]placer.TargetVersion{{Version: 2, Learned: time.Now().Add(-time.Second)}}, 1), 2*time.Second)
	})
	run("the earliest limit of the versions that an endpoint lacks counts", func(t *testing.T) {
		learned := time.Now().Add(-time.Second)
		targets := []placer.TargetVersion{{Version: 2, Learned: learned}, {Version: 3, Since: time.Now().Add(-7500 * time.Millisecond)}}
		assertBeginTimeout(t, testView(targets, 1), 1500*time.Millisecond)
	})
	run("a limit that passes after the endpoint was chosen still counts", func(t *testing.T) {
		view := testView(targetsSetAgo(7*time.Second), 1)
		p := newPlacer(view)
		p.View = func() placer.View {
			if chosen := len(p.Balancer.Report(time.Now())) > 0; chosen {
				time.Sleep(5 * time.Second)
			}
			return view
		}
		attempt, err := place(t, p, cataloger.Team{}, forwarder.Progress{})
		require.NoError(t, err)
		assert.Equal(t, 12*time.Second, attempt.PlacementReason.ReplacedFor)
		assert.Positive(t, attempt.BeginTimeout)
	})
	run("answers may begin at any time on the newest weights", func(t *testing.T) {
		assertBeginTimeout(t, testView(targetsSetAgo(7*time.Second), 2), 0)
	})
	run("target set at an unknown time excludes old weights at first only if another endpoint has it", func(t *testing.T) {
		unknown := []placer.TargetVersion{{Version: 2, Learned: time.Now().Add(-time.Second)}}
		assertPlaced(t, testView(unknown, 1, 1, 1), "e1")
		assertPlaced(t, testView(unknown, 1, 1, 2), "e3")
	})
}
