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
func (p *Pools) unpooledTransport() *http.Transport {
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
func (p *Pools) RetainOnly(addresses map[netip.AddrPort]bool) {
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
	cancel       context.CancelFunc
	timer        *time.Timer
	stallTimeout time.Duration
	mayHaveSent  atomic.Bool
	stalled      atomic.Bool
}

// start returns an exchange and the context that its request runs under.
func startExchange(ctx context.Context, stallTimeout time.Duration) (context.Context, *exchange) {
	ctx, cancel := context.WithCancel(ctx)
	e := &exchange{cancel: cancel, stallTimeout: stallTimeout}
	e.timer = time.AfterFunc(stallTimeout, func() {
		e.stalled.Store(true)
		cancel()
	})
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.mayHaveSent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), e
}

// progress restarts the stall timer.
func (e *exchange) restartTimer() { e.timer.Reset(e.stallTimeout) }

// end stops the timer and releases the connection.
func (e *exchange) release() {
	e.timer.Stop()
	e.cancel()
}

// mark classifies an error by what is known of the exchange.
func (e *exchange) markError(err error) error {
	switch {
	case e.stalled.Load() && e.mayHaveSent.Load():
		return errors.Mark(errors.Wrapf(err, "no progress for %s", e.stallTimeout), dispatcher.ErrStalled)
	case !e.mayHaveSent.Load():
		return errors.Mark(err, dispatcher.ErrNotSent)
	default:
		return errors.Mark(err, dispatcher.ErrBroken)
	}
}

// failed marks the error of a failed exchange and, after a stall, drops the
// connections to the address.
func (p *Pools) handleFailure(ex *exchange, address netip.AddrPort, err error) error {
	marked := ex.markError(err)
	if errors.Is(marked, dispatcher.ErrStalled) {
		p.Drop(address)
	}
	return marked
}

// drain reads what is left of a body, so that its connection can be used again.
func drainBody(body io.ReadCloser) {
	const limit = 64 << 10
	_, _ = io.CopyN(io.Discard, body, limit)
	_ = body.Close()
}
