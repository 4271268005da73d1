// Package cataloger holds the operators' configuration as the relay uses it:
// routes, services, teams with their keys, and limits on callers.
//
// A Catalog is immutable. It is built once per configuration version, and
// look-ups on the path of a request touch no lock.
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

// Sentinel errors of look-ups.
var (
	// ErrNoRoute is returned for a host and path that no route covers.
	ErrNoRoute = errors.New("no route matches the host and path")
	// ErrUnknownKey is returned for a key that no team holds.
	ErrUnknownKey = errors.New("no team holds the key")
)

// Repeat tells how often a request of a route may run.
type Repeat int

// The values of Repeat.
const (
	// RepeatOnce lets a request run at most once.
	RepeatOnce Repeat = iota
	// RepeatSafe lets a request run more than once.
	RepeatSafe
	// RepeatResumable lets a stream go on at another endpoint.
	RepeatResumable
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says how requests below a path are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream marks answers that are series of events.
	Stream bool
	Repeat Repeat
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, for full value.
	Objective time.Duration
	// Pause is the longest pause between events for full value.
	Pause time.Duration
	// Rank orders requests; 0 comes first.
	Rank int
	// Shares divide the requests among services; never empty.
	Shares []Share
	// Attempts is the largest number of endpoints that a request may run on.
	Attempts int
	// Anonymous lets callers come without a key.
	Anonymous bool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Capacity is the memory for prompt parts and runs, in tokens.
	Capacity   int
	TokenBytes int
	Models     []string
}

// Store describes a store of prompt parts. It is managed by the relay: it drops
// nothing by itself.
type Store struct {
	Address netip.AddrPort
	Domain  string
	// Capacity is in tokens.
	Capacity int
	// Rate is its link's speed in megabits per second.
	Rate float64
	// First is the wait before each transfer.
	First time.Duration
}

// Service is a group of equal endpoints, or a store.
type Service struct {
	Name   string
	Health string
	// Connections is the most that one endpoint accepts of all nodes together;
	// zero for no limit.
	Connections int
	Engine      *Engine
	Store       *Store
}

// Team is a customer.
type Team struct {
	Name string
	// Rank takes precedence over the route's, where Ranked is set.
	Rank   int
	Ranked bool
	// Isolated teams share no prompt parts with others.
	Isolated bool
}

// Limits bound what callers may send; zero means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// Header bounds the time in which a request's header must arrive.
	Header time.Duration
	// Idle is how long a connection may wait for its next request.
	Idle time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	routes map[string][]Route
	teams  map[string]Team
	keyed  bool
	stores []Service
}

// New returns a catalog. teams maps keys to their holders; nil turns the check
// of keys off.
func New(version int64, routes []Route, services []Service, teams map[string]Team, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		routes:   map[string][]Route{},
		teams:    teams,
		keyed:    teams != nil,
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
	}
	for _, sorted := range c.routes {
		slices.SortStableFunc(sorted, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Route returns the route with the longest prefix of path. It returns
// ErrNoRoute.
func (c *Catalog) Route(host, path string) (Route, error) {
	name := strings.ToLower(host)
	if at := strings.LastIndexByte(name, ':'); at >= 0 && !strings.Contains(name[at:], "]") {
		name = name[:at]
	}
	for _, route := range c.routes[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, nil
		}
	}
	return Route{}, ErrNoRoute
}

// Team returns the holder of a key. On an anonymous route a key is optional and
// an unknown one is ignored. It returns ErrUnknownKey.
func (c *Catalog) Team(route Route, key string) (Team, error) {
	if team, ok := c.teams[key]; ok && key != "" {
		return team, nil
	}
	if !c.keyed || route.Anonymous {
		return Team{}, nil
	}
	return Team{}, ErrUnknownKey
}

// Stores returns the stores ordered by name.
func (c *Catalog) Stores() []Service { return c.stores }

// Routes returns the number of routes.
func (c *Catalog) Routes() int {
	n := 0
	for _, routes := range c.routes {
		n += len(routes)
	}
	return n
}

// Divide picks a service by the route's shares. point is uniform in [0, 1).
func (r Route) Divide(point float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	left := point * float64(total)
	for _, share := range r.Shares {
		left -= float64(share.Weight)
		if left < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
