// Package assembler starts a small platform of stand-ins and nodes in one
// process, for the demonstration and for tests over real connections.
//
// # Usage
//
//	site, err := assembler.Start(assembler.Plan{Domains: []string{"kadikoy"}, Engines: 3, Workers: 2})
//	defer site.Close()
//	node, err := site.StartNode("kadikoy-1", "kadikoy")
package assembler

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/commander"
	"github.com/lacewingrelay/lacewingrelay/internal/parser"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/runner"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/appender"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/keeper"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/lister"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/responder"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/starter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// ModelService is the service of a site's engines.
	ModelService = "usta-llm"
	// PlainService is the service of a site's workers.
	PlainService = "atolye"
	// StoreService is the service of a site's store hosts.
	StoreService = "hafiza-a"
	// TeamKey is the bearer key of a site's first team.
	TeamKey = "members-key"
	// OtherKey is the bearer key of a site's second team.
	OtherKey = "collectors-key"

	defaultDeadline = 10 * time.Second

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
	// Engine is what each engine is a copy of.
	Engine EnginePlan
	// StoreBytes and StoreLink are the capacity and the link rate of a store
	// host, in bytes and bytes per second.
	StoreBytes int64
	StoreLink  int64
	// Ceiling is the power ceiling in watts; zero for none.
	Ceiling float64
	// Objective is the model service's routing objective.
	Objective configurator.Objective
	// ChatDeadline is the longest wait of a chat request; zero for ten seconds.
	ChatDeadline time.Duration
}

// EnginePlan is what the engines of a site have in common.
type EnginePlan struct {
	CacheBlocks   int
	PrefillRate   float64
	TokenInterval time.Duration
	Fencing       bool
	DropEvents    int
}

// Site is a running platform of stand-ins.
type Site struct {
	Plan      Plan
	Log       *starter.Server
	LogStore  *appender.Server
	Hosts     *starter.Server
	HostList  *lister.Server
	Engines   []*generator.Server
	EngineAt  []*starter.Server
	Workers   []*responder.Server
	WorkerAt  []*starter.Server
	Stores    []*keeper.Server
	StoreAt   []*starter.Server
	nodeStops []func()
}

// Start starts the stand-ins of a plan.
func Start(plan Plan) (*Site, error) {
	site := &Site{Plan: plan, LogStore: &appender.Server{}, HostList: &lister.Server{Lag: 100 * time.Millisecond}}
	var err error
	if site.Log, err = starter.Start(anyPort(), site.LogStore); err != nil {
		return nil, err
	}
	if site.Hosts, err = starter.Start(anyPort(), site.HostList); err != nil {
		return nil, err
	}
	return site, site.startEndpoints()
}

func anyPort() netip.AddrPort { return netip.AddrPortFrom(loopback, 0) }

func (s *Site) startEndpoints() error {
	for i := range s.Plan.Engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i := range s.Plan.Workers {
		worker := &responder.Server{Name: fmt.Sprintf("%s-%d", PlainService, i+1), Work: time.Millisecond}
		server, err := starter.Start(anyPort(), worker)
		if err != nil {
			return err
		}
		s.Workers = append(s.Workers, worker)
		s.WorkerAt = append(s.WorkerAt, server)
		s.announce(worker.Name, PlainService, i, server)
	}
	for i := range s.Plan.Stores {
		store := &keeper.Server{Capacity: s.Plan.StoreBytes, LinkBytes: s.Plan.StoreLink}
		server, err := starter.Start(anyPort(), store)
		if err != nil {
			return err
		}
		s.Stores = append(s.Stores, store)
		s.StoreAt = append(s.StoreAt, server)
		s.announce(fmt.Sprintf("%s-%d", StoreService, i+1), StoreService, i, server)
	}
	return nil
}

