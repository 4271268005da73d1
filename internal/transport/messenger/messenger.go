// Package messenger implements calls between nodes over Twirp: those between
// the nodes of package runner (NewHandler, Node) and those between the relay
// nodes of package relayer (NewRelayHandler, RelayNode). Requests and replies
// are authenticated with the key that all nodes share.
//
// # Usage
//
//	handler := messenger.NewHandler(node, key)
//	http.Serve(listener, handler)
//
//	client := messenger.NewClient(transport, timeout, key)
//	page, err := client.Records(ctx, peer, from)
package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/compressor"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/transcoder"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

// Node is what a node must implement to serve its peers. Records returns
// configuration records from an offset on, Snapshot returns the node's
// configuration, Push applies records and returns the next offset, Events
// returns timeline events, Resolve looks up an idempotency key, and RunTicket
// runs a call under a ticket that this node issued.
type Node interface {
	Records(from uint64) replicator.Page
	Push(ctx context.Context, records []replicator.Record) (next uint64)
	Snapshot() configurator.Snapshot
	Events(filter recorder.Filter) []recorder.Event
	Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error)
	RunTicket(ctx context.Context, team, ticket string, call dispatcher.Call) (dispatcher.CallResult, error)
}

// NewHandler returns the HTTP handler of a node's peer service.
func NewHandler(node Node, key []byte) http.Handler {
	return authenticate(key, wire.NewPeerServer(&server{node: node}))
}

type server struct{ node Node }

// Records implements wire.Peer.
func (s *server) Records(_ context.Context, request *wire.RecordsRequest) (*wire.RecordsReply, error) {
	page := s.node.Records(request.From)
	reply := &wire.RecordsReply{Oldest: page.Oldest, Next: page.Next}
	for _, record := range page.Records {
		reply.Records = append(reply.Records, &wire.Record{Offset: record.Offset, Data: record.Data})
	}
	return reply, nil
}

// Push implements wire.Peer.
func (s *server) Push(ctx context.Context, request *wire.PushRequest) (*wire.PushReply, error) {
	return &wire.PushReply{Next: s.node.Push(ctx, decodeRecords(request.Records))}, nil
}

// Snapshot implements wire.Peer.
func (s *server) Snapshot(context.Context, *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	data, err := transcoder.EncodeSnapshot(s.node.Snapshot())
	return &wire.SnapshotReply{Data: data}, err
}

// Events implements wire.Peer.
func (s *server) Events(_ context.Context, request *wire.EventsRequest) (*wire.EventsReply, error) {
	reply := &wire.EventsReply{}
	filter := recorder.Filter{Request: request.Request, Kind: recorder.Kind(request.Kind)}
	for _, event := range s.node.Events(filter) {
		reply.Events = append(reply.Events, encodeEvent(event))
	}
	return reply, nil
}

// Resolve implements wire.Peer.
func (s *server) Resolve(ctx context.Context, request *wire.ResolveRequest) (*wire.ResolveReply, error) {
	if len(request.Key) != indexer.HashBytes {
		return nil, errors.New("key has the wrong length")
	}
	entry, found, err := s.node.Resolve(ctx, int(request.Partition), indexer.Key(request.Key), request.Offset)
	if err != nil || !found {
		return &wire.ResolveReply{}, err
	}
	return &wire.ResolveReply{
		Found:    true,
		Process:  entry.Attempt.Process,
		Counter:  entry.Attempt.Counter,
		Digest:   entry.Digest[:],
		Claimed:  entry.Claimed,
		Finished: entry.Finished,
	}, nil
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	// Bases holds the large values that were received. Clients may share it.
	Bases *compressor.Bases
	// OnInvalid is called when a value that a peer sent is damaged or has an unknown base; nil if
	// not needed.
	OnInvalid func()

	http *http.Client
}

// NewClient returns a client that authenticates its calls with key. The timeout
// applies to each call.
func NewClient(transport http.RoundTripper, timeout time.Duration, key []byte) *Client {
	return &Client{Bases: &compressor.Bases{}, http: &http.Client{Transport: &signer{key: key, next: transport}, Timeout: timeout}}
}

