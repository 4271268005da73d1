package compressor

import (
	"crypto/sha256"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// maxBases is the number of values that a Bases holds.
	maxBases = 3
	// dictionaryID is the identifier of the base in compressed frames, which have only one.
	dictionaryID = 1
)

// ErrNoBase marks a difference from a value that is not known.
var ErrNoBase = errors.New("base of the difference is not known")

// Digest identifies a value by its content.
type Digest [sha256.Size]byte

// Sum returns the digest of a value.
func Sum(value []byte) Digest { return sha256.Sum256(value) }

// Difference is a value as its difference from another one, its base.
type Difference struct {
	Base   Digest
	Target Digest
	Data   []byte
}

// Bases holds the newest of the large values that this node has, as bases of differences. The
// zero Bases is ready to use and safe for concurrent use.
type Bases struct {
	mu sync.Mutex
	// values is ordered from the oldest one to the newest.
	values []base
}

type base struct {
	digest Digest
	value  []byte
}

// Add adds a value. The caller must not change it afterwards.
func (b *Bases) Add(digest Digest, value []byte) {
	if len(value) < MinBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.values = slices.DeleteFunc(b.values, func(known base) bool { return known.digest == digest })
	if len(b.values) == maxBases {
		b.values = slices.Delete(b.values, 0, 1)
	}
	b.values = append(b.values, base{digest, value})
}

// Digests returns the digests of all values, that of the newest one first.
func (b *Bases) Digests() []Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var digests []Digest
	for _, known := range slices.Backward(b.values) {
		digests = append(digests, known.digest)
	}
	return digests
}

// Clear removes all values.
func (b *Bases) Clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.values = nil
}

func (b *Bases) get(digest Digest) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.values, func(known base) bool { return known.digest == digest })
	if i < 0 {
		return nil, false
	}
	return b.values[i].value, true
}

// Expand returns the value of a difference, and adds it. It returns ErrNoBase, or ErrInvalid for data
// that is damaged or results in another value.
func (b *Bases) Expand(difference Difference) ([]byte, error) {
	base, ok := b.get(difference.Base)
	if !ok {
		return nil, ErrNoBase
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBytes))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(difference.Data, nil)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if Sum(value) != difference.Target {
		return nil, errors.Wrap(ErrInvalid, "difference results in another value")
	}
	b.Add(difference.Target, value)
	return value, nil
}

// subtract returns target as its difference from base.
func subtract(target, base []byte) ([]byte, error) {
	window := zstd.MinWindowSize
	for window < len(target)+len(base) && window < zstd.MaxWindowSize {
		window *= 2
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(window),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	return encoder.EncodeAll(target, nil), nil
}

// Subtracter makes differences for many peers: each one once. The zero Subtracter is ready to
// use and safe for concurrent use.
type Subtracter struct {
	bases Bases

	mu          sync.Mutex
	versions    map[string]identified
	differences map[[2]Digest]result
}

// identified is a version of a value and its digest.
type identified struct {
	version Version
	digest  Digest
}

type result struct {
	data []byte
	err  error
}

// Subtract returns the difference of a value from the first of the given bases that is known. It
// returns false if there is none, or if the value is not worth it.
func (s *Subtracter) Subtract(key string, version Version, value []byte, bases []Digest) (Difference, bool) {
	if len(value) < MinBytes {
		return Difference{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.digest(key, version, value)
	for _, digest := range bases {
		base, ok := s.bases.get(digest)
		if !ok {
			continue
		}
		pair := [2]Digest{digest, target}
		known, ok := s.differences[pair]
		if !ok {
			known.data, known.err = subtract(value, base)
			if s.differences == nil || len(s.differences) >= maxBases*maxBases {
				s.differences = map[[2]Digest]result{}
			}
			s.differences[pair] = known
		}
		return Difference{Base: digest, Target: target, Data: known.data}, known.err == nil
	}
	return Difference{}, false
}

// digest returns the digest of a value, which becomes a base of later ones. The caller holds the lock.
func (s *Subtracter) digest(key string, version Version, value []byte) Digest {
	known, ok := s.versions[key]
	if !ok || known.version != version {
		known = identified{version, Sum(value)}
		if s.versions == nil || len(s.versions) >= maxValues {
			s.versions = map[string]identified{}
		}
		s.versions[key] = known
		s.bases.Add(known.digest, value)
	}
	return known.digest
}
