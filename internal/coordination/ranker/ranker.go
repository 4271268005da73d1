// Package ranker ranks names for a key by rendezvous hashing, to select the node
// that owns a task or the place that a key is assigned to.
//
// Ownership only avoids duplicate work: results stay correct when two nodes
// both act as the owner of the same key.
//
// # Usage
//
//	name := ranker.Pick(names, "claims/17")
package ranker

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the rendezvous score of a name for a key. The name with the
// highest score owns the key.
func Score(name, key string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(key))
	return mix(sum.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. It spreads the differences
// between the FNV hashes of similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick returns the owner of key among names, or "" if names is empty.
func Pick(names []string, key string) string {
	ranked := Rank(names, key)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Rank returns names sorted by descending score for key, the owner first.
func Rank(names []string, key string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		if order := cmp.Compare(Score(b, key), Score(a, key)); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return ranked
}
