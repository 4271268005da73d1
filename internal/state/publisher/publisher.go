// Package publisher defines the immutable snapshot of a node's state that the
// control goroutine publishes and that the goroutines serving requests read.
//
// # Usage
//
//	var current publisher.SnapshotPointer
//	current.Store(publisher.Build(state, nil, rows))
//	snapshot := current.Load()
package publisher

import (
	"sync/atomic"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// SnapshotPointer holds the current snapshot. It is safe for concurrent use.
type SnapshotPointer = atomic.Pointer[Snapshot]

// Snapshot is a node's state at one moment. It is immutable.
type Snapshot struct {
	Configuration *configurator.State
	// Teams maps a key hash to its team.
	Teams map[string]configurator.Team
	// Services maps a service name to its endpoints.
	Services map[string][]registrar.EndpointState
	// Nodes are the nodes on the host list.
	Nodes []registrar.EndpointState
	// Peers are the peers that are considered alive.
	Peers []peertracker.Peer
	// Ready is false until the configuration stream has been read up to its end.
	Ready bool
	// Leaving is set during a graceful shutdown.
	Leaving bool
	// Alarm is the reason why the configuration has stopped advancing; empty if
	// it has not.
	Alarm string
}

// Build returns a snapshot with its lookup tables. teams may be the Teams of an
// earlier snapshot of the same configuration, which saves building them again;
// nil builds them.
func Build(configuration *configurator.State, teams map[string]configurator.Team, rows []registrar.EndpointState) *Snapshot {
	if teams == nil {
		teams = teamsByKeyHash(configuration)
	}
	snapshot := &Snapshot{
		Configuration: configuration,
		Teams:         teams,
		Services:      map[string][]registrar.EndpointState{},
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

func teamsByKeyHash(configuration *configurator.State) map[string]configurator.Team {
	teams := map[string]configurator.Team{}
	for _, team := range configurator.All[configurator.Team](configuration) {
		teams[team.KeyHash] = team
	}
	return teams
}

// Service returns the declaration of a service.
func (s *Snapshot) Service(name string) (configurator.Service, bool) {
	return configurator.Find[configurator.Service](s.Configuration, configurator.KindService, name)
}

// Stores returns the store hosts of all declared stores.
func (s *Snapshot) Stores() []registrar.EndpointState {
	var hosts []registrar.EndpointState
	for _, store := range configurator.All[configurator.Store](s.Configuration) {
		hosts = append(hosts, s.Services[store.Name]...)
	}
	return hosts
}

// Model returns the declaration of a model.
func (s *Snapshot) Model(name string) (configurator.Model, bool) {
	return configurator.Find[configurator.Model](s.Configuration, configurator.KindModel, name)
}

// Weights returns the name of the weights that new requests for a model use.
func (s *Snapshot) Weights(model configurator.Model) string {
	version, _ := configurator.Find[configurator.Version](s.Configuration, configurator.KindVersion, model.Version)
	return version.Weights
}

// Priority returns the named class, or the service's default class if name is
// empty.
func (s *Snapshot) Priority(name string, service configurator.Service) (configurator.Priority, bool) {
	if name == "" {
		name = service.Priority
	}
	return configurator.Find[configurator.Priority](s.Configuration, configurator.KindPriority, name)
}
