package compressor_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/compressor"
)

// subtractPair returns two versions of a value, the bases of a node that has the first one, and the
// difference of the second one.
func subtractPair(t *testing.T) (second []byte, bases *compressor.Bases, difference compressor.Difference) {
	t.Helper()
	first := bytes.Repeat([]byte("route "), compressor.MinBytes)
	second = append(bytes.Clone(first), "one more"...)
	var subtracter compressor.Subtracter
	bases = &compressor.Bases{}
	bases.Add(compressor.Sum(first), first)
	_, ok := subtracter.Subtract("k", compressor.Version{Offset: 1}, first, nil)
	require.False(t, ok, "the caller has nothing")
	difference, ok = subtracter.Subtract("k", compressor.Version{Offset: 2}, second, bases.Digests())
	require.True(t, ok)
	return second, bases, difference
}

func assertNotExpanded(t *testing.T, bases *compressor.Bases, difference compressor.Difference, want error) {
	t.Helper()
	before := bases.Digests()
	_, err := bases.Expand(difference)
	assert.True(t, errors.Is(err, want), "%v", err)
	assert.Equal(t, before, bases.Digests())
}

// TestExpand guards against differences that result in another value than the peer's.
func TestExpand(t *testing.T) {
	want, bases, difference := subtractPair(t)
	t.Run("truncated", func(t *testing.T) {
		for n := range difference.Data {
			truncated := difference
			truncated.Data = difference.Data[:n]
			assertNotExpanded(t, bases, truncated, compressor.ErrInvalid)
		}
	})
	t.Run("damaged", func(t *testing.T) {
		for i := range difference.Data {
			damaged := difference
			damaged.Data = bytes.Clone(difference.Data)
			damaged.Data[i] ^= 0xff
			assertNotExpanded(t, bases, damaged, compressor.ErrInvalid)
		}
	})
	t.Run("of another value", func(t *testing.T) {
		other := difference
		other.Target[0]++
		assertNotExpanded(t, bases, other, compressor.ErrInvalid)
	})
	t.Run("from an unknown value", func(t *testing.T) {
		assertNotExpanded(t, &compressor.Bases{}, difference, compressor.ErrNoBase)
	})
	t.Run("whole", func(t *testing.T) {
		got, err := bases.Expand(difference)
		require.NoError(t, err)
		assert.Equal(t, want, got)
		assert.Equal(t, difference.Target, bases.Digests()[0])
	})
}

// TestBases guards against bases that are kept without bound, and against the loss of the newest.
func TestBases(t *testing.T) {
	var bases compressor.Bases
	var newest compressor.Digest
	for i := range 20 {
		value := bytes.Repeat([]byte{byte(i)}, compressor.MinBytes)
		newest = compressor.Sum(value)
		bases.Add(newest, value)
		bases.Add(compressor.Sum(value[1:]), value[1:])
	}
	digests := bases.Digests()
	assert.Len(t, digests, 3)
	assert.Equal(t, newest, digests[0], "values that are too small are not kept")
}
