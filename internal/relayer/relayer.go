// Package relayer runs the control plane of a relay node: it owns the control
// state (configuration, endpoints, target versions of weights) and publishes
// snapshots of it to the goroutines that serve requests. It also follows logs (Feed,
// PartFollower), exchanges heartbeats (Peers), orders endpoints to load weights
// (Rollout) and frees obsolete parts (Cleaner).
//
// # Usage
//
//	node := relayer.New(log, time.Now)
//	// Set the callbacks node.OnTargetChange etc. here.
//	go node.Run(ctx)
//	node.Configure(catalog, "log")
//	view := node.View()
package relayer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	inboxSize = 256
	// sweepPeriod is the time between checks for endpoints whose grace period is over.
	sweepPeriod = 200 * time.Millisecond
)

// Relayer is a node's control state. Its exported fields must be set before Run;
// only OnChange, OnEvacuation, RunningIn and BeforeReturn may be nil.
type Relayer struct {
	Log zerolog.Logger
	// Now is the clock of the control state if Uptime does not know the time.
	Now func() time.Time
	// OnChange is called on the control goroutine after a new view is published.
	OnChange func(view placer.View)
	// OnTargetChange is called after a model got a newer target version.
	OnTargetChange func()
	// OnWeightsUpdate is called after this node learned from an endpoint itself that it
	// has newer weights than known so far.
	OnWeightsUpdate func(endpoint endpointtracker.Endpoint, model string, version int64)
	// OnLeaving is called after an endpoint said to this node that it is leaving.
	OnLeaving func(endpoint endpointtracker.Endpoint)
	// RecordLoading is called when a peer announces that an endpoint drains for or loads
	// new weights, OnLoaded after the entry or the weights of an endpoint changed.
	RecordLoading func(id string)
	OnLoaded      func(id string)
	// OnEvacuation is called on the control goroutine after the evacuation of a failure domain
	// began or ended. RunningIn returns the number of requests that this node runs on the
	// endpoints of a domain; it is only logged.
	OnEvacuation func()
	// BeforeReturn is called before the endpoints of a domain are used again whose evacuation has
	// ended.
	BeforeReturn func(domain string)
	RunningIn    func(domain string) int
	// Uptime returns the time since the host was booted, including the time for which it
	// was suspended, or false if that is unknown. New sets it to SinceBoot.
	Uptime func() (time.Duration, bool)

	inbox   chan func()
	view    atomic.Pointer[placer.View]
	table   endpointtracker.Table
	catalog *cataloger.Catalog
	// targetVersions holds the target versions of each model, the newest last.
	targetVersions map[string][]placer.TargetVersion
	// retained holds, for each model, the oldest version whose prompt parts are still
	// fetched from stores.
	retained map[string]int64
	// adopted holds the retained versions of peers, by the hash of the model's name.
	adoptedMu sync.Mutex
	adopted   map[uint32]int64
	// evacuations are the evacuated domains, and announcedEvacuations what heartbeats say of them.
	evacuations          Evacuations
	announcedEvacuations atomic.Pointer[[]peertracker.Change]
	// knowsEvacuations is what KnowsEvacuations returns.
	knowsEvacuations atomic.Bool
	// sweepsAt is the end of the last grace period for which a sweep was scheduled.
	sweepsAt time.Time
	// listed is set once the directory of endpoints has been listed.
	listed bool
	// scopesChanged is when the set of isolated teams last changed.
	scopesChanged time.Time
	// startedAt is when Run was called, steppedAt the time of its last step, and stood the
	// last time for which it made none.
	startedAt time.Time
	steppedAt time.Time
	stood     standstill
	// checkedAt and checkedUptime are the clocks at the last check for a suspension.
	checkedAt     time.Time
	checkedUptime time.Duration
}

// New returns a node that has no configuration yet.
func New(log zerolog.Logger, now func() time.Time) *Relayer {
	return &Relayer{
		Log: log, Now: now, Uptime: SinceBoot,
		inbox:          make(chan func(), inboxSize),
		targetVersions: map[string][]placer.TargetVersion{},
		retained:       map[string]int64{},
		adopted:        map[uint32]int64{},
	}
}

// Run executes all changes of the control state until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	r.startedAt = r.now()
	r.steppedAt = r.startedAt
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-r.inbox:
			r.noteStep()
			change()
		case <-ticker.C:
			r.noteStep()
			r.logSuspension()
			r.sweep()
			r.expireEvacuations()
		}
	}
}

// Clock returns the time by a clock that counts the time for which the host was suspended and
// is not affected by adjustments of the wall clock. It is safe for concurrent use.
func (r *Relayer) Clock() time.Time { return r.now() }

// do queues a change for the control goroutine; it blocks while the queue is full.
func (r *Relayer) do(change func()) { r.inbox <- change }

// Ready reports whether the node has a configuration.
func (r *Relayer) Ready() bool { return r.view.Load() != nil }

