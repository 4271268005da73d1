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

	"github.com/lacewingrelay/lacewingrelay/platform"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/logkeeper"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/responder"
)

func TestRunEndpoint(t *testing.T) {
	store := &logkeeper.Store{Heartbeat: time.Second, Log: zerolog.Nop()}
	server := httptest.NewServer(store)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	endpoint := &responder.Endpoint{
		Name: "llm-1", Advertise: netip.MustParseAddrPort("127.0.0.1:9"), Service: "llm", Domain: "z2", Model: "usta",
		Log: platform.NewLogStore(address), Logger: zerolog.Nop(),
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
	assert.Nil(t, store.Get(logkeeper.EndpointTopic, read[1].Instance), "entry is removed")
	t.Run("the address is in use", func(t *testing.T) {
		assert.Error(t, runEndpoint(t.Context(), address, endpoint, &events))
	})
}
