package placer_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

func TestSalt(t *testing.T) {
	t.Run("without isolated teams it is that of earlier builds", func(t *testing.T) {
		assert.Equal(t, "/daka510000/7", placer.Salt(placer.SharedScope(nil), "daka510000", 7))
	})
	t.Run("an isolated team's is that of earlier builds", func(t *testing.T) {
		assert.Equal(t, "bozi300/daka510000/7", placer.Salt(placer.TeamScope("bozi300"), "daka510000", 7))
	})
	t.Run("the shared scope names the isolated teams", func(t *testing.T) {
		scopes := map[string]bool{}
		for _, isolated := range [][]string{nil, {"a"}, {"b"}, {"a", "b"}, {"ab"}, {"a/b"}, {""}} {
			scopes[placer.SharedScope(isolated)] = true
		}
		assert.Len(t, scopes, 7)
	})
	t.Run("no name reads like another scope", func(t *testing.T) {
		scopes := map[string]bool{}
		for _, name := range []string{"", "a", placer.SharedScope([]string{"a"}), placer.TeamScope(""), "%", "%25", "/", " a", "a ", "ä"} {
			scopes[placer.TeamScope(name)] = true
		}
		assert.Len(t, scopes, 10)
		assert.False(t, scopes[placer.SharedScope(nil)])
		assert.False(t, scopes[placer.SharedScope([]string{"a"})])
	})
	t.Run("text of another form is no salt", func(t *testing.T) {
		for _, salt := range []string{"", "a", "a/m", "a/m/x", "a/b/m/1", "/%zz/1", "/%2/1", "/%41/1"} {
			_, _, _, ok := placer.ParseSalt(salt)
			assert.False(t, ok, salt)
		}
	})
}

// FuzzSalt guards against names that change the fields of a salt.
func FuzzSalt(f *testing.F) {
	f.Add("bozi300", "daka510000", int64(1))
	f.Add("", "a/b", int64(-1))
	f.Add("%~0123456789abcdef", "%2f", int64(0))
	f.Add(" a\x00\xff", "\r\n", int64(1)<<62)
	f.Fuzz(func(t *testing.T, team, model string, version int64) {
		salt := placer.Salt(placer.TeamScope(team), model, version)
		scope, parsedModel, parsedVersion, ok := placer.ParseSalt(salt)
		require.True(t, ok, salt)
		assert.Equal(t, placer.TeamScope(team), scope)
		assert.Equal(t, model, parsedModel)
		assert.Equal(t, version, parsedVersion)
		// Builds before the scope frees parts at once whose salt has not three such fields.
		fields := strings.Split(salt, "/")
		require.Len(t, fields, 3)
		assert.Equal(t, strconv.FormatInt(version, 10), fields[2])
		assert.Equal(t, salt, strings.TrimSpace(salt), "spaces at the ends of a header are lost")
		assert.NotContains(t, salt, "\n")
		assert.NotEqual(t, placer.SharedScope(nil), scope)
		assert.NotEqual(t, placer.SharedScope([]string{team}), scope)
	})
}

// configured returns a view of a configuration with these teams, by whether they are isolated.
func configured(teams map[string]bool) placer.View {
	view := testView(nil, 1)
	services := []cataloger.Service{{Name: service, Engine: &cataloger.Engine{Capacity: 10_000}}}
	byKey := map[string]cataloger.Team{}
	for name, isolated := range teams {
		byKey["key of "+name] = cataloger.Team{Name: name, Isolated: isolated}
	}
	view.Catalog = cataloger.New(1, nil, services, byKey, cataloger.Limits{})
	return view
}

// saltOf returns the salt of a request of a team that was accepted under one configuration and
// is placed under another.
func saltOf(t require.TestingT, team cataloger.Team, view placer.View) string {
	placement, err := newPlacer(view).Place(context.Background(), &forwarder.Exchange{
		ID: "id", Service: service, Team: team, Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route:  cataloger.Route{Name: "r", Stream: true, Objective: time.Second},
		Prompt: &forwarder.Prompt{Model: "m", Parts: []locator.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 50}}},
	}, forwarder.Progress{})
	require.NoError(t, err)
	defer placement.Release()
	return placement.Attempt().Salt
}

