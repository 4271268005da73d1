package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

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
	// sharedSubsetSize, sharedOwnSample and sharedOtherSample replace them while endpoints share
	// their hosts. Endpoints then differ more, and nodes exchange load more often.
	sharedSubsetSize  = 30
	sharedOwnSample   = 10
	sharedOtherSample = 6
)

// sampling are the numbers of endpoints that a node compares.
type sampling struct{ subset, own, others int }

func newSampling(sharedHosts bool) sampling {
	if sharedHosts {
		return sampling{subset: sharedSubsetSize, own: sharedOwnSample, others: sharedOtherSample}
	}
	return sampling{subset: subsetSize, own: ownSample, others: otherSample}
}

// comparesSample reports whether this node compares a sample of the endpoints. It is called
// without the lock.
func (b *Balancer) comparesSample(now time.Time, endpoints []endpointtracker.Endpoint) bool {
	if b.Nodes == nil || len(endpoints) <= ownSample+otherSample {
		return false
	}
	sampling := newSampling(b.SharedHosts(now))
	return len(endpoints) > sampling.own+sampling.others && b.Nodes() > maxNodesComparingAll
}

// sample returns the indices of the endpoints to compare.
func (b *Balancer) sample(now time.Time, endpoints []endpointtracker.Endpoint) []int {
	sampling := newSampling(b.sharedHosts(now))
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
	own, others = b.subset(endpoints, own, sampling.subset), b.subset(endpoints, others, sampling.subset)
	return append(pickRandom(own, sampling.own), pickRandom(others, sampling.others)...)
}

// subset returns the endpoints of this node's subset of a size.
func (b *Balancer) subset(endpoints []endpointtracker.Endpoint, indices []int, size int) []int {
	if len(indices) <= size {
		return indices
	}
	slices.SortFunc(indices, func(i, j int) int {
		return cmp.Compare(b.affinity(endpoints[j].ID), b.affinity(endpoints[i].ID))
	})
	return indices[:size]
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
