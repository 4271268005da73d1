package packer

import (
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

func TestPartSuspectLists(t *testing.T) {
	for _, malformed := range []*wire.PartSuspect{
		{Endpoints: []uint32{1}},
		{Endpoints: []uint32{1}, Observers: []uint32{1}},
		{Endpoints: []uint32{1}, Observers: []uint32{1}, Ages: []uint32{1, 2}},
		{Ages: []uint32{1}},
	} {
		_, err := decodePartSuspect(malformed)
		assert.True(t, errors.Is(err, ErrMalformed), "%v", malformed)
	}
}

func TestPartSuspectAges(t *testing.T) {
	const most = (math.MaxUint32 - 1) * time.Millisecond
	for _, c := range []struct{ age, want time.Duration }{{-time.Second, 0}, {0, 0}, {1500 * time.Microsecond, time.Millisecond}, {math.MaxInt64, most}} {
		decoded, err := decodePartSuspect(encodePartSuspect(peertracker.PartSuspect{
			Used: c.age, Survived: c.age, HasSurvived: true, Crashes: []peertracker.PartCrash{{Age: c.age}},
		}))
		require.NoError(t, err)
		assert.Equal(t, peertracker.PartSuspect{Used: c.want, Survived: c.want, HasSurvived: true, Crashes: []peertracker.PartCrash{{Age: c.want}}}, decoded)
	}
}

// FuzzPartSuspect shows that what any peer sends is decoded without a panic, and that what
// was decoded is the same after another round.
func FuzzPartSuspect(f *testing.F) {
	f.Add(uint64(1), uint32(2), uint32(3), uint32(4), uint32(5), uint32(6), 2, 2)
	f.Add(uint64(0), uint32(0), uint32(0), uint32(math.MaxUint32), uint32(math.MaxUint32), uint32(math.MaxUint32), 5, 5)
	f.Add(uint64(0), uint32(0), uint32(0), uint32(0), uint32(0), uint32(0), 1, 0)
	f.Fuzz(func(t *testing.T, part uint64, endpoint, observer, age, used, survived uint32, endpoints, ages int) {
		encoded := &wire.PartSuspect{Part: part, Used: used, Survived: survived}
		for range min(max(endpoints, 0), 10) {
			encoded.Endpoints, encoded.Observers = append(encoded.Endpoints, endpoint), append(encoded.Observers, observer)
		}
		for range min(max(ages, 0), 10) {
			encoded.Ages = append(encoded.Ages, age)
		}
		decoded, err := decodePartSuspect(encoded)
		if err != nil {
			assert.True(t, errors.Is(err, ErrMalformed))
			return
		}
		again, err := decodePartSuspect(encodePartSuspect(decoded))
		require.NoError(t, err)
		assert.Equal(t, min(decoded.Used, maxAge*time.Millisecond), again.Used)
		assert.Equal(t, decoded.HasSurvived, again.HasSurvived)
		assert.Len(t, again.Crashes, len(decoded.Crashes))
	})
}
