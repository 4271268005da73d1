package relayer

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// clockPeriod is the age of a reading of the endpoints' clock after which a node asks
	// for another one. Two clocks drift apart by some milliseconds in that time.
	clockPeriod = time.Minute
	// clockPoll is the time between checks of the age.
	clockPoll = 500 * time.Millisecond
	// clockGrace is the time after the start in which readings are expected to arrive with
	// the events of the holders that a node follows.
	clockGrace = time.Second
)

// ClockReader calls a holder of parts whose response has a reading of the endpoints' clock,
// and passes the reading to EndpointClock.Update.
type ClockReader interface {
	ReadClock(ctx context.Context, holder netip.AddrPort) error
}

// EndpointClock estimates the common clock of the endpoints, by which they end fetches of
// parts. Readings arrive with the events that a node follows. Run calls an engine if none
// arrive, as on a node that follows no holder.
//
// A reading is older than it seems, since its response took some time. The estimate is
// therefore never ahead of the endpoints' clock, and fetches end early rather than late.
// Its exported fields are set before Run; its methods are safe for concurrent use.
type EndpointClock struct {
	Node   *Relayer
	Reader ClockReader
	// Self is the name of this node. The nodes are spread over the engines by it.
	Self   string
	Logger zerolog.Logger

	mu      sync.Mutex
	reading time.Time
	readAt  time.Time
}

// Update records a reading of the endpoints' clock that arrived at now. Of the readings of
// a while, the one that took least time counts. A zero reading is ignored.
func (c *EndpointClock) Update(now, reading time.Time) {
	if reading.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() || now.Sub(c.readAt) >= clockPeriod/2 || reading.After(c.at(now)) {
		c.reading, c.readAt = reading, now
	}
}

// At returns the endpoints' clock at time t of this node, or false before the first
// reading.
func (c *EndpointClock) At(t time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return time.Time{}, false
	}
	return c.at(t), true
}

func (c *EndpointClock) at(t time.Time) time.Time { return c.reading.Add(t.Sub(c.readAt)) }

// isFresh reports whether a reading has arrived within clockPeriod.
func (c *EndpointClock) isFresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readAt.IsZero() && now.Sub(c.readAt) < clockPeriod
}

// Run asks for readings while none arrive otherwise, until ctx ends.
func (c *EndpointClock) Run(ctx context.Context) {
	_ = retrier.Sleep(ctx, clockGrace)
	tries := 0
	for ctx.Err() == nil {
		if c.isFresh(time.Now()) {
			tries = 0
			_ = retrier.Sleep(ctx, clockPoll)
			continue
		}
		c.read(ctx, tries)
		_ = retrier.Sleep(ctx, retrier.Backoff(tries, retryBase, maxRetryDelay, retrier.UniformJitter))
		tries++
	}
}

// read asks an engine, another one at each try.
func (c *EndpointClock) read(ctx context.Context, tries int) {
	engine, ok := c.engine(tries)
	if !ok {
		return
	}
	err := c.Reader.ReadClock(ctx, engine)
	if err != nil && tries > 0 {
		return
	}
	c.Logger.Info().Str("event", "endpoint clock").Stringer("endpoint", engine).Bool("known", c.isFresh(time.Now())).AnErr("error", err).Send()
}

func (c *EndpointClock) engine(tries int) (netip.AddrPort, bool) {
	view := c.Node.View()
	if view.Catalog == nil {
		return netip.AddrPort{}, false
	}
	var engines []string
	for name, endpoints := range view.Endpoints {
		if view.Catalog.Services[name].Engine == nil {
			continue
		}
		for _, endpoint := range endpoints {
			if !endpoint.Leaving {
				engines = append(engines, endpoint.Address.String())
			}
		}
	}
	if len(engines) == 0 {
		return netip.AddrPort{}, false
	}
	slices.Sort(engines)
	picked := ranker.Pick(engines, c.Self+strconv.Itoa(tries))
	return netip.MustParseAddrPort(picked), true
}
