// Package dialer is the HTTP client for endpoints, store hosts and the host
// list, as package runner uses it. Relay nodes on the platform use package
// sender instead.
//
// Each endpoint has its own connection pool, so that a stall on one connection
// drops the connections to that endpoint only. The wire formats of engines are
// in engine.go and, for block transfers, in store.go; that of store hosts is in
// store.go, and that of the host list in hosts.go.
//
// # Usage
//
//	pools := &dialer.Pools{DialTimeout: time.Second}
//	engine := &dialer.Engine{Pools: pools}
//	stream, err := engine.Complete(ctx, endpoint, completion)
package dialer

import (
	"bufio"
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
	"github.com/lacewingrelay/lacewingrelay/internal/transport/verifier"
)

const (
	idleConnsPerEndpoint = 64
	idleTimeout          = 30 * time.Second
	// maxHeaderBytes is the largest head of a response, interim ones included.
	maxHeaderBytes = 64 << 10
)

// Pools holds one connection pool per endpoint address. Its fields are set
// before use, and it is safe for concurrent use.
type Pools struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration

	mu    sync.Mutex
	pools map[netip.AddrPort]*verifier.Transport
}

func (p *Pools) get(address netip.AddrPort) *verifier.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[address]
	if ok {
		return pool
	}
	if p.pools == nil {
		p.pools = map[netip.AddrPort]*verifier.Transport{}
	}
	pool = p.transport()
	p.pools[address] = pool
	return pool
}

func (p *Pools) transport() *verifier.Transport {
	return verifier.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: p.DialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnsPerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	})
}

// unpooledTransport returns a transport that sends its request on a new
// connection.
func (p *Pools) unpooledTransport() *verifier.Transport {
	transport := p.transport()
	transport.DisableKeepAlives = true
	return transport
}

// Discard removes the pool of an address. It closes idle connections, and those
// of running requests are not reused: the next request opens a new connection.
func (p *Pools) Discard(address netip.AddrPort) {
	p.mu.Lock()
	pool, ok := p.pools[address]
	delete(p.pools, address)
	p.mu.Unlock()
	if ok {
		pool.CloseIdleConnections()
	}
}

// RetainOnly discards the pools of all addresses that are not in the given set.
func (p *Pools) RetainOnly(addresses map[netip.AddrPort]bool) {
	p.mu.Lock()
	var dropped []*verifier.Transport
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

// exchange is one request and its response. It tracks whether the request may
// have been sent, and cancels the request once stallTimeout has passed since
// its start or since the last call of restartTimer.
type exchange struct {
	cancel       context.CancelFunc
	timer        *time.Timer
	stallTimeout time.Duration
	mayHaveSent  atomic.Bool
	stalled      atomic.Bool
}

// startExchange returns an exchange and the context for its request.
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

// restartTimer restarts the stall timer after data has been received.
func (e *exchange) restartTimer() { e.timer.Reset(e.stallTimeout) }

// release stops the timer and cancels the request's context, which frees the
// connection.
func (e *exchange) release() {
	e.timer.Stop()
	e.cancel()
}

// markError marks an error with the sentinel that says whether the request may
// have been sent and whether it stalled.
func (e *exchange) markError(err error) error {
	switch {
	case e.stalled.Load() && e.mayHaveSent.Load():
		return errors.Mark(errors.Wrapf(err, "no progress for %s", e.stallTimeout), dispatcher.ErrStalled)
	case !e.mayHaveSent.Load():
		return errors.Mark(err, dispatcher.ErrNotSent)
	case errors.IsAny(err, bufio.ErrTooLong, errBodyTooBig, verifier.ErrHead):
		return errors.Mark(errors.Mark(err, dispatcher.ErrBroken), dispatcher.ErrMalformed)
	default:
		return errors.Mark(err, dispatcher.ErrBroken)
	}
}

// handleFailure marks the error of a failed exchange. After a stall it also
// discards the pool of the address.
func (p *Pools) handleFailure(ex *exchange, address netip.AddrPort, err error) error {
	marked := ex.markError(err)
	if errors.Is(marked, dispatcher.ErrStalled) {
		p.Discard(address)
	}
	return marked
}

// drainBody reads the rest of a body, up to a limit, so that its connection can
// be reused.
func drainBody(body io.ReadCloser) {
	const limit = 64 << 10
	_, _ = io.CopyN(io.Discard, body, limit)
	_ = body.Close()
}
