package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/compressor"
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

// TopicPosition is a place in a keyed log, in an era of it.
type TopicPosition struct {
	Era    int64
	Offset int64
}

// TopicRecord is a record of a keyed log; a nil value means that the key was deleted.
type TopicRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// TopicBatch is the result of one reading of a keyed log.
type TopicBatch struct {
	Records []TopicRecord
	Next    TopicPosition
	// Interrupted is set if the peer recently had no contact with the log.
	Interrupted bool
	// Grace is how much longer missing entries may have expired in an outage of the log.
	Grace time.Duration
	// Since is the time after the call reached the peer as of which the records are complete;
	// negative if the peer read the log longer ago.
	Since time.Duration
}

// Errors of reading a keyed log at a peer.
var (
	// ErrTopicUnavailable means that the peer does not know the state of the log.
	ErrTopicUnavailable = errors.New("peer does not know the state of the log")
	// ErrTopicDropped means that the peer has no complete changes from the position on.
	ErrTopicDropped = errors.New("peer has dropped changes from the position on")
	// ErrTopicRestored means that the log is in a later era than the position.
	ErrTopicRestored = errors.New("log is in a later era")
)

// RelayNode is what a relay node must implement to serve its peers.
type RelayNode interface {
	// OperatorState returns the newest configuration and target versions that
	// the node has. Data is left out if Version is not above knownVersion.
	OperatorState(knownVersion int64) OperatorState
	// Newest returns the newest record of each key of a log, and ReadTopic the records from
	// a position on, for which it waits. They return the errors above.
	Newest(ctx context.Context, topic string) (TopicBatch, error)
	ReadTopic(ctx context.Context, topic string, from TopicPosition, wait time.Duration) (TopicBatch, error)
	// Parts returns the directory of prompt parts.
	Parts() PartDirectory
	// IssuePermits issues permits to send requests to an endpoint, or asks the issuer.
	IssuePermits(ctx context.Context, request PermitsRequest) (throttler.Grant, error)
	// FindOrigin returns the build that began a stream; false if it is not known. forwarded is
	// set if a hub asks: the answer is then what this node itself knows.
	FindOrigin(ctx context.Context, stream uint64, forwarded bool) (resumer.Build, bool)
}

// PermitsRequest asks for permits to send requests to a process of an endpoint.
type PermitsRequest struct {
	throttler.Demand
	// Forwarded is set if a hub asks the issuer for the node.
	Forwarded bool
}

// NewRelayHandler returns the HTTP handler of a relay node's peer service.
func NewRelayHandler(node RelayNode, key []byte) http.Handler {
	return authenticate(key, wire.NewRelayServer(&relayServer{node: node}))
}

type relayServer struct {
	node RelayNode
	// compressed and deltas hold the short forms of large values, for all peers.
	compressed compressor.Cache
	deltas     compressor.DeltaEncoder
}

// operatorStateKey is the key of configurations in relayServer.compressed; no topic has this name.
const operatorStateKey = "\x00configuration"

// Configuration implements wire.Relay.
func (s *relayServer) Configuration(_ context.Context, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	state := s.node.OperatorState(request.Newer)
	reply := &wire.ConfigurationReply{Version: state.Version, Data: state.Data}
	version := compressor.Version{Offset: state.Version}
	if delta, ok := s.deltas.Encode(operatorStateKey, version, state.Data, decodeDigests(request.Bases)); ok {
		reply.Data, reply.Delta = nil, encodeDelta(delta)
	} else if request.Compressed {
		if data, ok := s.compressed.Compress(operatorStateKey, version, state.Data); ok {
			reply.Data, reply.Compressed = data, true
		}
	}
	for model, version := range state.Weights {
		reply.Weights = append(reply.Weights, &wire.NamedWeights{Model: model, Version: version})
	}
	return reply, nil
}

// OperatorState fetches a relay node's configuration and target versions. Data
// is left out if Version is not above knownVersion.
func (c *Client) OperatorState(ctx context.Context, peer netip.AddrPort, knownVersion int64) (OperatorState, error) {
	relay := wire.NewRelayProtobufClient("http://"+peer.String(), c.http)
	reply, err := relay.Configuration(ctx, &wire.ConfigurationRequest{Newer: knownVersion, Compressed: true, Bases: c.encodedBases()})
	if err != nil {
		return OperatorState{}, errors.Wrapf(err, "fetch configuration from %s", peer)
	}
	data, err := c.expand(reply.Data, reply.Compressed, reply.Delta)
	if err != nil {
		return OperatorState{}, errors.Wrapf(err, "configuration %d from %s", reply.Version, peer)
	}
	state := OperatorState{Version: reply.Version, Data: data, Weights: map[string]int64{}}
	for _, target := range reply.Weights {
		state.Weights[target.Model] = target.Version
	}
	return state, nil
}