// TestTeamIsIsolatedLater guards against the use of parts that a team has made before a later
// configuration isolates it, or that others have made before.
func TestTeamIsIsolatedLater(t *testing.T) {
	a, b := cataloger.Team{Name: "a"}, cataloger.Team{Name: "b"}
	none, onlyA, both := map[string]bool{"a": false, "b": false}, map[string]bool{"a": true, "b": false}, map[string]bool{"a": true, "b": true}
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("other teams leave the scope in which it has made parts", func(t *testing.T) {
		assert.Equal(t, saltOf(t, a, configured(none)), saltOf(t, b, configured(none)))
		assert.NotEqual(t, saltOf(t, a, configured(none)), saltOf(t, b, configured(onlyA)))
		assert.NotEqual(t, saltOf(t, a, configured(onlyA)), saltOf(t, b, configured(onlyA)))
	})
	run("two teams in a row", func(t *testing.T) {
		c := cataloger.Team{Name: "c"}
		assert.NotEqual(t, saltOf(t, b, configured(onlyA)), saltOf(t, c, configured(map[string]bool{"a": true, "b": true, "c": false})))
		assert.NotEqual(t, saltOf(t, a, configured(both)), saltOf(t, b, configured(both)))
	})
	run("a request that waited while its team was isolated", func(t *testing.T) {
		assert.Equal(t, saltOf(t, cataloger.Team{Name: "a", Isolated: true}, configured(onlyA)), saltOf(t, a, configured(onlyA)))
	})
	run("a request of a team that is gone shares with no other", func(t *testing.T) {
		assert.NotEqual(t, saltOf(t, b, configured(map[string]bool{"b": false})), saltOf(t, a, configured(map[string]bool{"b": false})))
	})
	run("a team that has lost its keys", func(t *testing.T) {
		view := configured(map[string]bool{"b": false})
		before := saltOf(t, b, view)
		view.Catalog.WithTeams(cataloger.Team{Name: "a", Isolated: true})
		assert.NotEqual(t, before, saltOf(t, b, view))
	})
}

// TestIsolation plays random configurations and requests: no request may use parts that a
// request of another team made, if one of the two is isolated.
func TestIsolation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// makers holds the teams that have made parts, by salt.
		makers := map[string]map[string]bool{}
		names := []string{"a", "b", "c", "", "%~", "a/b"}
		teams := map[string]bool{}
		accepted := map[string]cataloger.Team{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			name := rapid.SampledFrom(names).Draw(rt, "team")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				teams[name] = !teams[name]
			case 1:
				delete(teams, name)
			case 2:
				if isolated, ok := teams[name]; ok {
					accepted[name] = cataloger.Team{Name: name, Isolated: isolated, HasRank: true}
				}
			default:
				team, ok := accepted[name]
				if !ok {
					continue
				}
				salt := saltOf(rt, team, configured(teams))
				for maker := range makers[salt] {
					if maker != name && (teams[name] || teams[maker]) {
						rt.Fatalf("%q uses parts of %q under %s; isolated: %v", name, maker, salt, teams)
					}
				}
				if makers[salt] == nil {
					makers[salt] = map[string]bool{}
				}
				makers[salt][name] = true
			}
		}
	})
}

// TestScopesOfAllNodes shows that nodes derive the same scopes, whatever they have seen before.
func TestScopesOfAllNodes(t *testing.T) {
	for _, nodes := range []int{7, 195} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			salts := map[string]bool{}
			for range nodes {
				// Each node builds its own catalog, from a map in any order.
				teams := map[string]bool{}
				for i := range 40 {
					teams[fmt.Sprintf("t%d", i)] = i%5 == 0
				}
				salts[saltOf(t, cataloger.Team{Name: "t1"}, configured(teams))] = true
			}
			assert.Len(t, salts, 1)
		})
	}
}
