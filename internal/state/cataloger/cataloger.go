// Package cataloger holds the operators' configuration in the form that the
// relay uses: routes, services, teams with their keys, and limits on callers. It
// is the configuration of relay nodes on the platform; the nodes of command
// lacewingrelay use configurator instead.
//
// A Catalog is immutable. It is built once per configuration version, so that
// lookups on the path of a request need no lock.
//
// # Usage
//
//	catalog := cataloger.New(version, routes, services, teams, limits)
//	route, err := catalog.Route("relay.example", "/dossiers/2f")
//	team, err := catalog.Team(route, key)
package cataloger

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of lookups.
var (
	// ErrNoRoute is returned for a host and path that no route matches.
	ErrNoRoute = errors.New("no route matches the host and path")
	// ErrUnknownKey is returned for a missing key and for one that belongs to no
	// team.
	ErrUnknownKey = errors.New("no team holds the key")
)

// RetryPolicy says when a route's request may be sent again.
type RetryPolicy int

// The values of RetryPolicy.
const (
	// RetryIfNotRun retries a request only if it is certain that it has not run.
	RetryIfNotRun RetryPolicy = iota
	// RetrySafe also retries a request that may have run.
	RetrySafe
	// RetryResumable also resumes a stream on another endpoint.
	RetryResumable
)

// Share is the share of a route's requests that a service receives. Weight is
// relative to the sum of the route's weights.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests for paths with a prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream is set if answers are streams of events.
	Stream      bool
	RetryPolicy RetryPolicy
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Objective is the latency target for the answer or, if Stream is set, for
	// its first event.
	Objective time.Duration
	// GapObjective is the target for the longest gap between two events of a stream.
	GapObjective time.Duration
	// Rank orders requests; 0 has the highest priority.
	Rank int
	// Shares divide the requests among services; never empty.
	Shares []Share
	// Attempts is the maximum number of attempts that may run a request. Attempts
	// that certainly did not run it are not counted.
	Attempts int
	// Anonymous allows requests without a key.
	Anonymous bool
	// Regions are the regions in which requests may be processed.
	Regions *Regions
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Capacity is the memory for prompt parts and running requests, in tokens.
	Capacity int
	// TokenBytes is the size of one token's KV cache in bytes.
	TokenBytes int
	Models     []string
}

// Store describes a store of prompt parts, that is, of the KV caches of parts of
// prompts. The relay manages its contents; the store itself evicts nothing.
type Store struct {
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	// Bandwidth is that of the store's link in megabits per second.
	Bandwidth float64
	// Latency is the delay before each transfer starts.
	Latency time.Duration
}

// Service is a group of interchangeable endpoints, or a store.
type Service struct {
	Name   string
	Health string
	// Connections is the maximum number of connections that one endpoint accepts
	// from all nodes together; zero for no limit.
	Connections int
	// ColdStart is how long an endpoint is cold after the start of its process, and ColdRate the
	// number of requests per second that it can handle then; zero if there is no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for services without model engines.
	Engine *Engine
	// Store is nil for services that are no store.
	Store *Store
}

// Team is a customer.
type Team struct {
	Name string
	// Rank takes precedence over the route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// Isolated teams share no prompt parts with other teams.
	Isolated bool
	// Regions are the regions in which the team's requests may be processed.
	Regions *Regions
}

// Limits are the limits on callers' requests; zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the timeout for receiving a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is the timeout of a connection that waits for its next request.
	IdleTimeout time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	// routes maps a host in lower case to its routes, longest prefix first.
	routes       map[string][]Route
	teams        map[string]Team
	keysRequired bool
	stores       []Service
	// names are the names of all teams, and isolated those of the isolated ones in order.
	names    map[string]bool
	isolated []string
	// teamRanks and routeRanks are the distinct ranks of teams and routes in order. hasUnranked is
	// set if requests may have no team with a rank.
	teamRanks   []int
	routeRanks  []int
	hasUnranked bool
}

// Ranks are the distinct ranks that a configuration gives, each in order.
type Ranks struct {
	// Requests are the ranks of requests: those of teams and, if requests may have no team with a
	// rank, those of routes.
	Requests []int
	Routes   []int
}

