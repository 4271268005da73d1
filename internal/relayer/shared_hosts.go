package relayer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// pacedMarker replaces the endpoint's hash in a change that says how long ago an endpoint last
// reported a pace, in milliseconds; see balancer.SharedHosts. Older builds ignore it.
const pacedMarker = 8

// pacedChange returns the change for a heartbeat of a kind; ok is false if no endpoint has
// reported a pace lately.
func (p *Peers) pacedChange(now time.Time, kind kind) (change peertracker.Change, ok bool) {
	age, ok := p.Balancer.PaceAge(now, kind == toMembers)
	return peertracker.Change{Endpoint: pacedMarker, Version: age.Milliseconds()}, ok
}

// handlePaced records that a peer has told of reports with a pace.
func (p *Peers) handlePaced(heartbeat peertracker.Heartbeat, reporter balancer.Reporter, now time.Time) {
	for _, change := range heartbeat.Changes {
		if change.Endpoint == pacedMarker {
			p.Balancer.HandlePaceAge(reporter, now, time.Duration(change.Version)*time.Millisecond)
		}
	}
}

// updateSharedHosts returns whether endpoints share their hosts, and logs when that changes. It
// is called by Run only.
func (p *Peers) updateSharedHosts(now time.Time) bool {
	shared := p.Balancer.SharedHosts(now)
	if shared != p.sharedHosts {
		age, own := p.Balancer.PaceAge(now, false)
		p.Log.Info().Str("event", "shared hosts").Bool("shared", shared).Bool("reported", own).Dur("age", age).Send()
	}
	p.sharedHosts = shared
	return shared
}
