package dispatcher

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/router"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	answerTokens = 6
	poisonText   = "poison"
)

// promptFaults are the faults that can be injected into an attempt at a prompt.
var promptFaults = []string{
	"not sent", "refused", "broken at once", "broken midway", "broken at the end", "stalled at once", "stalled midway",
	"token left out", "token doubled", "early end", "swap midway", "leaving", "slow",
}

// promptSimulation simulates engines and nodes.
type promptSimulation struct {
	mu sync.Mutex
	// faults holds the faults of the next attempts, in order.
	faults       []string
	weights      map[string]string
	crashes      int
	leavingSince map[string]time.Time
	// runs counts, per request, the attempts that an engine started.
	runs       map[string]int
	violations []string
	nodes      []*PromptRunner
}

func newPromptSimulation(nodes int, faults ...string) *promptSimulation {
	sim := &promptSimulation{faults: faults, weights: map[string]string{}, leavingSince: map[string]time.Time{}, runs: map[string]int{}}
	for i := range 4 {
		sim.weights[fmt.Sprintf("engine-%d", i)] = "w1"
	}
	for i := range nodes {
		sim.nodes = append(sim.nodes, sim.newNode(fmt.Sprintf("n%d", i)))
	}
	sim.publish()
	return sim
}

func (sim *promptSimulation) newNode(name string) *PromptRunner {
	suspects := &retrier.Suspects{Node: name, Expiry: time.Hour}
	return &PromptRunner{
		SnapshotPointer: &publisher.SnapshotPointer{}, Engine: sim, InFlight: &InFlight{}, Policy: router.Must("cost"),
		Hints: &hinter.Table{Limit: 100}, Budget: &retrier.Budget{Ratio: 1, Reserve: 20}, Jitter: fixedJitter,
		Suspects: suspects, Broadcast: func() { sim.announceSuspects(name, suspects) },
		Journal: &recorder.Ring{Capacity: 64}, Now: time.Now,
	}
}

// announceSuspects sends a node's suspects to the other nodes, with a delay.
func (sim *promptSimulation) announceSuspects(name string, suspects *retrier.Suspects) {
	time.AfterFunc(2*time.Millisecond, func() {
		for _, n := range sim.nodes {
			for _, suspect := range suspects.Local(time.Now(), 10) {
				n.Suspects.Update(time.Now(), name, suspect)
			}
		}
	})
}

// publish stores a snapshot of the current engines on all nodes.
func (sim *promptSimulation) publish() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var endpoints []registrar.EndpointState
	for name, weights := range sim.weights {
		_, leaving := sim.leavingSince[name]
		endpoints = append(endpoints, registrar.EndpointState{
			Endpoint: registrar.Endpoint{Name: name, Service: "llm", Leaving: leaving},
			Report:   registrar.Report{Version: weights, PrefillRate: 1000},
		})
	}
	slices.SortFunc(endpoints, func(a, b registrar.EndpointState) int { return strings.Compare(a.Name, b.Name) })
	record := configurator.Record{Rules: configurator.RulesVersion, Changes: []configurator.Change{
		configurator.Put(configurator.Priority{Name: "chat", Deadline: time.Second}),
		configurator.Put(configurator.Service{
			Name: "llm", Type: configurator.ServiceModel, Objective: configurator.ObjectiveFirstToken,
			Priority: "chat", Concurrency: 4, Timeout: time.Second,
		}),
		configurator.Put(configurator.Version{Name: "v1", Model: "m", Weights: "w1"}),
		configurator.Put(configurator.Model{Name: "m", Service: "llm", Version: "v1"}),
	}}
	state, verdict, err := configurator.New().Apply(0, record)
	if err != nil || !verdict.Accepted() {
		panic(verdict.Reason)
	}
	for _, n := range sim.nodes {
		n.SnapshotPointer.Store(publisher.Build(state, nil, endpoints))
	}
}

func (sim *promptSimulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *promptSimulation) nextFault() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.faults) == 0 {
		return ""
	}
	fault := sim.faults[0]
	sim.faults = sim.faults[1:]
	return fault
}

