package packer

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

func encodeLoads(report *peertracker.LoadReport) *wire.LoadReport {
	if report == nil {
		return nil
	}
	encoded := &wire.LoadReport{First: report.First, Last: report.Last}
	for _, load := range report.Loads {
		encoded.Endpoints = append(encoded.Endpoints, load.Endpoint)
		encoded.Running = append(encoded.Running, uint32(load.Running))
		encoded.Blocks = append(encoded.Blocks, uint32(load.Tokens/blockTokens))
		encoded.Reading = append(encoded.Reading, uint32(load.Reading/blockTokens))
		encoded.Silent = append(encoded.Silent, encodeSilent(load))
	}
	if !slices.ContainsFunc(report.Loads, func(load peertracker.Load) bool { return load.HasSilent }) {
		encoded.Silent = nil
	}
	return encoded
}

// silentUnit is the unit of the time since the last data from an endpoint. Times up to 2.5 s take
// one byte.
const silentUnit = 20 * time.Millisecond

func encodeSilent(load peertracker.Load) uint32 {
	if !load.HasSilent {
		return 0
	}
	return uint32(min(max(load.Silent/silentUnit, 0), math.MaxUint16)) + 1
}

func decodeLoads(encoded *wire.LoadReport) (*peertracker.LoadReport, error) {
	if encoded == nil {
		return nil, nil
	}
	n := len(encoded.Endpoints)
	if len(encoded.Running) != n || len(encoded.Blocks) != n || len(encoded.Reading) != n {
		return nil, errors.Wrapf(ErrMalformed, "lists of loads have %d, %d, %d and %d entries", n, len(encoded.Running), len(encoded.Blocks), len(encoded.Reading))
	}
	if len(encoded.Silent) != 0 && len(encoded.Silent) != n {
		return nil, errors.Wrapf(ErrMalformed, "%d loads have %d times without data", n, len(encoded.Silent))
	}
	report := &peertracker.LoadReport{First: encoded.First, Last: encoded.Last, Loads: make([]peertracker.Load, n)}
	for i := range n {
		report.Loads[i] = peertracker.Load{
			Endpoint: encoded.Endpoints[i], Running: int(encoded.Running[i]),
			Tokens: int(encoded.Blocks[i]) * blockTokens, Reading: int(encoded.Reading[i]) * blockTokens,
		}
	}
	for i, silent := range encoded.Silent {
		if silent > 0 {
			report.Loads[i].Silent, report.Loads[i].HasSilent = time.Duration(silent-1)*silentUnit, true
		}
	}
	return report, nil
}

func encodeLimits(limits []peertracker.EndpointLimit) []*wire.EndpointLimit {
	encoded := make([]*wire.EndpointLimit, len(limits))
	for i, limit := range limits {
		encoded[i] = &wire.EndpointLimit{
			Endpoint: limit.Endpoint, Started: limit.Started, Rate: limit.Rate, Ended: limit.Ended, Stamp: limit.Stamp,
		}
	}
	return encoded
}

func decodeLimits(encoded []*wire.EndpointLimit) ([]peertracker.EndpointLimit, error) {
	var limits []peertracker.EndpointLimit
	for _, limit := range encoded {
		if !(limit.Rate >= 0) || math.IsInf(limit.Rate, 0) {
			return nil, errors.Wrapf(ErrMalformed, "limit of %v requests a second", limit.Rate)
		}
		limits = append(limits, peertracker.EndpointLimit{
			Endpoint: limit.Endpoint, Started: limit.Started, Rate: limit.Rate, Ended: limit.Ended, Stamp: limit.Stamp,
		})
	}
	return limits, nil
}

// encodeStreams groups streams by their builds.
func encodeStreams(streams []peertracker.StreamBuild) []*wire.StreamBuilds {
	var encoded []*wire.StreamBuilds
	for _, stream := range streams {
		i := slices.IndexFunc(encoded, func(e *wire.StreamBuilds) bool { return e.Service == stream.Service && e.Build == stream.Build })
		if i < 0 {
			encoded = append(encoded, &wire.StreamBuilds{Service: stream.Service, Build: stream.Build})
			i = len(encoded) - 1
		}
		encoded[i].Streams = append(encoded[i].Streams, stream.Stream)
	}
	return encoded
}

func decodeStreams(encoded []*wire.StreamBuilds) []peertracker.StreamBuild {
	var streams []peertracker.StreamBuild
	for _, group := range encoded {
		for _, stream := range group.Streams {
			streams = append(streams, peertracker.StreamBuild{Stream: stream, Service: group.Service, Build: group.Build})
		}
	}
	return streams
}

func encodeParts(updates *peertracker.PartUpdates) *wire.PartUpdates {
	if updates == nil {
		return nil
	}
	encoded := &wire.PartUpdates{Stream: updates.Stream, Number: updates.Number}
	for _, group := range updates.Groups {
		encoded.Groups = append(encoded.Groups, EncodePartGroup(group))
	}
	for _, holder := range updates.Forgotten {
		encoded.Forgotten = append(encoded.Forgotten, holder.String())
	}
	return encoded
}

func decodeParts(encoded *wire.PartUpdates) (*peertracker.PartUpdates, error) {
	if encoded == nil {
		return nil, nil
	}
	updates := &peertracker.PartUpdates{Stream: encoded.Stream, Number: encoded.Number}
	for _, group := range encoded.Groups {
		decoded, err := DecodePartGroup(group)
		if err != nil {
			return nil, err
		}
		updates.Groups = append(updates.Groups, decoded)
	}
	for _, text := range encoded.Forgotten {
		holder, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Mark(err, ErrMalformed)
		}
		updates.Forgotten = append(updates.Forgotten, holder)
	}
	return updates, nil
}

// EncodePartGroup converts a group of parts to its wire type.
func EncodePartGroup(group peertracker.PartGroup) *wire.PartGroup {
	encoded := &wire.PartGroup{Holder: group.Holder.String(), Salt: group.Salt, Parts: group.Parts}
	for _, tokens := range group.Tokens {
		encoded.Tokens = append(encoded.Tokens, uint32(tokens))
	}
	return encoded
}

// DecodePartGroup converts a group of parts from its wire type. It returns ErrMalformed.
func DecodePartGroup(encoded *wire.PartGroup) (peertracker.PartGroup, error) {
	holder, err := netip.ParseAddrPort(encoded.Holder)
	if err != nil {
		return peertracker.PartGroup{}, errors.Mark(err, ErrMalformed)
	}
	if len(encoded.Parts) != len(encoded.Tokens) {
		return peertracker.PartGroup{}, errors.Wrapf(ErrMalformed, "group has %d parts and %d sizes", len(encoded.Parts), len(encoded.Tokens))
	}
	group := peertracker.PartGroup{Holder: holder, Salt: encoded.Salt, Parts: encoded.Parts}
	for _, tokens := range encoded.Tokens {
		group.Tokens = append(group.Tokens, int(tokens))
	}
	return group, nil
}
