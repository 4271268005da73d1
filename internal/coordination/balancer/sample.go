package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// Reports of load are some hundred milliseconds old. With few nodes, each sees most of
// the load that comes in that time, and the endpoint with the lowest cost is the best
// choice. With hundreds, all nodes would choose the same endpoint until the next report.
// Each node then compares a few endpoints only, chosen at random from a subset of its
// own; a small subset lets connections be reused.
const (
	// maxNodesComparingAll is the largest number of nodes that compare all endpoints.
	maxNodesComparingAll = 10
	// subsetSize is the number of endpoints of a failure domain in a node's subset, and
	// ownSample and otherSample are the numbers of them that are compared, in the node's
	// own domain and in the others together.
	subsetSize  = 8
	ownSample   = 3
	otherSample = 2
)

// comparesSample reports whether this node compares a sample of the endpoints. It is called
// without the lock.
func (b *Balancer) comparesSample(endpoints []endpointtracker.Endpoint) bool {
	return b.Nodes != nil && len(endpoints) > ownSample+otherSample && b.Nodes() > maxNodesComparingAll
}

// sample returns the indices of the endpoints to compare.
func (b *Balancer) sample(endpoints []endpointtracker.Endpoint) []int {
	var own, others []int
	for i, endpoint := range endpoints {
		switch {
		case endpoint.Leaving:
		case endpoint.Domain == b.Domain:
			own = append(own, i)
		default:
			others = append(others, i)
		}
	}
	own = b.subset(endpoints, own)
	return append(pickRandom(own, ownSample), pickRandom(b.subset(endpoints, others), otherSample)...)
}

// subset returns the endpoints of this node's subset.
func (b *Balancer) subset(endpoints []endpointtracker.Endpoint, indices []int) []int {
	slices.SortFunc(indices, func(i, j int) int {
		return cmp.Compare(b.affinity(endpoints[j].ID), b.affinity(endpoints[i].ID))
	})
	return indices[:min(subsetSize, len(indices))]
}

// affinity is the rendezvous score of an endpoint for this node.
func (b *Balancer) affinity(id string) uint64 {
	state := b.endpointState(id)
	if state.affinity == 0 {
		state.affinity = ranker.Score(id, b.Name)
	}
	return state.affinity
}

// pickRandom returns n random elements.
func pickRandom(indices []int, n int) []int {
	rand.Shuffle(len(indices), func(i, j int) { indices[i], indices[j] = indices[j], indices[i] })
	return indices[:min(n, len(indices))]
}
