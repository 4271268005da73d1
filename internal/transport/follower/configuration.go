package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

const (
	// ConfigurationStream is the name of the stream of configuration records.
	ConfigurationStream = "configuration"
	// SnapshotStream is the name of the stream of configuration snapshots.
	SnapshotStream = "snapshots"
)

// EndOffset is beyond the end of every stream. A read from there returns no
// records, only the offset of the next one.
const EndOffset = 1 << 62

// Configuration reads configuration records, and reads and appends snapshots. It
// implements replicator.Log.
type Configuration struct{ Client *Client }

// Read implements replicator.Log.
func (l *Configuration) Read(ctx context.Context, from uint64, wait time.Duration) (replicator.Page, error) {
	return l.Client.Read(ctx, ConfigurationStream, from, wait)
}

// NewestSnapshot implements replicator.Log.
func (l *Configuration) NewestSnapshot(ctx context.Context) (configurator.Snapshot, error) {
	end, err := l.Client.Read(ctx, SnapshotStream, EndOffset, 0)
	if err != nil {
		return configurator.Snapshot{}, err
	}
	if end.Next == 0 {
		return configurator.Snapshot{}, errors.New("configuration records are gone and there is no snapshot")
	}
	page, err := l.Client.Read(ctx, SnapshotStream, end.Next-1, 0)
	if err != nil {
		return configurator.Snapshot{}, err
	}
	if len(page.Records) == 0 {
		return configurator.Snapshot{}, errors.New("newest snapshot can't be read")
	}
	return transcoder.DecodeSnapshot(page.Records[0].Data)
}

// AppendSnapshot implements replicator.Log.
func (l *Configuration) AppendSnapshot(ctx context.Context, snapshot configurator.Snapshot) error {
	data, err := transcoder.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	_, err = l.Client.Append(ctx, SnapshotStream, [][]byte{data})
	return err
}
