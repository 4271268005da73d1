package relayer

import (
	"maps"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// news is a change that peers are told for a while.
type news struct {
	change observer.Change
	until  time.Time
}

// Tell tells all peers what the node has learnt of an endpoint; version zero
// says that it loads weights.
func (p *Peers) Tell(endpoint tracker.Endpoint, model string, version int64) {
	change := observer.Change{Endpoint: balancer.Hash(endpoint.ID), Model: balancer.Hash(model), Version: version}
	p.mu.Lock()
	p.news = slices.DeleteFunc(p.news, func(n news) bool { return n.change.Endpoint == change.Endpoint && n.change.Model == change.Model })
	p.news = append(p.news, news{change: change, until: p.Now().Add(newsTime)})
	p.mu.Unlock()
	p.Spread()
}

// names returns what the node knows of some models, as changes without endpoint.
// With many models they take turns.
func (p *Peers) names() []observer.Change {
	view, named := p.Node.View(), p.Node.Named()
	all := maps.Clone(named)
	maps.Copy(all, view.Retained)
	models := slices.Sorted(maps.Keys(all))
	var names []observer.Change
	for i := range min(modelCount, len(models)) {
		model := models[(p.turn*modelCount+i)%len(models)]
		if version, ok := named[model]; ok {
			names = append(names, observer.Change{Endpoint: namedMark, Model: balancer.Hash(model), Version: version})
		}
		if version, ok := view.Retained[model]; ok {
			names = append(names, observer.Change{Endpoint: retainedMark, Model: balancer.Hash(model), Version: version})
		}
	}
	p.turn++
	return names
}

// Unload tells all peers that an endpoint is about to load weights.
func (p *Peers) Unload(endpoint tracker.Endpoint) {
	for model := range endpoint.Weights {
		p.Tell(endpoint, model, 0)
		return
	}
}

// changes returns the news that is fresh, the newest first.
func (p *Peers) changes(now time.Time) []observer.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news = slices.DeleteFunc(p.news, func(n news) bool { return !now.Before(n.until) })
	fresh := p.names()
	for i := len(p.news) - 1; i >= max(0, len(p.news)-changeCount); i-- {
		fresh = append(fresh, p.news[i].change)
	}
	return fresh
}

// learnNames keeps what a peer knows of each model, and reports whether it knows
// of newer weights than this node.
func (p *Peers) learnNames(beat observer.Heartbeat) bool {
	own := map[uint32]int64{}
	for model, version := range p.Node.Named() {
		own[balancer.Hash(model)] = version
	}
	news := false
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.member(beat.Address)
	if m.retained == nil {
		m.retained = map[uint32]int64{}
	}
	for _, change := range beat.Changes {
		switch change.Endpoint {
		case namedMark:
			news = news || change.Version > own[change.Model]
		case retainedMark:
			m.retained[change.Model] = max(m.retained[change.Model], change.Version)
		}
	}
	return news
}
