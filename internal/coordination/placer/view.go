package placer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// View holds the configuration, endpoints and target versions by which requests
// are placed.
type View struct {
	Catalog *cataloger.Catalog
	// Endpoints holds the endpoints of each service.
	Endpoints map[string][]endpointtracker.Endpoint
	// TargetVersions holds the target versions of each model, the newest last.
	TargetVersions map[string][]TargetVersion
	// OldestRetained holds, for each model, the oldest version whose parts are
	// kept in stores.
	OldestRetained map[string]int64
	// Evacuated holds the failure domains to whose endpoints no requests are sent.
	Evacuated map[string]bool
	// ScopesChanged is when the set of isolated teams last changed, by View.Now; zero if it did
	// not since the start.
	ScopesChanged time.Time
	// Now is the clock of the view's times. It may differ from that of requests, since it
	// counts the time for which the host was suspended. It is set if any target version
	// has a time.
	Now func() time.Time

	// byService and scopes hold what Prepare has computed.
	byService map[string]holders
	scopes    *scopes
}

// holders are the engines and stores that hold parts of a service's prompts.
type holders struct {
	engines []locator.Engine
	stores  []locator.Store
}

// Prepare computes the lists that each placement needs, once for the view.
func (v *View) Prepare() {
	v.scopes = newScopes(v.Catalog)
	v.byService = map[string]holders{}
	for service := range v.Endpoints {
		v.byService[service] = v.holders(service)
	}
}

// scope returns the scope of a team's requests.
func (v View) scope(team cataloger.Team) string {
	if v.scopes == nil {
		v.scopes = newScopes(v.Catalog)
	}
	return v.scopes.of(v.Catalog, team)
}

// scopesPause is how long nothing is fetched after the set of isolated teams has changed. A
// scope may come back into use, and other nodes free its parts until they have the configuration.
const scopesPause = 5 * time.Second

// scopesSettling reports whether the set of isolated teams changed within scopesPause.
func (v View) scopesSettling() bool {
	return !v.ScopesChanged.IsZero() && v.Now().Sub(v.ScopesChanged) < scopesPause
}

// SharedScope returns the scope of the teams that are not isolated.
func (v View) SharedScope() string { return v.scope(cataloger.Team{}) }

// ScopeInUse reports whether requests of the configuration's teams are placed in a scope.
func (v View) ScopeInUse(scope string) bool {
	if v.scopes == nil {
		v.scopes = newScopes(v.Catalog)
	}
	return v.scopes.inUse(scope)
}

func (v *View) holders(service string) holders {
	if known, ok := v.byService[service]; ok {
		return known
	}
	return holders{engines: engines(v.usable(service)), stores: stores(v.Catalog, service)}
}

// TargetVersion is a version of a model's weights that the endpoints are to load.
type TargetVersion struct {
	Version int64
	// Since is when the version became the target, by View.Now; zero if unknown. Learned
	// is when this node learned of it.
	Since   time.Time
	Learned time.Time
}

// TargetAge returns how long the newest target version of a model has been the target;
// false if that is unknown.
func (v View) TargetAge(model string) (time.Duration, bool) {
	targets := v.TargetVersions[model]
	if len(targets) == 0 {
		return 0, false
	}
	return v.age(targets[len(targets)-1])
}

// age returns how long a version has been the target; false if that is unknown.
func (v View) age(target TargetVersion) (time.Duration, bool) {
	if target.Since.IsZero() {
		return 0, false
	}
	return v.Now().Sub(target.Since), true
}

// NewestTarget returns the newest target version of a model; zero for none.
func (v View) NewestTarget(model string) int64 {
	targets := v.TargetVersions[model]
	if len(targets) == 0 {
		return 0
	}
	return targets[len(targets)-1].Version
}

// EndpointIDs returns the IDs of all endpoints.
func (v View) EndpointIDs() map[string]bool {
	ids := map[string]bool{}
	for _, endpoints := range v.Endpoints {
		for _, endpoint := range endpoints {
			ids[endpoint.ID] = true
		}
	}
	return ids
}

