package packer

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// maxAge is the largest age that can be encoded, in milliseconds.
const maxAge = math.MaxUint32 - 1

func encodeAge(age time.Duration) uint32 { return uint32(min(max(age.Milliseconds(), 0), maxAge)) }

func decodeAge(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

func encodePartSuspect(suspect peertracker.PartSuspect) *wire.PartSuspect {
	encoded := &wire.PartSuspect{Part: suspect.Part, Used: encodeAge(suspect.Used)}
	for _, crash := range suspect.Crashes {
		encoded.Endpoints = append(encoded.Endpoints, crash.Endpoint)
		encoded.Observers = append(encoded.Observers, crash.Observer)
		encoded.Ages = append(encoded.Ages, encodeAge(crash.Age))
	}
	if suspect.HasSurvived {
		encoded.Survived = encodeAge(suspect.Survived) + 1
	}
	return encoded
}

func decodePartSuspect(encoded *wire.PartSuspect) (peertracker.PartSuspect, error) {
	n := len(encoded.Endpoints)
	if len(encoded.Observers) != n || len(encoded.Ages) != n {
		return peertracker.PartSuspect{}, errors.Wrapf(ErrMalformed, "lists of crashes have %d, %d and %d entries", n, len(encoded.Observers), len(encoded.Ages))
	}
	suspect := peertracker.PartSuspect{Part: encoded.Part, Used: decodeAge(encoded.Used)}
	for i := range n {
		suspect.Crashes = append(suspect.Crashes, peertracker.PartCrash{
			Endpoint: encoded.Endpoints[i], Observer: encoded.Observers[i], Age: decodeAge(encoded.Ages[i]),
		})
	}
	if encoded.Survived > 0 {
		suspect.Survived, suspect.HasSurvived = decodeAge(encoded.Survived-1), true
	}
	return suspect, nil
}
