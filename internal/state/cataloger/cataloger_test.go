package cataloger_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

func catalog() *cataloger.Catalog {
	routes := []cataloger.Route{
		{Name: "short", Host: "Relay.example", Prefix: "/a/", Shares: []cataloger.Share{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "relay.example", Prefix: "/a/b/"},
		{Name: "open", Host: "relay.example", Prefix: "/open/", Anonymous: true},
		{Name: "other", Host: "other.example", Prefix: "/"},
	}
	services := []cataloger.Service{{Name: "z", Store: &cataloger.Store{}}, {Name: "s"}, {Name: "a", Store: &cataloger.Store{}}}
	teams := map[string]cataloger.Team{"key": {Name: "team"}}
	return cataloger.New(7, routes, services, teams, cataloger.Limits{})
}

func assertRoute(t *testing.T, host, path, want string) {
	t.Helper()
	route, err := catalog().Route(host, path)
	if want == "" {
		assert.ErrorIs(t, err, cataloger.ErrNoRoute)
		return
	}
	require.NoError(t, err)
	assert.Equal(t, want, route.Name)
}

func TestRoute(t *testing.T) {
	t.Run("longest prefix", func(t *testing.T) { assertRoute(t, "relay.example", "/a/b/c", "long") })
	t.Run("shorter prefix", func(t *testing.T) { assertRoute(t, "relay.example", "/a/c", "short") })
	t.Run("host with port and capitals", func(t *testing.T) { assertRoute(t, "RELAY.example:8080", "/a/c", "short") })
	t.Run("another host", func(t *testing.T) { assertRoute(t, "other.example", "/a/b/c", "other") })
	t.Run("unknown host", func(t *testing.T) { assertRoute(t, "none.example", "/a/", "") })
	t.Run("prefix without its slash", func(t *testing.T) { assertRoute(t, "relay.example", "/a", "") })
}

func assertTeam(t *testing.T, path, key, want string, wantErr error) {
	t.Helper()
	c := catalog()
	route, err := c.Route("relay.example", path)
	require.NoError(t, err)
	team, err := c.Team(route, key)
	if wantErr != nil {
		assert.ErrorIs(t, err, wantErr)
		return
	}
	require.NoError(t, err)
	assert.Equal(t, want, team.Name)
}

func TestTeam(t *testing.T) {
	t.Run("known key", func(t *testing.T) { assertTeam(t, "/a/", "key", "team", nil) })
	t.Run("unknown key", func(t *testing.T) { assertTeam(t, "/a/", "stolen", "", cataloger.ErrUnknownKey) })
	t.Run("no key", func(t *testing.T) { assertTeam(t, "/a/", "", "", cataloger.ErrUnknownKey) })
	t.Run("anonymous route without key", func(t *testing.T) { assertTeam(t, "/open/", "", "", nil) })
	t.Run("anonymous route with a key", func(t *testing.T) { assertTeam(t, "/open/", "key", "team", nil) })
	t.Run("no teams configured", func(t *testing.T) {
		open := cataloger.New(1, nil, nil, nil, cataloger.Limits{})
		_, err := open.Team(cataloger.Route{}, "")
		assert.NoError(t, err)
	})
}

func TestPickService(t *testing.T) {
	route := cataloger.Route{Shares: []cataloger.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for point, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.9999: "b", 1: "b"} {
		assert.Equal(t, want, route.PickService(point), "point %v", point)
	}
}

func TestStoresAreOrdered(t *testing.T) {
	stores := catalog().Stores()
	require.Len(t, stores, 2)
	assert.Equal(t, "a", stores[0].Name)
}