// Topic implements wire.Relay.
func (s *relayServer) Topic(ctx context.Context, request *wire.TopicRequest) (*wire.TopicReply, error) {
	var batch TopicBatch
	var err error
	if request.List {
		batch, err = s.node.Newest(ctx, request.Topic)
	} else {
		from := TopicPosition{Era: request.Era, Offset: request.Offset}
		wait := min(max(time.Duration(request.WaitMs)*time.Millisecond, 0), maxTopicWait)
		batch, err = s.node.ReadTopic(ctx, request.Topic, from, wait)
	}
	switch {
	case err == nil:
		reply := encodeTopicBatch(batch)
		s.compress(request, reply)
		return reply, nil
	case errors.Is(err, ErrTopicDropped):
		return &wire.TopicReply{Result: wire.TopicResult_TOPIC_RESULT_DROPPED}, nil
	case errors.Is(err, ErrTopicRestored):
		return &wire.TopicReply{Result: wire.TopicResult_TOPIC_RESULT_RESTORED}, nil
	default:
		return &wire.TopicReply{Result: wire.TopicResult_TOPIC_RESULT_UNAVAILABLE}, nil
	}
}

// compress replaces the large values of a reply by deltas from what the caller has, or by their
// compressed forms.
func (s *relayServer) compress(request *wire.TopicRequest, reply *wire.TopicReply) {
	bases := decodeDigests(request.Bases)
	for _, record := range reply.Records {
		key, version := request.Topic+"/"+record.Key, compressor.Version{Era: reply.Era, Offset: record.Offset}
		if delta, ok := s.deltas.Encode(key, version, record.Value, bases); ok {
			record.Value, record.Delta = nil, encodeDelta(delta)
		} else if request.Compressed {
			if data, ok := s.compressed.Compress(key, version, record.Value); ok {
				record.Value, record.Compressed = data, true
			}
		}
	}
}

// decodeDigests returns the valid ones of a list of digests.
func decodeDigests(encoded [][]byte) []compressor.Digest {
	var digests []compressor.Digest
	for _, sum := range encoded {
		if len(sum) == len(compressor.Digest{}) {
			digests = append(digests, compressor.Digest(sum))
		}
	}
	return digests
}

func encodeDelta(delta compressor.Delta) *wire.Delta {
	return &wire.Delta{Base: delta.Base[:], Target: delta.Target[:], Data: delta.Data}
}

// encodedBases returns the digests of the values from which this node understands deltas.
func (c *Client) encodedBases() [][]byte {
	var encoded [][]byte
	for _, digest := range c.Bases.Digests() {
		encoded = append(encoded, digest[:])
	}
	return encoded
}

// expand returns a value that a peer sent as it is, compressed, or as a delta. After an error
// the values to come are asked for in whole.
func (c *Client) expand(value []byte, compressed bool, delta *wire.Delta) ([]byte, error) {
	var err error
	switch {
	case delta != nil:
		digests := decodeDigests([][]byte{delta.Base, delta.Target})
		if len(digests) == 2 {
			value, err = c.Bases.Apply(compressor.Delta{Base: digests[0], Target: digests[1], Data: delta.Data})
		} else {
			err = errors.Wrap(compressor.ErrInvalid, "delta lacks a digest")
		}
	case compressed:
		value, err = compressor.Decompress(value)
	default:
		value = append([]byte{}, value...)
	}
	if err != nil {
		c.Bases.Clear()
		if c.OnInvalid != nil {
			c.OnInvalid()
		}
		return nil, err
	}
	if delta == nil && len(value) >= compressor.MinBytes {
		c.Bases.Add(compressor.Sum(value), value)
	}
	return value, nil
}

// graceOfEarlierBuilds is the grace after an outage at peers whose builds do not send it.
const graceOfEarlierBuilds = 2 * time.Second

// maxTopicWait bounds how long a peer's read waits for records.
const maxTopicWait = 30 * time.Second

func encodeTopicBatch(batch TopicBatch) *wire.TopicReply {
	reply := &wire.TopicReply{
		Result: wire.TopicResult_TOPIC_RESULT_OK, Era: batch.Next.Era, Next: batch.Next.Offset, Interrupted: batch.Interrupted, SinceNs: int64(batch.Since),
		GraceNs: proto.Int64(int64(batch.Grace)),
	}
	for _, record := range batch.Records {
		reply.Records = append(reply.Records, &wire.TopicRecord{
			Key: record.Key, Value: record.Value, Offset: record.Offset, Deleted: record.Value == nil,
		})
	}
	return reply
}

// Newest reads the newest record of each key of a log at a peer.
func (c *Client) Newest(ctx context.Context, peer netip.AddrPort, topic string) (TopicBatch, error) {
	return c.topic(ctx, peer, &wire.TopicRequest{Topic: topic, List: true, Compressed: true})
}

