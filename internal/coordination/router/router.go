// Package router chooses the endpoint for a prompt.
//
// A Policy compares candidates by what is known of them; the policies are
// collected in a registry and looked up by name. All of them are pure.
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

// ErrUnknownPolicy marks a name that no policy is registered under.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Candidate is an endpoint that may take a prompt.
type Candidate struct {
	Name string
	// Near is set for an endpoint in the node's own failure domain.
	Near bool
	// Running is the number of requests believed to run on the endpoint.
	Running int
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// QueuedTokens is the prompt work that waits on the endpoint.
	QueuedTokens int
	// CachedTokens is the part of the prompt believed to be in its memory.
	CachedTokens int
	// StoredTokens is the part of the prompt that a store can bring, counted
	// from the prompt's start; never less than CachedTokens.
	StoredTokens int
	// ImportWait is the time until those tokens would be there.
	ImportWait time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
}

// Free reports whether the endpoint has a slot.
func (c Candidate) Free() bool { return c.Running < c.Slots }

// Request is what the router knows of a prompt.
type Request struct {
	Tokens int
	// Root is common to prompts with a common start.
	Root      uint64
	Objective configurator.Objective
	// Turn counts the requests of this node, for round-robin.
	Turn uint64
	// Alone asks for an endpoint on which nothing runs.
	Alone bool
}

// Choice is the outcome of a policy.
type Choice struct {
	// Index is the chosen candidate's place.
	Index int
	// Import asks for the stored blocks to be brought before the prompt runs.
	Import bool
	// Wait is the expected time to the first token, Queue the part of it that
	// is spent behind other requests.
	Wait  time.Duration
	Queue time.Duration
}

// Policy picks one of the candidates; it reports false when none has a slot.
type Policy interface {
	Pick(request Request, candidates []Candidate) (Choice, bool)
}

var registry = map[string]Policy{
	"cost":        Cost{},
	"affinity":    Affinity{},
	"round-robin": RoundRobin{},
}

// Get returns the policy registered under name. It returns ErrUnknownPolicy.
func Get(name string) (Policy, error) {
	policy, ok := registry[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q, known are %v", name, Names())
	}
	return policy, nil
}

// Must is Get for names that are fixed in the program.
func Must(name string) Policy {
	policy, err := Get(name)
	if err != nil {
		panic(err)
	}
	return policy
}

// Names returns the registered names in order.
func Names() []string {
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// eligible returns the places of candidates that may take the request.
func eligible(request Request, candidates []Candidate) []int {
	var places []int
	for i, candidate := range candidates {
		if request.Alone && candidate.Running > 0 {
			continue
		}
		if candidate.Free() {
			places = append(places, i)
		}
	}
	return places
}
