// Package relayer runs a relay node: it owns the control state (configuration,
// endpoints, named weights) and publishes it to the goroutines that carry
// traffic.
//
// # Usage
//
//	node := relayer.New(log, time.Now)
//	go node.Run(ctx)
//	node.Configure(catalog, "log")
//	view := node.View()
package relayer

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

const (
	inboxSize = 256
	// sweepPeriod is the time between looks for endpoints whose grace is over.
	sweepPeriod = 200 * time.Millisecond
	// lapseGrace is how long an endpoint is kept whose entry lapsed while the
	// directory was away; live ones register again within two seconds.
	lapseGrace = 2 * time.Second
)

// Relayer is a node's control state. Its exported fields are set before Run.
type Relayer struct {
	Log zerolog.Logger
	Now func() time.Time
	// Changed is called by the control goroutine after the endpoints changed.
	Changed func(view placer.View)
	// Renamed is called after new weights were named.
	Renamed func()
	// Reweighed is called after an endpoint showed newer weights to this node.
	Reweighed func(endpoint tracker.Endpoint, model string, version int64)
	// Loading and Loaded are called when an endpoint begins to load weights by a
	// peer's word, and when it has newer ones.
	Loading func(id string)
	Loaded  func(id string)

	inbox   chan func()
	view    atomic.Pointer[placer.View]
	table   tracker.Table
	catalog *cataloger.Catalog
	namings map[string][]placer.Naming
	// retained holds the oldest version of each model whose parts are kept.
	retained map[string]int64
}

// New returns a node without configuration.
func New(log zerolog.Logger, now func() time.Time) *Relayer {
	return &Relayer{
		Log: log, Now: now,
		inbox:    make(chan func(), inboxSize),
		table:    tracker.Table{Grace: lapseGrace},
		namings:  map[string][]placer.Naming{},
		retained: map[string]int64{},
	}
}

// Run owns the control state until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-r.inbox:
			change()
		case <-ticker.C:
			r.sweep()
		}
	}
}

// do runs a change on the control goroutine.
func (r *Relayer) do(change func()) { r.inbox <- change }

// Ready reports whether the node has a configuration.
func (r *Relayer) Ready() bool { return r.view.Load() != nil }

// View returns the published state; its catalog is nil before the first
// configuration.
func (r *Relayer) View() placer.View {
	if view := r.view.Load(); view != nil {
		return *view
	}
	return placer.View{}
}

// Named returns the newest named version of each model.
func (r *Relayer) Named() map[string]int64 {
	view := r.View()
	named := make(map[string]int64, len(view.Namings))
	for model := range view.Namings {
		named[model] = view.Named(model)
	}
	return named
}

// Configure takes in a configuration. Older versions than the one in force are
// ignored.
func (r *Relayer) Configure(catalog *cataloger.Catalog, source string) {
	r.do(func() {
		if r.catalog != nil && catalog.Version <= r.catalog.Version {
			return
		}
		r.catalog = catalog
		r.publish()
		r.Log.Info().Str("event", "configuration").Int64("version", catalog.Version).Str("source", source).
			Int("routes", catalog.Routes()).Int("services", len(catalog.Services)).Msg("configuration is in force")
	})
}

// Name takes in the newest version of a model's weights. fresh tells that it was
// named just now; else the time is unknown.
func (r *Relayer) Name(model string, version int64, fresh bool) {
	r.do(func() {
		held := r.namings[model]
		if len(held) > 0 && held[len(held)-1].Version >= version {
			return
		}
		naming := placer.Naming{Version: version}
		if fresh {
			naming.At = r.Now()
		}
		// Published views share the list, so that it is copied.
		r.namings[model] = append(slices.Clone(held), naming)
		r.publish()
		r.Log.Info().Str("event", "weights named").Str("model", model).Int64("version", version).Bool("fresh", fresh).Send()
		r.Renamed()
	})
}

