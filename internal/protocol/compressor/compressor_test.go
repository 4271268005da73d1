package compressor_test

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/compressor"
)

func assertInvalid(t *testing.T, data []byte) {
	t.Helper()
	_, err := compressor.Decompress(data)
	assert.True(t, errors.Is(err, compressor.ErrInvalid), "%v", err)
}

// TestDecompress guards against damaged data that is taken for a value, and against data that
// expands without end.
func TestDecompress(t *testing.T) {
	value := bytes.Repeat([]byte("route "), compressor.MinBytes)
	var cache compressor.Cache
	data, ok := cache.Compress("k", compressor.Version{Offset: 1}, value)
	require.True(t, ok)
	t.Run("whole", func(t *testing.T) {
		got, err := compressor.Decompress(data)
		require.NoError(t, err)
		assert.Equal(t, value, got)
	})
	t.Run("truncated", func(t *testing.T) {
		for n := range data {
			assertInvalid(t, data[:n])
		}
	})
	t.Run("damaged", func(t *testing.T) {
		for i := len(data) / 2; i < len(data); i++ {
			damaged := bytes.Clone(data)
			damaged[i] ^= 0xff
			assertInvalid(t, damaged)
		}
	})
	t.Run("too large", func(t *testing.T) {
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		_, err := w.Write(make([]byte, compressor.MaxBytes+1))
		require.NoError(t, err)
		require.NoError(t, w.Close())
		assertInvalid(t, out.Bytes())
	})
}

// TestCache guards against values that are taken for another version of their key.
func TestCache(t *testing.T) {
	var cache compressor.Cache
	_, ok := cache.Compress("k", compressor.Version{Offset: 1}, make([]byte, compressor.MinBytes-1))
	assert.False(t, ok)
	for offset := range int64(20) {
		value := bytes.Repeat([]byte{byte(offset)}, compressor.MinBytes)
		for range 2 {
			data, ok := cache.Compress("k", compressor.Version{Offset: offset}, value)
			require.True(t, ok)
			got, err := compressor.Decompress(data)
			require.NoError(t, err)
			assert.Equal(t, value, got)
		}
	}
}