// WeightsLimits limits the use of weights after newer ones became the target.
type WeightsLimits struct {
	// Place is how long requests may still be placed on them.
	Place time.Duration
	// Begin is how long answers may still begin on them. It is longer than Place, since a
	// request waits at its endpoint.
	Begin time.Duration
}

// ageLimits holds the limits for target versions whose time is known, and for others.
type ageLimits struct {
	known   WeightsLimits
	unknown WeightsLimits
}

// minBeginTimeout is the timeout of an attempt whose limit has passed since it was placed.
const minBeginTimeout = time.Millisecond

// beginTimeout returns how long answers may still begin on an endpoint's weights; zero if
// they are the newest.
func (v View) beginTimeout(endpoint endpointtracker.Endpoint, model string, limits ageLimits) time.Duration {
	timeout := time.Duration(0)
	for _, target := range v.TargetVersions[model] {
		if endpoint.Weights[model] >= target.Version {
			continue
		}
		left := limits.unknown.Begin - v.Now().Sub(target.Learned)
		if age, known := v.age(target); known {
			left = limits.known.Begin - age
		}
		left = max(left, minBeginTimeout)
		if timeout == 0 || left < timeout {
			timeout = left
		}
	}
	return timeout
}

// excludedByWeights returns the endpoints of a service whose weights for a model are too
// old to start requests on, see expired.
func (v View) excludedByWeights(service, model string, limits ageLimits) map[string]bool {
	var newestLoaded int64
	for _, endpoint := range v.Endpoints[service] {
		if !endpoint.Leaving && !v.Evacuated[endpoint.Domain] {
			newestLoaded = max(newestLoaded, endpoint.Weights[model])
		}
	}
	excludedByWeights := map[string]bool{}
	for _, target := range v.TargetVersions[model] {
		if !v.expired(target, newestLoaded, limits) {
			continue
		}
		for _, endpoint := range v.Endpoints[service] {
			if endpoint.Weights[model] < target.Version {
				excludedByWeights[endpoint.ID] = true
			}
		}
	}
	return excludedByWeights
}

// expired reports whether requests may no longer start on weights older than a target
// version. If it became the target at an unknown time, that is the case as soon as an
// endpoint has it, or once this node has known of it for the limit.
func (v View) expired(target TargetVersion, newestLoaded int64, limits ageLimits) bool {
	if age, known := v.age(target); known {
		return age >= limits.known.Place
	}
	return newestLoaded >= target.Version || v.Now().Sub(target.Learned) >= limits.unknown.Place
}

// replacedBy returns the oldest target version of a model that an endpoint lacks.
func (v View) replacedBy(endpoint endpointtracker.Endpoint, model string) (TargetVersion, bool) {
	for _, target := range v.TargetVersions[model] {
		if endpoint.Weights[model] < target.Version {
			return target, true
		}
	}
	return TargetVersion{}, false
}

// capacity returns the memory of one endpoint of a service, in tokens; zero for a
// service without an engine.
func capacity(catalog *cataloger.Catalog, service string) int {
	if engine := catalog.Services[service].Engine; engine != nil {
		return engine.Capacity
	}
	return 0
}

func engines(endpoints []endpointtracker.Endpoint) []locator.Engine {
	all := make([]locator.Engine, len(endpoints))
	for i, endpoint := range endpoints {
		all[i] = locator.Engine{Address: endpoint.Address, Domain: endpoint.Domain}
	}
	return all
}

// stores returns all stores, with their bandwidths in tokens per second; the
// size of a token is that of the service's engine.
func stores(catalog *cataloger.Catalog, service string) []locator.Store {
	var bitsPerToken float64
	if engine := catalog.Services[service].Engine; engine != nil {
		bitsPerToken = 8 * float64(engine.TokenBytes)
	}
	var all []locator.Store
	for _, service := range catalog.Stores() {
		store := locator.Store{Address: service.Store.Address, Domain: service.Store.Domain, Capacity: service.Store.Capacity}
		if bitsPerToken > 0 {
			store.Bandwidth = service.Store.Bandwidth * bitsPerMegabit / bitsPerToken
		}
		all = append(all, store)
	}
	return all
}

// bitsPerMegabit converts link bandwidths, which are configured in Mbit/s.
const bitsPerMegabit = 1e6