// New returns a catalog. teams maps keys to teams; nil disables the check of
// keys.
func New(version int64, routes []Route, services []Service, teams map[string]Team, limits Limits) *Catalog {
	c := &Catalog{
		Version:      version,
		Services:     make(map[string]Service, len(services)),
		Limits:       limits,
		routes:       map[string][]Route{},
		teams:        teams,
		keysRequired: teams != nil,
		hasUnranked:  teams == nil,
		names:        map[string]bool{},
	}
	for _, team := range teams {
		c.addTeam(team)
	}
	for _, service := range services {
		c.Services[service.Name] = service
		if service.Store != nil {
			c.stores = append(c.stores, service)
		}
	}
	slices.SortFunc(c.stores, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
		c.routeRanks = insertRank(c.routeRanks, route.Rank)
		c.hasUnranked = c.hasUnranked || route.Anonymous
	}
	for _, hostRoutes := range c.routes {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// WithTeams adds teams that may have no key. It returns c, and is called before c is used.
func (c *Catalog) WithTeams(teams ...Team) *Catalog {
	for _, team := range teams {
		c.addTeam(team)
	}
	return c
}

func (c *Catalog) addTeam(team Team) {
	c.names[team.Name] = true
	if team.HasRank {
		c.teamRanks = insertRank(c.teamRanks, team.Rank)
	} else {
		c.hasUnranked = true
	}
	if i, known := slices.BinarySearch(c.isolated, team.Name); team.Isolated && !known {
		c.isolated = slices.Insert(c.isolated, i, team.Name)
	}
}

func insertRank(ranks []int, rank int) []int {
	i, known := slices.BinarySearch(ranks, rank)
	if known {
		return ranks
	}
	return slices.Insert(ranks, i, rank)
}

// Ranks returns the ranks that the configuration gives.
func (c *Catalog) Ranks() Ranks {
	ranks := Ranks{Requests: c.teamRanks, Routes: c.routeRanks}
	if c.hasUnranked {
		ranks.Requests = slices.Clone(ranks.Requests)
		for _, rank := range c.routeRanks {
			ranks.Requests = insertRank(ranks.Requests, rank)
		}
	}
	return ranks
}

// HasTeam reports whether there is a team of a name.
func (c *Catalog) HasTeam(name string) bool { return c.names[name] }

// IsolatedTeams returns the names of the isolated teams, in order and also of those without
// keys.
func (c *Catalog) IsolatedTeams() []string { return c.isolated }

// Route returns the route of a host, which may include a port, with the longest
// matching prefix of path. It returns ErrNoRoute if there is none.
func (c *Catalog) Route(host, path string) (Route, error) {
	hostname := strings.ToLower(host)
	if colon := strings.LastIndexByte(hostname, ':'); colon >= 0 && !strings.Contains(hostname[colon:], "]") {
		hostname = hostname[:colon]
	}
	for _, route := range c.routes[hostname] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, nil
		}
	}
	return Route{}, ErrNoRoute
}

// Team returns the team that a key belongs to. On an anonymous route a key is
// optional and an unknown one is ignored. Otherwise, if keys are checked, Team
// returns ErrUnknownKey for a missing or unknown key. Without a team it returns the
// zero Team.
func (c *Catalog) Team(route Route, key string) (Team, error) {
	if team, ok := c.teams[key]; ok && key != "" {
		return team, nil
	}
	if !c.keysRequired || route.Anonymous {
		return Team{}, nil
	}
	return Team{}, ErrUnknownKey
}

// Stores returns the stores ordered by name.
func (c *Catalog) Stores() []Service { return c.stores }

// LongestTimeout returns the longest timeout of the routes, or unlimited if one of them has
// none.
func (c *Catalog) LongestTimeout(unlimited time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, routes := range c.routes {
		for _, route := range routes {
			if route.Timeout == 0 {
				return unlimited
			}
			longest = max(longest, route.Timeout)
		}
	}
	return longest
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int {
	n := 0
	for _, routes := range c.routes {
		n += len(routes)
	}
	return n
}

// Allows reports whether requests of the route may go to a service.
func (r Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service })
}

// PickService picks a service in proportion to the route's shares. point is a
// random number uniform in [0, 1).
func (r Route) PickService(point float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := point * float64(total)
	for _, share := range r.Shares {
		remaining -= float64(share.Weight)
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
