package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// TestEnginePriority guards against routes that overtake a better rank of a team, and against
// priorities that engines do not have.
func TestEnginePriority(t *testing.T) {
	const unranked = -1
	for _, test := range []struct {
		name          string
		teams, routes []int
		// want holds the priorities by team, then by route.
		want [][]int
	}{
		{"teams of one rank", []int{1}, []int{1, 2, 5}, [][]int{{0, 1, 2}}},
		{"two ranks of teams", []int{0, 3}, []int{0, 1, 2}, [][]int{{0, 1, 2}, {5, 6, 7}}},
		{"more ranks of routes than fit", []int{0, 3, 4}, []int{0, 1, 2, 3, 4, 9}, [][]int{{0, 0, 1, 1, 2, 2}, {3, 3, 4, 4, 5, 5}, {6, 6, 7, 7, 8, 8}}},
		{"a team without rank has the route's", []int{1, unranked}, []int{0, 1}, [][]int{{5, 6}, {0, 6}}},
		{"more ranks than priorities", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}, []int{0, 1}, [][]int{
			{0, 0}, {1, 1}, {2, 2}, {3, 3}, {4, 4}, {5, 5}, {6, 6}, {7, 7}, {8, 8}, {9, 9}, {9, 9}, {9, 9},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var teams []cataloger.Team
			for _, rank := range test.teams {
				teams = append(teams, cataloger.Team{Rank: rank, HasRank: rank != unranked})
			}
			var routes []cataloger.Route
			for _, rank := range test.routes {
				routes = append(routes, cataloger.Route{Rank: rank})
			}
			ranks := cataloger.New(1, routes, nil, map[string]cataloger.Team{}, cataloger.Limits{}).WithTeams(teams...).Ranks()
			for i, team := range teams {
				for j, route := range routes {
					x := forwarder.Exchange{Team: team, Route: route}
					assert.Equal(t, test.want[i][j], x.EnginePriority(ranks), "team %d, route %d", i, j)
				}
			}
		})
	}
}
