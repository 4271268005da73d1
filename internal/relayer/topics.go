package relayer

import (
	"context"
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

// topicTimeout is how long a response of a peer may take beyond the wait for records. It covers a large
// configuration on a link that all members of a hub share. A silent peer is noticed by its
// heartbeats, and the call is cancelled then.
const topicTimeout = 2 * time.Second

// TopicServer serves the logs that this node follows to its peers, by topic.
type TopicServer struct {
	Replicas map[string]*Replica
}

// Newest returns the newest record of each key of a topic.
func (s TopicServer) Newest(ctx context.Context, topic string) (messenger.TopicBatch, error) {
	replica, ok := s.Replicas[topic]
	if !ok {
		return messenger.TopicBatch{}, messenger.ErrTopicUnavailable
	}
	return encodeBatch(replica.Newest(ctx))
}

// ReadTopic returns the records of a topic from a position on; it waits at most wait for
// the first one.
func (s TopicServer) ReadTopic(ctx context.Context, topic string, from messenger.TopicPosition, wait time.Duration) (messenger.TopicBatch, error) {
	replica, ok := s.Replicas[topic]
	if !ok {
		return messenger.TopicBatch{}, messenger.ErrTopicUnavailable
	}
	return encodeBatch(replica.Read(ctx, Position(from), wait))
}

func encodeBatch(batch Batch, err error) (messenger.TopicBatch, error) {
	switch {
	case errors.Is(err, ErrDropped):
		return messenger.TopicBatch{}, messenger.ErrTopicDropped
	case errors.Is(err, ErrRestored):
		return messenger.TopicBatch{}, messenger.ErrTopicRestored
	case err != nil:
		return messenger.TopicBatch{}, messenger.ErrTopicUnavailable
	}
	encoded := messenger.TopicBatch{Next: messenger.TopicPosition(batch.Next), Interrupted: batch.Interrupted, Since: batch.Since, Grace: batch.Grace}
	for _, record := range batch.Records {
		if !utf8.ValidString(record.Key) {
			// It can't be sent, and names nothing.
			continue
		}
		encoded.Records = append(encoded.Records, messenger.TopicRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return encoded, nil
}

// TopicClient reads logs at peers. It implements PeerLog.
type TopicClient struct {
	Client *messenger.Client
}

// Newest implements PeerLog.
func (c TopicClient) Newest(ctx context.Context, peer netip.AddrPort, topic string) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, topicTimeout)
	defer cancel()
	return decodeBatch(c.Client.Newest(ctx, peer, topic))
}

// Read implements PeerLog.
func (c TopicClient) Read(ctx context.Context, peer netip.AddrPort, topic string, from Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+topicTimeout)
	defer cancel()
	return decodeBatch(c.Client.ReadTopic(ctx, peer, topic, messenger.TopicPosition(from), wait))
}

func decodeBatch(batch messenger.TopicBatch, err error) (Batch, error) {
	switch {
	case errors.Is(err, messenger.ErrTopicDropped):
		return Batch{}, ErrDropped
	case errors.Is(err, messenger.ErrTopicRestored):
		return Batch{}, ErrRestored
	case err != nil:
		return Batch{}, err
	}
	decoded := Batch{Next: Position(batch.Next), Interrupted: batch.Interrupted, Since: batch.Since, Grace: batch.Grace}
	for _, record := range batch.Records {
		decoded.Records = append(decoded.Records, Record{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return decoded, nil
}
