// Package assembler starts a small platform of stand-ins and nodes in one
// process, for the demonstration, load runs and tests over real connections.
//
// # Usage
//
//	site, err := assembler.Start(assembler.Plan{
//		Domains: []string{"kadikoy"},
//		Engines: 3,
//		Engine:  assembler.EnginePlan{CacheBlocks: 64, PrefillRate: 20000},
//	})
//	defer site.Close()
//	err = site.Publish(ctx, "w1")
//	node := site.StartNode(site.Settings("kadikoy-1", "kadikoy"))
package assembler

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/commander"
	"github.com/lacewingrelay/lacewingrelay/internal/parser"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/runner"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/appender"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/lister"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/responder"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/starter"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/storer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// ModelService is the name of the model service; its endpoints are a site's engines.
	ModelService = "usta-llm"
	// PlainService is the name of the plain service; its endpoints are a site's workers.
	PlainService = "atolye"
	// StoreService is the name of the service of a site's store hosts.
	StoreService = "hafiza-a"
	// FirstTeamKey is the bearer key of a site's first team.
	FirstTeamKey = "members-key"
	// SecondTeamKey is the bearer key of a site's second team.
	SecondTeamKey = "collectors-key"

	defaultChatDeadline = 10 * time.Second

	peerKey     = "peer-key-of-the-stand-in-site"
	operatorKey = "operator-key-of-the-stand-in-site"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// Plan describes a site.
type Plan struct {
	Domains []string
	// Engines, Workers and Stores are totals over all failure domains.
	Engines int
	Workers int
	Stores  int
	// Engine holds the parameters of each engine.
	Engine EnginePlan
	// StoreBytes is the capacity of a store host in bytes.
	StoreBytes int64
	// StoreLinkRate is the link rate of a store host in bytes per second; zero for
	// no limit.
	StoreLinkRate int64
	// Ceiling is the power ceiling in watts; zero for none.
	Ceiling float64
	// Objective is the model service's routing objective.
	Objective configurator.Objective
	// ChatDeadline is the maximum queue time of a chat request; zero for ten
	// seconds.
	ChatDeadline time.Duration
}

// EnginePlan holds the parameters that all engines of a site share.
type EnginePlan struct {
	CacheBlocks   int
	PrefillRate   float64
	TokenInterval time.Duration
	Fencing       bool
	DropEvery     int
}

// Site is a running platform of stand-ins with the nodes that were started on it;
// unlike declarer.Site, it is not a configuration. Log, Hosts, EngineServers,
// WorkerServers and StoreServers are the HTTP servers of LogService, HostList,
// Engines, Workers and Stores.
type Site struct {
	Plan          Plan
	Log           *starter.Server
	LogService    *appender.Server
	Hosts         *starter.Server
	HostList      *lister.Server
	Engines       []*generator.Server
	EngineServers []*starter.Server
	Workers       []*responder.Server
	WorkerServers []*starter.Server
	Stores        []*storer.Server
	StoreServers  []*starter.Server
	nodeStops     []func()
}

// Start starts the stand-ins of a plan. If an endpoint cannot be started, it returns
// the error and the site with the stand-ins that run so far, for the caller to close.
func Start(plan Plan) (*Site, error) {
	site := &Site{Plan: plan, LogService: &appender.Server{}, HostList: &lister.Server{Lag: 100 * time.Millisecond}}
	var err error
	if site.Log, err = starter.Start(anyFreePort(), site.LogService); err != nil {
		return nil, err
	}
	if site.Hosts, err = starter.Start(anyFreePort(), site.HostList); err != nil {
		return nil, err
	}
	return site, site.startEndpoints()
}

func anyFreePort() netip.AddrPort { return netip.AddrPortFrom(loopback, 0) }

func (s *Site) startEndpoints() error {
	for i := range s.Plan.Engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i := range s.Plan.Workers {
		worker := &responder.Server{Name: fmt.Sprintf("%s-%d", PlainService, i+1), WorkTime: time.Millisecond}
		server, err := starter.Start(anyFreePort(), worker)
		if err != nil {
			return err
		}
		s.Workers = append(s.Workers, worker)
		s.WorkerServers = append(s.WorkerServers, server)
		s.registerHost(worker.Name, PlainService, i, server)
	}
	for i := range s.Plan.Stores {
		store := &storer.Server{Capacity: s.Plan.StoreBytes, LinkRate: s.Plan.StoreLinkRate}
		server, err := starter.Start(anyFreePort(), store)
		if err != nil {
			return err
		}
		s.Stores = append(s.Stores, store)
		s.StoreServers = append(s.StoreServers, server)
		s.registerHost(fmt.Sprintf("%s-%d", StoreService, i+1), StoreService, i, server)
	}
	return nil
}

func (s *Site) startEngine(i int) error {
	engine := &generator.Server{
		Name:          fmt.Sprintf("%s-%d", ModelService, i+1),
		LoadedWeights: "w1",
		CacheBlocks:   s.Plan.Engine.CacheBlocks,
		BlockBytes:    16 << 10,
		PrefillRate:   s.Plan.Engine.PrefillRate,
		TokenInterval: s.Plan.Engine.TokenInterval,
		ReportLag:     50 * time.Millisecond,
		DropEvery:     s.Plan.Engine.DropEvery,
		Fencing:       s.Plan.Engine.Fencing,
		LoadTime:      200 * time.Millisecond,
		RestartTime:   300 * time.Millisecond,
		IdleWatts:     50,
		RunWatts:      20,
	}
	server, err := starter.Start(anyFreePort(), engine)
	if err != nil {
		return err
	}
	engine.OnCrash = server.Crash
	s.Engines = append(s.Engines, engine)
	s.EngineServers = append(s.EngineServers, server)
	s.registerHost(engine.Name, ModelService, i, server)
	return nil
}

