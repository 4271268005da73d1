package placer_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

var partStore = netip.MustParseAddrPort("10.0.9.1:80")

// newFetchingPlacer returns a placer with one engine and a store that has the first part of
// each prompt of place.
func newFetchingPlacer() *placer.Placer {
	view := testView(nil, 1)
	services := []cataloger.Service{
		{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}},
		{Name: "store", Store: &cataloger.Store{Address: partStore, Capacity: 10_000}},
	}
	view.Catalog = cataloger.New(1, nil, services, nil, cataloger.Limits{})
	p := newPlacer(view)
	p.Locator.Reset(partStore, map[locator.Key]int{{Salt: placer.Salt("", "m", 1), Part: "a"}: 100}, 0)
	return p
}

func placeFor(t *testing.T, p *placer.Placer, objective time.Duration) forwarder.Attempt {
	t.Helper()
	placement, err := p.Place(t.Context(), &forwarder.Exchange{
		ID: "id", Service: service, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route:  cataloger.Route{Name: "r", Stream: true, Objective: objective},
		Prompt: &forwarder.Prompt{Model: "m", Parts: []locator.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 50}}},
	}, forwarder.Progress{})
	require.NoError(t, err)
	defer placement.Release()
	return placement.Attempt()
}

// TestFetchEnd guards against fetches of parts that still run when stores free the parts.
func TestFetchEnd(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("a fetch ends within the limit, by the endpoints' clock", func(t *testing.T) {
		p := newFetchingPlacer()
		p.EndpointClock = func(now time.Time) (time.Time, bool) { return now.Add(time.Hour), true }
		attempt := placeFor(t, p, time.Second)
		assert.Equal(t, []netip.AddrPort{partStore, {}}, attempt.Fetch)
		assert.Equal(t, time.Now().Add(time.Hour+placer.MaxFetchTime), attempt.FetchEnd)
	})
	run("a fetch ends with its request", func(t *testing.T) {
		p := newFetchingPlacer()
		p.FetchLimit = func() time.Duration { return time.Minute }
		assert.Equal(t, time.Now().Add(15*time.Second), placeFor(t, p, time.Second).FetchEnd)
	})
	run("the end does not move while the attempt waits for a connection", func(t *testing.T) {
		attempt, placedAt := placeFor(t, newFetchingPlacer(), time.Second), time.Now()
		time.Sleep(time.Second)
		assert.Equal(t, placedAt.Add(placer.MaxFetchTime), attempt.FetchEnd)
	})
	run("the fetch is recorded before the view was read", func(t *testing.T) {
		p := newFetchingPlacer()
		view, recorded := p.View(), time.Time{}
		p.OnFetch = func(model string, version int64, end time.Time) {
			assert.Equal(t, "m", model)
			assert.EqualValues(t, 1, version)
			recorded = end
		}
		p.View = func() placer.View {
			if chosen := len(p.Balancer.Report(time.Now())) > 0; chosen {
				assert.Equal(t, time.Now().Add(placer.MaxFetchTime), recorded)
			}
			return view
		}
		placeFor(t, p, time.Second)
	})
	run("an attempt at replaced weights fetches nothing from stores, so that they may free the parts", func(t *testing.T) {
		p := newFetchingPlacer()
		view := p.View()
		view.OldestRetained = map[string]int64{"m": 2}
		p.View = func() placer.View { return view }
		p.OnFetch = func(_ string, version int64, _ time.Time) {
			assert.Fail(t, "a fetch is recorded", "version %d", version)
		}
		assert.NotContains(t, placeFor(t, p, time.Second).Fetch, partStore)
	})
	run("the end counts from before the view was read", func(t *testing.T) {
		p := newFetchingPlacer()
		view, began := p.View(), time.Now()
		p.View = func() placer.View {
			if chosen := len(p.Balancer.Report(time.Now())) > 0; chosen {
				time.Sleep(time.Second)
			}
			return view
		}
		assert.Equal(t, began.Add(placer.MaxFetchTime), placeFor(t, p, time.Second).FetchEnd)
	})
	run("nothing is fetched while the endpoints' clock is unknown", func(t *testing.T) {
		p := newFetchingPlacer()
		p.EndpointClock = func(time.Time) (time.Time, bool) { return time.Time{}, false }
		attempt := placeFor(t, p, time.Second)
		assert.Empty(t, attempt.Fetch)
		assert.Zero(t, attempt.FetchEnd)
		assert.Zero(t, attempt.PlacementReason.Fetch)
		assert.Equal(t, 150, attempt.PlacementReason.Read)
	})
}
