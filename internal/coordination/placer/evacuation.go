package placer

import "github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"

// usable returns the endpoints of a service that are not in evacuated domains.
func (v View) usable(service string) []endpointtracker.Endpoint {
	endpoints := v.Endpoints[service]
	if len(v.Evacuated) == 0 {
		return endpoints
	}
	usable := make([]endpointtracker.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !v.Evacuated[endpoint.Domain] {
			usable = append(usable, endpoint)
		}
	}
	return usable
}

// excludeEvacuated adds the endpoints of a service that are in evacuated domains.
func (v View) excludeEvacuated(service string, excluded map[string]bool) {
	if len(v.Evacuated) == 0 {
		return
	}
	for _, endpoint := range v.Endpoints[service] {
		if v.Evacuated[endpoint.Domain] {
			excluded[endpoint.ID] = true
		}
	}
}

// checkEvacuated returns an error for a waiting request that no endpoint may run while domains
// are evacuated. Without an evacuation it waits on, since endpoints may return soon.
func (s *selection) checkEvacuated() error {
	if len(s.View().Evacuated) == 0 {
		return nil
	}
	return s.checkEligible()
}
