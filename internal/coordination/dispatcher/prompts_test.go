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

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
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

// promptFaults are the ways in which an attempt at a prompt can fail.
var promptFaults = []string{
	"not sent", "refused", "broken at once", "broken midway", "broken at the end", "stalled at once", "stalled midway",
	"token left out", "token doubled", "early end", "swap midway", "leaving", "slow",
}

// promptWorld is some engines and nodes.
type promptWorld struct {
	mu sync.Mutex
	// faults holds what strikes the next attempts, in turn.
	faults  []string
	weights map[string]string
	crashes int
	left    map[string]time.Time
	// runs counts the attempts of a request that began to run.
	runs  map[string]int
	found []string
	nodes []*Prompts
}

func newPromptWorld(nodes int, faults ...string) *promptWorld {
	w := &promptWorld{faults: faults, weights: map[string]string{}, left: map[string]time.Time{}, runs: map[string]int{}}
	for i := range 4 {
		w.weights[fmt.Sprintf("engine-%d", i)] = "w1"
	}
	for i := range nodes {
		w.nodes = append(w.nodes, w.newNode(fmt.Sprintf("n%d", i)))
	}
	w.publish()
	return w
}

func (w *promptWorld) newNode(name string) *Prompts {
	suspects := &retrier.Suspects{Node: name, Expiry: time.Hour}
	return &Prompts{
		Cell: &publisher.Cell{}, Engine: w, Flight: &Flight{}, Policy: router.Must("cost"),
		Hints: &hinter.Table{Limit: 100}, Budget: &retrier.Budget{Share: 1, Reserve: 20}, Jitter: steady,
		Suspects: suspects, Spread: func() { w.spread(name, suspects) },
		Journal: &recorder.Ring{Capacity: 64}, Now: time.Now,
	}
}

// spread carries a node's suspects to the others after a moment.
func (w *promptWorld) spread(name string, suspects *retrier.Suspects) {
	time.AfterFunc(2*time.Millisecond, func() {
		for _, n := range w.nodes {
			for _, suspect := range suspects.Own(time.Now(), 10) {
				n.Suspects.Learn(time.Now(), name, suspect)
			}
		}
	})
}

// publish gives all nodes a snapshot of the engines as they are now.
func (w *promptWorld) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []registrar.Row
	for name, weights := range w.weights {
		_, leaving := w.left[name]
		rows = append(rows, registrar.Row{
			Endpoint: registrar.Endpoint{Name: name, Service: "llm", Leaving: leaving},
			Report:   registrar.Report{Version: weights, PrefillRate: 1000},
		})
	}
	slices.SortFunc(rows, func(a, b registrar.Row) int { return strings.Compare(a.Name, b.Name) })
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
	for _, n := range w.nodes {
		n.Cell.Store(publisher.Build(state, nil, rows))
	}
}

func (w *promptWorld) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.found = append(w.found, fmt.Sprintf(format, args...))
}

func (w *promptWorld) nextFault() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return ""
	}
	fault := w.faults[0]
	w.faults = w.faults[1:]
	return fault
}

// Complete implements Engine.
func (w *promptWorld) Complete(_ context.Context, endpoint registrar.Endpoint, completion Completion) (TokenStream, error) {
	w.mu.Lock()
	weights := w.weights[endpoint.Name]
	since, leaving := w.left[endpoint.Name]
	w.mu.Unlock()
	if leaving && time.Since(since) > 3*time.Second {
		w.violate("%s got work %s after it began to leave", endpoint.Name, time.Since(since))
	}
	fault := w.nextFault()
	switch fault {
	case "not sent":
		return nil, errors.Mark(errFake, ErrNotSent)
	case "refused":
		return nil, errors.Mark(errFake, ErrRefused)
	case "leaving":
		w.leave(endpoint.Name)
	case "slow":
		time.Sleep(500 * time.Millisecond)
	}
	if completion.Weights != weights {
		return nil, errors.Mark(errFake, ErrRefused)
	}
	w.checkBlocks(completion)
	w.mu.Lock()
	w.runs[completion.Request]++
	w.mu.Unlock()
	return &fakeStream{world: w, endpoint: endpoint.Name, completion: completion, weights: weights, fault: fault, next: len(completion.Delivered)}, nil
}

func (w *promptWorld) leave(name string) {
	w.mu.Lock()
	w.left[name] = time.Now()
	w.mu.Unlock()
	time.AfterFunc(2*time.Second, w.publish)
}

// checkBlocks checks that the blocks are those of the team and of the weights.
func (w *promptWorld) checkBlocks(completion Completion) {
	text := string(completion.Messages[0])
	team, _, _ := strings.Cut(text, "|")
	expected := fingerprinter.Chain(fingerprinter.Seed{Team: team, Model: "m", Weights: completion.Weights}, completion.Messages[0])
	if !slices.Equal(expected, completion.Blocks) {
		w.violate("%s got blocks of another team or version", completion.Request)
	}
}

