package runner

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

// endOffset lies beyond every stream's end; a read from there tells the end.
const endOffset = 1 << 62

func (n *Node) replicator() *replicator.Replicator {
	return &replicator.Replicator{
		Log:       &configurationLog{client: n.log},
		Peers:     &configurationPeers{Client: n.peers, node: n},
		Sink:      n.control,
		Snapshots: func() bool { return n.owns(SnapshotStream) },
		Failed: func(err error) {
			n.Log.Debug().Err(err).Msg("configuration stream can't be followed")
		},
	}
}

// configurationLog implements replicator.Log on the log service.
type configurationLog struct{ client *follower.Client }

// Read implements replicator.Log.
func (l *configurationLog) Read(ctx context.Context, from uint64, wait time.Duration) (replicator.Page, error) {
	page, err := l.client.Read(ctx, ConfigurationStream, from, wait)
	if err != nil {
		return replicator.Page{}, err
	}
	read := replicator.Page{Oldest: page.Oldest, Next: page.Next}
	for _, record := range page.Records {
		read.Records = append(read.Records, replicator.Record(record))
	}
	return read, nil
}

// Newest implements replicator.Log.
func (l *configurationLog) Newest(ctx context.Context) (configurator.Snapshot, error) {
	end, err := l.client.Read(ctx, SnapshotStream, endOffset, 0)
	if err != nil {
		return configurator.Snapshot{}, err
	}
	if end.Next == 0 {
		return configurator.Snapshot{}, errors.New("configuration records are gone and there is no snapshot")
	}
	page, err := l.client.Read(ctx, SnapshotStream, end.Next-1, 0)
	if err != nil {
		return configurator.Snapshot{}, err
	}
	if len(page.Records) == 0 {
		return configurator.Snapshot{}, errors.New("newest snapshot can't be read")
	}
	return transcoder.DecodeSnapshot(page.Records[0].Data)
}

// Keep implements replicator.Log.
func (l *configurationLog) Keep(ctx context.Context, snapshot configurator.Snapshot) error {
	data, err := transcoder.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	_, err = l.client.Append(ctx, SnapshotStream, [][]byte{data})
	return err
}

// configurationPeers implements replicator.Peers.
type configurationPeers struct {
	*messenger.Client
	node *Node
}

// Near implements replicator.Peers.
func (p *configurationPeers) Near() []netip.AddrPort {
	near := p.node.peersByDomain()[p.node.Settings.Domain]
	return sample(near, len(near))
}

// All implements replicator.Peers.
func (p *configurationPeers) All() []netip.AddrPort { return p.node.peerAddresses() }
