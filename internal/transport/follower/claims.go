package follower

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// Claims reads and appends to the log's claim streams. It implements
// claimer.Stream.
type Claims struct {
	Client *Client
}

// ClaimStreamName returns the name of a partition's claim stream.
func ClaimStreamName(partition int) string {
	return fmt.Sprintf("claims-%d", partition)
}

// Append implements claimer.Stream.
func (c *Claims) Append(ctx context.Context, partition int, records []indexer.Record) (uint64, error) {
	encoded := make([][]byte, 0, len(records))
	for _, record := range records {
		data, err := transcoder.EncodeClaim(record)
		if err != nil {
			return 0, errors.Mark(err, claimer.ErrNotAppended)
		}
		encoded = append(encoded, data)
	}
	return c.Client.Append(ctx, ClaimStreamName(partition), encoded)
}

// Read implements claimer.Stream. A record that can't be decoded is returned
// with its error, so that the page keeps all offsets.
func (c *Claims) Read(ctx context.Context, partition int, from uint64, limit int) (claimer.Page, error) {
	page, err := c.Client.ReadPage(ctx, ClaimStreamName(partition), from, limit, 0)
	if err != nil {
		return claimer.Page{}, err
	}
	decoded := claimer.Page{Oldest: page.Oldest, Next: page.Next}
	for _, record := range page.Records {
		claim, err := transcoder.DecodeClaim(record.Data)
		decoded.Records = append(decoded.Records, claimer.OffsetRecord{Offset: record.Offset, Record: claim, Err: err})
	}
	return decoded, nil
}
