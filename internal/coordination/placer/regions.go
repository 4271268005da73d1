package placer

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
)

// outsideRegions returns the IDs of the endpoints that the request's regions exclude; nil if it
// is not restricted.
func (s *selection) outsideRegions(view View) map[string]bool {
	regions := s.Regions()
	if regions == nil {
		return nil
	}
	outside := map[string]bool{}
	for _, endpoint := range view.Endpoints[s.Service] {
		if !s.DomainRegions.Allows(regions, endpoint.Domain) {
			outside[endpoint.ID] = true
		}
	}
	return outside
}

// group returns the scheduler's group of the request; empty if its regions exclude no endpoint.
func (s *selection) group() string {
	if len(s.outsideRegions(s.View())) == 0 {
		return ""
	}
	return s.Regions().String()
}

// regionError returns an error marked forwarder.ErrUnavailable if the service has endpoints and
// the request's regions exclude all of them.
func (s *selection) regionError() error {
	view := s.View()
	outside, others := s.outsideRegions(view), 0
	for _, endpoint := range view.Endpoints[s.Service] {
		if endpoint.Leaving {
			continue
		}
		if !outside[endpoint.ID] {
			return nil
		}
		others++
	}
	if others == 0 {
		return nil
	}
	return errors.Wrapf(forwarder.ErrUnavailable, "regions of the route: %q, of the team: %q, allowed by both: %q, endpoints elsewhere: %d",
		s.Route.Regions, s.Team.Regions, s.Regions(), others)
}

// allowedHolders returns the engines and stores of the request's service that its regions allow.
func (s *selection) allowedHolders(view View) holders {
	all, regions := view.holders(s.Service), s.Regions()
	if regions == nil {
		return all
	}
	return holders{
		engines: slices.DeleteFunc(slices.Clone(all.engines), func(e locator.Engine) bool { return !s.DomainRegions.Allows(regions, e.Domain) }),
		stores:  slices.DeleteFunc(slices.Clone(all.stores), func(store locator.Store) bool { return !s.DomainRegions.Allows(regions, store.Domain) }),
	}
}
