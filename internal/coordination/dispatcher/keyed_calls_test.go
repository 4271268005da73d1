package dispatcher

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// keyedCallSteps are the steps of a call with an idempotency key at which a
// fault can be injected.
var keyedCallSteps = []string{"claim", "read", "resolve", "dispatch", "outcome", "release"}

// keyedCallFaults are the faults that can be injected at a step. kill: the
// process ends before the step takes effect; kill-after: after it. freeze,
// freeze-long: the process is suspended. refuse, refuse-long: the step fails
// without effect, once or for longFaultTime. slow: one second late. hang,
// hang-effect: no answer, without or with effect. lost: effect, but the answer
// is lost. late: the effect comes after the error. double: the effect happens
// twice. stale: a read misses the newest record.
var keyedCallFaults = []string{"kill", "kill-after", "freeze", "freeze-long", "refuse", "refuse-long", "slow", "hang", "hang-effect", "lost", "late", "double", "stale"}

// injectedFault is a fault at one step of one node. It is injected once.
type injectedFault struct{ node, step, fault string }

const (
	callerTimeout = 5 * time.Second
	logTimeout    = 2 * time.Second
	recoveryTime  = 90 * time.Second
	longFaultTime = 20 * time.Second
)

// keyedCallSimulation simulates a log, a service and some nodes, and holds the
// faults that are still to be injected.
type keyedCallSimulation struct {
	mu            sync.Mutex
	streams       map[int][]indexer.Record
	pending       []injectedFault
	runsByBody    map[string]int
	runsByRequest map[string]int
	violations    []string
	endOfRun      chan struct{}
	finished      bool
	nodes         map[string]*keyedCallNode
	killed        map[string]bool
	// started holds when long faults started.
	started map[injectedFault]time.Time
	// hung is set if a dispatch received no answer. Its request may then never
	// run, and its outcome stays unknown.
	hung     bool
	requests int
}

type keyedCallNode struct {
	simulation *keyedCallSimulation
	name       string
	claims     *claimer.Claimer
	runner     *KeyedCallRunner
}

// fixedJitter is a Jitter that is not random.
func fixedJitter(span time.Duration) time.Duration { return span / 2 }

func newKeyedCallSimulation(faults []injectedFault, breakNode func(n *keyedCallNode)) *keyedCallSimulation {
	sim := &keyedCallSimulation{
		streams:       map[int][]indexer.Record{},
		pending:       faults,
		runsByBody:    map[string]int{},
		runsByRequest: map[string]int{},
		endOfRun:      make(chan struct{}),
		killed:        map[string]bool{},
		started:       map[injectedFault]time.Time{},
		nodes:         map[string]*keyedCallNode{},
	}
	for i, name := range []string{"a", "b", "c"} {
		sim.nodes[name] = sim.newNode(name, uint64(i+1))
		breakNode(sim.nodes[name])
	}
	return sim
}

func (sim *keyedCallSimulation) newNode(name string, process uint64) *keyedCallNode {
	n := &keyedCallNode{simulation: sim, name: name}
	n.claims = &claimer.Claimer{
		Stream: n, Process: process, Timeout: logTimeout, PauseLimit: 10 * time.Second, Owner: n,
		Keep: func() time.Duration { return time.Hour }, Now: time.Now,
	}
	current := &publisher.SnapshotPointer{}
	endpoints := []registrar.EndpointState{{Endpoint: registrar.Endpoint{Name: "worker-1", Service: "shop", Address: netip.MustParseAddrPort("127.0.0.1:1")}}}
	current.Store(publisher.Build(configurator.New(), nil, endpoints))
	calls := &CallRunner{
		SnapshotPointer: current, ServiceClient: n, InFlight: &InFlight{}, Budget: &retrier.Budget{Ratio: 1, Reserve: 10}, Jitter: fixedJitter,
		Journal: &recorder.Ring{Capacity: 16}, Now: time.Now,
	}
	n.runner = &KeyedCallRunner{CallRunner: calls, Claims: n.claims}
	return n
}

// takeFault returns the next fault of a node at a step and removes it.
func (sim *keyedCallSimulation) takeFault(node, step string) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, s := range sim.pending {
		if s.node == node && s.step == step {
			if s.fault == "refuse-long" && sim.stillActive(s) {
				return "refuse"
			}
			sim.pending = slices.Delete(sim.pending, i, i+1)
			sim.hung = sim.hung || step == "dispatch" && s.fault == "hang"
			if s.fault == "kill" || s.fault == "kill-after" {
				sim.killed[node] = true
			}
			return s.fault
		}
	}
	return ""
}

