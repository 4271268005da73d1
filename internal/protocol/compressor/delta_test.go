package compressor_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/compressor"
)

// deltaPair returns two versions of a value, the bases of a node that has the first one, and the
// delta of the second one.
func deltaPair(t *testing.T) (second []byte, bases *compressor.Bases, delta compressor.Delta) {
	t.Helper()
	first := bytes.Repeat([]byte("route "), compressor.MinBytes)
	second = append(bytes.Clone(first), "one more"...)
	var encoder compressor.DeltaEncoder
	bases = &compressor.Bases{}
	bases.Add(compressor.Sum(first), first)
	_, ok := encoder.Encode("k", compressor.Version{Offset: 1}, first, nil)
	require.False(t, ok, "the caller has nothing")
	delta, ok = encoder.Encode("k", compressor.Version{Offset: 2}, second, bases.Digests())
	require.True(t, ok)
	return second, bases, delta
}

func assertNotApplied(t *testing.T, bases *compressor.Bases, delta compressor.Delta, want error) {
	t.Helper()
	before := bases.Digests()
	_, err := bases.Apply(delta)
	assert.True(t, errors.Is(err, want), "%v", err)
	assert.Equal(t, before, bases.Digests())
}

// TestApply guards against deltas that result in another value than the peer's.
func TestApply(t *testing.T) {
	want, bases, delta := deltaPair(t)
	t.Run("truncated", func(t *testing.T) {
		for n := range delta.Data {
			truncated := delta
			truncated.Data = delta.Data[:n]
			assertNotApplied(t, bases, truncated, compressor.ErrInvalid)
		}
	})
	t.Run("damaged", func(t *testing.T) {
		for i := range delta.Data {
			damaged := delta
			damaged.Data = bytes.Clone(delta.Data)
			damaged.Data[i] ^= 0xff
			assertNotApplied(t, bases, damaged, compressor.ErrInvalid)
		}
	})
	t.Run("of another value", func(t *testing.T) {
		other := delta
		other.Target[0]++
		assertNotApplied(t, bases, other, compressor.ErrInvalid)
	})
	t.Run("from an unknown value", func(t *testing.T) {
		assertNotApplied(t, &compressor.Bases{}, delta, compressor.ErrNoBase)
	})
	t.Run("whole", func(t *testing.T) {
		got, err := bases.Apply(delta)
		require.NoError(t, err)
		assert.Equal(t, want, got)
		assert.Equal(t, delta.Target, bases.Digests()[0])
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
