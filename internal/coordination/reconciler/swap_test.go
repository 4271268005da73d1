package reconciler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/publisher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	endpointCount = 5
	loadTime      = time.Second
	reportLag     = 400 * time.Millisecond
	stepTime      = 250 * time.Millisecond
	settleTime    = 15 * time.Second
)

var errInjected = errors.New("injected fault")

// swapFaults are the faults injected while endpoints change their weights.
var swapFaults = []string{
	"none", "order lost", "reply lost", "orders doubled", "node frozen with an old order", "node killed",
	"two owners", "no owner for a while", "cut to log", "endpoint crashes", "change during the swap", "slow reports",
}

// swapSimulation simulates several endpoints and the nodes that send them
// orders.
type swapSimulation struct {
	mu      sync.Mutex
	fencing bool
	engines []*swapEngine
	// weights names the configured weights, fencingToken is the offset of that
	// configuration.
	weights       string
	fencingToken  uint64
	reportDelay   time.Duration
	fault         string
	faultInjected bool
	owners        map[string]bool
	disconnected  bool
	peak          int
	found         []string
}

type swapEngine struct {
	weights      string
	loading      string
	fencingToken uint64
	history      []swapReport
}

type swapReport struct {
	at      time.Time
	weights string
	loading bool
}

func newSwapSimulation(fencing bool, fault string) *swapSimulation {
	w := &swapSimulation{fencing: fencing, fault: fault, weights: "w1", fencingToken: 5, reportDelay: reportLag, owners: map[string]bool{"a": true}}
	for range endpointCount {
		w.engines = append(w.engines, &swapEngine{weights: "w1"})
	}
	return w
}

// order simulates how endpoint i handles an order. The caller holds the lock.
func (w *swapSimulation) order(i int, fencingToken uint64, weights string) error {
	engine := w.engines[i]
	if w.fencing && fencingToken < engine.fencingToken {
		return errInjected
	}
	engine.fencingToken = max(engine.fencingToken, fencingToken)
	if engine.weights == weights || engine.loading != "" {
		return nil
	}
	engine.loading = weights
	loading := 0
	for _, other := range w.engines {
		if other.loading != "" {
			loading++
		}
	}
	w.peak = max(w.peak, loading)
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if engine.loading == weights {
			engine.weights, engine.loading = weights, ""
		}
	})
	return nil
}

// snapshot returns a node's view: the current configuration, and reports that
// are delayed by reportDelay.
func (w *swapSimulation) snapshot() *publisher.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var rows []registrar.EndpointState
	for i, engine := range w.engines {
		engine.history = append(engine.history, swapReport{at: now, weights: engine.weights, loading: engine.loading != ""})
		seen := engine.history[0]
		for _, report := range engine.history {
			if now.Sub(report.at) >= w.reportDelay {
				seen = report
			}
		}
		rows = append(rows, registrar.EndpointState{
			Endpoint: registrar.Endpoint{Name: fmt.Sprint(i), Service: "llm"},
			Report:   registrar.Report{Version: seen.weights, Loading: seen.loading},
		})
	}
	snapshot := publisher.Build(w.configuration(), nil, rows)
	snapshot.Ready = true
	return snapshot
}

func (w *swapSimulation) configuration() *configurator.State {
	record := configurator.Record{Rules: configurator.RulesVersion, Changes: []configurator.Change{
		configurator.Put(configurator.Priority{Name: "chat", Deadline: 1}),
		configurator.Put(configurator.Service{
			Name: "llm", Type: configurator.ServiceModel, Objective: configurator.ObjectiveRecompute,
			Priority: "chat", Concurrency: 1, Timeout: 1, Fencing: w.fencing,
		}),
		configurator.Put(configurator.Version{Name: "v", Model: "m", Weights: w.weights}),
		configurator.Put(configurator.Model{Name: "m", Service: "llm", Version: "v"}),
	}}
	// Empty records advance the offset to the fencing token.
	state := configurator.New()
	for state.Next()+1 < w.fencingToken {
		state, _, _ = state.Apply(state.Next(), configurator.Record{})
	}
	state, verdict, err := state.Apply(state.Next(), record)
	if err != nil || !verdict.Accepted() {
		panic(verdict.Reason)
	}
	return state
}

