package messenger

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
)

// Site is the part of the operators' records that relay nodes exchange: the
// configuration and the target versions of the weights.
type Site struct {
	// Version is the configuration's version, or zero without a configuration.
	Version int64
	// Data is the configuration as the operators wrote it.
	Data []byte
	// Weights holds the newest target version of each model's weights.
	Weights map[string]int64
}

// RelayNode implements the calls that a relay node receives from its peers.
type RelayNode interface {
	// Site returns the newest configuration. Its data is left out if its version
	// is not above knownVersion.
	Site(knownVersion int64) Site
}

// NewRelayHandler returns the HTTP handler of a relay node's peer service.
func NewRelayHandler(node RelayNode, key []byte) http.Handler {
	return authenticate(key, wire.NewRelayServer(&relayServer{node: node}))
}

type relayServer struct{ node RelayNode }

// Configuration implements wire.Relay.
func (s *relayServer) Configuration(_ context.Context, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	site := s.node.Site(request.Newer)
	reply := &wire.ConfigurationReply{Version: site.Version, Data: site.Data}
	for model, version := range site.Weights {
		reply.Weights = append(reply.Weights, &wire.NamedWeights{Model: model, Version: version})
	}
	return reply, nil
}

// Site fetches a relay node's configuration. Its data is left out if its version
// is not above knownVersion.
func (c *Client) Site(ctx context.Context, peer netip.AddrPort, knownVersion int64) (Site, error) {
	relay := wire.NewRelayProtobufClient("http://"+peer.String(), c.http)
	reply, err := relay.Configuration(ctx, &wire.ConfigurationRequest{Newer: knownVersion})
	if err != nil {
		return Site{}, errors.Wrapf(err, "fetch configuration from %s", peer)
	}
	site := Site{Version: reply.Version, Data: reply.Data, Weights: map[string]int64{}}
	for _, named := range reply.Weights {
		site.Weights[named.Model] = named.Version
	}
	return site, nil
}
