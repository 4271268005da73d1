package messenger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
)

// hub serves one topic with one record, and a configuration.
type hub struct {
	RelayNode
	value []byte
}

func (h hub) ReadTopic(context.Context, string, TopicPosition, time.Duration) (TopicBatch, error) {
	return TopicBatch{Records: []TopicRecord{{Key: "config", Value: h.value, Offset: 7}}, Grace: time.Second}, nil
}

func (h hub) OperatorState(int64) OperatorState {
	return OperatorState{Version: 3, Data: h.value}
}

// countingTransport counts the bytes of responses.
type countingTransport struct{ received atomic.Int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	c.received.Add(int64(len(body)))
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, err
}

// largeConfiguration returns one with a number of routes, with random names.
func largeConfiguration(routes int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var out bytes.Buffer
	for range routes {
		fmt.Fprintf(&out, `{"name":"r-%x","host":"host%d.example","prefix":"/%x/%x/","kind":"stream","timeout":3000,"objective":800,"priority":0,"service":"service-1","attempts":1,"anonymous":false,"affinity":true,"resumable":false,"gap":300,"split":[],"regions":["r1"],"budget":0.2,"queue":200},`,
			random.Uint32(), random.IntN(20), random.Uint32N(1<<20), random.Uint32N(1<<16))
	}
	return out.Bytes()
}

func serve(t *testing.T, node RelayNode) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(NewRelayHandler(node, nil))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestLargeConfigurationOnSharedLink guards against configurations that are late at the members of a hub
// with a slow link: a third of 134 nodes, 10 Mbit/s, and half of the 3 s within which a version must be
// in force.
func TestLargeConfigurationOnSharedLink(t *testing.T) {
	const members, bytesPerSecond, limit = 44, 1_250_000, 1500 * time.Millisecond
	value := largeConfiguration(1949)
	peer, transport := serve(t, hub{value: value}), &countingTransport{}
	client := NewClient(transport, 0, nil)
	for range members {
		batch, err := client.ReadTopic(t.Context(), peer, "operators", TopicPosition{}, 0)
		require.NoError(t, err)
		assert.Equal(t, value, batch.Records[0].Value)
		assert.Equal(t, time.Second, batch.Grace)
	}
	assert.Less(t, time.Duration(transport.received.Load())*time.Second/bytesPerSecond, limit)
}

func TestCompressedValues(t *testing.T) {
	value := largeConfiguration(200)
	t.Run("small ones are sent as they are", func(t *testing.T) {
		state, err := NewClient(&countingTransport{}, 0, nil).OperatorState(t.Context(), serve(t, hub{value: []byte("{}")}), 0)
		require.NoError(t, err)
		assert.Equal(t, "{}", string(state.Data))
	})
	t.Run("a configuration is the same afterwards", func(t *testing.T) {
		state, err := NewClient(&countingTransport{}, 0, nil).OperatorState(t.Context(), serve(t, hub{value: value}), 0)
		require.NoError(t, err)
		assert.Equal(t, value, state.Data)
	})
	t.Run("a peer of an earlier build gets the value itself", func(t *testing.T) {
		reply, err := (&relayServer{node: hub{value: value}}).Topic(t.Context(), &wire.TopicRequest{Topic: "operators"})
		require.NoError(t, err)
		assert.False(t, reply.Records[0].Compressed)
		assert.Equal(t, value, reply.Records[0].Value)
	})
}

// changingHub serves the versions of a configuration, one after the other.
type changingHub struct {
	RelayNode
	version atomic.Int64
	values  map[int64][]byte
}

func (h *changingHub) ReadTopic(context.Context, string, TopicPosition, time.Duration) (TopicBatch, error) {
	n := h.version.Load()
	return TopicBatch{Records: []TopicRecord{{Key: "config", Value: h.values[n], Offset: n}}}, nil
}

func (h *changingHub) OperatorState(int64) OperatorState {
	n := h.version.Load()
	return OperatorState{Version: n, Data: h.values[n]}
}

// newChangingHub returns a hub with a large version 1, and a version 2 in which one number differs.
func newChangingHub() *changingHub {
	large := largeConfiguration(1949)
	h := &changingHub{values: map[int64][]byte{1: large, 2: bytes.Replace(large, []byte(`"queue":200`), []byte(`"queue":250`), 1)}}
	h.version.Store(1)
	return h
}

