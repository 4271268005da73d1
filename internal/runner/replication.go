package runner

import (
	"net/netip"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

func (n *Node) replicator() *replicator.Replicator {
	return &replicator.Replicator{
		Log:            &follower.Configuration{Client: n.logService},
		Peers:          &configurationPeers{Client: n.peerClient, node: n},
		Sink:           n.control,
		KeepsSnapshots: func() bool { return n.owns(follower.SnapshotStream) },
		OnError: func(err error) {
			n.Log.Debug().Err(err).Msg("failed to follow the configuration stream")
		},
	}
}

// configurationPeers implements replicator.Peers.
type configurationPeers struct {
	*messenger.Client
	node *Node
}

// SameDomain implements replicator.Peers.
func (p *configurationPeers) SameDomain() []netip.AddrPort {
	sameDomain := p.node.peersByDomain()[p.node.Settings.Domain]
	return sample(sameDomain, len(sameDomain))
}

// All implements replicator.Peers.
func (p *configurationPeers) All() []netip.AddrPort { return p.node.peerAddresses() }
