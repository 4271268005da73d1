package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/caller"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/checker"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/operator"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/planner"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/runner"
)

// planName is the name of the plan in a run's directory.
const planName = "plan.txt"

// errFindings is returned if a record breaks a rule.
var errFindings = errors.New("the record breaks rules")

// options are those of the verbs run and plan.
type options struct {
	seed                  uint64
	seeds, plan           string
	length                time.Duration
	shape                 planner.Shape
	clients               int
	relay, directory      string
	engines, plain, other int
}

func addSoakVerbs(app *kingpin.Application, verbs map[string]func(context.Context) error) {
	o := &options{}
	run := app.Command("run", "Run a soak of each seed, and check its record.")
	plan := app.Command("plan", "Print the plan of a seed.")
	for _, verb := range []*kingpin.CmdClause{run, plan} {
		verb.Flag("seed", "The seed.").Default("1").Uint64Var(&o.seed)
		verb.Flag("length", "How long clients send requests.").Default("60s").DurationVar(&o.length)
		verb.Flag("nodes", "The number of nodes.").Default("7").IntVar(&o.shape.Nodes)
		verb.Flag("engines", "The number of model engines.").Default("4").IntVar(&o.engines)
		verb.Flag("plain", "The number of endpoints of the plain service.").Default("3").IntVar(&o.plain)
		verb.Flag("other", "The number of endpoints of the other service.").Default("2").IntVar(&o.other)
	}
	run.Flag("seeds", "A range of seeds to run one after the other, such as 1-50.").StringVar(&o.seeds)
	run.Flag("plan", "A file with the plan to use instead of that of the seed.").ExistingFileVar(&o.plan)
	run.Flag("clients", "The number of clients.").Default("100").IntVar(&o.clients)
	run.Flag("relay", "The program platformrelay.").Required().ExistingFileVar(&o.relay)
	run.Flag("directory", "Where each run gets a directory of its own, which must not exist yet.").Required().StringVar(&o.directory)
	check := app.Command("check", "Check the record of a run.")
	checked := check.Arg("directory", "The run's directory.").Required().String()

	verbs[run.FullCommand()] = func(ctx context.Context) error { return runSeeds(ctx, o) }
	verbs[plan.FullCommand()] = func(context.Context) error {
		fmt.Print(planner.Format(planner.Plan(o.seed, o.fullShape(), o.length)))
		return nil
	}
	verbs[check.FullCommand()] = func(context.Context) error { return checkRecord(*checked) }
}

func (o *options) fullShape() planner.Shape {
	shape := o.shape
	for i, n := range []int{o.engines, o.plain, o.other} {
		service := planner.DefaultShape.Services[i]
		service.Endpoints = n
		shape.Services = append(shape.Services, service)
	}
	return shape
}

// runSeeds runs all seeds. It returns errFindings if a record breaks a rule.
func runSeeds(ctx context.Context, o *options) error {
	first, last, err := o.seedRange()
	if err != nil {
		return err
	}
	broken := 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		directory := filepath.Join(o.directory, fmt.Sprintf("seed-%d", seed))
		fmt.Println("seed", seed)
		err := runSeed(ctx, o, seed, directory)
		if err == nil {
			err = checkRecord(directory)
		}
		switch {
		case errors.Is(err, errFindings):
			broken++
		case err != nil:
			return errors.Wrapf(err, "seed %d", seed)
		}
	}
	if broken > 0 {
		return errors.Wrapf(errFindings, "%d of %d seeds", broken, last-first+1)
	}
	return ctx.Err()
}

func (o *options) seedRange() (first, last uint64, err error) {
	if o.seeds == "" {
		return o.seed, o.seed, nil
	}
	low, high, _ := strings.Cut(o.seeds, "-")
	if first, err = strconv.ParseUint(low, 10, 64); err != nil {
		return 0, 0, errors.Mark(err, errInput)
	}
	if last, err = strconv.ParseUint(high, 10, 64); err != nil {
		return 0, 0, errors.Mark(err, errInput)
	}
	return first, last, nil
}

func runSeed(ctx context.Context, o *options, seed uint64, directory string) error {
	shape := o.fullShape()
	steps := planner.Plan(seed, shape, o.length)
	if o.plan != "" {
		text, err := os.ReadFile(o.plan)
		if err != nil {
			return errors.Mark(err, errInput)
		}
		if steps, err = planner.Parse(string(text)); err != nil {
			return errors.Mark(err, errInput)
		}
	}
	if err := os.MkdirAll(o.directory, 0o755); err != nil {
		return errors.Mark(err, errInput)
	}
	if err := os.Mkdir(directory, 0o755); err != nil {
		return errors.Mark(err, errInput)
	}
	if err := os.WriteFile(filepath.Join(directory, planName), []byte(planner.Format(steps)), 0o644); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log := newLogger()
	return (&runner.Runner{
		Shape: shape, Plan: steps, Length: o.length,
		RelayProgram: o.relay, SoakProgram: self, Directory: directory, Log: log,
		Connect: func(d runner.Deployment) (runner.Operator, runner.Clients) {
			changes := &operator.Operator{Log: d.Log, Record: d.Record, Seed: seed}
			return changes, &caller.Caller{
				Nodes: d.Nodes, Current: changes.Current, Record: d.Record, Seed: seed, Clients: o.clients, Log: log,
			}
		},
	}).Run(ctx)
}

// checkRecord prints what breaks a rule, and the rules that had nothing to judge.
func checkRecord(directory string) error {
	file, err := os.Open(filepath.Join(directory, runner.RecordName))
	if err != nil {
		return errors.Mark(err, errInput)
	}
	defer file.Close()
	events, err := recorder.Read(file)
	if err != nil {
		return errors.Mark(err, errInput)
	}
	findings, unseen := checker.Check(events)
	for _, f := range findings {
		fmt.Printf("%s: %s: %s %s\n", f.Time.Format(time.RFC3339Nano), f.Rule, f.Request, f.Detail)
	}
	for _, rule := range unseen {
		fmt.Printf("nothing to judge: %s\n", rule)
	}
	pauses := 0
	for _, e := range events {
		if e.Kind == recorder.Disturbed && e.Target == recorder.Host {
			pauses++
		}
	}
	fmt.Printf("%d events, %d pauses of the host, %d findings\n", len(events), pauses, len(findings))
	if len(findings) > 0 {
		return errFindings
	}
	return nil
}
