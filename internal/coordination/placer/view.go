package placer

import (
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// View is what the run of a request sees of the site.
type View struct {
	Catalog   *cataloger.Catalog
	Endpoints map[string][]tracker.Endpoint
	// Namings holds the named versions of each model, the newest last.
	Namings map[string][]Naming
	// Retained holds the oldest version of each model whose parts are kept in
	// stores.
	Retained map[string]int64
}

// Naming is a version of a model's weights that the endpoints are to load.
type Naming struct {
	Version int64
	// At is when it was named; zero if that is unknown.
	At time.Time
}

// Named returns the newest named version of a model; zero for none.
func (v View) Named(model string) int64 {
	namings := v.Namings[model]
	if len(namings) == 0 {
		return 0
	}
	return namings[len(namings)-1].Version
}

// IDs returns the ids of all endpoints.
func (v View) IDs() map[string]bool {
	ids := map[string]bool{}
	for _, endpoints := range v.Endpoints {
		for _, endpoint := range endpoints {
			ids[endpoint.ID] = true
		}
	}
	return ids
}

// outdated returns the endpoints of a service that must not begin requests for a
// model any more: a newer version than theirs was named more than limit ago, or
// at an unknown time while other endpoints have it.
func (v View) outdated(now time.Time, service, model string, limit time.Duration) map[string]bool {
	var best int64
	for _, endpoint := range v.Endpoints[service] {
		if !endpoint.Leaving {
			best = max(best, endpoint.Weights[model])
		}
	}
	outdated := map[string]bool{}
	for _, endpoint := range v.Endpoints[service] {
		for _, naming := range v.Namings[model] {
			unknown := naming.At.IsZero()
			over := unknown && best >= naming.Version || !unknown && now.Sub(naming.At) >= limit
			if endpoint.Weights[model] < naming.Version && over {
				outdated[endpoint.ID] = true
			}
		}
	}
	return outdated
}

// capacity is the memory of one endpoint of a service, in tokens.
func capacity(catalog *cataloger.Catalog, service string) int {
	if engine := catalog.Services[service].Engine; engine != nil {
		return engine.Capacity
	}
	return 0
}

func engines(endpoints []tracker.Endpoint) []locator.Engine {
	all := make([]locator.Engine, len(endpoints))
	for i, endpoint := range endpoints {
		all[i] = locator.Engine{Address: endpoint.Address, Domain: endpoint.Domain}
	}
	return all
}

// stores returns the stores as the engines of a service see them.
func stores(catalog *cataloger.Catalog, service string) []locator.Store {
	var bits float64
	if engine := catalog.Services[service].Engine; engine != nil {
		bits = 8 * float64(engine.TokenBytes)
	}
	var all []locator.Store
	for _, service := range catalog.Stores() {
		store := locator.Store{Address: service.Store.Address, Domain: service.Store.Domain, Capacity: service.Store.Capacity}
		if bits > 0 {
			store.Rate = service.Store.Rate * megabit / bits
		}
		all = append(all, store)
	}
	return all
}

// megabit is the unit of links' rates, in bits.
const megabit = 1e6
