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
	// downward is set for a change that was heard from a hub, or from the home: it goes to
	// members only, so that it does not travel in circles.
	downward bool
}

// Announce sends all peers the version of a model that an endpoint has loaded;
// version zero means that the endpoint drains for or loads new weights.
func (p *Peers) Announce(endpoint endpointtracker.Endpoint, model string, version int64) {
	p.announce(peertracker.Change{Endpoint: balancer.IDHash(endpoint.ID), Model: balancer.IDHash(model), Version: version})
}

// announce sends all peers a change, and repeats it in heartbeats.
func (p *Peers) announce(change peertracker.Change) {
	p.putAnnounced(announced{change: change, expires: p.Now().Add(announcementTTL)})
	p.Broadcast()
}

// relay passes on a change that was heard from a peer. A change that is passed on already
// is only prolonged, as its source repeats it.
func (p *Peers) relay(change peertracker.Change, from balancer.Reporter) {
	if p.putAnnounced(announced{change: change, expires: p.Now().Add(relayTTL), downward: from != balancer.Member}) {
		p.Broadcast()
	}
}

// putAnnounced adds a change, in place of an earlier one of the same endpoint and model.
// It reports whether it is new.
func (p *Peers) putAnnounced(added announced) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, known := range p.announced {
		if known.change.Endpoint != added.change.Endpoint || known.change.Model != added.change.Model {
			continue
		}
		same := known.change == added.change
		if same {
			added.downward = known.downward && added.downward
			if known.expires.After(added.expires) {
				added.expires = known.expires
			}
		}
		p.announced[i] = added
		return !same
	}
	p.announced = append(p.announced, added)
	return true
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

// modelVersions returns the target versions of models, the ages of new ones, and the
// retained versions, as changes with a marker in place of the endpoint. Members get the retained
// versions of this node's view, other nodes what oldestFetched returns. A heartbeat
// has room for maxModels; with more models successive heartbeats rotate through them.
func (p *Peers) modelVersions(now time.Time, kind kind) []peertracker.Change {
	// The view is read before the fetches: one that is placed later sees this view or a newer one.
	view, targets := p.Node.View(), p.Node.NewestTarget()
	all := maps.Clone(targets)
	maps.Copy(all, view.OldestRetained)
	var modelVersions []peertracker.Change
	for _, model := range p.nextModels(slices.Sorted(maps.Keys(all)), kind) {
		hash := balancer.IDHash(model)
		if version, ok := targets[model]; ok {
			modelVersions = append(modelVersions, peertracker.Change{Endpoint: targetMarker, Model: hash, Version: version})
		}
		if age, known := view.TargetAge(model); known && age < maxTargetAge {
			modelVersions = append(modelVersions, peertracker.Change{Endpoint: ageMarker, Model: hash, Version: age.Milliseconds()})
		}
		if retained, ok := view.OldestRetained[model]; ok {
			version := retained
			if kind != toMembers {
				oldest := p.oldestFetched(now, model, retained)
				p.logRetained(model, retained, oldest)
				version = oldest.version
				if version < retained {
					modelVersions = append(modelVersions, peertracker.Change{Endpoint: reachedMarker, Model: hash, Version: retained})
				}
			}
			modelVersions = append(modelVersions, peertracker.Change{Endpoint: retainedMarker, Model: hash, Version: version})
		}
	}
	return modelVersions
}

// nextModels returns the models that the next heartbeat of a kind has room for.
func (p *Peers) nextModels(models []string, kind kind) []string {
	if len(models) <= maxModels {
		return models
	}
	next := slices.DeleteFunc(slices.Clone(models), p.retained.isSettled)
	next = next[:min(len(next), maxModels/2)]
	first := p.rotation[kind]
	for i := range models {
		if len(next) == maxModels {
			break
		}
		model := models[(first+i)%len(models)]
		p.rotation[kind]++
		if !slices.Contains(next, model) {
			next = append(next, model)
		}
	}
	return next
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

// heartbeatChanges returns the changes for the next heartbeat of a kind: the evacuated domains,
// that fetches are bounded, the model versions, then the announced changes, the newest first.
func (p *Peers) heartbeatChanges(now time.Time, kind kind) []peertracker.Change {
	// The Balancer calls functions that take the lock of Peers, so it is asked without that lock.
	paced, isPaced := p.pacedChange(now, kind)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announced = slices.DeleteFunc(p.announced, func(a announced) bool { return !now.Before(a.expires) })
	changes := p.modelVersions(now, kind)
	if change, ok := p.boundedChange(now, kind); ok {
		changes = slices.Insert(changes, 0, change)
	}
	if change, ok := p.separatedChange(now, kind); ok {
		changes = slices.Insert(changes, 0, change)
	}
	changes = slices.Insert(changes, 0, p.Node.evacuationChanges()...)
	if isPaced {
		changes = slices.Insert(changes, 0, paced)
	}
	for _, a := range slices.Backward(p.announced) {
		if kind == toMembers || !a.downward {
			changes = append(changes, a.change)
		}
	}
	return changes
}

// storeRetained stores the retained versions that a peer announced, that it bounds its fetches,
// and that, as the home of this node, it has no contact to a majority of the hubs.
func (p *Peers) storeRetained(heartbeat peertracker.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.peerState(heartbeat.Address)
	if m.retained == nil {
		m.retained = map[uint32]int64{}
	}
	for _, change := range heartbeat.Changes {
		switch change.Endpoint {
		case retainedMarker:
			// A hub's value falls when a member that lags behind joins it.
			m.retained[change.Model] = change.Version
		case boundedMarker:
			m.boundedAt = m.lastReceived
		case separatedMarker:
			p.separatedAt = m.lastReceived
		}
	}
}

// hasNewerTarget reports whether a peer knows a newer target version than this node.
func (p *Peers) hasNewerTarget(heartbeat peertracker.Heartbeat) bool {
	if len(heartbeat.Changes) == 0 {
		return false
	}
	own := map[uint32]int64{}
	for model, version := range p.Node.NewestTarget() {
		own[balancer.IDHash(model)] = version
	}
	return slices.ContainsFunc(heartbeat.Changes, func(change peertracker.Change) bool {
		return change.Endpoint == targetMarker && change.Version > own[change.Model]
	})
}

// adoptRetained raises this node's retained versions to those of its home or of another hub.
// Without them it might fetch parts that are being freed.
func (p *Peers) adoptRetained(heartbeat peertracker.Heartbeat) {
	retained := map[uint32]int64{}
	for _, change := range heartbeat.Changes {
		if change.Endpoint == retainedMarker || change.Endpoint == reachedMarker {
			retained[change.Model] = max(retained[change.Model], change.Version)
		}
	}
	p.Node.RaiseRetained(retained)
}

// adoptTargetAges takes the ages of target versions from a peer that has the same ones, where
// this node does not know since when they are that.
func (p *Peers) adoptTargetAges(heartbeat peertracker.Heartbeat) {
	targets, ages := map[uint32]int64{}, map[uint32]time.Duration{}
	for _, change := range heartbeat.Changes {
		switch change.Endpoint {
		case targetMarker:
			targets[change.Model] = change.Version
		case ageMarker:
			ages[change.Model] = time.Duration(change.Version) * time.Millisecond
		}
	}
	if len(ages) == 0 {
		return
	}
	p.Node.AdoptTargetAges(func(model string, version int64) (time.Duration, bool) {
		hash := balancer.IDHash(model)
		age, ok := ages[hash]
		return age, ok && targets[hash] == version
	})
}
