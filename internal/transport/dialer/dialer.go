// Package dialer speaks HTTP to endpoints, store hosts and the host list.
//
// Each endpoint has its own connection pool, so that a stall on one connection
// drops all the connections to that endpoint and to no other. Each of the
// platform's wire formats is known to one file of this package.
//
// # Usage
//
//	pools := &dialer.Pools{DialTimeout: time.Second}
//	engine := &dialer.Engine{Pools: pools}
//	stream, err := engine.Complete(ctx, endpoint, completion)
package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
)

const (
	idleConnsPerEndpoint = 64
	idleTimeout          = 30 * time.Second
)

// Pools holds one connection pool per endpoint address. Its fields are set
// before use, and it is safe for concurrent use.
type Pools struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration

	mu    sync.Mutex
	pools map[netip.AddrPort]*http.Transport
}

func (p *Pools) get(address netip.AddrPort) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[address]
	if ok {
		return pool
	}
	if p.pools == nil {
		p.pools = map[netip.AddrPort]*http.Transport{}
	}
	pool = p.transport()
	p.pools[address] = pool
	return pool
}

func (p *Pools) transport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: p.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// fresh returns a transport whose only request goes out on a new connection.
func (p *Pools) fresh() *http.Transport {
	transport := p.transport()
	transport.DisableKeepAlives = true
	return transport
}

// Drop closes the idle connections to an address and keeps running requests
// from returning theirs: the next request opens a new connection.
func (p *Pools) Drop(address netip.AddrPort) {
	p.mu.Lock()
	pool, ok := p.pools[address]
	delete(p.pools, address)
	p.mu.Unlock()
	if ok {
		pool.CloseIdleConnections()
	}
}

// Keep drops the pools of addresses that are not listed.
func (p *Pools) Keep(addresses map[netip.AddrPort]bool) {
	p.mu.Lock()
	var dropped []*http.Transport
	for address, pool := range p.pools {
		if !addresses[address] {
			dropped = append(dropped, pool)
			delete(p.pools, address)
		}
	}
	p.mu.Unlock()
	for _, pool := range dropped {
		pool.CloseIdleConnections()
	}
}

// exchange is one request with a stall timer and a note of whether it may have
// left.
type exchange struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	stall   time.Duration
	sent    atomic.Bool
	stalled atomic.Bool
}

// start returns an exchange and the context that its request runs under.
func start(ctx context.Context, stall time.Duration) (context.Context, *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	e := &exchange{cancel: cancel, stall: stall}
	e.timer = time.AfterFunc(stall, func() {
		e.stalled.Store(true)
		cancel()
	})
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.sent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), e
}

// progress restarts the stall timer.
func (e *exchange) progress() { e.timer.Reset(e.stall) }

// end stops the timer and releases the connection.
func (e *exchange) end() {
	e.timer.Stop()
	e.cancel()
}

// mark classifies an error by what is known of the exchange.
func (e *exchange) mark(err error) error {
	switch {
	case e.stalled.Load() && e.sent.Load():
		return errors.Mark(errors.Wrapf(err, "no progress for %s", e.stall), dispatcher.ErrStalled)
	case !e.sent.Load():
		return errors.Mark(err, dispatcher.ErrNotSent)
	default:
		return errors.Mark(err, dispatcher.ErrBroken)
	}
}

// failed marks the error of a failed exchange and, after a stall, drops the
// connections to the address.
func (p *Pools) failed(ex *exchange, address netip.AddrPort, err error) error {
	marked := ex.mark(err)
	if errors.Is(marked, dispatcher.ErrStalled) {
		p.Drop(address)
	}
	return marked
}

// drain reads what is left of a body, so that its connection can be used again.
func drain(body io.ReadCloser) {
	const limit = 64 << 10
	_, _ = io.CopyN(io.Discard, body, limit)
	_ = body.Close()
}