// ReadTopic reads the records of a log from a position on at a peer, which waits at most
// wait for the first one.
func (c *Client) ReadTopic(ctx context.Context, peer netip.AddrPort, topic string, from TopicPosition, wait time.Duration) (TopicBatch, error) {
	return c.topic(ctx, peer, &wire.TopicRequest{Topic: topic, Era: from.Era, Offset: from.Offset, WaitMs: wait.Milliseconds(), Compressed: true})
}

func (c *Client) topic(ctx context.Context, peer netip.AddrPort, request *wire.TopicRequest) (TopicBatch, error) {
	request.Bases = c.encodedBases()
	reply, err := wire.NewRelayProtobufClient("http://"+peer.String(), c.http).Topic(ctx, request)
	if err != nil {
		return TopicBatch{}, errors.Wrapf(err, "read %s at %s", request.Topic, peer)
	}
	switch reply.Result {
	case wire.TopicResult_TOPIC_RESULT_OK:
	case wire.TopicResult_TOPIC_RESULT_DROPPED:
		return TopicBatch{}, ErrTopicDropped
	case wire.TopicResult_TOPIC_RESULT_RESTORED:
		return TopicBatch{}, ErrTopicRestored
	default:
		return TopicBatch{}, errors.Wrapf(ErrTopicUnavailable, "%s at %s", request.Topic, peer)
	}
	batch := TopicBatch{Next: TopicPosition{Era: reply.Era, Offset: reply.Next}, Interrupted: reply.Interrupted, Since: time.Duration(reply.SinceNs)}
	switch {
	case reply.GraceNs != nil:
		batch.Grace = time.Duration(*reply.GraceNs)
	case reply.Interrupted:
		batch.Grace = graceOfEarlierBuilds
	}
	for _, record := range reply.Records {
		decoded := TopicRecord{Key: record.Key, Offset: record.Offset}
		if !record.Deleted {
			if decoded.Value, err = c.expand(record.Value, record.Compressed, record.Delta); err != nil {
				return TopicBatch{}, errors.Wrapf(err, "record %q of %s at %s", record.Key, request.Topic, peer)
			}
		}
		batch.Records = append(batch.Records, decoded)
	}
	return batch, nil
}

// Permits implements wire.Relay.
func (s *relayServer) Permits(ctx context.Context, request *wire.PermitsRequest) (*wire.PermitsReply, error) {
	if !(request.Rate >= 0) {
		return nil, twirp.InvalidArgumentError("rate", "is no number of requests a second")
	}
	grant, err := s.node.IssuePermits(ctx, PermitsRequest{
		Demand: throttler.Demand{
			Process: throttler.Process{Endpoint: request.Endpoint, Started: request.Started},
			Rate:    request.Rate, Permits: int(min(request.Permits, throttler.MaxPermits)), Patient: request.Patient,
		},
		Forwarded: request.Forwarded,
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &wire.PermitsReply{Retry: uint64(grant.Retry.Microseconds())}
	for _, wait := range grant.Waits {
		reply.Waits = append(reply.Waits, uint64(wait.Microseconds()))
	}
	return reply, nil
}

// Origin implements wire.Relay.
func (s *relayServer) Origin(ctx context.Context, request *wire.OriginRequest) (*wire.OriginReply, error) {
	build, known := s.node.FindOrigin(ctx, request.Stream, request.Forwarded)
	return &wire.OriginReply{Known: known, Service: build.Service, Build: build.Version}, nil
}

// Origin asks a peer for the build that began a stream.
func (c *Client) Origin(ctx context.Context, peer netip.AddrPort, stream uint64, forwarded bool) (resumer.Build, bool, error) {
	request := &wire.OriginRequest{Stream: stream, Forwarded: forwarded}
	reply, err := wire.NewRelayProtobufClient("http://"+peer.String(), c.http).Origin(ctx, request)
	if err != nil {
		return resumer.Build{}, false, errors.Wrapf(err, "ask %s for the build of a stream", peer)
	}
	return resumer.Build{Service: reply.Service, Version: reply.Build}, reply.Known, nil
}

// Permits asks a peer for permits.
func (c *Client) Permits(ctx context.Context, peer netip.AddrPort, request PermitsRequest) (throttler.Grant, error) {
	reply, err := wire.NewRelayProtobufClient("http://"+peer.String(), c.http).Permits(ctx, &wire.PermitsRequest{
		Endpoint: request.Process.Endpoint, Started: request.Process.Started, Rate: request.Rate,
		Permits: uint32(request.Permits), Patient: request.Patient, Forwarded: request.Forwarded,
	})
	if err != nil {
		return throttler.Grant{}, errors.Wrapf(err, "ask %s for permits", peer)
	}
	grant := throttler.Grant{Retry: time.Duration(reply.Retry) * time.Microsecond}
	for _, wait := range reply.Waits {
		grant.Waits = append(grant.Waits, time.Duration(wait)*time.Microsecond)
	}
	return grant, nil
}
