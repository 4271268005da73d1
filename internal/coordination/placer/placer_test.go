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
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const service = "s"

// site returns a view of three engines with the given versions of model m.
func site(namings []placer.Naming, loaded ...int64) placer.View {
	services := []cataloger.Service{{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}}}
	v := placer.View{
		Catalog:   cataloger.New(1, nil, services, nil, cataloger.Limits{}),
		Endpoints: map[string][]tracker.Endpoint{},
		Namings:   map[string][]placer.Naming{"m": namings},
	}
	for i, version := range loaded {
		v.Endpoints[service] = append(v.Endpoints[service], tracker.Endpoint{
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
		Scheduler:   &scheduler.Scheduler{Now: time.Now},
		Misdirected: func(tracker.Endpoint, string, int64) {},
		Nodes:       func() int { return 1 }, InTouch: func() bool { return true },
		StaleLimit: 8 * time.Second, Now: time.Now,
	}
}

func place(t *testing.T, p *placer.Placer, team cataloger.Team, progress exchanger.Progress) (exchanger.Attempt, error) {
	t.Helper()
	placement, err := p.Place(t.Context(), &exchanger.Exchange{
		ID: "id", Service: service, Team: team, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route: cataloger.Route{Name: "r", Stream: true, Repeat: cataloger.RepeatResumable, Objective: time.Second},
		Prompt: &exchanger.Prompt{
			Model: "m", Parts: []locator.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 50}}, TokensOut: 10,
		},
	}, progress)
	if err != nil {
		return exchanger.Attempt{}, err
	}
	defer placement.Release()
	return placement.Attempt(), nil
}

func assertPlaced(t *testing.T, view placer.View, endpoint string) {
	t.Helper()
	attempt, err := place(t, newPlacer(view), cataloger.Team{}, exchanger.Progress{})
	require.NoError(t, err)
	assert.Equal(t, endpoint, attempt.Endpoint.ID)
}

func assertUnavailable(t *testing.T, view placer.View) {
	t.Helper()
	_, err := place(t, newPlacer(view), cataloger.Team{}, exchanger.Progress{})
	assert.True(t, errors.Is(err, exchanger.ErrUnavailable), "%v", err)
}

func TestPlace(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("weights are expected and part of the salt", func(t *testing.T) {
		attempt, err := place(t, newPlacer(site(nil, 1)), cataloger.Team{Name: "t"}, exchanger.Progress{})
		require.NoError(t, err)
		assert.EqualValues(t, 1, attempt.Weights)
		model, version, ok := placer.ParseSalt(attempt.Salt)
		assert.True(t, ok)
		assert.Equal(t, "m", model)
		assert.EqualValues(t, 1, version)
	})
	run("an isolated team has a salt of its own", func(t *testing.T) {
		salt := func(team cataloger.Team) string {
			attempt, err := place(t, newPlacer(site(nil, 1)), team, exchanger.Progress{})
			require.NoError(t, err)
			return attempt.Salt
		}
		assert.Equal(t, salt(cataloger.Team{Name: "t"}), salt(cataloger.Team{Name: "u"}))
		assert.NotEqual(t, salt(cataloger.Team{Name: "t"}), salt(cataloger.Team{Name: "t", Isolated: true}))
	})
	run("an endpoint that was tried comes last", func(t *testing.T) {
		attempt, err := place(t, newPlacer(site(nil, 1, 1)), cataloger.Team{}, exchanger.Progress{Tried: map[string]bool{"e1": true}})
		require.NoError(t, err)
		assert.Equal(t, "e2", attempt.Endpoint.ID)
	})
	run("one that is not the one that was meant is not used again", func(t *testing.T) {
		_, err := place(t, newPlacer(site(nil, 1)), cataloger.Team{}, exchanger.Progress{Misdirected: map[string]bool{"e1": true}})
		assert.True(t, errors.Is(err, exchanger.ErrUnavailable), "%v", err)
	})
}

// TestReplacedWeights replays an upgrade that is held up while a newer version is
// named: the time of the older one still counts.
func TestReplacedWeights(t *testing.T) {
	named := func(ago ...time.Duration) []placer.Naming {
		var all []placer.Naming
		for i, d := range ago {
			all = append(all, placer.Naming{Version: int64(i + 2), At: time.Now().Add(-d)})
		}
		return all
	}
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("serve for a while", func(t *testing.T) { assertPlaced(t, site(named(7*time.Second), 1, 1, 1), "e1") })
	run("then not", func(t *testing.T) { assertUnavailable(t, site(named(9*time.Second), 1, 1, 1)) })
	run("a newer version does not extend the time", func(t *testing.T) {
		assertPlaced(t, site(named(9*time.Second, time.Second), 1, 1, 2), "e3")
	})
	run("named at an unknown time, also when a newer one is named that no endpoint has", func(t *testing.T) {
		assertPlaced(t, site([]placer.Naming{{Version: 2}, {Version: 3, At: time.Now()}}, 1, 1, 2), "e3")
	})
	run("named at an unknown time, only where others have it", func(t *testing.T) {
		unknown := []placer.Naming{{Version: 2}}
		assertPlaced(t, site(unknown, 1, 1, 1), "e1")
		assertPlaced(t, site(unknown, 1, 1, 2), "e3")
	})
}
