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
