package balancer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// silentTimeout is the time without data to any node after which an endpoint with running
	// requests is avoided. Running streams get an event every few dozen milliseconds, and load
	// reports add up to 150 ms, so that 600 ms is several times what a working endpoint needs.
	// The first event of one request alone may take longer, as it does in a tenth of the cases,
	// but then the endpoint is slow.
	silentTimeout = 600 * time.Millisecond
	// maxSilence is the longest time without data that is reported. It allows for one byte in
	// heartbeats.
	maxSilence = 2500 * time.Millisecond
	// silenceTTL is the age of a load report from which on it does not tell any more that an
	// endpoint is silent. It allows for the loss of some reports.
	silenceTTL = 300 * time.Millisecond
)

// silences holds what peers have reported on the last data from endpoints, by the hash of the
// endpoint's ID.
type silences struct {
	// members and others are when members and other peers last got data.
	members, others map[uint32]time.Time
	// unknown and unknownMembers count the reports of running requests without that time, of all
	// peers and of members.
	unknown, unknownMembers map[uint32]int
}

// count adds a load n times; n is 1 or -1.
func (s *silences) count(reporter Reporter, load peertracker.Load, n int) {
	if load.HasSilent || load.Running == 0 {
		return
	}
	if s.unknown == nil {
		s.unknown, s.unknownMembers = map[uint32]int{}, map[uint32]int{}
	}
	s.unknown[load.Endpoint] += n
	if reporter == Member {
		s.unknownMembers[load.Endpoint] += n
	}
}

// record records when a peer got the last data from an endpoint. Like the age of the last report
// with a pace, what others than members say is passed on to members only.
func (s *silences) record(reporter Reporter, now time.Time, load peertracker.Load) {
	if !load.HasSilent || load.Silent >= maxSilence {
		return
	}
	if s.members == nil {
		s.members, s.others = map[uint32]time.Time{}, map[uint32]time.Time{}
	}
	heard := s.others
	if reporter == Member {
		heard = s.members
	}
	heard[load.Endpoint] = latest(heard[load.Endpoint], now.Add(-load.Silent))
}

// addSilences adds the times without data to the loads of Report or, if total is set, of Total,
// and the endpoints that have sent data lately without having running requests now.
func (b *Balancer) addSilences(now time.Time, sum map[uint32]peertracker.Load, total bool) {
	if !b.sharedHosts(now) {
		return
	}
	unknown := b.silences.unknownMembers
	if total {
		unknown = b.silences.unknown
	}
	put := func(hash uint32, heard time.Time) {
		load, running := sum[hash]
		silent := min(now.Sub(heard), maxSilence)
		if unknown[hash] > 0 || !running && silent >= silentTimeout || load.HasSilent && load.Silent <= silent {
			return
		}
		load.Endpoint, load.Silent, load.HasSilent = hash, silent, true
		sum[hash] = load
	}
	for hash := range sum {
		put(hash, time.Time{})
	}
	for _, state := range b.states {
		put(state.hash, state.heardAt)
	}
	for hash, heard := range b.silences.members {
		put(hash, heard)
	}
	if total {
		for hash, heard := range b.silences.others {
			put(hash, heard)
		}
	}
}

// updateBusy records since when endpoints have had running requests.
func (b *Balancer) updateBusy(now time.Time) {
	for _, state := range b.states {
		switch {
		case state.running+b.peerLoad(state.hash).Running == 0:
			state.busySince = time.Time{}
		case state.busySince.IsZero():
			state.busySince = now
		}
	}
}

// isSilent reports whether an endpoint has had running requests for silentTimeout in which it has
// sent nothing to any node. It is false if that is unknown, as with nodes of older builds.
func (b *Balancer) isSilent(now time.Time, state *endpointState) bool {
	heard := latest(latest(state.heardAt, state.busySince), latest(b.silences.members[state.hash], b.silences.others[state.hash]))
	if state.busySince.IsZero() || now.Sub(heard) <= silentTimeout || b.pathLost || !b.sharedHosts(now) || b.silences.unknown[state.hash] > 0 {
		return false
	}
	running := state.running
	for _, p := range b.peers {
		n := p.loads[state.hash].Running
		if n > 0 && now.Sub(p.receivedAt) > silenceTTL {
			return false
		}
		running += n
	}
	return running > 0
}

// hasResponsive reports whether any endpoint is left for a request that is not silent, even if it
// has no room at the moment.
func (b *Balancer) hasResponsive(now time.Time, request Request) bool {
	for _, endpoint := range request.Endpoints {
		if endpoint.Leaving || request.Avoid[endpoint.ID] || request.Tried[endpoint.ID] {
			continue
		}
		state := b.endpointState(endpoint.ID)
		if b.isUnavailable(now, state) || b.isSilent(now, state) {
			continue
		}
		if b.Permits == nil || b.Permits.Ready(now, endpoint) {
			return true
		}
	}
	return false
}
