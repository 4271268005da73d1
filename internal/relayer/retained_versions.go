package relayer

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

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
	if p.Fetches != nil {
		oldest.lower(p.Fetches.Oldest(now, model, version), "own fetches")
	}
	hash := balancer.IDHash(model)
	for _, m := range p.peers {
		if m.reporter == balancer.Member && now.Sub(m.lastReceived) < heartbeatTimeout {
			oldest.lower(m.retained[hash], m.heartbeat.Name)
		}
	}
	return oldest
}

// logRetained logs what this node announces of a model's retained version when that changes.
func (p *Peers) logRetained(model string, retained int64, oldest fetchedVersion) {
	if p.loggedRetained == nil {
		p.loggedRetained = map[string]fetchedVersion{}
	}
	if p.loggedRetained[model] == oldest {
		return
	}
	p.loggedRetained[model] = oldest
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
		Str("reason", reason).Time("heard", m.lastReceived).Dict("fetched", fetched).Send()
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
