package cataloger

import (
	"slices"
	"strings"
)

// Regions is the set of regions in which a request may be processed. A nil set is no
// restriction; an empty one that is not nil allows nothing. It is immutable.
type Regions struct {
	// names are in order, each of them once.
	names []string
}

// NewRegions returns the set of the named regions. Without names it returns nil.
func NewRegions(names []string) *Regions {
	if len(names) == 0 {
		return nil
	}
	return &Regions{names: slices.Compact(slices.Sorted(slices.Values(names)))}
}

// Intersect returns the set that satisfies both restrictions.
func (r *Regions) Intersect(other *Regions) *Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	common := &Regions{}
	for _, name := range r.names {
		if slices.Contains(other.names, name) {
			common.names = append(common.names, name)
		}
	}
	return common
}

// Contains reports whether a region is in the set. An unknown region, which is empty, is in no
// set but nil.
func (r *Regions) Contains(region string) bool {
	return r == nil || region != "" && slices.Contains(r.names, region)
}

// String returns the regions separated by commas, or "none" for an empty set. It returns an
// empty string for nil.
func (r *Regions) String() string {
	switch {
	case r == nil:
		return ""
	case len(r.names) == 0:
		return "none"
	default:
		return strings.Join(r.names, ",")
	}
}

// DomainRegions maps failure domains to their regions. Domains that it lacks are in no region.
type DomainRegions map[string]string

// Allows reports whether a request that is restricted to regions may use what is in a domain.
func (d DomainRegions) Allows(regions *Regions, domain string) bool {
	return regions.Contains(d[domain])
}
