package relayer

import (
	"fmt"
	"slices"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// SetEvacuation records that the operators want nothing more to be sent to the endpoints of a
// failure domain, or that they have withdrawn that. It has no effect if a record with a higher
// position is known. source, such as "log", is only logged.
func (r *Relayer) SetEvacuation(domain string, evacuated bool, position Position, source string) {
	r.do(func() {
		state := Evacuation{Domain: domain, Evacuated: evacuated, Position: position, Learned: r.now(), Source: source}
		r.setEvacuation(balancer.IDHash(domain), state)
		r.publishEvacuations()
	})
}

// SetListedEvacuations ends the evacuations that are missing in a full listing of the operators'
// records, after those that it has were set. next is the listing's end.
func (r *Relayer) SetListedEvacuations(domains map[string]bool, next Position) {
	r.do(func() {
		hashes := map[uint32]bool{}
		for domain, exists := range domains {
			if exists {
				hashes[balancer.IDHash(domain)] = true
			}
		}
		former := r.evacuations.copyStates()
		for _, domain := range r.evacuations.List(r.now(), hashes, next) {
			r.applyEvacuation(domain, former[domain])
		}
		r.publishEvacuations()
		r.knowsEvacuations.Store(true)
	})
}

// KnowsEvacuations reports whether the operators' records have been listed or a peer has said
// which domains are evacuated.
func (r *Relayer) KnowsEvacuations() bool { return r.knowsEvacuations.Load() }

// mergeEvacuations merges the states in a peer's heartbeat.
func (r *Relayer) mergeEvacuations(changes []peertracker.Change) {
	known := r.evacuationChanges()
	news := slices.DeleteFunc(slices.Clone(changes), func(change peertracker.Change) bool {
		return change.Endpoint != evacuationMarker || slices.ContainsFunc(known, func(own peertracker.Change) bool {
			return own.Model == change.Model && own.Version>>1 >= change.Version>>1
		})
	})
	if len(news) == 0 && r.KnowsEvacuations() {
		return
	}
	r.do(func() {
		for _, change := range news {
			if state, ok := decodeEvacuation(change.Version); ok {
				state.Learned, state.Source = r.now(), "peer"
				r.setEvacuation(change.Model, state)
			}
		}
		r.publishEvacuations()
		r.knowsEvacuations.Store(true)
	})
}

func (r *Relayer) setEvacuation(domain uint32, state Evacuation) {
	if former, changed := r.evacuations.Set(domain, state); changed {
		r.applyEvacuation(domain, former)
	}
}

func (r *Relayer) expireEvacuations() {
	former := r.evacuations.copyStates()
	ended := r.evacuations.Expire(r.now())
	for _, domain := range ended {
		r.applyEvacuation(domain, former[domain])
	}
	if len(ended) > 0 {
		r.publishEvacuations()
	}
}

// applyEvacuation publishes a state of a domain that has just changed.
func (r *Relayer) applyEvacuation(domain uint32, former Evacuation) {
	state := r.evacuations.State(domain)
	name := r.domainName(domain, state)
	if !state.Evacuated && r.BeforeReturn != nil {
		r.BeforeReturn(name)
	}
	r.publishEvacuations()
	r.publish()
	line := r.Log.Info().Str("event", "evacuation").Str("domain", name).Bool("evacuated", state.Evacuated).Str("source", state.Source).
		Int64("era", state.Position.Era).Int64("offset", state.Position.Offset)
	if !former.Learned.IsZero() {
		line.Dur("age", state.Learned.Sub(former.Learned))
	}
	if r.RunningIn != nil {
		line.Int("running", r.RunningIn(name))
	}
	line.Send()
	if r.OnEvacuation != nil {
		r.OnEvacuation()
	}
}

// domainName returns the name of a domain, or its hash if no endpoint there is known.
func (r *Relayer) domainName(domain uint32, state Evacuation) string {
	if state.Domain != "" {
		return state.Domain
	}
	for _, endpoints := range r.table.Snapshot() {
		for _, endpoint := range endpoints {
			if balancer.IDHash(endpoint.Domain) == domain {
				return endpoint.Domain
			}
		}
	}
	return fmt.Sprintf("#%08x", domain)
}

// evacuatedDomains returns the names of the evacuated domains that have endpoints.
func (r *Relayer) evacuatedDomains(services map[string][]endpointtracker.Endpoint) map[string]bool {
	evacuated := map[string]bool{}
	for _, endpoints := range services {
		for _, endpoint := range endpoints {
			if !evacuated[endpoint.Domain] && r.evacuations.IsEvacuated(balancer.IDHash(endpoint.Domain)) {
				evacuated[endpoint.Domain] = true
			}
		}
	}
	return evacuated
}

// publishEvacuations publishes the states for heartbeats.
func (r *Relayer) publishEvacuations() {
	changes := r.evacuations.changes()
	r.announcedEvacuations.Store(&changes)
}

// evacuationChanges returns the states of domains for a heartbeat. Callers must not change them.
func (r *Relayer) evacuationChanges() []peertracker.Change {
	if changes := r.announcedEvacuations.Load(); changes != nil {
		return *changes
	}
	return nil
}

// adoptEvacuations merges the evacuations of a peer. That of the higher position in the log
// counts, so that it does not matter what the peer is to this node.
func (p *Peers) adoptEvacuations(heartbeat peertracker.Heartbeat) {
	if heartbeat.Parts == nil {
		p.Node.mergeEvacuations(heartbeat.Changes)
	}
}