// View returns the last published state. Its catalog is nil before the first
// configuration.
func (r *Relayer) View() placer.View {
	if view := r.view.Load(); view != nil {
		return *view
	}
	return placer.View{}
}

// Configure applies a configuration, unless the active one has the same or a
// newer version. source, "log" or "peer", is only logged.
func (r *Relayer) Configure(catalog *cataloger.Catalog, source string) {
	r.do(func() {
		if r.catalog != nil && catalog.Version <= r.catalog.Version {
			return
		}
		r.catalog = catalog
		r.publish()
		r.Log.Info().Str("event", "configuration").Int64("version", catalog.Version).Str("source", source).
			Int("routes", catalog.RouteCount()).Int("services", len(catalog.Services)).Msg("configuration applied")
	})
}

// PutEndpoint adds or updates an endpoint from its directory entry, which must not be older
// than those before.
func (r *Relayer) PutEndpoint(endpoint endpointtracker.Endpoint) {
	r.do(func() {
		if !r.table.Put(endpoint) {
			return
		}
		r.publish()
		r.OnLoaded(endpoint.ID)
		r.Log.Info().Str("event", "endpoint").Str("endpoint", endpoint.ID).Str("service", endpoint.Service).
			Stringer("address", endpoint.Address).Str("build", endpoint.Build).Bool("leaving", endpoint.Leaving).Interface("weights", endpoint.Weights).Send()
	})
}

// MarkLeaving records that an endpoint itself said, to this node, that it is leaving. It
// gets no new requests, whatever its directory entry says.
func (r *Relayer) MarkLeaving(endpoint endpointtracker.Endpoint) {
	r.do(func() {
		if r.table.MarkLeaving(endpoint) {
			r.publish()
			r.logLeaving(endpoint, "endpoint")
			r.OnLeaving(endpoint)
		}
	})
}

// MarkLeavingAt is MarkLeaving for an endpoint of which only the address is known, and
// perhaps the start of its process; startedAt is zero if it is not.
func (r *Relayer) MarkLeavingAt(address netip.AddrPort, startedAt time.Time) {
	for _, endpoints := range r.View().Endpoints {
		for _, endpoint := range endpoints {
			if endpoint.Address == address && (startedAt.IsZero() || startedAt.Equal(endpoint.StartedAt)) {
				r.MarkLeaving(endpoint)
			}
		}
	}
}

func (r *Relayer) logLeaving(endpoint endpointtracker.Endpoint, source string) {
	r.Log.Info().Str("event", "endpoint leaving").Str("endpoint", endpoint.ID).Str("service", endpoint.Service).
		Time("started", endpoint.StartedAt).Str("source", source).Send()
}

// RemoveEndpoint removes an endpoint whose directory entry is gone. Before graceEnd, by
// Clock, the entry may have expired in an outage of the directory; the endpoint then stays
// until that time.
func (r *Relayer) RemoveEndpoint(id string, graceEnd time.Time) {
	r.do(func() {
		if r.table.Remove(id, r.now(), graceEnd) {
			r.publish()
			r.Log.Info().Str("event", "endpoint gone").Str("endpoint", id).Send()
			return
		}
		r.sweepAt(graceEnd)
	})
}

// RemoveUnlistedEndpoints removes all endpoints that are missing in a full
// listing of the directory, after those that it has were put. graceEnd is as in
// RemoveEndpoint.
func (r *Relayer) RemoveUnlistedEndpoints(listed map[string]bool, graceEnd time.Time) {
	r.do(func() {
		first := !r.listed
		r.listed = true
		removed := r.table.RemoveUnlisted(listed, r.now(), graceEnd)
		r.sweepAt(graceEnd)
		if first || removed {
			r.publish()
		}
		if removed {
			r.Log.Info().Str("event", "endpoints gone").Int("listed", len(listed)).Send()
		}
	})
}

// UpdateWeights updates a model's version at an endpoint from the endpoint's own
// responses, which can be newer than its directory entry.
func (r *Relayer) UpdateWeights(endpoint endpointtracker.Endpoint, model string, version int64) {
	r.do(func() {
		if r.table.UpdateWeights(endpoint, model, version) {
			r.publish()
			r.Log.Info().Str("event", "endpoint weights").Str("endpoint", endpoint.ID).Str("model", model).Int64("version", version).Send()
			r.OnLoaded(endpoint.ID)
			r.OnWeightsUpdate(endpoint, model, version)
		}
	})
}

// ApplyPeerChanges applies the changes of endpoints that a peer announced: of their
// weights, and that they are leaving. relay is called for each change that was news, and
// for each endpoint that drains or loads.
func (r *Relayer) ApplyPeerChanges(changes []peertracker.Change, relay func(change peertracker.Change)) {
	r.do(func() {
		changed := false
		for _, change := range changes {
			endpoint, model, ok := r.findByHash(change)
			switch {
			case !ok:
			case change.Model == leavingMarker:
				if change.Version == startOf(endpoint) && r.table.MarkLeaving(endpoint) {
					changed = true
					relay(change)
					r.logLeaving(endpoint, "peer")
				}
			case change.Version == 0:
				if r.lacksTarget(endpoint) {
					r.RecordLoading(endpoint.ID)
					relay(change)
				}
			case r.table.UpdateWeights(endpoint, model, change.Version):
				r.OnLoaded(endpoint.ID)
				changed = true
				relay(change)
				r.Log.Info().Str("event", "endpoint weights").Str("endpoint", endpoint.ID).Str("model", model).Int64("version", change.Version).Str("source", "peer").Send()
			}
		}
		if changed {
			r.publish()
		}
	})
}