// stillActive reports whether a long fault is still active. The caller holds the
// lock.
func (sim *keyedCallSimulation) stillActive(s injectedFault) bool {
	started, ok := sim.started[s]
	if !ok {
		sim.started[s] = time.Now()
		return true
	}
	return time.Since(started) < longFaultTime
}

var errInjected = errors.New("injected fault")

// runStep runs a step with the next fault of the node. effect applies the step's
// effect. failed is the error of a step without effect, unknown that of a step
// whose effect is unknown.
func (sim *keyedCallSimulation) runStep(ctx context.Context, node, step string, effect func(), failed, unknown error) error {
	switch sim.takeFault(node, step) {
	case "kill":
		<-sim.endOfRun
		return unknown
	case "kill-after":
		effect()
		<-sim.endOfRun
		return unknown
	case "freeze":
		time.Sleep(4 * time.Second)
	case "freeze-long":
		time.Sleep(40 * time.Second)
	case "refuse":
		return failed
	case "slow":
		time.Sleep(time.Second)
	case "hang":
		<-ctx.Done()
		return unknown
	case "hang-effect":
		effect()
		<-ctx.Done()
		return unknown
	case "lost":
		effect()
		return unknown
	case "late":
		time.AfterFunc(3*time.Second, effect)
		return unknown
	case "double":
		effect()
	}
	effect()
	return nil
}

// Append implements claimer.Stream.
func (n *keyedCallNode) Append(ctx context.Context, partition int, records []indexer.Record) (uint64, error) {
	var first uint64
	effect := func() {
		n.simulation.mu.Lock()
		defer n.simulation.mu.Unlock()
		first = uint64(len(n.simulation.streams[partition]))
		n.simulation.streams[partition] = append(n.simulation.streams[partition], records...)
	}
	refused := errors.Mark(errInjected, claimer.ErrNotAppended)
	err := n.simulation.runStep(ctx, n.name, string(records[0].Type), effect, refused, errors.Mark(errInjected, claimer.ErrAppendUnknown))
	return first, err
}

// Read implements claimer.Stream.
func (n *keyedCallNode) Read(ctx context.Context, partition int, from uint64, limit int) (claimer.Page, error) {
	var page claimer.Page
	stale := n.simulation.peekFault(n.name, "read") == "stale"
	effect := func() {
		n.simulation.mu.Lock()
		defer n.simulation.mu.Unlock()
		held := n.simulation.streams[partition]
		if stale && len(held) > 0 {
			held = held[:len(held)-1]
		}
		page = claimer.Page{Next: uint64(len(held))}
		for offset := from; offset < page.Next && len(page.Records) < limit; offset++ {
			page.Records = append(page.Records, claimer.OffsetRecord{Offset: offset, Record: held[offset]})
		}
	}
	err := n.simulation.runStep(ctx, n.name, "read", effect, errInjected, errInjected)
	return page, err
}

func (sim *keyedCallSimulation) peekFault(node, step string) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, s := range sim.pending {
		if s.node == node && s.step == step {
			return s.fault
		}
	}
	return ""
}

// Resolve implements claimer.Owner: node c owns all streams.
func (n *keyedCallNode) Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	if n.name == "c" {
		return indexer.Entry{}, false, errInjected
	}
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	var entry indexer.Entry
	var found bool
	var resolveErr error
	effect := func() { entry, found, resolveErr = n.simulation.nodes["c"].claims.Resolve(ctx, partition, key, offset) }
	if err := n.simulation.runStep(ctx, n.name, "resolve", effect, errInjected, errInjected); err != nil {
		return indexer.Entry{}, false, err
	}
	return entry, found, resolveErr
}

// Do implements ServiceClient. The service counts an execution of the call that
// is identified by the body.
func (n *keyedCallNode) Do(ctx context.Context, _ registrar.Endpoint, call Call) (Response, error) {
	sim := n.simulation
	effect := func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if !sim.finished {
			sim.runsByBody[string(call.Body)]++
			sim.runsByRequest[call.Request]++
		}
	}
	if sim.peekFault(n.name, "dispatch") == "double" {
		// On TCP, a duplicate packet never duplicates a request.
		sim.takeFault(n.name, "dispatch")
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	refused := errors.Mark(errInjected, ErrNotSent)
	if err := sim.runStep(ctx, n.name, "dispatch", effect, refused, errors.Mark(errInjected, ErrBroken)); err != nil {
		return Response{}, err
	}
	return Response{Status: 201, Body: []byte("did " + string(call.Body))}, nil
}

