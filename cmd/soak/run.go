package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/checker"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/planner"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/runner"
)

// Names of files in a run's directory: the plan, and the log of the runner and the log store.
const (
	planName = "plan.txt"
	logName  = "soak.log"
)

// soak is what the flags of the verbs run and plan say.
type soak struct {
	seed, runs             uint64
	length                 time.Duration
	shape                  planner.Shape
	clients                int
	plan, relay, directory string
}

// run runs the soaks one after the other. It returns an error if a record breaks a rule.
func (s *soak) run(ctx context.Context) error {
	broken := 0
	for seed := s.seed; seed < s.seed+s.runs && ctx.Err() == nil; seed++ {
		fmt.Println("seed", seed)
		directory := filepath.Join(s.directory, fmt.Sprintf("seed-%d", seed))
		if err := s.runSeed(ctx, seed, directory); err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		findings, err := checkRecord(directory)
		if err != nil {
			return err
		}
		if findings > 0 {
			broken++
		}
	}
	if broken > 0 {
		return errors.Newf("%d of %d records break rules", broken, s.runs)
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
	if err := errors.CombineErrors(os.MkdirAll(s.directory, 0o755), os.Mkdir(directory, 0o755)); err != nil {
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
		Shape: s.shape, Plan: steps, Length: s.length, Seed: seed, Clients: s.clients,
		RelayProgram: s.relay, Directory: directory, Log: log,
	}).Run(ctx)
}

// checkRecord prints what breaks a rule, and the rules that had nothing to judge. It returns the
// number of findings.
func checkRecord(directory string) (int, error) {
	file, err := os.Open(filepath.Join(directory, runner.RecordName))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	events, err := recorder.Read(file)
	if err != nil {
		return 0, err
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
	return len(findings), nil
}
