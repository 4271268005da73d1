package messenger

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
)

// OperatorState is the part of the operators' records that relay nodes
// exchange: the configuration and the target versions of the weights.
type OperatorState struct {
	// Version is the configuration's version, or zero without a configuration.
	Version int64
	// Data is the configuration as the operators wrote it.
	Data []byte
	// Weights holds the newest target version of each model's weights.
	Weights map[string]int64
}

// RelayNode is what a relay node must implement to serve its peers.
type RelayNode interface {
	// OperatorState returns the newest configuration and target versions that
	// the node has. Data is left out if Version is not above knownVersion.
	OperatorState(knownVersion int64) OperatorState
}

// NewRelayHandler returns the HTTP handler of a relay node's peer service.
func NewRelayHandler(node RelayNode, key []byte) http.Handler {
	return authenticate(key, wire.NewRelayServer(&relayServer{node: node}))
}

type relayServer struct{ node RelayNode }

// Configuration implements wire.Relay.
func (s *relayServer) Configuration(_ context.Context, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	state := s.node.OperatorState(request.Newer)
	reply := &wire.ConfigurationReply{Version: state.Version, Data: state.Data}
	for model, version := range state.Weights {
		reply.Weights = append(reply.Weights, &wire.NamedWeights{Model: model, Version: version})
	}
	return reply, nil
}

// OperatorState fetches a relay node's configuration and target versions. Data
// is left out if Version is not above knownVersion.
func (c *Client) OperatorState(ctx context.Context, peer netip.AddrPort, knownVersion int64) (OperatorState, error) {
	relay := wire.NewRelayProtobufClient("http://"+peer.String(), c.http)
	reply, err := relay.Configuration(ctx, &wire.ConfigurationRequest{Newer: knownVersion})
	if err != nil {
		return OperatorState{}, errors.Wrapf(err, "fetch configuration from %s", peer)
	}
	state := OperatorState{Version: reply.Version, Data: reply.Data, Weights: map[string]int64{}}
	for _, target := range reply.Weights {
		state.Weights[target.Model] = target.Version
	}
	return state, nil
}
