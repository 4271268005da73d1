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
	endpoints  = 5
	loadTime   = time.Second
	reportLag  = 400 * time.Millisecond
	stepTime   = 250 * time.Millisecond
	settleTime = 15 * time.Second
)

var errFake = errors.New("switched fault")

// swapFaults are the faults that can strike while endpoints are brought to other
// weights.
var swapFaults = []string{
	"none", "order lost", "reply lost", "orders doubled", "node frozen with an old order", "node killed",
	"two owners", "no owner for a while", "cut to log", "endpoint crashes", "change during the swap", "slow reports",
}

// swapWorld is some endpoints and nodes that order them.
type swapWorld struct {
	mu      sync.Mutex
	fencing bool
	engines []*swapEngine
	// versions holds the weights in force and when they came.
	weights string
	fence   uint64
	lag     time.Duration
	fault   string
	used    bool
	owners  map[string]bool
	cut     bool
	peak    int
	found   []string
}

type swapEngine struct {
	weights string
	loading string
	fence   uint64
	history []swapReport
}

type swapReport struct {
	at      time.Time
	weights string
	loading bool
}

func newSwapWorld(fencing bool, fault string) *swapWorld {
	w := &swapWorld{fencing: fencing, fault: fault, weights: "w1", fence: 5, lag: reportLag, owners: map[string]bool{"a": true}}
	for range endpoints {
		w.engines = append(w.engines, &swapEngine{weights: "w1"})
	}
	return w
}

// order is what an endpoint does with an order; the caller holds the lock.
func (w *swapWorld) order(i int, fence uint64, weights string) error {
	engine := w.engines[i]
	if w.fencing && fence < engine.fence {
		return errFake
	}
	engine.fence = max(engine.fence, fence)
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

// snapshot returns a node's knowledge: the configuration as it is and reports as
// they were.
func (w *swapWorld) snapshot() *publisher.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var rows []registrar.Row
	for i, engine := range w.engines {
		engine.history = append(engine.history, swapReport{at: now, weights: engine.weights, loading: engine.loading != ""})
		seen := engine.history[0]
		for _, report := range engine.history {
			if now.Sub(report.at) >= w.lag {
				seen = report
			}
		}
		rows = append(rows, registrar.Row{
			Endpoint: registrar.Endpoint{Name: fmt.Sprint(i), Service: "llm"},
			Report:   registrar.Report{Version: seen.weights, Loading: seen.loading},
		})
	}
	snapshot := publisher.Build(w.configuration(), nil, rows)
	snapshot.Ready = true
	return snapshot
}

func (w *swapWorld) configuration() *configurator.State {
	record := configurator.Record{Rules: configurator.RulesVersion, Changes: []configurator.Change{
		configurator.Put(configurator.Priority{Name: "chat", Deadline: 1}),
		configurator.Put(configurator.Service{
			Name: "llm", Type: configurator.ServiceModel, Objective: configurator.ObjectiveRecompute,
			Priority: "chat", Concurrency: 1, Timeout: 1, Fencing: w.fencing,
		}),
		configurator.Put(configurator.Version{Name: "v", Model: "m", Weights: w.weights}),
		configurator.Put(configurator.Model{Name: "m", Service: "llm", Version: "v"}),
	}}
	// Empty records bring the offset to the fence.
	state := configurator.New()
	for state.Next()+1 < w.fence {
		state, _, _ = state.Apply(state.Next(), configurator.Record{})
	}
	state, verdict, err := state.Apply(state.Next(), record)
	if err != nil || !verdict.Accepted() {
		panic(verdict.Reason)
	}
	return state
}

// swapNode sends a node's orders.
type swapNode struct {
	world *swapWorld
	name  string
}

// Order implements Sender.
func (n swapNode) Order(_ context.Context, endpoint registrar.Endpoint, fence uint64, weights string) error {
	w := n.world
	w.mu.Lock()
	var i int
	_, _ = fmt.Sscan(endpoint.Name, &i)
	strikes := !w.used && n.name == "a" && weights != "w1"
	fault := ""
	if strikes {
		fault, w.used = w.fault, true
	}
	w.mu.Unlock()
	switch fault {
	case "order lost":
		return errFake
	case "node frozen with an old order":
		time.Sleep(6 * time.Second)
	case "node killed":
		w.locked(func() { w.owners = map[string]bool{"b": true} })
		return errFake
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.order(i, fence, weights)
	switch fault {
	case "reply lost":
		return errFake
	case "orders doubled":
		_ = w.order(i, fence, weights)
	case "endpoint crashes":
		w.engines[i].weights, w.engines[i].loading = "w1", ""
	}
	return err
}

func (w *swapWorld) locked(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// change publishes other weights.
func (w *swapWorld) change(weights string) {
	w.locked(func() { w.weights, w.fence = weights, w.fence+1 })
}

func (w *swapWorld) run(ctx context.Context, name string) {
	r := &Reconciler{
		Sender: swapNode{world: w, name: name},
		AtEnd: func(context.Context) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return !w.cut
		},
		Owns: func(string) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.owners[name]
		},
		Sent: func(Order, error) {},
	}
	for ctx.Err() == nil {
		r.Step(ctx, w.snapshot())
		time.Sleep(stepTime)
	}
}

// runSwap changes the weights, under a fault, and checks that all endpoints
// arrive, two at a time.
func runSwap(t *testing.T, fencing bool, fault string) *swapWorld {
	var w *swapWorld
	synctest.Test(t, func(*testing.T) {
		w = newSwapWorld(fencing, fault)
		ctx, stop := context.WithCancel(context.Background())
		go w.run(ctx, "a")
		go w.run(ctx, "b")
		w.begin()
		w.change("w2")
		time.Sleep(2 * time.Second)
		if fault == "change during the swap" || fault == "node frozen with an old order" {
			// The other owner works on while the first is frozen.
			w.locked(func() { w.owners["b"] = true })
			w.change("w3")
		}
		time.Sleep(settleTime)
		w.locked(func() { w.owners, w.cut = map[string]bool{"a": true, "b": true}, false })
		time.Sleep(settleTime)
		stop()
		time.Sleep(time.Hour)
	})
	return w
}

func (w *swapWorld) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.fault {
	case "two owners":
		w.owners["b"] = true
	case "no owner for a while":
		w.owners = map[string]bool{}
	case "cut to log":
		w.cut = true
	case "slow reports":
		w.lag = 3 * time.Second
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

// TestSwapCheckerFindsFaults shows that endpoints that ignore old orders' fences
// would stay behind without the repetition of orders.
func TestSwapCheckerFindsFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSwapWorld(false, "none")
		w.change("w2")
		w.locked(func() { require.NoError(t, w.order(0, 1, "w0")) })
		time.Sleep(settleTime)
		w.locked(func() { assert.NotEqual(t, w.weights, w.engines[0].weights) })
	})
}