// keyedCallRequest is a request with its result.
type keyedCallRequest struct {
	id     string
	result CallResult
	err    error
	done   chan struct{}
}

// send sends a call and waits for its answer, at most callerTimeout.
func (sim *keyedCallSimulation) send(node, team, key, body string) *keyedCallRequest {
	request := sim.start(node, team, key, body)
	select {
	case <-request.done:
	case <-time.After(callerTimeout):
	}
	return request
}

func (sim *keyedCallSimulation) start(node, team, key, body string) *keyedCallRequest {
	sim.mu.Lock()
	sim.requests++
	request := &keyedCallRequest{id: fmt.Sprintf("r%d", sim.requests), done: make(chan struct{})}
	sim.mu.Unlock()
	n := sim.nodes[node]
	go func() {
		defer close(request.done)
		call := Call{Request: request.id, Service: configurator.Service{Name: "shop"}, Method: "POST", Target: "/orders", Body: []byte(body)}
		request.result, request.err = n.runner.Run(context.Background(), team, key, call)
		sim.checkResult(request, body)
		for attempt := 0; request.err == nil && attempt < 3 && n.runner.Finish(context.Background(), request.result) != nil; attempt++ {
			time.Sleep(time.Second)
		}
	}()
	return request
}

// checkResult checks the invariants of one request once its result is known.
func (sim *keyedCallSimulation) checkResult(request *keyedCallRequest, body string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.finished {
		return
	}
	if request.err == nil && string(request.result.Response.Body) != "did "+body {
		sim.violations = append(sim.violations, fmt.Sprintf("%s received the answer %q", request.id, request.result.Response.Body))
	}
	if errors.Is(request.err, ErrNotSent) && sim.runsByRequest[request.id] > 0 {
		sim.violations = append(sim.violations, request.id+" ran although its error says that it did not run")
	}
}

// checkExecutions checks that no call ran more than once, and returns all
// violations.
func (sim *keyedCallSimulation) checkExecutions() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for body, n := range sim.runsByBody {
		if n > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s ran %d times", body, n))
		}
	}
	return sim.violations
}

// runKeyedCall simulates a call whose caller retries it on other nodes, together
// with another team's call with the same key. It returns the violations.
func runKeyedCall(t *testing.T, faults []injectedFault, race bool, breakNode func(n *keyedCallNode)) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		sim := newKeyedCallSimulation(slices.Clone(faults), breakNode)
		ctx, stop := context.WithCancel(context.Background())
		for _, n := range sim.nodes {
			go func() {
				for retrier.Sleep(ctx, time.Second) == nil {
					_ = n.claims.Sweep(ctx)
				}
			}()
		}
		if race {
			sim.start("b", "team", "key", "order")
		}
		sim.send("a", "team", "key", "order")
		sim.send("b", "team", "key", "order")
		sim.send("b", "other", "key", "order of another team")
		sim.send("c", "team", "key", "order")
		time.Sleep(recoveryTime)
		liveNode := sim.clearFaults()
		last := sim.send(liveNode, "team", "key", "order")
		reused := sim.send(liveNode, "team", "key", "order with another body")
		violations = sim.checkExecutions()
		violations = append(violations, sim.checkEnd(last, reused)...)
		sim.mu.Lock()
		sim.finished = true
		sim.mu.Unlock()
		close(sim.endOfRun)
		stop()
		time.Sleep(time.Hour)
	})
	return violations
}

// clearFaults removes all faults and returns a node that was not killed.
func (sim *keyedCallSimulation) clearFaults() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.pending = nil
	for _, name := range []string{"c", "b", "a"} {
		if !sim.killed[name] {
			return name
		}
	}
	return ""
}

// checkEnd checks the results of requests that are sent after all faults have
// ended.
func (sim *keyedCallSimulation) checkEnd(last, reused *keyedCallRequest) []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var violations []string
	if !errors.Is(reused.err, ErrKeyReused) {
		violations = append(violations, fmt.Sprintf("a reused key returned %v", reused.err))
	}
	if last.err != nil && !errors.Is(last.err, ErrOutcomeUnknown) {
		violations = append(violations, fmt.Sprintf("the last retry returned %v", last.err))
	}
	if len(sim.killed) == 0 && !sim.hung && sim.runsByBody["order"] == 0 {
		violations = append(violations, "the call never ran although no process was killed")
	}
	return violations
}