// PutEndpoint takes in an endpoint's entry.
func (r *Relayer) PutEndpoint(endpoint tracker.Endpoint) {
	r.do(func() {
		if !r.table.Put(endpoint) {
			return
		}
		r.publish()
		r.Loaded(endpoint.ID)
		r.Log.Info().Str("event", "endpoint").Str("endpoint", endpoint.ID).Str("service", endpoint.Service).
			Stringer("address", endpoint.Address).Bool("leaving", endpoint.Leaving).Interface("weights", endpoint.Weights).Send()
	})
}

// RemoveEndpoint takes in that an endpoint's entry is gone. interrupted tells
// that the directory was away not long ago.
func (r *Relayer) RemoveEndpoint(id string, interrupted bool) {
	r.do(func() {
		if r.table.Remove(id, r.Now(), interrupted) {
			r.publish()
			r.Log.Info().Str("event", "endpoint gone").Str("endpoint", id).Bool("interrupted", interrupted).Send()
		}
	})
}

// RetainEndpoints removes all endpoints that a full listing lacks.
func (r *Relayer) RetainEndpoints(listed map[string]bool, interrupted bool) {
	r.do(func() {
		if r.table.Retain(listed, r.Now(), interrupted) {
			r.publish()
			r.Log.Info().Str("event", "endpoints gone").Int("listed", len(listed)).Bool("interrupted", interrupted).Send()
		}
	})
}

// Reweigh takes in the version that an endpoint showed itself, which is newer
// than its entry.
func (r *Relayer) Reweigh(endpoint tracker.Endpoint, model string, version int64) {
	r.do(func() {
		if r.table.Reweigh(endpoint, model, version) {
			r.publish()
			r.Log.Info().Str("event", "endpoint weights").Str("endpoint", endpoint.ID).Str("model", model).Int64("version", version).Send()
			r.Loaded(endpoint.ID)
			r.Reweighed(endpoint, model, version)
		}
	})
}

// Heard takes in what a peer has learnt of endpoints.
func (r *Relayer) Heard(changes []observer.Change) {
	r.do(func() {
		changed := false
		for _, change := range changes {
			endpoint, model, ok := r.find(change)
			switch {
			case !ok:
			case change.Version == 0:
				r.Loading(endpoint.ID)
			case r.table.Reweigh(endpoint, model, change.Version):
				r.Loaded(endpoint.ID)
				changed = true
				r.Log.Info().Str("event", "endpoint weights").Str("endpoint", endpoint.ID).Str("model", model).Int64("version", change.Version).Str("source", "peer").Send()
			}
		}
		if changed {
			r.publish()
		}
	})
}

// find returns the endpoint and the model that a peer's change speaks of.
func (r *Relayer) find(change observer.Change) (tracker.Endpoint, string, bool) {
	for _, endpoints := range r.View().Endpoints {
		for _, endpoint := range endpoints {
			if balancer.Hash(endpoint.ID) != change.Endpoint {
				continue
			}
			for model := range endpoint.Weights {
				if balancer.Hash(model) == change.Model {
					return endpoint, model, true
				}
			}
		}
	}
	return tracker.Endpoint{}, "", false
}

// retire works out the version of each model that more than half of the engines
// have. Parts of older ones are no longer fetched from stores, which need the
// room. It never goes back.
func (r *Relayer) retire(services map[string][]tracker.Endpoint) {
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
		if common := versions[(len(versions)-1)/2]; common > r.retained[model] {
			r.retained[model] = common
		}
	}
}

func (r *Relayer) sweep() {
	dropped := r.table.Sweep(r.Now())
	if len(dropped) == 0 {
		return
	}
	r.publish()
	r.Log.Info().Str("event", "endpoints gone").Strs("endpoints", dropped).Msg("entries did not come back")
}

func (r *Relayer) publish() {
	if r.catalog == nil {
		return
	}
	view := placer.View{Catalog: r.catalog, Endpoints: r.table.Snapshot(), Namings: maps.Clone(r.namings)}
	r.retire(view.Endpoints)
	view.Retained = maps.Clone(r.retained)
	r.view.Store(&view)
	if r.Changed != nil {
		r.Changed(view)
	}
}