// Complete implements Engine.
func (sim *promptSimulation) Complete(_ context.Context, endpoint registrar.Endpoint, completion Completion) (TokenStream, error) {
	sim.mu.Lock()
	weights := sim.weights[endpoint.Name]
	since, leaving := sim.leavingSince[endpoint.Name]
	sim.mu.Unlock()
	if leaving && time.Since(since) > 3*time.Second {
		sim.addViolation("%s received a prompt %s after it started to leave", endpoint.Name, time.Since(since))
	}
	fault := sim.nextFault()
	switch fault {
	case "not sent":
		return nil, errors.Mark(errInjected, ErrNotSent)
	case "refused":
		return nil, errors.Mark(errInjected, ErrRefused)
	case "leaving":
		sim.leave(endpoint.Name)
	case "slow":
		time.Sleep(500 * time.Millisecond)
	}
	if completion.Weights != weights {
		return nil, errors.Mark(errInjected, ErrRefused)
	}
	sim.checkBlocks(completion)
	sim.mu.Lock()
	sim.runs[completion.Request]++
	sim.mu.Unlock()
	return &standinStream{simulation: sim, endpoint: endpoint.Name, completion: completion, weights: weights, fault: fault, next: len(completion.Delivered)}, nil
}

func (sim *promptSimulation) leave(name string) {
	sim.mu.Lock()
	sim.leavingSince[name] = time.Now()
	sim.mu.Unlock()
	time.AfterFunc(2*time.Second, sim.publish)
}

// checkBlocks checks that the block IDs match the team and the weights.
func (sim *promptSimulation) checkBlocks(completion Completion) {
	text := string(completion.Messages[0])
	team, _, _ := strings.Cut(text, "|")
	expected := fingerprinter.Chain(fingerprinter.Seed{Team: team, Model: "m", Weights: completion.Weights}, completion.Messages[0])
	if !slices.Equal(expected, completion.Blocks) {
		sim.addViolation("%s received blocks of another team or other weights", completion.Request)
	}
}