func (s *Site) startEngine(i int) error {
	engine := &generator.Server{
		Name:          fmt.Sprintf("%s-%d", ModelService, i+1),
		Version:       "w1",
		CacheBlocks:   s.Plan.Engine.CacheBlocks,
		BlockBytes:    16 << 10,
		PrefillRate:   s.Plan.Engine.PrefillRate,
		TokenInterval: s.Plan.Engine.TokenInterval,
		ReportLag:     50 * time.Millisecond,
		DropEvents:    s.Plan.Engine.DropEvents,
		Fencing:       s.Plan.Engine.Fencing,
		LoadTime:      200 * time.Millisecond,
		RestartTime:   300 * time.Millisecond,
		IdleWatts:     50,
		RunWatts:      20,
	}
	server, err := starter.Start(anyPort(), engine)
	if err != nil {
		return err
	}
	engine.Crashed = server.Crash
	s.Engines = append(s.Engines, engine)
	s.EngineAt = append(s.EngineAt, server)
	s.announce(engine.Name, ModelService, i, server)
	return nil
}

func (s *Site) announce(name, service string, i int, server *starter.Server) {
	s.HostList.Put(lister.Host{
		Name:    name,
		Service: service,
		Domain:  s.Plan.Domains[i%len(s.Plan.Domains)],
		Address: server.Address(),
		State:   lister.StateLive,
	})
}

// Moved returns the bytes that crossed the links of all store hosts.
func (s *Site) Moved() int64 {
	sum := int64(0)
	for _, store := range s.Stores {
		sum += store.Moved()
	}
	return sum
}

// Declaration returns the site's configuration.
func (s *Site) Declaration(weights string) transcoder.Declaration {
	objects := []configurator.Object{
		configurator.Priority{Name: "chat", Rank: 0, Deadline: cmp.Or(s.Plan.ChatDeadline, defaultDeadline)},
		configurator.Priority{Name: "orders", Rank: 1, Deadline: 5 * time.Second},
		configurator.Priority{Name: "bulk", Rank: 9, Deadline: 30 * time.Second},
		team("members", TeamKey),
		team("collectors", OtherKey),
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
		objects = append(objects, configurator.Store{
			Name: StoreService, Domain: s.Plan.Domains[0], Bytes: s.Plan.StoreBytes, LinkBytes: max(s.Plan.StoreLink, 1<<30),
		})
	}
	return transcoder.Declaration{Rules: configurator.RulesVersion, Objects: objects}
}

// Print returns the site's configuration as operators publish it.
func (s *Site) Print(weights string) []byte {
	printed, err := transcoder.EncodeDeclaration(s.Declaration(weights))
	if err != nil {
		panic(err)
	}
	return printed
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

// Settings returns settings for a node of the site on free ports.
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

// NodeAt is a node that runs in this process.
type NodeAt struct {
	*runner.Node
	// Stop begins the planned stop and returns when the node has ended.
	Stop func() error
}

// StartNode runs a node in this process.
func (s *Site) StartNode(settings parser.Settings) *NodeAt {
	ctx, cancel := context.WithCancel(context.Background())
	node := &runner.Node{Settings: settings, Log: zerolog.Nop()}
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
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
		return <-ended
	}
	s.nodeStops = append(s.nodeStops, func() { _ = stop() })
	return &NodeAt{Node: node, Stop: stop}
}

// Close ends the nodes and the stand-ins.
func (s *Site) Close() {
	for _, stop := range s.nodeStops {
		stop()
	}
	all := []*starter.Server{s.Log, s.Hosts}
	all = append(all, s.EngineAt...)
	all = append(all, s.WorkerAt...)
	all = append(all, s.StoreAt...)
	for _, server := range all {
		server.Close()
	}
}

const (
	// firstPort is the first of the ports given out, and portsAProcess the
	// number that a process has to itself. All lie below the ports that systems
	// give to outgoing connections, so that none of those takes them.
	firstPort     = 10000
	portsAProcess = 100
	portProcesses = 200
)

var ports atomic.Uint32

// FreeAddress returns a loopback address that is free for TCP and for UDP.
func FreeAddress() netip.AddrPort {
	base := firstPort + os.Getpid()%portProcesses*portsAProcess
	for {
		port := base + int(ports.Add(1))%portsAProcess
		address := netip.AddrPortFrom(loopback, uint16(port))
		if free(address) {
			return address
		}
	}
}

func free(address netip.AddrPort) bool {
	stream, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	defer stream.Close()
	datagrams, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	return datagrams.Close() == nil
}
