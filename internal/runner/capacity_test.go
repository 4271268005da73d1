package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// TestSharesStayUnderTheCeiling checks that the shares of all nodes of all
// failure domains and the idle power of the endpoints add up to no more than the
// ceiling; domains whose idle power alone exceeds their share are not counted.
// Each node computes its share on its own, so the sum also holds while nodes can't
// reach each other.
func TestSharesStayUnderTheCeiling(t *testing.T) {
	hosts := map[string]int{"kadikoy": 3, "bursa": 2, "izmit": 2}
	cases := []struct {
		name   string
		shares map[string]float64
		idle   float64
	}{
		{"equal shares", map[string]float64{"kadikoy": 1000, "bursa": 1000, "izmit": 1000}, 60},
		{"a domain without share", map[string]float64{"kadikoy": 3000}, 0},
		{"idle endpoints exceed a share", map[string]float64{"kadikoy": 2900, "bursa": 50, "izmit": 50}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			snapshot := ceilingSnapshot(t, hosts, c.shares, c.idle)
			total := 0.0
			for domain, n := range hosts {
				share := capacity(snapshot, domain+"-1", domain)
				assert.GreaterOrEqual(t, share.Watts, 0.0, "a ceiling must never result in no limit")
				assert.Equal(t, 7, share.Nodes)
				if share.Watts > 0 {
					total += float64(n)*share.Watts + idleWatts(snapshot, domain)
				}
			}
			assert.LessOrEqual(t, total, 3000.0)
		})
	}
}

// TestShareIsDividedAmongAllKnownNodes checks that the share is divided among all
// known nodes if there are more of them than configured.
func TestShareIsDividedAmongAllKnownNodes(t *testing.T) {
	snapshot := ceilingSnapshot(t, map[string]int{"kadikoy": 2}, map[string]float64{"kadikoy": 900}, 0)
	assert.Equal(t, 450.0, capacity(snapshot, "n1", "kadikoy").Watts)
	for _, name := range []string{"n1", "n2", "n3"} {
		snapshot.Nodes = append(snapshot.Nodes, registrar.EndpointState{Endpoint: registrar.Endpoint{Name: name, Domain: "kadikoy"}})
	}
	assert.Equal(t, 300.0, capacity(snapshot, "n3", "kadikoy").Watts)
}

func ceilingSnapshot(t *testing.T, hosts map[string]int, shares map[string]float64, idle float64) *publisher.Snapshot {
	t.Helper()
	changes := []configurator.Change{
		configurator.Put(configurator.Priority{Name: "chat", Deadline: 1}),
		configurator.Put(configurator.Service{
			Name: "llm", Type: configurator.ServiceModel, Objective: configurator.ObjectiveRecompute,
			Priority: "chat", Concurrency: 1, IdleWatts: idle, Timeout: 1,
		}),
		configurator.Put(configurator.Ceiling{Name: "site", Watts: 3000, Shares: shares}),
	}
	var rows []registrar.EndpointState
	for domain, n := range hosts {
		changes = append(changes, configurator.Put(configurator.Domain{Name: domain, Hosts: n}))
		for i := range n {
			rows = append(rows, registrar.EndpointState{Endpoint: registrar.Endpoint{Name: fmt.Sprint(domain, i), Service: "llm", Domain: domain}})
		}
	}
	record := configurator.Record{Rules: configurator.RulesVersion, Changes: changes}
	state, verdict, err := configurator.New().Apply(0, record)
	require.NoError(t, err)
	require.NoError(t, verdict.Reason)
	return publisher.Build(state, nil, rows)
}