// findByHash returns the endpoint and the model that a peer's change refers to by hash.
func (r *Relayer) findByHash(change peertracker.Change) (endpointtracker.Endpoint, string, bool) {
	for _, endpoints := range r.View().Endpoints {
		for _, endpoint := range endpoints {
			if balancer.IDHash(endpoint.ID) != change.Endpoint {
				continue
			}
			if change.Model == leavingMarker {
				return endpoint, "", true
			}
			for model := range endpoint.Weights {
				if balancer.IDHash(model) == change.Model {
					return endpoint, model, true
				}
			}
		}
	}
	return endpointtracker.Endpoint{}, "", false
}

// RaiseRetained raises the retained versions to those that a peer has reached, by the hash of the
// model's name. They also hold for models that this node does not know yet.
func (r *Relayer) RaiseRetained(reached map[uint32]int64) {
	if r.adopt(reached) {
		r.do(r.publish)
	}
}

// adopt records versions that a peer has reached, and reports whether any is later than before.
func (r *Relayer) adopt(reached map[uint32]int64) bool {
	r.adoptedMu.Lock()
	defer r.adoptedMu.Unlock()
	raised := false
	for model, version := range reached {
		if version > r.adopted[model] {
			r.adopted[model], raised = version, true
		}
	}
	return raised
}

// updateRetained raises the retained version of each model to the one that more
// than half of the endpoints, or a peer, have reached. Parts of older versions are no longer
// fetched, so that stores can free their memory. The retained version never
// decreases, so it is not known before all endpoints are.
func (r *Relayer) updateRetained(services map[string][]endpointtracker.Endpoint) {
	if !r.listed {
		return
	}
	loaded := map[string][]int64{}
	for _, endpoints := range services {
		for _, endpoint := range endpoints {
			for model, version := range endpoint.Weights {
				loaded[model] = append(loaded[model], version)
			}
		}
	}
	for model, versions := range loaded {
		slices.Sort(versions)
		if majority := versions[(len(versions)-1)/2]; majority > r.retained[model] {
			r.retained[model] = majority
		}
	}
	r.adoptedMu.Lock()
	defer r.adoptedMu.Unlock()
	for model, version := range r.retained {
		r.retained[model] = max(version, r.adopted[balancer.IDHash(model)])
	}
}

// sweepAt sweeps at the end of a grace period, if it is not over.
func (r *Relayer) sweepAt(graceEnd time.Time) {
	left := graceEnd.Sub(r.now())
	if left <= 0 || graceEnd.Equal(r.sweepsAt) {
		return
	}
	r.sweepsAt = graceEnd
	r.Log.Info().Str("event", "endpoints missing").Dur("grace", left).Msg("entries that expired in an outage may return")
	time.AfterFunc(left, func() { r.do(r.sweep) })
}

func (r *Relayer) sweep() {
	removed := r.table.RemoveExpired(r.now())
	if len(removed) == 0 {
		return
	}
	r.publish()
	r.Log.Info().Str("event", "endpoints gone").Strs("endpoints", removed).Msg("endpoints removed: their entries were not registered again within the grace period")
}

// noteScopes records when the set of isolated teams changes.
func (r *Relayer) noteScopes(view *placer.View) {
	shared := view.SharedScope()
	if former := r.view.Load(); former != nil && former.SharedScope() != shared {
		r.scopesChanged = r.now()
		r.Log.Info().Str("event", "isolation").Int64("version", view.Catalog.Version).Strs("isolated", firstNames(view.Catalog.IsolatedTeams())).
			Str("scope", shared).Str("former", former.SharedScope()).Send()
	}
	view.ScopesChanged = r.scopesChanged
}

// maxLoggedNames bounds the names in a log line.
const maxLoggedNames = 20

func firstNames(names []string) []string { return names[:min(len(names), maxLoggedNames)] }

func (r *Relayer) publish() {
	if r.catalog == nil {
		return
	}
	view := placer.View{Catalog: r.catalog, Endpoints: r.table.Snapshot(), TargetVersions: maps.Clone(r.targetVersions), Now: r.now}
	view.Evacuated = r.evacuatedDomains(view.Endpoints)
	r.updateRetained(view.Endpoints)
	view.OldestRetained = maps.Clone(r.retained)
	view.Prepare()
	r.noteScopes(&view)
	r.view.Store(&view)
	if r.OnChange != nil {
		r.OnChange(view)
	}
}
