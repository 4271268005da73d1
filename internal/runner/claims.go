package runner

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/owner"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

const (
	// ownerTimeout bounds a question to a claim stream's owner.
	ownerTimeout  = 500 * time.Millisecond
	carryInterval = 10 * time.Second

	// defaultKeep and defaultLogWindow are in force without a retention object.
	defaultKeep      = 24 * time.Hour
	defaultLogWindow = 7 * 24 * time.Hour
)

// errOwn is returned when this node owns the stream, and reads it itself.
var errOwn = errors.New("this node owns the claim stream")

// streamOwner implements claimer.Owner by asking the stream's owner.
type streamOwner struct{ node *Node }

// Resolve implements claimer.Owner.
func (s *streamOwner) Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	address, own := s.node.ownerOf(claimWork(partition))
	if own {
		return indexer.Entry{}, false, errOwn
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return s.node.peers.Resolve(ctx, address, partition, key, offset)
}

func claimWork(partition int) string { return fmt.Sprintf("claims/%d", partition) }

// ownerOf returns the address of the node that owns a piece of work, or own
// when that is this node.
func (n *Node) ownerOf(work string) (address netip.AddrPort, own bool) {
	addresses := map[string]netip.AddrPort{}
	names := []string{n.Settings.Name}
	for _, peer := range n.cell.Load().Peers {
		if !peer.Leaving {
			names = append(names, peer.Name)
			addresses[peer.Name] = peer.Address
		}
	}
	chosen := owner.Pick(names, work)
	return addresses[chosen], chosen == n.Settings.Name
}

// retention returns the retention in force.
func (n *Node) retention() configurator.Retention {
	configuration := n.cell.Load().Configuration
	found, ok := configurator.Find[configurator.Retention](configuration, configurator.KindRetention, configurator.RetentionName)
	if !ok {
		return configurator.Retention{Keep: defaultKeep, Log: defaultLogWindow}
	}
	return found
}

// carry keeps the entries of the claim streams that this node owns.
func (n *Node) carry(ctx context.Context) {
	window := n.retention().Log
	for partition := range claimer.Partitions {
		if !n.owns(claimWork(partition)) {
			continue
		}
		if _, err := n.claims.Carry(ctx, partition, window); err != nil {
			n.Log.Warn().Err(err).Int("partition", partition).Msg("claims were not carried forward")
			return
		}
	}
}