// swapSender sends the orders of one node.
type swapSender struct {
	simulation *swapSimulation
	name       string
}

// Order implements Sender.
func (n swapSender) Order(_ context.Context, endpoint registrar.Endpoint, fencingToken uint64, weights string) error {
	w := n.simulation
	w.mu.Lock()
	var i int
	_, _ = fmt.Sscan(endpoint.Name, &i)
	inject := !w.faultInjected && n.name == "a" && weights != "w1"
	fault := ""
	if inject {
		fault, w.faultInjected = w.fault, true
	}
	w.mu.Unlock()
	switch fault {
	case "order lost":
		return errInjected
	case "node frozen with an old order":
		time.Sleep(6 * time.Second)
	case "node killed":
		w.withLock(func() { w.owners = map[string]bool{"b": true} })
		return errInjected
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.order(i, fencingToken, weights)
	switch fault {
	case "reply lost":
		return errInjected
	case "orders doubled":
		_ = w.order(i, fencingToken, weights)
	case "endpoint crashes":
		w.engines[i].weights, w.engines[i].loading = "w1", ""
	}
	return err
}

func (w *swapSimulation) withLock(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// setWeights changes the configured weights.
func (w *swapSimulation) setWeights(weights string) {
	w.withLock(func() { w.weights, w.fencingToken = weights, w.fencingToken+1 })
}

func (w *swapSimulation) run(ctx context.Context, name string) {
	r := &Reconciler{
		Sender: swapSender{simulation: w, name: name},
		IsCaughtUp: func(context.Context) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return !w.disconnected
		},
		Owns: func(string) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.owners[name]
		},
		OnSent: func(Order, error) {},
	}
	for ctx.Err() == nil {
		r.Step(ctx, w.snapshot())
		time.Sleep(stepTime)
	}
}

// runSwap changes the configured weights under a fault and waits until the
// endpoints have had time to load them.
func runSwap(t *testing.T, fencing bool, fault string) *swapSimulation {
	var w *swapSimulation
	synctest.Test(t, func(*testing.T) {
		w = newSwapSimulation(fencing, fault)
		ctx, stop := context.WithCancel(context.Background())
		go w.run(ctx, "a")
		go w.run(ctx, "b")
		w.applyInitialFault()
		w.setWeights("w2")
		time.Sleep(2 * time.Second)
		if fault == "change during the swap" || fault == "node frozen with an old order" {
			// Another owner continues while the first one is paused.
			w.withLock(func() { w.owners["b"] = true })
			w.setWeights("w3")
		}
		time.Sleep(settleTime)
		w.withLock(func() { w.owners, w.disconnected = map[string]bool{"a": true, "b": true}, false })
		time.Sleep(settleTime)
		stop()
		// Let all goroutines end.
		time.Sleep(time.Hour)
	})
	return w
}

func (w *swapSimulation) applyInitialFault() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.fault {
	case "two owners":
		w.owners["b"] = true
	case "no owner for a while":
		w.owners = map[string]bool{}
	case "cut to log":
		w.disconnected = true
	case "slow reports":
		w.reportDelay = 3 * time.Second
	}
}

func TestSwapFaults(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, fault := range swapFaults {
			t.Run(fmt.Sprintf("%s, fencing %t", fault, fencing), func(t *testing.T) {
				w := runSwap(t, fencing, fault)
				for i, engine := range w.engines {
					assert.Equal(t, w.weights, engine.weights, "endpoint %d", i)
				}
				if fault != "change during the swap" && fault != "node frozen with an old order" {
					assert.LessOrEqual(t, w.peak, MaxLoads)
				}
			})
		}
	}
}

// TestSwapCheckerDetectsFaults verifies that an endpoint that ignores
// fencing and accepts a stale order keeps stale weights when no node repeats
// its orders.
func TestSwapCheckerDetectsFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSwapSimulation(false, "none")
		w.setWeights("w2")
		w.withLock(func() { require.NoError(t, w.order(0, 1, "w0")) })
		time.Sleep(settleTime)
		w.withLock(func() { assert.NotEqual(t, w.weights, w.engines[0].weights) })
	})
}