type fakeStream struct {
	world      *promptWorld
	endpoint   string
	completion Completion
	weights    string
	fault      string
	next       int
	sent       int
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

// Next implements TokenStream.
func (s *fakeStream) Next() (Token, error) {
	time.Sleep(10 * time.Millisecond)
	if strings.Contains(string(s.completion.Messages[0]), poisonText) {
		s.world.mu.Lock()
		s.world.crashes++
		s.world.mu.Unlock()
		return Token{}, errors.Mark(errFake, ErrBroken)
	}
	if err := s.strike(); err != nil {
		return Token{}, err
	}
	if s.next == answerTokens {
		return Token{}, io.EOF
	}
	s.next++
	s.sent++
	return Token{Index: s.next - 1, Text: token(s.next - 1), Weights: s.weights}, nil
}

func (s *fakeStream) strike() error {
	midway := s.sent == 2
	switch {
	case s.fault == "broken at once" && s.sent == 0, s.fault == "broken midway" && midway, s.fault == "broken at the end" && s.next == answerTokens:
		return errors.Mark(errFake, ErrBroken)
	case s.fault == "stalled at once" && s.sent == 0, s.fault == "stalled midway" && midway:
		time.Sleep(time.Second)
		return errors.Mark(errFake, ErrStalled)
	case s.fault == "token left out" && midway:
		s.next++
	case s.fault == "token doubled" && midway:
		s.next--
	case s.fault == "early end" && midway:
		return io.EOF
	case s.fault == "swap midway" && midway:
		s.world.swap(s.endpoint)
		return errors.Mark(errFake, ErrBroken)
	}
	return nil
}

// swap gives all engines but one other weights; the one is not the broken one.
func (w *promptWorld) swap(broken string) {
	kept := "engine-3"
	if broken == kept {
		kept = "engine-2"
	}
	w.mu.Lock()
	for name := range w.weights {
		if name != kept {
			w.weights[name] = "w2"
		}
	}
	w.mu.Unlock()
	w.publish()
}

// Usage implements TokenStream.
func (s *fakeStream) Usage() Usage { return Usage{Completion: answerTokens, Reason: "length"} }

// Close implements TokenStream.
func (s *fakeStream) Close() {}

// textSink collects an answer.
type textSink struct{ text strings.Builder }

// Token implements Sink.
func (s *textSink) Token(t Token) error {
	s.text.WriteString(t.Text)
	return nil
}

func (w *promptWorld) run(node int, team, text string) error {
	message := []byte(team + "|" + strings.Repeat(text, 2*fingerprinter.ChunkBytes/len(text)))
	w.mu.Lock()
	id := fmt.Sprintf("%s-%d", team, len(w.runs))
	w.runs[id] = 0
	w.mu.Unlock()
	prompt := Prompt{
		Request: id, Team: team, Model: configurator.Model{Name: "m", Service: "llm", Version: "v1"},
		Service:  configurator.Service{Name: "llm", Concurrency: 4, Timeout: time.Second},
		Priority: configurator.Priority{Name: "chat", Deadline: time.Minute},
		Messages: [][]byte{message}, Text: message, MaxTokens: answerTokens,
	}
	sink := &textSink{}
	usage, err := w.nodes[node].Run(context.Background(), prompt, sink)
	var whole strings.Builder
	for i := range answerTokens {
		whole.WriteString(token(i))
	}
	if !strings.HasPrefix(whole.String(), sink.text.String()) {
		w.violate("the caller got %q", sink.text.String())
	}
	w.mu.Lock()
	ran := w.runs[id] > 0
	w.mu.Unlock()
	if err != nil && ran && !MayHaveRun(err) {
		w.violate("%s ran and would be told not-run: %v", id, err)
	}
	if err == nil && (sink.text.String() != whole.String() || usage.Completion != answerTokens) {
		w.violate("an answer of %q was called whole", sink.text.String())
	}
	return err
}

// runPrompts plays two teams' prompts under faults and returns the violations
// and the errors.
func runPrompts(t *testing.T, faults ...string) (found []string, failed []error) {
	synctest.Test(t, func(*testing.T) {
		w := newPromptWorld(1, faults...)
		var both sync.WaitGroup
		for _, team := range []string{"members", "collectors"} {
			both.Go(func() {
				if err := w.run(0, team, "is the enamel original? "); err != nil {
					w.mu.Lock()
					failed = append(failed, err)
					w.mu.Unlock()
				}
			})
		}
		both.Wait()
		time.Sleep(5 * time.Second)
		if err := w.run(0, "members", "once more "); err != nil {
			failed = append(failed, err)
		}
		found = w.found
	})
	return found, failed
}

func TestPromptFaults(t *testing.T) {
	for _, fault := range promptFaults {
		t.Run(fault, func(t *testing.T) {
			found, failed := runPrompts(t, fault)
			assert.Empty(t, found)
			assert.Empty(t, failed, "one fault is always survived")
		})
	}
}

func TestPromptFaultPairs(t *testing.T) {
	for _, fault := range promptFaults {
		t.Run(fault, func(t *testing.T) {
			for _, second := range promptFaults {
				for _, third := range promptFaults {
					found, _ := runPrompts(t, fault, second, third)
					assert.Empty(t, found, "%s, %s, %s", fault, second, third)
				}
			}
		})
	}
}

// TestLoadingEndpointsHaveNoSlots shows that requests wait in the queue, and are
// not refused, while the only endpoints load.
func TestLoadingEndpointsHaveNoSlots(t *testing.T) {
	llm := configurator.Service{Type: configurator.ServiceModel, Concurrency: 4}
	shop := configurator.Service{Type: configurator.ServicePlain, Concurrency: 4}
	cases := []struct {
		name     string
		service  configurator.Service
		row      registrar.Row
		expected int
	}{
		{"loaded", llm, registrar.Row{Report: registrar.Report{Version: "w1"}}, 4},
		{"used by other nodes", llm, registrar.Row{Report: registrar.Report{Version: "w1", Running: 3, Own: 1}}, 2},
		{"loading", llm, registrar.Row{Report: registrar.Report{Version: "w1", Loading: true}}, 0},
		{"not heard of", llm, registrar.Row{}, 0},
		{"leaving", llm, registrar.Row{Report: registrar.Report{Version: "w1", Leaving: true}}, 0},
		{"a plain service has no weights", shop, registrar.Row{}, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.expected, (&Flight{}).Slots(c.service, []registrar.Row{c.row}))
		})
	}
}

