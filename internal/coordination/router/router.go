// Package router selects the endpoint for a prompt.
//
// A Policy compares candidate endpoints by their known state. Policies are
// registered by name. They have no side effects and keep no state. Package
// dispatcher uses them; package placer uses package balancer instead.
//
// # Usage
//
//	policy, err := router.Get("cost")
//	choice, ok := policy.Pick(request, candidates)
package router

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// ErrUnknownPolicy is returned for a name without a registered policy.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Candidate is an endpoint that a prompt may be sent to.
type Candidate struct {
	Name string
	// SameDomain is set for an endpoint in the same failure domain as the node.
	SameDomain bool
	// Running is the estimated number of requests running on the endpoint.
	Running int
	// Slots is the number of requests that the endpoint can run at once.
	Slots int
	// QueuedTokens is the number of prompt tokens waiting for prefill on the
	// endpoint.
	QueuedTokens int
	// CachedTokens is the estimated number of prompt tokens in the endpoint's
	// prefix cache.
	CachedTokens int
	// StoredTokens is the number of prompt tokens, from the start of the
	// prompt, that can be imported from a store; zero if that is not more than
	// CachedTokens.
	StoredTokens int
	// ImportWait is the expected time until the stored tokens beyond
	// CachedTokens have been imported.
	ImportWait time.Duration
	// PrefillRate is the endpoint's prefill speed in tokens per second; zero if
	// unknown.
	PrefillRate float64
}

// HasFreeSlot reports whether the endpoint can run another request.
func (c Candidate) HasFreeSlot() bool { return c.Running < c.Slots }

// Request describes the prompt to route.
type Request struct {
	Tokens int
	// PrefixHash is a hash that prompts with a common prefix share.
	PrefixHash uint64
	Objective  configurator.Objective
	// Sequence is the number of requests that this node has routed so far, for
	// round-robin.
	Sequence uint64
	// Exclusive requires an endpoint without running requests.
	Exclusive bool
}

// Choice is the result of a policy.
type Choice struct {
	// Index is the index of the chosen candidate.
	Index int
	// Import is set if stored blocks must be imported before the prompt runs.
	Import bool
	// Wait is the expected time to first token, Queue the part of it spent in
	// the endpoint's queue.
	Wait  time.Duration
	Queue time.Duration
}

// Policy selects one of the candidates. It returns false when none is eligible.
type Policy interface {
	Pick(request Request, candidates []Candidate) (Choice, bool)
}

var registry = map[string]Policy{
	"cost":        Cost{},
	"affinity":    Affinity{},
	"round-robin": RoundRobin{},
}

// Get returns the policy registered under name, or ErrUnknownPolicy.
func Get(name string) (Policy, error) {
	policy, ok := registry[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q, known are %v", name, Names())
	}
	return policy, nil
}

// Must is like Get but panics on an unknown name. It is for names fixed in the
// program.
func Must(name string) Policy {
	policy, err := Get(name)
	if err != nil {
		panic(err)
	}
	return policy
}

// Names returns the registered names, sorted.
func Names() []string {
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// eligible returns the indexes of the candidates that can take the request.
func eligible(request Request, candidates []Candidate) []int {
	var indexes []int
	for i, candidate := range candidates {
		if request.Exclusive && candidate.Running > 0 {
			continue
		}
		if candidate.HasFreeSlot() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
