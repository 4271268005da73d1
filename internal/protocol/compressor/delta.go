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

// ErrNoBase marks a delta from a value that is not known.
var ErrNoBase = errors.New("base of the delta is not known")

// Digest identifies a value by its content.
type Digest [sha256.Size]byte

// Sum returns the digest of a value.
func Sum(value []byte) Digest { return sha256.Sum256(value) }

// Delta is a value as its difference from another one, its base.
type Delta struct {
	Base   Digest
	Target Digest
	Data   []byte
}

// Bases holds the newest of the large values that this node has, as bases of deltas. The
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

// Apply returns the value of a delta, and adds it. It returns ErrNoBase, or ErrInvalid for data
// that is damaged or results in another value.
func (b *Bases) Apply(delta Delta) ([]byte, error) {
	base, ok := b.get(delta.Base)
	if !ok {
		return nil, ErrNoBase
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxBytes))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(delta.Data, nil)
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	if Sum(value) != delta.Target {
		return nil, errors.Wrap(ErrInvalid, "delta results in another value")
	}
	b.Add(delta.Target, value)
	return value, nil
}

// encodeDelta returns the data of the delta from base to target.
func encodeDelta(target, base []byte) ([]byte, error) {
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

// DeltaEncoder makes deltas for many peers: each one once. The zero DeltaEncoder is ready to use
// and safe for concurrent use.
type DeltaEncoder struct {
	bases Bases

	mu       sync.Mutex
	versions map[string]identified
	deltas   map[[2]Digest]result
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

// Encode returns the delta of a value from the first of the given bases that is known. It returns
// false if there is none, or if the value is not worth it.
func (e *DeltaEncoder) Encode(key string, version Version, value []byte, bases []Digest) (Delta, bool) {
	if len(value) < MinBytes {
		return Delta{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	target := e.digest(key, version, value)
	for _, digest := range bases {
		base, ok := e.bases.get(digest)
		if !ok {
			continue
		}
		pair := [2]Digest{digest, target}
		known, ok := e.deltas[pair]
		if !ok {
			known.data, known.err = encodeDelta(value, base)
			if e.deltas == nil || len(e.deltas) >= maxBases*maxBases {
				e.deltas = map[[2]Digest]result{}
			}
			e.deltas[pair] = known
		}
		return Delta{Base: digest, Target: target, Data: known.data}, known.err == nil
	}
	return Delta{}, false
}

// digest returns the digest of a value, which becomes a base of later ones. The caller holds the lock.
func (e *DeltaEncoder) digest(key string, version Version, value []byte) Digest {
	known, ok := e.versions[key]
	if !ok || known.version != version {
		known = identified{version, Sum(value)}
		if e.versions == nil || len(e.versions) >= maxValues {
			e.versions = map[string]identified{}
		}
		e.versions[key] = known
		e.bases.Add(known.digest, value)
	}
	return known.digest
}
