package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/caller"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/checker"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/operator"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/planner"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/runner"
)

// Names of files in a run's directory: the plan, and the log of the runner and the log store.
const (
	planName = "plan.txt"
	logName  = "soak.log"
)

// errFindings is returned if a record breaks a rule.
var errFindings = errors.New("the record breaks rules")

// soak is what the flags of the verbs run and plan say.
type soak struct {
	seed, runs             uint64
	length                 time.Duration
	shape                  planner.Shape
	clients                int
	plan, relay, directory string
}

// run runs the soaks one after the other. It returns errFindings if a record breaks a rule.
func (s *soak) run(ctx context.Context) error {
	broken := 0
	for seed := s.seed; seed < s.seed+s.runs && ctx.Err() == nil; seed++ {
		directory := filepath.Join(s.directory, fmt.Sprintf("seed-%d", seed))
		fmt.Println("seed", seed)
		err := s.runSeed(ctx, seed, directory)
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
		return errors.Wrapf(errFindings, "%d of %d seeds", broken, s.runs)
	}
	return ctx.Err()
}

func (s *soak) runSeed(ctx context.Context, seed uint64, directory string) error {
	steps := planner.Plan(seed, s.shape, s.length)
	if s.plan != "" {
		text, err := os.ReadFile(s.plan)
		if err != nil {
			return err
		}
		if steps, err = planner.Parse(string(text)); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(s.directory, 0o755); err != nil {
		return err
	}
	if err := os.Mkdir(directory, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, planName), []byte(planner.Format(steps)), 0o644); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(directory, logName))
	if err != nil {
		return err
	}
	defer file.Close()
	log := zerolog.New(file).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	return (&runner.Runner{
		Shape: s.shape, Plan: steps, Length: s.length, Seed: seed,
		RelayProgram: s.relay, SoakProgram: self, Directory: directory, Log: log,
		Connect: func(d runner.Deployment) (runner.Operator, runner.Clients) {
			changes := &operator.Operator{Log: d.Log, Record: d.Record, Seed: seed}
			return changes, &caller.Caller{
				Name: "client", Nodes: func() []caller.Node { return clientNodes(d.Nodes()) }, Current: changes.Current,
				Record: d.Record, Seed: seed, Clients: s.clients, Log: log,
			}
		},
	}).Run(ctx)
}

func clientNodes(nodes []runner.Node) []caller.Node {
	list := make([]caller.Node, len(nodes))
	for i, node := range nodes {
		list[i] = caller.Node(node)
	}
	return list
}

// checkRecord prints what breaks a rule, and the rules that had nothing to judge.
func checkRecord(directory string) error {
	file, err := os.Open(filepath.Join(directory, runner.RecordName))
	if err != nil {
		return err
	}
	defer file.Close()
	events, err := recorder.Read(file)
	if err != nil {
		return err
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
