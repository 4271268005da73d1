package exerciser

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

// Round is one way of serving the same load.
type Round struct {
	Name   string
	Policy string
	Stores bool
}

// AllRounds lists the rounds from the baseline on, each with one change more.
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
	readyTimeout = 20 * time.Second
	sendTimeout  = time.Minute
)

// Rounds serves the same load in several ways, each on a fresh site of stand-ins
// in this process. Its fields are set before Run.
type Rounds struct {
	Workload string
	Seed     uint64
	Span     time.Duration
	Factor   float64
	// Nodes, Engines and Ceiling size the site.
	Nodes   int
	Engines int
	Ceiling float64
	// Only names the one round to run; empty for all.
	Only string
	// Deadline is the longest wait of a chat request; zero for ten seconds.
	Deadline time.Duration
	Out      io.Writer
}

// Run runs the rounds and prints their reports.
func (r *Rounds) Run(ctx context.Context) error {
	for _, round := range AllRounds() {
		if r.Only != "" && r.Only != round.Name {
			continue
		}
		if err := r.run(ctx, round); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rounds) run(ctx context.Context, round Round) error {
	shape, err := GetShape(r.Workload)
	if err != nil {
		return err
	}
	site, err := assembler.Start(r.plan())
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
		Arrivals: shape.Scale(r.Factor).Arrivals(r.Seed, r.Span),
		Timeout:  sendTimeout,
	}
	report := load.Run(ctx)
	fmt.Fprintf(r.Out, "== %s, %s, %s, x%g\n%s", r.Workload, round.Name, r.Span, r.Factor, report)
	r.printSite(site, nodes, report.Span)
	return nil
}

func (r *Rounds) plan() assembler.Plan {
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
				return errors.New("a node did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// printSite prints what the site saw: link use, executions of orders, power.
func (r *Rounds) printSite(site *assembler.Site, nodes []*assembler.RunningNode, span time.Duration) {
	moved := site.MovedBytes()
	fmt.Fprintf(r.Out, "links: %.1f MB moved, %.1f%% of their capacity\n",
		float64(moved)/(1<<20), 100*float64(moved)/(float64(len(site.Stores))*float64(site.Plan.StoreLinkRate)*span.Seconds()))
	doubled, corrupt := 0, 0
	executions := map[string]int{}
	for _, worker := range site.Workers {
		for order, n := range worker.Executions() {
			executions[order] += n
		}
	}
	for _, n := range executions {
		if n > 1 {
			doubled++
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
		len(executions), doubled, corrupt, peak)
}