// TestEndpointsThatFailToReportAreTheLastChoice shows that a prompt is still
// tried when no endpoint has answered for its load.
func TestEndpointsThatFailToReportAreTheLastChoice(t *testing.T) {
	row := func(name string, failures int) registrar.Row {
		return registrar.Row{Endpoint: registrar.Endpoint{Name: name, Service: "llm"}, Failures: failures}
	}
	cases := []struct {
		name     string
		rows     []registrar.Row
		tried    string
		expected string
	}{
		{"those that answer come first", []registrar.Row{row("a", 1), row("b", 0)}, "", "b"},
		{"then those that don't", []registrar.Row{row("a", 1), row("b", 0)}, "b", "a"},
		{"then those that were tried", []registrar.Row{row("b", 0)}, "b", "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run := &promptRun{prompt: Prompt{Service: configurator.Service{Name: "llm"}}, tried: map[string]bool{c.tried: true}}
			chosen := run.candidatesOf(publisher.Build(configurator.New(), nil, c.rows))
			require.Len(t, chosen, 1)
			assert.Equal(t, c.expected, chosen[0].Name)
		})
	}
}

func TestPoisonCrashesTwoEndpointsAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPromptWorld(3)
		for i := range 12 {
			err := w.run(i%3, "members", poisonText)
			require.Error(t, err)
			time.Sleep(5 * time.Millisecond)
		}
		assert.LessOrEqual(t, w.crashes, 2)
		require.NoError(t, w.run(0, "members", "an innocent prompt "))
		time.Sleep(2 * time.Hour)
	})
}

func TestPoisonSentToAllNodesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPromptWorld(2)
		var all sync.WaitGroup
		for i := range 2 {
			all.Go(func() { _ = w.run(i, "members", poisonText) })
		}
		all.Wait()
		for i := range 6 {
			_ = w.run(i%2, "members", poisonText)
		}
		assert.LessOrEqual(t, w.crashes, 2)
		time.Sleep(2 * time.Hour)
	})
}

// TestPromptCheckerFindsFaults shows that the matrix fails on broken variants.
func TestPromptCheckerFindsFaults(t *testing.T) {
	w := newPromptWorld(1)
	t.Run("blocks of another version", func(t *testing.T) {
		w.checkBlocks(Completion{Weights: "w2", Messages: [][]byte{[]byte("members|" + strings.Repeat("x", 9000))}, Blocks: []fingerprinter.Block{"b"}})
		require.Len(t, w.found, 1)
	})
	t.Run("an answer with a gap", func(t *testing.T) {
		run := &promptRun{Prompts: w.nodes[0], sink: &textSink{}}
		run.next = Token{Index: 0, Text: "a"}
		require.NoError(t, run.check(run.next))
		require.NoError(t, run.Event(exchanger.Event{}))
		require.Error(t, run.check(Token{Index: 2, Text: "c"}))
	})
	t.Run("not-run of a request that ran", func(t *testing.T) {
		require.False(t, MayHaveRun(ErrNoEndpoint))
		require.False(t, MayHaveRun(outcome(&limiter.Refusal{Cause: ErrNoEndpoint})))
		require.True(t, MayHaveRun(outcome(ErrNoEndpoint)))
	})
	t.Run("work at a leaving endpoint", func(t *testing.T) {
		w.left["engine-0"] = time.Now().Add(-time.Minute)
		_, _ = w.Complete(context.Background(), registrar.Endpoint{Name: "engine-0"}, Completion{Weights: "w1", Messages: [][]byte{[]byte("a|")}})
		require.Len(t, w.found, 2)
	})
}