func (h *changingHub) assertRead(t *testing.T, client *Client, peer netip.AddrPort) {
	t.Helper()
	batch, err := client.ReadTopic(t.Context(), peer, "operators", TopicPosition{}, 0)
	require.NoError(t, err)
	assert.Equal(t, h.values[h.version.Load()], batch.Records[0].Value)
}

// TestSmallChangeOfLargeConfiguration guards against changes of one number that cost as much as the whole
// configuration: the reply fits in one packet.
func TestSmallChangeOfLargeConfiguration(t *testing.T) {
	const packet = 1500
	t.Run("by the topic", func(t *testing.T) {
		h, transport := newChangingHub(), &countingTransport{}
		peer, client := serve(t, h), NewClient(transport, 0, nil)
		h.assertRead(t, client, peer)
		h.version.Store(2)
		transport.received.Store(0)
		h.assertRead(t, client, peer)
		assert.Less(t, transport.received.Load(), int64(packet))
	})
	t.Run("by the configuration, after the topic", func(t *testing.T) {
		h, transport := newChangingHub(), &countingTransport{}
		peer, reader, client := serve(t, h), NewClient(transport, 0, nil), NewClient(transport, 0, nil)
		client.Bases = reader.Bases
		h.assertRead(t, reader, peer)
		h.version.Store(2)
		transport.received.Store(0)
		state, err := client.OperatorState(t.Context(), peer, 1)
		require.NoError(t, err)
		assert.Equal(t, h.values[2], state.Data)
		assert.Less(t, transport.received.Load(), int64(packet))
	})
	t.Run("a hub that was started again sends the whole", func(t *testing.T) {
		h, client := newChangingHub(), NewClient(&countingTransport{}, 0, nil)
		h.assertRead(t, client, serve(t, h))
		h.version.Store(2)
		h.assertRead(t, client, serve(t, h))
	})
}

// damagedDelta serves the whole value to callers without bases, and damaged deltas to others.
type damagedDelta struct {
	wire.Relay
	value  []byte
	damage func(*wire.Delta)
}

func (d damagedDelta) Topic(_ context.Context, request *wire.TopicRequest) (*wire.TopicReply, error) {
	record := &wire.TopicRecord{Key: "config", Value: d.value}
	if len(request.Bases) > 0 {
		target := make([]byte, len(request.Bases[0]))
		record.Value, record.Delta = nil, &wire.Delta{Base: request.Bases[0], Target: target, Data: []byte("x")}
		d.damage(record.Delta)
	}
	return &wire.TopicReply{Result: wire.TopicResult_TOPIC_RESULT_OK, Records: []*wire.TopicRecord{record}}, nil
}

// TestDamagedDelta guards against deltas that do not match and are used, or are asked for again
// and again: the next reply is the whole value.
func TestDamagedDelta(t *testing.T) {
	for name, damage := range map[string]func(*wire.Delta){
		"truncated":        func(*wire.Delta) {},
		"unknown base":     func(d *wire.Delta) { d.Base = make([]byte, len(d.Base)) },
		"malformed base":   func(d *wire.Delta) { d.Base = d.Base[1:] },
		"malformed target": func(d *wire.Delta) { d.Target = nil },
	} {
		t.Run(name, func(t *testing.T) {
			value, invalid := largeConfiguration(200), 0
			server := httptest.NewServer(authenticate(nil, wire.NewRelayServer(damagedDelta{value: value, damage: damage})))
			defer server.Close()
			peer, client := netip.MustParseAddrPort(server.Listener.Addr().String()), NewClient(http.DefaultTransport, 0, nil)
			client.OnInvalid = func() { invalid++ }
			for i := range 3 {
				batch, err := client.ReadTopic(t.Context(), peer, "operators", TopicPosition{}, 0)
				if i == 1 {
					require.Error(t, err)
					continue
				}
				require.NoError(t, err)
				assert.Equal(t, value, batch.Records[0].Value)
			}
			assert.Equal(t, 1, invalid)
		})
	}
}
