package relayer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// issuerTimeout is the silence of a hub after which permits are no longer asked of it.
	// It is longer than two heartbeats between failure domains.
	issuerTimeout = 1400 * time.Millisecond
	// otherIssuerPause is the time after which a node asks again that asked through a hub
	// with another view of which hubs are live.
	otherIssuerPause = 300 * time.Millisecond
	// liveMemory is how long, and up to twice as long, nodes that are out of reach count for
	// IssuerShare. After that they are taken for gone.
	liveMemory = time.Minute
	// PermitTimeout bounds a call for permits, with that of a hub to the issuer.
	PermitTimeout = 300 * time.Millisecond
)

var errNoIssuer = errors.New("no hub is known that could issue permits")

// PermitClient asks a peer for permits.
type PermitClient interface {
	Permits(ctx context.Context, peer netip.AddrPort, request messenger.PermitsRequest) (throttler.Grant, error)
}

// LearnLimit records what an endpoint said of its limit in its answer to a request that was
// sent at sentAt, and tells the peers if that is news.
func (p *Peers) LearnLimit(request string, endpoint endpointtracker.Endpoint, statement throttler.Statement, sentAt time.Time) {
	if !p.Limits.Learn(p.Now(), throttler.ProcessOf(endpoint), statement, sentAt) {
		return
	}
	p.Log.Info().Str("event", "endpoint limit").Str("request", request).Str("endpoint", endpoint.ID).Time("started", endpoint.StartedAt).
		Bool("limited", statement.Limited).Float64("rate", statement.Rate).Float64("brittle", statement.Brittle).Str("source", "endpoint").Send()
	p.Broadcast()
}

// LearnRefusal records that an endpoint had no room for a request, and tells the peers if it
// bears few refusals.
func (p *Peers) LearnRefusal(request string, endpoint endpointtracker.Endpoint) {
	if !p.Limits.RecordFull(p.Now(), throttler.ProcessOf(endpoint)) {
		return
	}
	p.Log.Info().Str("event", "endpoint full").Str("request", request).Str("endpoint", endpoint.ID).Time("started", endpoint.StartedAt).Send()
	p.Broadcast()
}

// mergeLimits records the limits that a peer knows. A hub passes on changes at once.
func (p *Peers) mergeLimits(heartbeat peertracker.Heartbeat, now time.Time) {
	if p.Limits == nil {
		return
	}
	changed := p.Limits.Merge(now, heartbeat.Limits)
	for _, limit := range changed {
		process := throttler.Process{Endpoint: limit.Endpoint, Started: limit.Started}
		p.Log.Info().Str("event", "endpoint limit").Str("kind", process.Kind()).Uint32("endpoint hash", limit.Endpoint).Int64("started", process.Base().Started).
			Bool("limited", !limit.Ended).Float64("rate", limit.Rate).Str("source", "peer").Str("peer", heartbeat.Name).Send()
	}
	if len(changed) > 0 && p.IsHub() {
		p.Broadcast()
	}
}

// AskPermits implements throttler.Ask: it asks the issuer of a process for permits. A member
// asks through its home.
func (p *Peers) AskPermits(ctx context.Context, demand throttler.Demand) (throttler.Grant, error) {
	request := messenger.PermitsRequest{Demand: demand}
	if p.IsHub() {
		return p.issueOrForward(ctx, request)
	}
	home := p.Home()
	if !home.IsValid() {
		return throttler.Grant{}, errNoIssuer
	}
	return p.PermitClient.Permits(ctx, home, request)
}

// IssuePermits answers a peer that asks for permits.
func (p *Peers) IssuePermits(ctx context.Context, request messenger.PermitsRequest) (throttler.Grant, error) {
	return p.issueOrForward(ctx, request)
}