func unbroken(*keyedCallNode) {}

func TestKeyedCallFaults(t *testing.T) {
	for _, step := range keyedCallSteps {
		t.Run(step, func(t *testing.T) {
			for _, fault := range keyedCallFaults {
				for _, node := range []string{"a", "c"} {
					for _, race := range []bool{false, true} {
						assertNoViolation(t, []injectedFault{{node, step, fault}}, race)
					}
				}
			}
		})
	}
}

func TestKeyedCallFaultPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("all pairs run without -short")
	}
	for i, step := range keyedCallSteps {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			for _, fault := range keyedCallFaults {
				for j, second := range keyedCallSteps {
					for k, other := range keyedCallFaults {
						node := []string{"a", "b", "c"}[(i+j+k)%3]
						assertNoViolation(t, []injectedFault{{"a", step, fault}, {node, second, other}}, k%2 == 0)
					}
				}
			}
		})
	}
}

func assertNoViolation(t *testing.T, faults []injectedFault, race bool) {
	t.Helper()
	assert.Empty(t, runKeyedCall(t, faults, race, unbroken), "%v race %t", faults, race)
}

// TestKeyedCallCheckerDetectsFaults checks that the fault matrix reports
// violations for incorrect implementations.
func TestKeyedCallCheckerDetectsFaults(t *testing.T) {
	variants := map[string]func(n *keyedCallNode){
		"dispatches without a decision":        func(n *keyedCallNode) { n.runner.Claims = assumeWonClaims{n.claims} },
		"takes over a claimed key":             func(n *keyedCallNode) { n.runner.Claims = takeoverClaims{n.claims} },
		"releases after an interrupted answer": func(n *keyedCallNode) { n.runner.CallRunner.ServiceClient = falseNotSentClient{n} },
		"does not release claims":              func(n *keyedCallNode) { n.runner.Claims = noReleaseClaims{n.claims, n} },
		"ignores team and body of a key":       func(n *keyedCallNode) { n.runner.Claims = sharedKeyClaims{n.claims} },
	}
	for name, breakNode := range variants {
		t.Run(name, func(t *testing.T) {
			var violations []string
			for _, step := range keyedCallSteps {
				for _, fault := range keyedCallFaults {
					violations = append(violations, runKeyedCall(t, []injectedFault{{"a", step, fault}}, false, breakNode)...)
					violations = append(violations, runKeyedCall(t, []injectedFault{{"a", step, fault}}, true, breakNode)...)
				}
			}
			require.NotEmpty(t, violations)
			t.Log(len(violations), "violations, first:", violations[0])
		})
	}
}

// assumeWonClaims treats an unknown decision as a won claim.
type assumeWonClaims struct{ Claims }

func (c assumeWonClaims) Claim(ctx context.Context, key indexer.Key, digest indexer.Digest) (claimer.Decision, error) {
	decision, err := c.Claims.Claim(ctx, key, digest)
	if errors.Is(err, claimer.ErrUnavailable) {
		decision.State = claimer.StateWon
		return decision, nil
	}
	return decision, err
}

// takeoverClaims takes over a key that is claimed and has no answer.
type takeoverClaims struct{ Claims }

func (c takeoverClaims) Claim(ctx context.Context, key indexer.Key, digest indexer.Digest) (claimer.Decision, error) {
	decision, err := c.Claims.Claim(ctx, key, digest)
	if err == nil && decision.State == claimer.StateClaimed {
		decision.State = claimer.StateWon
	}
	return decision, err
}

// falseNotSentClient reports an interrupted answer as not sent.
type falseNotSentClient struct{ ServiceClient }

func (c falseNotSentClient) Do(ctx context.Context, endpoint registrar.Endpoint, call Call) (Response, error) {
	response, err := c.ServiceClient.Do(ctx, endpoint, call)
	if errors.Is(err, ErrBroken) {
		return response, errors.Mark(errInjected, ErrNotSent)
	}
	return response, err
}

// noReleaseClaims never releases a claim.
type noReleaseClaims struct {
	Claims
	node *keyedCallNode
}

func (c noReleaseClaims) Release(context.Context, claimer.Decision) error { return nil }

// sharedKeyClaims uses the same key for all teams and bodies.
type sharedKeyClaims struct{ Claims }

func (c sharedKeyClaims) Claim(ctx context.Context, _ indexer.Key, _ indexer.Digest) (claimer.Decision, error) {
	return c.Claims.Claim(ctx, indexer.Key{}, indexer.Digest{})
}