type standinStream struct {
	simulation *promptSimulation
	endpoint   string
	completion Completion
	weights    string
	fault      string
	next       int
	sent       int
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

// Next implements TokenStream.
func (s *standinStream) Next() (Token, error) {
	time.Sleep(10 * time.Millisecond)
	if strings.Contains(string(s.completion.Messages[0]), poisonText) {
		s.simulation.mu.Lock()
		s.simulation.crashes++
		s.simulation.mu.Unlock()
		return Token{}, errors.Mark(errInjected, ErrBroken)
	}
	if err := s.injectFault(); err != nil {
		return Token{}, err
	}
	if s.next == answerTokens {
		return Token{}, io.EOF
	}
	s.next++
	s.sent++
	return Token{Index: s.next - 1, Text: token(s.next - 1), Weights: s.weights}, nil
}

func (s *standinStream) injectFault() error {
	midway := s.sent == 2
	switch {
	case s.fault == "broken at once" && s.sent == 0, s.fault == "broken midway" && midway, s.fault == "broken at the end" && s.next == answerTokens:
		return errors.Mark(errInjected, ErrBroken)
	case s.fault == "stalled at once" && s.sent == 0, s.fault == "stalled midway" && midway:
		time.Sleep(time.Second)
		return errors.Mark(errInjected, ErrStalled)
	case s.fault == "token left out" && midway:
		s.next++
	case s.fault == "token doubled" && midway:
		s.next--
	case s.fault == "early end" && midway:
		return io.EOF
	case s.fault == "swap midway" && midway:
		s.simulation.swapWeights(s.endpoint)
		return errors.Mark(errInjected, ErrBroken)
	}
	return nil
}

// swapWeights loads other weights on all engines but one, which is not the broken
// one.
func (sim *promptSimulation) swapWeights(broken string) {
	kept := "engine-3"
	if broken == kept {
		kept = "engine-2"
	}
	sim.mu.Lock()
	for name := range sim.weights {
		if name != kept {
			sim.weights[name] = "w2"
		}
	}
	sim.mu.Unlock()
	sim.publish()
}

// Usage implements TokenStream.
func (s *standinStream) Usage() Usage {
	return Usage{Completion: answerTokens, Reason: "length"}
}

// Close implements TokenStream.
func (s *standinStream) Close() {}

// textSink collects the text of an answer.
type textSink struct{ text strings.Builder }

// Token implements Sink.
func (s *textSink) Token(t Token) error {
	s.text.WriteString(t.Text)
	return nil
}

func (sim *promptSimulation) run(node int, team, text string) error {
	message := []byte(team + "|" + strings.Repeat(text, 2*fingerprinter.BlockBytes/len(text)))
	sim.mu.Lock()
	id := fmt.Sprintf("%s-%d", team, len(sim.runs))
	sim.runs[id] = 0
	sim.mu.Unlock()
	prompt := Prompt{
		Request: id, Team: team, Model: configurator.Model{Name: "m", Service: "llm", Version: "v1"},
		Service:  configurator.Service{Name: "llm", Concurrency: 4, Timeout: time.Second},
		Priority: configurator.Priority{Name: "chat", Deadline: time.Minute},
		Messages: [][]byte{message}, Text: message, MaxTokens: answerTokens,
	}
	sink := &textSink{}
	usage, err := sim.nodes[node].Run(context.Background(), prompt, sink)
	var expected strings.Builder
	for i := range answerTokens {
		expected.WriteString(token(i))
	}
	if !strings.HasPrefix(expected.String(), sink.text.String()) {
		sim.addViolation("the caller received %q", sink.text.String())
	}
	sim.mu.Lock()
	ran := sim.runs[id] > 0
	sim.mu.Unlock()
	if err != nil && ran && !MayHaveRun(err) {
		sim.addViolation("%s ran, but its error says that it did not run: %v", id, err)
	}
	if err == nil && (sink.text.String() != expected.String() || usage.Completion != answerTokens) {
		sim.addViolation("an answer of %q was reported as complete", sink.text.String())
	}
	return err
}

// runPrompts runs prompts of two teams with the given faults and returns the
// violations and the errors.
func runPrompts(t *testing.T, faults ...string) (violations []string, errs []error) {
	synctest.Test(t, func(*testing.T) {
		sim := newPromptSimulation(1, faults...)
		var both sync.WaitGroup
		for _, team := range []string{"members", "collectors"} {
			both.Go(func() {
				if err := sim.run(0, team, "is the enamel original? "); err != nil {
					sim.mu.Lock()
					errs = append(errs, err)
					sim.mu.Unlock()
				}
			})
		}
		both.Wait()
		time.Sleep(5 * time.Second)
		if err := sim.run(0, "members", "once more "); err != nil {
			errs = append(errs, err)
		}
		violations = sim.violations
	})
	return violations, errs
}

func TestPromptFaults(t *testing.T) {
	for _, fault := range promptFaults {
		t.Run(fault, func(t *testing.T) {
			violations, errs := runPrompts(t, fault)
			assert.Empty(t, violations)
			assert.Empty(t, errs, "a single fault must not fail a prompt")
		})
	}
}

func TestPromptFaultTriples(t *testing.T) {
	for _, fault := range promptFaults {
		t.Run(fault, func(t *testing.T) {
			for _, second := range promptFaults {
				for _, third := range promptFaults {
					violations, _ := runPrompts(t, fault, second, third)
					assert.Empty(t, violations, "%s, %s, %s", fault, second, third)
				}
			}
		})
	}
}

// TestLoadingEndpointsHaveNoSlots checks that endpoints without loaded weights
// offer no slots. Otherwise requests would be admitted and fail, instead of
// waiting in the queue until the weights are loaded.
func TestLoadingEndpointsHaveNoSlots(t *testing.T) {
	llm := configurator.Service{Type: configurator.ServiceModel, Concurrency: 4}
	shop := configurator.Service{Type: configurator.ServicePlain, Concurrency: 4}
	cases := []struct {
		name     string
		service  configurator.Service
		endpoint registrar.EndpointState
		expected int
	}{
		{"loaded", llm, registrar.EndpointState{Report: registrar.Report{Version: "w1"}}, 4},
		{"used by other nodes", llm, registrar.EndpointState{Report: registrar.Report{Version: "w1", Running: 3, OwnRunning: 1}}, 2},
		{"loading", llm, registrar.EndpointState{Report: registrar.Report{Version: "w1", Loading: true}}, 0},
		{"weights not reported", llm, registrar.EndpointState{}, 0},
		{"leaving", llm, registrar.EndpointState{Report: registrar.Report{Version: "w1", Leaving: true}}, 0},
		{"a plain service has no weights", shop, registrar.EndpointState{}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.expected, (&InFlight{}).Slots(c.service, []registrar.EndpointState{c.endpoint}))
		})
	}
}

