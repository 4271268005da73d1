// Package publisher defines the immutable snapshot that the control goroutine
// publishes and that traffic goroutines read.
//
// # Usage
//
//	var cell publisher.Cell
//	cell.Store(&publisher.Snapshot{Configuration: state})
//	snapshot := cell.Load()
package publisher

import (
	"sync/atomic"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Cell holds the newest snapshot.
type Cell = atomic.Pointer[Snapshot]

// Snapshot is what a node knows at one moment. It never changes.
type Snapshot struct {
	Configuration *configurator.State
	// Teams maps a key hash to its team.
	Teams map[string]configurator.Team
	// Services maps a service name to its endpoints.
	Services map[string][]registrar.Row
	// Nodes are the system's nodes on the host list.
	Nodes []registrar.Row
	Peers []observer.Peer
	// Ready is false until the configuration has been read up to its end.
	Ready bool
	// Leaving is set by a planned stop.
	Leaving bool
	// Alarm tells why the configuration has stopped advancing, if it has.
	Alarm string
}

// Build returns a snapshot with its lookup tables. The teams of an earlier
// snapshot of the same configuration save the work of listing them again.
func Build(configuration *configurator.State, teams map[string]configurator.Team, rows []registrar.Row) *Snapshot {
	if teams == nil {
		teams = teamsByKey(configuration)
	}
	snapshot := &Snapshot{
		Configuration: configuration,
		Teams:         teams,
		Services:      map[string][]registrar.Row{},
	}
	for _, row := range rows {
		if row.Service == registrar.NodeService {
			snapshot.Nodes = append(snapshot.Nodes, row)
			continue
		}
		snapshot.Services[row.Service] = append(snapshot.Services[row.Service], row)
	}
	return snapshot
}

func teamsByKey(configuration *configurator.State) map[string]configurator.Team {
	teams := map[string]configurator.Team{}
	for _, team := range configurator.All[configurator.Team](configuration) {
		teams[team.KeyHash] = team
	}
	return teams
}

// Service returns a service's declaration.
func (s *Snapshot) Service(name string) (configurator.Service, bool) {
	return configurator.Find[configurator.Service](s.Configuration, configurator.KindService, name)
}

// Stores returns the hosts of all declared stores.
func (s *Snapshot) Stores() []registrar.Row {
	var hosts []registrar.Row
	for _, store := range configurator.All[configurator.Store](s.Configuration) {
		hosts = append(hosts, s.Services[store.Name]...)
	}
	return hosts
}

// Model returns a model's declaration.
func (s *Snapshot) Model(name string) (configurator.Model, bool) {
	return configurator.Find[configurator.Model](s.Configuration, configurator.KindModel, name)
}

// Weights returns the weights that new requests for a model use.
func (s *Snapshot) Weights(model configurator.Model) string {
	version, _ := configurator.Find[configurator.Version](s.Configuration, configurator.KindVersion, model.Version)
	return version.Weights
}

// Priority returns the named class, or the service's own when name is empty.
func (s *Snapshot) Priority(name string, service configurator.Service) (configurator.Priority, bool) {
	if name == "" {
		name = service.Priority
	}
	return configurator.Find[configurator.Priority](s.Configuration, configurator.KindPriority, name)
}
