package relayer

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// adoptTime is how long after this node each other node that fetches parts has adopted a
	// retained version. It covers the time for which a node fetches without contact to a hub, and
	// heartbeats from hub to hub and from there to a member, of which one may be lost.
	adoptTime = heartbeatTimeout
	// settleTime is the time after which nobody fetches parts of versions before a retained one.
	settleTime = adoptTime + placer.MaxFetchTime
	// lostMemberTime is how long a home includes a lost member in what it announces.
	// After heartbeatTimeout the member has another home, or its fetches are limited by FetchLimit.
	lostMemberTime = heartbeatTimeout + placer.MaxFetchTime
)

// retainedVersions tracks the retained versions of this node's view, and since when it has them.
//
// Stores may free parts of a version once the last possible fetch of them has ended. That rests
// on time, and not only on what other nodes announce, since a node may fetch whose heartbeats are lost:
// one that is cut off, between two homes, or whose home was lost. This node announces a version
// as given up, and acts on that itself, only when its view has had a later one for settleTime. By
// then each node that may still fetch for long has adopted the later version (see reachedMarker
// and FetchLimit), and all fetches that it placed before have ended. Time without contact to
// another node does not count.
//
// The zero retainedVersions is ready to use. It is not safe for concurrent use.
type retainedVersions struct {
	models    map[string]*retainedVersion
	updatedAt time.Time
}

// retainedVersion is the retained version of a model.
type retainedVersion struct {
	// settled is the latest one that all nodes have adopted.
	settled int64
	// reached are later ones, in ascending order.
	reached []reachedVersion
}

type reachedVersion struct {
	version int64
	// age is for how long the view has had it, less time that does not count.
	age time.Duration
}

// update records the retained versions of a view. The time since the last update does not count
// if the process stood still in it, or if inContact is not set. A version that is the first of its
// model is settled at once if settledFirst is set.
func (r *retainedVersions) update(now time.Time, retained map[string]int64, inContact, settledFirst bool) {
	elapsed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() || elapsed >= maxTickGap || !inContact {
		elapsed = 0
	}
	r.updatedAt = now
	if r.models == nil {
		r.models = map[string]*retainedVersion{}
	}
	for model, version := range retained {
		known, ok := r.models[model]
		if !ok {
			known = &retainedVersion{}
			if settledFirst {
				known.settled = version
			}
			r.models[model] = known
		}
		known.age(elapsed)
		if version > known.latest() {
			known.reached = append(known.reached, reachedVersion{version: version})
		}
	}
}

// age counts time, and settles the versions that are old enough.
func (v *retainedVersion) age(elapsed time.Duration) {
	for i := range v.reached {
		v.reached[i].age += elapsed
	}
	for len(v.reached) > 0 && v.reached[0].age >= settleTime {
		v.settled, v.reached = v.reached[0].version, v.reached[1:]
	}
}

// latest returns the latest version that the view has had.
func (v *retainedVersion) latest() int64 {
	if n := len(v.reached); n > 0 {
		return v.reached[n-1].version
	}
	return v.settled
}

// settled returns the latest settled version of a model; zero if it has none.
func (r *retainedVersions) settled(model string) int64 {
	if known, ok := r.models[model]; ok {
		return known.settled
	}
	return 0
}

// isSettled reports whether the view has no later version of a model than the settled one.
func (r *retainedVersions) isSettled(model string) bool {
	known, ok := r.models[model]
	return !ok || len(known.reached) == 0
}

// fetchedVersion is the oldest version of a model that is still fetched.
type fetchedVersion struct {
	version int64
	// by names what fetches it, for the log; empty if nothing older than the retained version is
	// fetched.
	by string
}

func (f *fetchedVersion) lower(version int64, by string) {
	if version < f.version {
		f.version, f.by = version, by
	}
}

// oldestFetched returns the oldest version of a model, at most version, whose parts engines may
// still fetch for this node or one of its members. The caller holds the lock.
func (p *Peers) oldestFetched(now time.Time, model string, version int64) fetchedVersion {
	oldest := fetchedVersion{version: version}
	oldest.lower(p.retained.settled(model), "not settled")
	if p.Fetches != nil {
		oldest.lower(p.Fetches.Oldest(now, model, version), "own fetches")
	}
	hash := balancer.IDHash(model)
	for _, m := range p.peers {
		if m.reporter == balancer.Member && now.Sub(m.lastReceived) < lostMemberTime {
			oldest.lower(m.retained[hash], m.heartbeat.Name)
		}
		if former, ok := m.former[hash]; ok && now.Sub(m.leftAt) < lostMemberTime {
			oldest.lower(former, m.heartbeat.Name)
		}
	}
	return oldest
}

// updateRetained records the retained versions of this node's view. While the node has no
// contact to others it can't know what they have adopted. Just after its start it has never
// fetched versions before the first one that it sees, and frees nothing yet (see Cleaner.Run).
func (p *Peers) updateRetained(now time.Time) {
	retained := p.Node.View().OldestRetained
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retained.update(now, retained, p.hasHubContact() || p.isAlone(now), now.Sub(p.startedAt) < settleTime)
	p.recordUnbounded(now)
}

// keepRetained keeps what a member has announced when it leaves this node: its last fetches may
// still run, and its next home may have no contact to all hubs yet.
func (m *peerState) keepRetained(now time.Time) {
	if now.Sub(m.leftAt) >= lostMemberTime {
		m.former = nil
	}
	if m.former == nil {
		m.former = map[uint32]int64{}
	}
	for hash, version := range m.retained {
		former, ok := m.former[hash]
		if !ok || version < former {
			m.former[hash] = version
		}
	}
	m.leftAt = now
}

// logRetained logs what this node announces of a model's retained version when that changes.
func (p *Peers) logRetained(model string, retained int64, oldest fetchedVersion) {
	if p.loggedRetained == nil {
		p.loggedRetained = map[string]int64{}
	}
	if logged, ok := p.loggedRetained[model]; ok && logged == oldest.version {
		return
	}
	p.loggedRetained[model] = oldest.version
	p.Log.Info().Str("event", "retained version").Str("model", model).Int64("version", oldest.version).Int64("retained", retained).
		Str("by", oldest.by).Bool("hub", p.role.Hub).Send()
}

// logMemberLeft logs that a member no longer reports to this node, with the oldest versions that
// it fetched, by the hash of the model's name.
func (p *Peers) logMemberLeft(m *peerState, reason string) {
	fetched := zerolog.Dict()
	n := 0
	for hash, version := range m.retained {
		if n++; n > maxLoggedNames {
			break
		}
		fetched = fetched.Int64(strconv.FormatUint(uint64(hash), 16), version)
	}
	p.Log.Info().Str("event", "member left").Str("peer", m.heartbeat.Name).Stringer("address", m.heartbeat.Address).
		Str("reason", reason).Time("last", m.lastReceived).Dict("fetched", fetched).Send()
}

// leaveReason returns why a peer that was a member does not report to this node any more, by its
// new heartbeat; empty if it still does.
func (m *peerState) leaveReason(heartbeat peertracker.Heartbeat) string {
	switch {
	case m.reporter != balancer.Member || m.lastReceived.IsZero():
		return ""
	case heartbeat.Leaving && !m.heartbeat.Leaving:
		return "stops"
	case heartbeat.Incarnation != m.heartbeat.Incarnation:
		return "restarted"
	case !heartbeat.Homed:
		return "moved"
	default:
		return ""
	}
}