// TestEndpointsWithFailedReportsAreLastChoice checks the order of choice:
// endpoints that report, those with failed reports, those that were tried.
func TestEndpointsWithFailedReportsAreLastChoice(t *testing.T) {
	endpoint := func(name string, failures int) registrar.EndpointState {
		return registrar.EndpointState{Endpoint: registrar.Endpoint{Name: name, Service: "llm"}, Failures: failures}
	}
	cases := []struct {
		name      string
		endpoints []registrar.EndpointState
		tried     string
		expected  string
	}{
		{"endpoints that report come first", []registrar.EndpointState{endpoint("a", 1), endpoint("b", 0)}, "", "b"},
		{"then endpoints with failed reports", []registrar.EndpointState{endpoint("a", 1), endpoint("b", 0)}, "b", "a"},
		{"then endpoints that were tried", []registrar.EndpointState{endpoint("b", 0)}, "b", "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run := &promptRun{prompt: Prompt{Service: configurator.Service{Name: "llm"}}, tried: map[string]bool{c.tried: true}}
			chosen := run.availableEndpoints(publisher.Build(configurator.New(), nil, c.endpoints))
			require.Len(t, chosen, 1)
			assert.Equal(t, c.expected, chosen[0].Name)
		})
	}
}

func TestPoisonCrashesTwoEndpointsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newPromptSimulation(3)
		for i := range 12 {
			err := sim.run(i%3, "members", poisonText)
			require.Error(t, err)
			time.Sleep(5 * time.Millisecond)
		}
		assert.LessOrEqual(t, sim.crashes, 2)
		require.NoError(t, sim.run(0, "members", "an innocent prompt "))
		time.Sleep(2 * time.Hour)
	})
}

func TestConcurrentPoisonRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newPromptSimulation(2)
		var all sync.WaitGroup
		for i := range 2 {
			all.Go(func() { _ = sim.run(i, "members", poisonText) })
		}
		all.Wait()
		for i := range 6 {
			_ = sim.run(i%2, "members", poisonText)
		}
		assert.LessOrEqual(t, sim.crashes, 2)
		time.Sleep(2 * time.Hour)
	})
}

// TestPromptCheckerDetectsFaults checks that the checks of the simulation and
// of promptRun report violations.
func TestPromptCheckerDetectsFaults(t *testing.T) {
	sim := newPromptSimulation(1)
	t.Run("blocks of other weights", func(t *testing.T) {
		sim.checkBlocks(Completion{Weights: "w2", Messages: [][]byte{[]byte("members|" + strings.Repeat("x", 9000))}, Blocks: []fingerprinter.Block{"b"}})
		require.Len(t, sim.violations, 1)
	})
	t.Run("an answer with a missing token", func(t *testing.T) {
		run := &promptRun{PromptRunner: sim.nodes[0], sink: &textSink{}}
		run.nextToken = Token{Index: 0, Text: "a"}
		require.NoError(t, run.checkToken(run.nextToken))
		require.NoError(t, run.Event(forwarder.Event{}))
		require.Error(t, run.checkToken(Token{Index: 2, Text: "c"}))
	})
	t.Run("a missing endpoint means not run only before the first attempt", func(t *testing.T) {
		require.False(t, MayHaveRun(ErrNoEndpoint))
		require.False(t, MayHaveRun(translateError(&limiter.Refusal{Cause: ErrNoEndpoint})))
		require.True(t, MayHaveRun(translateError(ErrNoEndpoint)))
	})
	t.Run("a prompt sent to a leaving endpoint", func(t *testing.T) {
		sim.leavingSince["engine-0"] = time.Now().Add(-time.Minute)
		_, _ = sim.Complete(context.Background(), registrar.Endpoint{Name: "engine-0"}, Completion{Weights: "w1", Messages: [][]byte{[]byte("a|")}})
		require.Len(t, sim.violations, 2)
	})
}
