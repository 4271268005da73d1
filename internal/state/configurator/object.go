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
	// Hosts is the number of entry hosts that share the domain's power.
	Hosts int
}

// Ref implements Object.
func (d Domain) Ref() Ref { return Ref{KindDomain, d.Name} }

// Ceiling is the fixed cap on electric power and its division by failure domain.
type Ceiling struct {
	Name  string
	Watts float64
	// Shares holds the watts of each failure domain.
	Shares map[string]float64
}

// Ref implements Object.
func (c Ceiling) Ref() Ref { return Ref{KindCeiling, c.Name} }

// Priority is a class of traffic.
type Priority struct {
	Name string
	// Rank orders the classes; a lower rank is served first.
	Rank int
	// Deadline is the longest time a request of the class waits for admission.
	Deadline time.Duration
}

// Ref implements Object.
func (p Priority) Ref() Ref { return Ref{KindPriority, p.Name} }

// Team is a customer; teams never see each other's prompts, cache or answers.
type Team struct {
	Name string
	// KeyHash is the lower-case hexadecimal SHA-256 of the team's bearer key.
	KeyHash string
	// Rate is the sustained limit in requests per second over all nodes.
	Rate float64
	// Burst is the largest number of requests admitted at once over all nodes.
	Burst int
	// Concurrency is the largest number of running requests over all nodes.
	Concurrency int
}

// Ref implements Object.
func (t Team) Ref() Ref { return Ref{KindTeam, t.Name} }

// ServiceType tells model engines from plain HTTP services.
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
	// Priority is the class of requests that name none.
	Priority string
	// Objective applies to model services only.
	Objective Objective
	// Fencing tells whether the endpoints refuse orders with an old fencing number.
	Fencing bool
	// Concurrency is the number of requests one endpoint runs at once.
	Concurrency int
	// IdleWatts is the power of one endpoint without requests.
	IdleWatts float64
	// RunWatts is the added power of one running request.
	RunWatts float64
	// Timeout bounds one attempt without any progress.
	Timeout time.Duration
}

// Ref implements Object.
func (s Service) Ref() Ref { return Ref{KindService, s.Name} }

// Model is a name that callers put into prompts.
type Model struct {
	Name    string
	Service string
	// Version names the version object that new requests use.
	Version string
}

// Ref implements Object.
func (m Model) Ref() Ref { return Ref{KindModel, m.Name} }

// Version is one set of weights of a model.
type Version struct {
	Name  string
	Model string
	// Weights is the name of the weights in the weight store.
	Weights string
}

// Ref implements Object.
func (v Version) Ref() Ref { return Ref{KindVersion, v.Name} }

// Store is a service of store hosts that keep KV cache blocks.
type Store struct {
	Name   string
	Domain string
	// Bytes is the capacity of one store host.
	Bytes int64
	// LinkBytes is the rate of the link to one store host in bytes per second.
	LinkBytes int64
}

// Ref implements Object.
func (s Store) Ref() Ref { return Ref{KindStore, s.Name} }

// RetentionName is the name of the one retention object.
const RetentionName = "claims"

// Retention tells how long idempotency keys count.
type Retention struct {
	Name string
	// Keep is the least time for which a key is remembered.
	Keep time.Duration
	// Log is the time for which the log service keeps records.
	Log time.Duration
}

// Ref implements Object.
func (r Retention) Ref() Ref { return Ref{KindRetention, r.Name} }
