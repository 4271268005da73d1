// Package digester compares two copies of a list of prompt parts by digests of the parts, so that a
// node that has nearly the same copy gets only what differs.
//
// Parts are divided into buckets by their hashes. A node sends the digest of each of its buckets
// to the owner of the other copy, who sends back the parts of the buckets that differ and the
// digest of the whole copy.
//
// # Usage
//
//	known := digester.Sum(groups, digester.Buckets(groups))  // sent to the owner
//	sum := digester.Sum(owned, len(known.Buckets))
//	differing := sum.Differing(known.Buckets)
//	changed := digester.Select(owned, differing, true)       // sent back, with differing and sum.Total
//	groups = append(digester.Select(groups, differing, false), changed...)
package digester

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// partsPerBucket is the number of parts in a bucket, on average.
	partsPerBucket = 8
	// MaxBuckets bounds the number of buckets of a copy.
	MaxBuckets = 4096
)

// Digest is the digest of a copy.
type Digest struct {
	// Total is the digest of all parts.
	Total   uint64
	Buckets []uint32
}

// Buckets returns the number of buckets for a copy.
func Buckets(groups []peertracker.PartGroup) int {
	parts := 0
	for _, group := range groups {
		parts += len(group.Parts)
	}
	return min(1+parts/partsPerBucket, MaxBuckets)
}

// Sum returns the digest of a copy, which does not depend on the order of the parts. buckets must
// be positive.
func Sum(groups []peertracker.PartGroup, buckets int) Digest {
	digest := Digest{Buckets: make([]uint32, buckets)}
	var h hasher
	for _, group := range groups {
		h.setGroup(group)
		for i := range group.Parts {
			sum := h.part(group, i)
			digest.Total += sum
			digest.Buckets[sum%uint64(buckets)] += uint32(sum >> 32)
		}
	}
	return digest
}

// Differing returns for each bucket whether it differs in another copy, which must have as many
// buckets.
func (d Digest) Differing(other []uint32) []bool {
	differing := make([]bool, len(d.Buckets))
	for i, sum := range d.Buckets {
		differing[i] = sum != other[i]
	}
	return differing
}

// Select returns the parts whose buckets differ, or those whose buckets do not.
func Select(groups []peertracker.PartGroup, differing []bool, want bool) []peertracker.PartGroup {
	var selected []peertracker.PartGroup
	var h hasher
	for _, group := range groups {
		h.setGroup(group)
		some := peertracker.PartGroup{Holder: group.Holder, Salt: group.Salt}
		for i, part := range group.Parts {
			if differing[h.part(group, i)%uint64(len(differing))] == want {
				some.Parts, some.Tokens = append(some.Parts, part), append(some.Tokens, group.Tokens[i])
			}
		}
		if len(some.Parts) > 0 {
			selected = append(selected, some)
		}
	}
	return selected
}

// hasher hashes the parts of a group. Their hashes are the same on all nodes.
type hasher struct {
	buffer []byte
	// prefix is the length of the encoded group in buffer.
	prefix int
}

func (h *hasher) setGroup(group peertracker.PartGroup) {
	address := group.Holder.Addr().As16()
	h.buffer = append(h.buffer[:0], address[:]...)
	h.buffer = binary.BigEndian.AppendUint16(h.buffer, group.Holder.Port())
	h.buffer = binary.AppendUvarint(h.buffer, uint64(len(group.Salt)))
	h.buffer = append(h.buffer, group.Salt...)
	h.prefix = len(h.buffer)
}

func (h *hasher) part(group peertracker.PartGroup, i int) uint64 {
	h.buffer = append(h.buffer[:h.prefix], group.Parts[i]...)
	h.buffer = binary.BigEndian.AppendUint64(h.buffer, uint64(group.Tokens[i]))
	return xxhash.Sum64(h.buffer)
}
