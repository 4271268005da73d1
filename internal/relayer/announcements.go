package relayer

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// announced is a change that is repeated in heartbeats until it expires.
type announced struct {
	change  peertracker.Change
	expires time.Time
}

// Announce sends all peers the version of a model that an endpoint has loaded;
// version zero means that the endpoint drains for or loads new weights.
func (p *Peers) Announce(endpoint endpointtracker.Endpoint, model string, version int64) {
	p.announce(peertracker.Change{Endpoint: balancer.IDHash(endpoint.ID), Model: balancer.IDHash(model), Version: version})
}

// announce sends all peers a change, and repeats it in heartbeats.
func (p *Peers) announce(change peertracker.Change) {
	p.mu.Lock()
	p.announced = slices.DeleteFunc(p.announced, func(a announced) bool {
		return a.change.Endpoint == change.Endpoint && a.change.Model == change.Model
	})
	p.announced = append(p.announced, announced{change: change, expires: p.Now().Add(announcementTTL)})
	p.mu.Unlock()
	p.Broadcast()
}

// AnnounceLeaving tells all peers that an endpoint has said to this node that it is
// leaving.
func (p *Peers) AnnounceLeaving(endpoint endpointtracker.Endpoint) {
	p.announce(peertracker.Change{Endpoint: balancer.IDHash(endpoint.ID), Model: leavingMarker, Version: startOf(endpoint)})
}

// startOf returns the start of an endpoint's process as a number for a change, which
// tells processes of one id apart; zero if unknown.
func startOf(endpoint endpointtracker.Endpoint) int64 {
	if endpoint.StartedAt.IsZero() {
		return 0
	}
	return endpoint.StartedAt.UnixMilli()
}

// modelVersions returns the target and the retained versions of models, as changes
// with a marker in place of the endpoint. A heartbeat has room for maxModels; with
// more models successive heartbeats rotate through them.
func (p *Peers) modelVersions() []peertracker.Change {
	view, targets := p.Node.View(), p.Node.NewestTarget()
	all := maps.Clone(targets)
	maps.Copy(all, view.OldestRetained)
	models := slices.Sorted(maps.Keys(all))
	var modelVersions []peertracker.Change
	for i := range min(maxModels, len(models)) {
		model := models[(p.rotation*maxModels+i)%len(models)]
		if version, ok := targets[model]; ok {
			modelVersions = append(modelVersions, peertracker.Change{Endpoint: targetMarker, Model: balancer.IDHash(model), Version: version})
		}
		if version, ok := view.OldestRetained[model]; ok {
			modelVersions = append(modelVersions, peertracker.Change{Endpoint: retainedMarker, Model: balancer.IDHash(model), Version: version})
		}
	}
	p.rotation++
	return modelVersions
}

// AnnounceLoading tells all peers that an endpoint drains for or loads new weights,
// and is to get no new requests meanwhile.
func (p *Peers) AnnounceLoading(endpoint endpointtracker.Endpoint) {
	// Any model will do, since peers look only at the endpoint of such a change.
	for model := range endpoint.Weights {
		p.Announce(endpoint, model, 0)
		return
	}
}

// heartbeatChanges returns the changes for the next heartbeat: the model versions,
// then the announced changes, the newest first.
func (p *Peers) heartbeatChanges(now time.Time) []peertracker.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = slices.DeleteFunc(p.announced, func(a announced) bool { return !now.Before(a.expires) })
	changes := p.modelVersions()
	for i := len(p.announced) - 1; i >= max(0, len(p.announced)-maxChanges); i-- {
		changes = append(changes, p.announced[i].change)
	}
	return changes
}

// applyModelChanges stores the retained versions that a peer announced, and reports
// whether the peer knows a newer target version than this node.
func (p *Peers) applyModelChanges(heartbeat peertracker.Heartbeat) bool {
	own := map[uint32]int64{}
	for model, version := range p.Node.NewestTarget() {
		own[balancer.IDHash(model)] = version
	}
	newer := false
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.peerState(heartbeat.Address)
	if m.retained == nil {
		m.retained = map[uint32]int64{}
	}
	for _, change := range heartbeat.Changes {
		switch change.Endpoint {
		case targetMarker:
			newer = newer || change.Version > own[change.Model]
		case retainedMarker:
			m.retained[change.Model] = max(m.retained[change.Model], change.Version)
		}
	}
	return newer
}
