package benchmarker

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/assembler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// Round is one configuration of the nodes that get the load.
type Round struct {
	Name   string
	Policy string
	Stores bool
}

// AllRounds returns the rounds: the round-robin baseline, then the affinity and the
// cost policy, each without and with stores.
func AllRounds() []Round {
	return []Round{
		{"round-robin", "round-robin", false},
		{"affinity", "affinity", false},
		{"affinity, stores", "affinity", true},
		{"cost", "cost", false},
		{"cost, stores", "cost", true},
	}
}

const (
	readyTimeout   = 20 * time.Second
	requestTimeout = time.Minute
)

// Rounds sends the same load to nodes of several configurations, each on a new site of
// stand-ins in this process. Set its fields before Run.
type Rounds struct {
	Workload string
	Seed     uint64
	// Span is the duration of the load, and Factor multiplies the rates of the
	// workload.
	Span   time.Duration
	Factor float64
	// Nodes and Engines are the numbers of nodes and engines of the site, and Ceiling
	// is its power ceiling in watts.
	Nodes   int
	Engines int
	Ceiling float64
	// Only is the name of the only round to run; empty for all.
	Only string
	// Deadline is the maximum queue time of a chat request; zero for ten seconds.
	Deadline time.Duration
	Out      io.Writer
}

// Run runs the rounds and prints their reports.
func (r *Rounds) Run(ctx context.Context) error {
	for _, round := range AllRounds() {
		if r.Only != "" && r.Only != round.Name {
			continue
		}
		if err := r.runRound(ctx, round); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rounds) runRound(ctx context.Context, round Round) error {
	workload, err := GetWorkload(r.Workload)
	if err != nil {
		return err
	}
	site, err := assembler.Start(r.sitePlan())
	if err != nil {
		return err
	}
	defer site.Close()
	nodes, addresses, err := r.startNodes(ctx, site, round)
	if err != nil {
		return err
	}
	load := &Load{
		Nodes:    addresses,
		Arrivals: workload.Scale(r.Factor).Arrivals(r.Seed, r.Span),
		Timeout:  requestTimeout,
	}
	report := load.Run(ctx)
	fmt.Fprintf(r.Out, "== %s, %s, %s, x%g\n%s", r.Workload, round.Name, r.Span, r.Factor, report)
	r.printSiteStats(site, nodes, report.Span)
	return nil
}

func (r *Rounds) sitePlan() assembler.Plan {
	// The objective is the one that the example configuration of the workload declares.
	objective := configurator.ObjectiveRecompute
	if r.Workload == "suurdeeg" {
		objective = configurator.ObjectiveFirstToken
	}
	return assembler.Plan{
		Domains:       []string{"kadikoy", "bursa", "izmit"},
		Engines:       r.Engines,
		Workers:       3,
		Stores:        2,
		StoreBytes:    256 << 20,
		StoreLinkRate: 64 << 20,
		Ceiling:       r.Ceiling,
		Objective:     objective,

		ChatDeadline: r.Deadline,
		Engine:       assembler.EnginePlan{CacheBlocks: 64, PrefillRate: 20000, TokenInterval: 10 * time.Millisecond},
	}
}

func (r *Rounds) startNodes(ctx context.Context, site *assembler.Site, round Round) ([]*assembler.RunningNode, []netip.AddrPort, error) {
	if err := site.Publish(ctx, "w1"); err != nil {
		return nil, nil, err
	}
	var nodes []*assembler.RunningNode
	var addresses []netip.AddrPort
	for i := range r.Nodes {
		domain := site.Plan.Domains[i%len(site.Plan.Domains)]
		settings := site.Settings(fmt.Sprintf("%s-%d", domain, i+1), domain)
		settings.Policy = round.Policy
		settings.Stores = round.Stores
		nodes = append(nodes, site.StartNode(settings))
		addresses = append(addresses, settings.Callers)
	}
	return nodes, addresses, awaitNodes(nodes, r.Engines)
}

func awaitNodes(nodes []*assembler.RunningNode, endpoints int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, node := range nodes {
		for !node.Ready(endpoints) {
			if time.Now().After(deadline) {
				return errors.New("a node did not load the configuration and the engines' reports before the timeout")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// printSiteStats prints statistics of the stand-ins (use of the links, executions of
// orders, corrupt blocks) and the nodes' peak power.
func (r *Rounds) printSiteStats(site *assembler.Site, nodes []*assembler.RunningNode, span time.Duration) {
	movedBytes := site.MovedBytes()
	fmt.Fprintf(r.Out, "links: %.1f MB moved, %.1f%% of their capacity\n",
		float64(movedBytes)/(1<<20), 100*float64(movedBytes)/(float64(len(site.Stores))*float64(site.Plan.StoreLinkRate)*span.Seconds()))
	executedRepeatedly, corrupt := 0, 0
	executions := map[string]int{}
	for _, worker := range site.Workers {
		for order, n := range worker.Executions() {
			executions[order] += n
		}
	}
	for _, n := range executions {
		if n > 1 {
			executedRepeatedly++
		}
	}
	for _, engine := range site.Engines {
		corrupt += engine.Stats().CorruptBlocks
	}
	peak := 0.0
	for _, node := range nodes {
		peak += node.Status().PeakWatts
	}
	fmt.Fprintf(r.Out, "orders run: %d, run twice: %d; corrupt blocks read: %d; sum of the nodes' peak watts: %.0f\n\n",
		len(executions), executedRepeatedly, corrupt, peak)
}
