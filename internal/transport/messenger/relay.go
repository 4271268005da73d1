package messenger

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
)

// Site is what relay nodes tell each other of the operators' records.
type Site struct {
	// Version is the configuration's; zero for none.
	Version int64
	// Data is the configuration as its operators wrote it.
	Data []byte
	// Weights holds the newest named version of each model.
	Weights map[string]int64
}

// RelayNode answers the calls of relay nodes.
type RelayNode interface {
	// Site returns the newest configuration, without data if it is not newer.
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

// Site asks a relay node for a configuration above a version.
func (c *Client) Site(ctx context.Context, peer netip.AddrPort, knownVersion int64) (Site, error) {
	relay := wire.NewRelayProtobufClient("http://"+peer.String(), c.http)
	reply, err := relay.Configuration(ctx, &wire.ConfigurationRequest{Newer: knownVersion})
	if err != nil {
		return Site{}, errors.Wrapf(err, "configuration from %s", peer)
	}
	site := Site{Version: reply.Version, Data: reply.Data, Weights: map[string]int64{}}
	for _, named := range reply.Weights {
		site.Weights[named.Model] = named.Version
	}
	return site, nil
}