func (c *Client) peer(address netip.AddrPort) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address.String(), c.http)
}

// Records fetches configuration records from a peer, starting at an offset.
func (c *Client) Records(ctx context.Context, address netip.AddrPort, from uint64) (replicator.Page, error) {
	reply, err := c.peer(address).Records(ctx, &wire.RecordsRequest{From: from})
	if err != nil {
		return replicator.Page{}, errors.Wrapf(err, "fetch records from %s", address)
	}
	return replicator.Page{Oldest: reply.Oldest, Next: reply.Next, Records: decodeRecords(reply.Records)}, nil
}

// Push sends records to a peer and returns once the peer has applied them.
func (c *Client) Push(ctx context.Context, address netip.AddrPort, records []replicator.Record) error {
	request := &wire.PushRequest{}
	for _, record := range records {
		request.Records = append(request.Records, &wire.Record{Offset: record.Offset, Data: record.Data})
	}
	_, err := c.peer(address).Push(ctx, request)
	return errors.Wrapf(err, "push records to %s", address)
}

// Snapshot fetches a snapshot of a peer's configuration.
func (c *Client) Snapshot(ctx context.Context, address netip.AddrPort) (configurator.Snapshot, error) {
	reply, err := c.peer(address).Snapshot(ctx, &wire.SnapshotRequest{})
	if err != nil {
		return configurator.Snapshot{}, errors.Wrapf(err, "fetch snapshot from %s", address)
	}
	return transcoder.DecodeSnapshot(reply.Data)
}

// Events fetches the events of a peer that match the filter.
func (c *Client) Events(ctx context.Context, address netip.AddrPort, filter recorder.Filter) ([]recorder.Event, error) {
	request := &wire.EventsRequest{Request: filter.Request, Kind: string(filter.Kind)}
	reply, err := c.peer(address).Events(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch events from %s", address)
	}
	events := make([]recorder.Event, 0, len(reply.Events))
	for _, event := range reply.Events {
		events = append(events, decodeEvent(event))
	}
	return events, nil
}

// Resolve fetches a key's entry from the owner of its claim stream. The owner
// replies once it has read the stream up to offset.
func (c *Client) Resolve(ctx context.Context, address netip.AddrPort, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	request := &wire.ResolveRequest{Partition: uint32(partition), Key: key[:], Offset: offset}
	reply, err := c.peer(address).Resolve(ctx, request)
	if err != nil {
		return indexer.Entry{}, false, errors.Wrapf(err, "resolve key at %s", address)
	}
	if !reply.Found {
		return indexer.Entry{}, false, nil
	}
	if len(reply.Digest) != indexer.HashBytes {
		return indexer.Entry{}, false, errors.Newf("resolve key at %s: digest in the reply has the wrong length", address)
	}
	return indexer.Entry{
		Attempt:  indexer.Attempt{Process: reply.Process, Counter: reply.Counter},
		Digest:   indexer.Digest(reply.Digest),
		Claimed:  reply.Claimed,
		Finished: reply.Finished,
	}, true, nil
}

func decodeRecords(wires []*wire.Record) []replicator.Record {
	records := make([]replicator.Record, 0, len(wires))
	for _, record := range wires {
		records = append(records, replicator.Record{Offset: record.Offset, Data: record.Data})
	}
	return records
}

func encodeEvent(event recorder.Event) *wire.Event {
	return &wire.Event{
		Wall:     event.Stamp.Wall.UnixNano(),
		Counter:  event.Stamp.Counter,
		Node:     event.Node,
		Kind:     string(event.Kind),
		Request:  event.Request,
		Team:     event.Team,
		Endpoint: event.Endpoint,
		Offset:   event.Offset,
		Detail:   event.Detail,
	}
}

func decodeEvent(event *wire.Event) recorder.Event {
	return recorder.Event{
		Stamp:    recorder.Stamp{Wall: time.Unix(0, event.Wall), Counter: event.Counter},
		Node:     event.Node,
		Kind:     recorder.Kind(event.Kind),
		Request:  event.Request,
		Team:     event.Team,
		Endpoint: event.Endpoint,
		Offset:   event.Offset,
		Detail:   event.Detail,
	}
}
