package admitter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainPeriod is the time between checks for connections that have become idle, and
	// acceptPause the time without a new connection after which a draining listener is closed.
	drainPeriod = 20 * time.Millisecond
	acceptPause = 30 * time.Millisecond
	// firstRequestTime is how long after it was accepted a connection may carry its first request
	// during a drain.
	firstRequestTime = 250 * time.Millisecond
)

// Drain accepts the connections that wait to be accepted, closes the listeners, and then lets the
// connections end: those that wait for a request are closed, and the others once their requests have
// been answered. It returns once none is left, or with the error of ctx.
//
// Connections that have carried nothing are closed last, as they may still be used while other
// requests keep the server from ending. Handlers should answer with "Connection: close".
func (a *Admitter) Drain(ctx context.Context) error {
	a.mu.Lock()
	listeners := a.listeners
	a.mu.Unlock()
	for _, l := range listeners {
		l.drain()
	}
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for {
		if a.expireIdle(time.Now()) == 0 && allClosed(listeners) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// expireIdle expires the connections that wait for a request, and returns the number of open ones.
func (a *Admitter) expireIdle(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := false
	for c := range a.conns {
		if c.phase == waiting && c.served {
			c.expire(Stop)
		}
		used = used || c.phase != waiting || c.served || now.Sub(c.since) < firstRequestTime
	}
	if !used {
		for c := range a.conns {
			c.expire(Stop)
		}
	}
	return len(a.conns)
}

func allClosed(listeners []*listener) bool {
	for _, l := range listeners {
		select {
		case <-l.closed:
		default:
			return false
		}
	}
	return true
}

// Listener wraps a listener. Its connections count until they are closed.
func (a *Admitter) Listener(l net.Listener) net.Listener {
	wrapped := &listener{Listener: l, admitter: a, closed: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners = append(a.listeners, wrapped)
	return wrapped
}

type listener struct {
	net.Listener
	admitter *Admitter

	mu       sync.Mutex
	draining bool
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
	closeErr  error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.extend()
		case l.isDraining():
			// No more connections wait to be accepted.
			return nil, errors.CombineErrors(net.ErrClosed, l.Close())
		default:
			return nil, err
		}
		if c := l.admitter.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.closeErr = l.Listener.Close()
	})
	return l.closeErr
}

func (l *listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// drain closes the listener once no connection waits to be accepted. Connections in the queue of a
// listener that is closed at once are reset.
func (l *listener) drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	if !l.extend() {
		// An error means that it is closed already.
		_ = l.Close()
	}
}

// extend sets the end of a draining listener after the next pause without a connection. It reports
// false if the listener has no deadlines.
func (l *listener) extend() bool {
	socket, ok := l.Listener.(interface{ SetDeadline(at time.Time) error })
	if !l.isDraining() {
		return ok
	}
	return ok && socket.SetDeadline(time.Now().Add(acceptPause)) == nil
}
