package runner

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

const (
	// ownerTimeout limits a call to the owner of a claim stream.
	ownerTimeout  = 500 * time.Millisecond
	renewInterval = 10 * time.Second

	// defaultKeyRetention and defaultLogRetention apply if the configuration has
	// no retention object.
	defaultKeyRetention = 24 * time.Hour
	defaultLogRetention = 7 * 24 * time.Hour
)

// errOwnStream is returned if this node itself owns the stream, so that there is
// no other node to ask.
var errOwnStream = errors.New("this node owns the claim stream")

// streamOwner implements claimer.Owner by calling the node that owns the stream.
type streamOwner struct{ node *Node }

// Resolve implements claimer.Owner.
func (s *streamOwner) Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	address, own := s.node.ownerOf(claimTask(partition))
	if own {
		return indexer.Entry{}, false, errOwnStream
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return s.node.peerClient.Resolve(ctx, address, partition, key, offset)
}

func claimTask(partition int) string { return fmt.Sprintf("claims/%d", partition) }

// ownerOf returns the address of the node that owns a task among the nodes
// considered alive. If that is this node, own is set and address is invalid.
func (n *Node) ownerOf(task string) (address netip.AddrPort, own bool) {
	addresses := map[string]netip.AddrPort{}
	names := []string{n.Settings.Name}
	for _, peer := range n.current.Load().Peers {
		if !peer.Leaving {
			names = append(names, peer.Name)
			addresses[peer.Name] = peer.Address
		}
	}
	chosen := ranker.Pick(names, task)
	return addresses[chosen], chosen == n.Settings.Name
}

// retention returns the configured retention, or the default.
func (n *Node) retention() configurator.Retention {
	configuration := n.current.Load().Configuration
	configured, ok := configurator.Find[configurator.Retention](configuration, configurator.KindRetention, configurator.RetentionName)
	if !ok {
		return configurator.Retention{Keep: defaultKeyRetention, Log: defaultLogRetention}
	}
	return configured
}

// renewClaims renews the entries of the claim streams that this node owns, before
// the log drops their records.
func (n *Node) renewClaims(ctx context.Context) {
	logRetention := n.retention().Log
	for partition := range claimer.Partitions {
		if !n.owns(claimTask(partition)) {
			continue
		}
		if _, err := n.claims.RenewEntries(ctx, partition, logRetention); err != nil {
			n.Log.Warn().Err(err).Int("partition", partition).Msg("failed to renew claims")
			return
		}
	}
}
