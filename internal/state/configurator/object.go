package configurator

import "time"

// Kind names the type of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindDomain   Kind = "domain"
	KindCeiling  Kind = "ceiling"
	KindPriority Kind = "priority"
	KindTeam     Kind = "team"
	KindService  Kind = "service"
	KindModel    Kind = "model"
	KindVersion  Kind = "version"
	KindStore    Kind = "store"
	// KindRetention has one object at most, named by RetentionName.
	KindRetention Kind = "retention"
)

// Kinds lists every kind in the order in which declarations print them.
func Kinds() []Kind {
	return []Kind{
		KindDomain, KindCeiling, KindPriority, KindTeam,
		KindService, KindModel, KindVersion, KindStore, KindRetention,
	}
}

// Ref identifies an object within a configuration.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as kind/name.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Object is one named part of the configuration.
type Object interface {
	Ref() Ref
}

// Domain is a failure domain: hosts that can be cut off together.
type Domain struct {
	Name   string
	Region string
	// Hosts is the number of hosts in the domain that run a node. They share the
	// domain's power equally.
	Hosts int
}

// Ref implements Object.
func (d Domain) Ref() Ref { return Ref{KindDomain, d.Name} }

// Ceiling is the fixed limit on electric power and its division among failure
// domains.
type Ceiling struct {
	Name  string
	Watts float64
	// Shares maps the name of each failure domain to its share in watts.
	Shares map[string]float64
}

// Ref implements Object.
func (c Ceiling) Ref() Ref { return Ref{KindCeiling, c.Name} }

// Priority is a class of traffic.
type Priority struct {
	Name string
	// Rank orders the classes; a lower rank is served first.
	Rank int
	// Deadline is the longest time that a request of the class waits for
	// admission.
	Deadline time.Duration
}

// Ref implements Object.
func (p Priority) Ref() Ref { return Ref{KindPriority, p.Name} }

// Team is a customer. Prompts, cache entries and answers are never shared
// between teams.
type Team struct {
	Name string
	// KeyHash is the lower-case hexadecimal SHA-256 of the team's bearer key.
	KeyHash string
	// Rate is the sustained limit in requests per second over all nodes.
	Rate float64
	// Burst is the maximum number of requests admitted at once over all nodes.
	Burst int
	// Concurrency is the maximum number of running requests over all nodes.
	Concurrency int
}

// Ref implements Object.
func (t Team) Ref() Ref { return Ref{KindTeam, t.Name} }

// ServiceType distinguishes model engines from plain HTTP services.
type ServiceType string

// The service types.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// Objective selects what the router minimises for a service.
type Objective string

// The routing objectives.
const (
	ObjectiveFirstToken Objective = "first-token"
	ObjectiveRecompute  Objective = "recompute"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	Type ServiceType
	// Priority is the default class, for requests that name none.
	Priority string
	// Objective applies to model services only.
	Objective Objective
	// Fencing tells whether the endpoints reject an order to load weights whose
	// fencing token is outdated.
	Fencing bool
	// Concurrency is the maximum number of requests that one endpoint runs at
	// once.
	Concurrency int
	// IdleWatts is the power of one endpoint without requests.
	IdleWatts float64
	// RunWatts is the additional power of one running request.
	RunWatts float64
	// Timeout is the longest time for which an attempt may make no progress.
	Timeout time.Duration
}

// Ref implements Object.
func (s Service) Ref() Ref { return Ref{KindService, s.Name} }

// Model maps the model name in callers' requests to a service and a version.
type Model struct {
	Name    string
	Service string
	// Version is the name of the Version object that new requests use.
	Version string
}

// Ref implements Object.
func (m Model) Ref() Ref { return Ref{KindModel, m.Name} }

// Version is one set of weights of a model.
type Version struct {
	Name  string
	Model string
	// Weights is the name under which the endpoints load the weights.
	Weights string
}

// Ref implements Object.
func (v Version) Ref() Ref { return Ref{KindVersion, v.Name} }

// Store is a service of store hosts, which keep KV cache blocks.
type Store struct {
	Name   string
	Domain string
	// Bytes is the capacity of one store host.
	Bytes int64
	// LinkBytes is the bandwidth of the link to one store host in bytes per
	// second.
	LinkBytes int64
}

// Ref implements Object.
func (s Store) Ref() Ref { return Ref{KindStore, s.Name} }

// RetentionName is the name of the only retention object.
const RetentionName = "claims"

// Retention sets how long idempotency keys are kept.
type Retention struct {
	Name string
	// Keep is the minimum retention time of a key.
	Keep time.Duration
	// Log is the retention time of the log service's records.
	Log time.Duration
}

// Ref implements Object.
func (r Retention) Ref() Ref { return Ref{KindRetention, r.Name} }