func (s *Site) registerHost(name, service string, i int, server *starter.Server) {
	// Endpoints are spread over the failure domains in turn.
	s.HostList.Put(lister.Host{
		Name:    name,
		Service: service,
		Domain:  s.Plan.Domains[i%len(s.Plan.Domains)],
		Address: server.Address(),
		State:   lister.StateLive,
	})
}

// MovedBytes returns the sum of MovedBytes over all store hosts.
func (s *Site) MovedBytes() int64 {
	sum := int64(0)
	for _, store := range s.Stores {
		sum += store.MovedBytes()
	}
	return sum
}

// Declaration returns the site's configuration, in which the version of the model
// has the given weights.
func (s *Site) Declaration(weights string) transcoder.Declaration {
	objects := []configurator.Object{
		configurator.Priority{Name: "chat", Rank: 0, Deadline: cmp.Or(s.Plan.ChatDeadline, defaultChatDeadline)},
		configurator.Priority{Name: "orders", Rank: 1, Deadline: 5 * time.Second},
		configurator.Priority{Name: "bulk", Rank: 9, Deadline: 30 * time.Second},
		team("members", FirstTeamKey),
		team("collectors", SecondTeamKey),
		configurator.Service{
			Name: ModelService, Type: configurator.ServiceModel, Priority: "chat", Objective: s.objective(),
			Fencing: s.Plan.Engine.Fencing, Concurrency: 8, IdleWatts: 50, RunWatts: 20, Timeout: 2 * time.Second,
		},
		configurator.Service{
			Name: PlainService, Type: configurator.ServicePlain, Priority: "orders",
			Concurrency: 32, RunWatts: 1, Timeout: 2 * time.Second,
		},
		configurator.Version{Name: "usta-" + weights, Model: "usta", Weights: weights},
		configurator.Model{Name: "usta", Service: ModelService, Version: "usta-" + weights},
	}
	shares := map[string]float64{}
	for _, domain := range s.Plan.Domains {
		objects = append(objects, configurator.Domain{Name: domain, Region: "marmara", Hosts: 1})
		shares[domain] = s.Plan.Ceiling / float64(len(s.Plan.Domains))
	}
	if s.Plan.Ceiling > 0 {
		objects = append(objects, configurator.Ceiling{Name: "site", Watts: s.Plan.Ceiling, Shares: shares})
	}
	if s.Plan.Stores > 0 {
		// The declared bandwidth is at least 1 GiB/s, whatever the stand-in's link
		// allows. The configuration must not declare zero.
		objects = append(objects, configurator.Store{
			Name: StoreService, Domain: s.Plan.Domains[0], Bytes: s.Plan.StoreBytes, LinkBytes: max(s.Plan.StoreLinkRate, 1<<30),
		})
	}
	return transcoder.Declaration{Rules: configurator.RulesVersion, Objects: objects}
}

// EncodeConfiguration returns the site's configuration in the form that
// operators publish.
func (s *Site) EncodeConfiguration(weights string) []byte {
	encoded, err := transcoder.EncodeDeclaration(s.Declaration(weights))
	if err != nil {
		panic(err)
	}
	return encoded
}

func (s *Site) objective() configurator.Objective {
	if s.Plan.Objective == "" {
		return configurator.ObjectiveRecompute
	}
	return s.Plan.Objective
}

func team(name, key string) configurator.Team {
	sum := sha256.Sum256([]byte(key))
	return configurator.Team{Name: name, KeyHash: hex.EncodeToString(sum[:]), Rate: 1000, Burst: 1000, Concurrency: 500}
}

// Publish publishes the site's configuration with the given weights.
func (s *Site) Publish(ctx context.Context, weights string) error {
	publish := &commander.Publish{Log: s.Log.Address(), Base: -1, Out: io.Discard}
	return publish.Declare(ctx, s.Declaration(weights))
}

// Settings returns the settings of a new node of the site, on free ports.
func (s *Site) Settings(name, domain string) parser.Settings {
	return parser.Settings{
		Name:        name,
		Domain:      domain,
		Callers:     FreeAddress(),
		Peers:       FreeAddress(),
		Operators:   FreeAddress(),
		Log:         s.Log.Address(),
		Hosts:       s.Hosts.Address(),
		PeerKey:     []byte(peerKey),
		OperatorKey: operatorKey,
		Policy:      "cost",
		Stores:      true,
		Grace:       100 * time.Millisecond,
		DrainLimit:  time.Minute,
	}
}

// RunningNode is a node that runs in this process.
type RunningNode struct {
	*runner.Node
	// Stop shuts the node down gracefully and returns when it has ended. The node
	// stays on the host list. Later calls do nothing.
	Stop func() error
}

// StartNode starts a node in this process and adds it to the host list.
func (s *Site) StartNode(settings parser.Settings) *RunningNode {
	ctx, cancel := context.WithCancel(context.Background())
	node := &runner.Node{Settings: settings, Log: zerolog.Nop()}
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	s.HostList.Put(lister.Host{
		Name: settings.Name, Service: "lacewingrelay", Domain: settings.Domain, Address: settings.Peers, State: lister.StateLive,
	})
	stopped := false
	stop := func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		return <-done
	}
	s.nodeStops = append(s.nodeStops, func() { _ = stop() })
	return &RunningNode{Node: node, Stop: stop}
}

// Close shuts down the nodes and then the stand-ins.
func (s *Site) Close() {
	for _, stop := range s.nodeStops {
		stop()
	}
	all := []*starter.Server{s.Log, s.Hosts}
	all = append(all, s.EngineServers...)
	all = append(all, s.WorkerServers...)
	all = append(all, s.StoreServers...)
	for _, server := range all {
		server.Close()
	}
}
