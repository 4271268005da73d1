package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/platform/soak/recorder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/responder"
	"github.com/lacewingrelay/lacewingrelay/platform/soak/runner"
)

const (
	// slots is how many requests an endpoint runs at once.
	slots = 8
	// loadTime is the usual time in which an engine replaces its weights.
	loadTime = 600 * time.Millisecond
)

// runEndpoint serves as an endpoint until ctx ends, and then until it has left. It writes its
// events to a writer.
func runEndpoint(ctx context.Context, listen netip.AddrPort, e *responder.Endpoint, events io.Writer) error {
	e.Slots, e.Load, e.Drain, e.Heartbeat = slots, loadTime, runner.DrainLimit, runner.Heartbeat
	e.Events = &recorder.Writer{Out: events, Source: e.Name}
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return errors.Wrap(err, "endpoint")
	}
	return e.Run(ctx, listener)
}
