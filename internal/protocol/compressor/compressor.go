// Package compressor compresses large values that a node sends to many peers: each value is
// compressed once. A peer that has an earlier version gets the delta from it; the digest of the
// result proves that it is the same.
//
// # Usage
//
//	var cache compressor.Cache
//	data, ok := cache.Compress("topic/key", compressor.Version{Era: 1, Offset: 7}, value)
//	value, err := compressor.Decompress(data)
//
// With deltas, the receiver sends bases.Digests() and gets a delta from one of them, if any:
//
//	delta, ok := encoder.Encode("topic/key", compressor.Version{Era: 1, Offset: 8}, value, digests)
//	value, err := bases.Apply(delta)
package compressor

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// MinBytes is the size from which on values are compressed.
	MinBytes = 4 << 10
	// MaxBytes bounds what compressed data may expand to.
	MaxBytes = 64 << 20
	// maxValues is the number of values that a Cache holds.
	maxValues = 8
)

// ErrInvalid marks data that is truncated, damaged or expands to more than MaxBytes.
var ErrInvalid = errors.New("compressed data is invalid")

// Version tells the values of a key apart.
type Version struct {
	Era    int64
	Offset int64
}

// Cache keeps the compressed form of the newest value of each of a few keys. The zero Cache is
// ready to use and safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	values map[string]compressed
}

type compressed struct {
	version Version
	data    []byte
}

// Compress returns the compressed form of a value. It returns false for a value that is not worth it.
func (c *Cache) Compress(key string, version Version, value []byte) ([]byte, bool) {
	if len(value) < MinBytes {
		return nil, false
	}
	// Other callers wait for the result instead of compressing the same value.
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.values[key]
	if !ok || known.version != version {
		known = compressed{version, compress(value)}
		if c.values == nil || len(c.values) >= maxValues {
			c.values = map[string]compressed{}
		}
		c.values[key] = known
	}
	return known.data, len(known.data) < len(value)
}

func compress(value []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// Decompress returns the value that data was compressed from. Its error is ErrInvalid.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	value, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if len(value) > MaxBytes {
		return nil, errors.Wrapf(ErrInvalid, "more than %d bytes", MaxBytes)
	}
	return value, nil
}
