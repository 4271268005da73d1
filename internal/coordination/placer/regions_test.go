package placer_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// newRegionalPlacer returns a placer with an engine and a store in each of the domains a (region
// north), b (region south) and c (no region). The engine of a domain is e1, e2 or e3.
func newRegionalPlacer() *placer.Placer {
	view := testView(nil, 1, 1, 1)
	services := []cataloger.Service{{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}}}
	p := newPlacer(view)
	for i, domain := range []string{"a", "b", "c"} {
		view.Endpoints[service][i].Domain = domain
		store := cataloger.Store{Address: storeOf(i), Domain: domain, Capacity: 10_000}
		services = append(services, cataloger.Service{Name: "store " + domain, Store: &store})
		p.Locator.Reset(store.Address, map[locator.Key]int{}, 0)
	}
	view.Catalog = cataloger.New(1, nil, services, nil, cataloger.Limits{})
	p.View = func() placer.View { return view }
	p.DomainRegions = cataloger.DomainRegions{"a": "north", "b": "south"}
	return p
}

func storeOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 9, byte(i)}), 80)
}

func placeIn(t *testing.T, p *placer.Placer, route, team []string) (forwarder.Attempt, error) {
	t.Helper()
	placement, err := p.Place(t.Context(), &forwarder.Exchange{
		ID: "id", Service: service, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route: cataloger.Route{Name: "r", Regions: cataloger.NewRegions(route)}, Team: cataloger.Team{Regions: cataloger.NewRegions(team)},
		Prompt: &forwarder.Prompt{Model: "m", Parts: []locator.Part{{ID: "p", Tokens: 100}, {ID: "q", Tokens: 50}}},
	}, forwarder.Progress{})
	if err != nil {
		return forwarder.Attempt{}, err
	}
	// The placement is not released, so that each request finds the others running.
	return placement.Attempt(), nil
}

// assertEndpoints checks where several requests that run at once are placed.
func assertEndpoints(t *testing.T, route, team []string, want ...string) {
	t.Helper()
	p := newRegionalPlacer()
	used := map[string]bool{}
	for range 6 {
		attempt, err := placeIn(t, p, route, team)
		if len(want) == 0 {
			require.True(t, errors.Is(err, forwarder.ErrUnavailable), "%v", err)
			assert.Contains(t, err.Error(), "region")
			continue
		}
		require.NoError(t, err)
		used[attempt.Endpoint.ID] = true
	}
	for _, id := range want {
		assert.True(t, used[id], id)
	}
	assert.Len(t, used, len(want))
}

// TestRegions guards against requests that are placed outside of their regions, or wait for an
// endpoint that they may never use.
func TestRegions(t *testing.T) {
	north, south, both := []string{"north"}, []string{"south"}, []string{"south", "north"}
	t.Run("none", func(t *testing.T) { assertEndpoints(t, nil, nil, "e1", "e2", "e3") })
	t.Run("route only", func(t *testing.T) { assertEndpoints(t, north, nil, "e1") })
	t.Run("team only", func(t *testing.T) { assertEndpoints(t, nil, south, "e2") })
	t.Run("several; a domain without region is in none", func(t *testing.T) { assertEndpoints(t, both, nil, "e1", "e2") })
	t.Run("both", func(t *testing.T) { assertEndpoints(t, both, south, "e2") })
	t.Run("none in common", func(t *testing.T) { assertEndpoints(t, north, south) })
	t.Run("without endpoints", func(t *testing.T) { assertEndpoints(t, []string{"west"}, nil) })
	t.Run("empty name", func(t *testing.T) { assertEndpoints(t, []string{""}, nil) })
}

// TestPartsInRegions guards against parts of prompts that are fetched from or saved to holders
// outside of the regions.
func TestPartsInRegions(t *testing.T) {
	key := locator.Key{Salt: placer.Salt("", "m", 1), Part: "p"}
	check := func(name string, holder netip.AddrPort, route []string, fetched bool) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newRegionalPlacer()
				p.Locator.Reset(holder, map[locator.Key]int{key: 100}, 0)
				attempt, err := placeIn(t, p, route, nil)
				require.NoError(t, err)
				if fetched {
					assert.Equal(t, holder, attempt.Fetch[0])
				} else {
					assert.False(t, attempt.Fetch[0].IsValid(), attempt.Fetch[0])
					assert.Equal(t, 150, attempt.PlacementReason.Read)
					assert.Equal(t, storeOf(0), attempt.Save[0])
				}
			})
		})
	}
	north := []string{"north"}
	engine := func(i int) netip.AddrPort { return newRegionalPlacer().View().Endpoints[service][i].Address }
	check("a store there", storeOf(0), north, true)
	check("a store elsewhere", storeOf(1), north, false)
	check("a store in no region", storeOf(2), north, false)
	check("an engine elsewhere", engine(1), north, false)
	check("an engine in no region", engine(2), north, false)
	check("any store without a restriction", storeOf(2), nil, true)
}

// TestFullRegion guards against a region without room that holds up requests for other regions.
func TestFullRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newRegionalPlacer()
		for full := false; !full; {
			_, err := placeIn(t, p, []string{"north"}, nil)
			full = err != nil
		}
		waited := make(chan error, 1)
		go func() {
			_, err := placeIn(t, p, []string{"north"}, nil)
			waited <- err
		}()
		synctest.Wait()
		started := time.Now()
		attempt, err := placeIn(t, p, []string{"south"}, nil)
		require.NoError(t, err)
		assert.Equal(t, "e2", attempt.Endpoint.ID)
		assert.Zero(t, time.Since(started))
		assert.Error(t, <-waited)
	})
}
