// Package owner picks owners by rendezvous hashing.
//
// An owner only saves work: when two nodes both think that they own something,
// results stay right.
//
// # Usage
//
//	name := owner.Pick(names, "claims/17")
package owner

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns the weight of a name for a key; the highest score owns it.
func Score(name, key string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(key))
	return mix(sum.Sum64())
}

// mix spreads the low entropy of FNV over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick returns the owner of key among names, or "" when there are none.
func Pick(names []string, key string) string {
	ranked := Rank(names, key)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// Rank returns names ordered from the first owner of key to the last.
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
