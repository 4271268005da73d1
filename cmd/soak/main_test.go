package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/logkeeper"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/responder"
)

func TestRunEndpoint(t *testing.T) {
	store := &logkeeper.Store{Retention: 100, Heartbeat: time.Second, Log: zerolog.Nop()}
	server := httptest.NewServer(store)
	defer server.Close()
	client := logkeeper.Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	endpoint := &responder.Endpoint{
		Name: "llm-1", Advertise: netip.MustParseAddrPort("127.0.0.1:9"), Service: "llm", Domain: "z2", Model: "usta",
		Log: client, Logger: zerolog.Nop(),
	}
	var events bytes.Buffer
	begin := time.Now()
	require.NoError(t, runEndpoint(ctx, netip.MustParseAddrPort("127.0.0.1:0"), endpoint, &events))
	assert.Less(t, time.Since(begin), 10*time.Second)
	read, err := recorder.Read(&events)
	require.NoError(t, err)
	var kinds []string
	for _, event := range read {
		kinds = append(kinds, string(event.Kind))
		assert.Equal(t, "llm-1", event.Source)
	}
	require.Equal(t, "started leaving", strings.Join(kinds, " "))
	value, err := client.Get(t.Context(), logkeeper.EndpointTopic, read[1].Instance)
	require.NoError(t, err)
	assert.Nil(t, value, "entry is removed")
	t.Run("the address is in use", func(t *testing.T) {
		assert.Error(t, runEndpoint(t.Context(), client.Address, endpoint, &events))
	})
}