// issueOrForward issues permits if this node is the issuer, and otherwise asks the issuer.
func (p *Peers) issueOrForward(ctx context.Context, request messenger.PermitsRequest) (throttler.Grant, error) {
	issuer, ok := p.issuer(request.Process.Base())
	switch {
	case !ok:
		return throttler.Grant{}, errNoIssuer
	case issuer == p.Address && request.Process.IsLease():
		return p.issueLeases(request.Demand), nil
	case issuer == p.Address:
		rate := request.Rate
		if known, limited := p.Limits.Rate(request.Process); limited {
			rate = min(rate, known)
		}
		return p.Issuer.Issue(p.Now(), request.Demand, rate), nil
	case request.Forwarded:
		// Two hubs that issued permits for one process would exceed its limit.
		return throttler.Grant{Retry: otherIssuerPause}, nil
	}
	request.Forwarded = true
	return p.PermitClient.Permits(ctx, issuer, request)
}

// defaultRoom is the room of an endpoint that does not say how many requests it runs at once.
const defaultRoom = 8

// issueLeases gives out leases for an endpoint's places.
func (p *Peers) issueLeases(demand throttler.Demand) throttler.Grant {
	now, process := p.Now(), demand.Process.Base()
	room, running := defaultRoom, 0
	if endpoint, ok := p.Node.findProcess(process); ok {
		running = p.Balancer.Running(now, endpoint.ID)
		if endpoint.Slots > 0 {
			room = endpoint.Slots
		}
	}
	return p.Issuer.Lease(now, demand, room-p.Limits.Penalty(now, process), running)
}

// findProcess returns the endpoint whose process has a key.
func (r *Relayer) findProcess(process throttler.Process) (endpointtracker.Endpoint, bool) {
	for _, endpoints := range r.View().Endpoints {
		for _, endpoint := range endpoints {
			if throttler.ProcessOf(endpoint) == process {
				return endpoint, true
			}
		}
	}
	return endpointtracker.Endpoint{}, false
}

// issuer returns the hub that issues the permits for a process. All hubs that know of the
// same live hubs name the same one.
func (p *Peers) issuer(process throttler.Process) (netip.AddrPort, bool) {
	now, key := p.Now(), fmt.Sprint(process.Endpoint, process.Started)
	p.mu.Lock()
	defer p.mu.Unlock()
	var best netip.AddrPort
	var highest uint64
	consider := func(address netip.AddrPort) {
		if score := ranker.Score(address.String(), key); !best.IsValid() || score > highest {
			best, highest = address, score
		}
	}
	if p.role.Hub && !p.Stopping.Load() {
		consider(p.Address)
	}
	for address, m := range p.peers {
		if m.isLiveHub(now) && now.Sub(m.lastReceived) < issuerTimeout && !m.heartbeat.Leaving {
			consider(address)
		}
	}
	return best, best.IsValid()
}

// liveHigh is the largest number of live nodes in the present period of liveMemory and in the one
// before.
type liveHigh struct {
	since    time.Time
	present  int
	previous int
}

func (h *liveHigh) note(now time.Time, live int) {
	if now.Sub(h.since) >= liveMemory {
		h.since, h.previous, h.present = now, h.present, 0
	}
	h.present = max(h.present, live)
}

// IssuerShare returns the part of each limit that this node may issue permits for: that of
// the nodes it knows to be live among the most in the last two minutes. Nodes that are out of
// reach may have an issuer of their own.
func (p *Peers) IssuerShare() float64 {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.liveNodes(now)
	p.liveHigh.note(now, live)
	// While roles are being settled, members are counted more than once.
	most := min(max(p.liveHigh.present, p.liveHigh.previous), p.count())
	return min(float64(live)/float64(most), 1)
}

// LogPermitError logs that the issuer of a process could not be asked.
func (p *Peers) LogPermitError(process throttler.Process, err error) {
	p.Log.Warn().Str("event", "permits").Uint32("endpoint hash", process.Endpoint).Int64("started", process.Started).Err(err).Send()
}
