// Package faulter adds switchable faults to a stand-in's HTTP server.
//
// # Usage
//
//	faults := &faulter.Faults{}
//	listener := faults.Listen(inner)
//	server := &http.Server{Handler: faults.Wrap(handler)}
//	server.Serve(listener)
//
// Faults are switched over HTTP:
//
//	curl -X PUT localhost:9100/_faults -d '{"mode":"slow","path":"/v1","delay_ms":500}'
//	curl -X PUT localhost:9100/_faults -d '{"mode":"none"}'
package faulter

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ControlPath is the path that switches faults; it is never at fault itself.
const ControlPath = "/_faults"

// Mode is the kind of fault.
type Mode string

// The modes of faults.
const (
	ModeNone Mode = "none"
	// ModeFail answers 503 and has no effect.
	ModeFail Mode = "fail"
	// ModeSlow delays the request before it has an effect.
	ModeSlow Mode = "slow"
	// ModeHang never answers and has no effect.
	ModeHang Mode = "hang"
	// ModeLose carries the request out and drops the answer.
	ModeLose Mode = "lose"
	// ModeSilent makes the connections that are open now silent for good;
	// new ones work.
	ModeSilent Mode = "silent"
)

// Fault is one switched fault.
type Fault struct {
	Mode Mode
	// Path limits the fault to requests whose path starts with it.
	Path string
	// Method limits the fault to one method; empty for all.
	Method string
	Delay  time.Duration
	// Count is the number of requests at fault; zero for all.
	Count int
}

type wireFault struct {
	Mode    string `json:"mode"`
	Path    string `json:"path"`
	Method  string `json:"method"`
	DelayMS int64  `json:"delay_ms"`
	Count   int    `json:"count"`
}

// Faults holds the fault in force. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	fault Fault
	left  int
	conns map[*conn]bool
}

// Set switches the fault in force.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.Mode == ModeSilent {
		for open := range f.conns {
			open.silence()
		}
		return
	}
	f.fault = fault
	f.left = fault.Count
}

func (f *Faults) take(r *http.Request) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault
	if fault.Mode == "" || fault.Mode == ModeNone || !strings.HasPrefix(r.URL.Path, fault.Path) {
		return Fault{}
	}
	if fault.Method != "" && fault.Method != r.Method {
		return Fault{}
	}
	if fault.Count > 0 {
		if f.left == 0 {
			return Fault{}
		}
		f.left--
	}
	return fault
}

// Wrap returns a handler that is subject to the faults.
func (f *Faults) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ControlPath {
			f.control(w, r)
			return
		}
		f.serve(w, r, next)
	})
}

func (f *Faults) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	fault := f.take(r)
	switch fault.Mode {
	case ModeFail:
		http.Error(w, "switched to fail", http.StatusServiceUnavailable)
	case ModeSlow:
		if wait(r, fault.Delay) {
			next.ServeHTTP(w, r)
		}
	case ModeHang:
		<-r.Context().Done()
	case ModeLose:
		next.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

func wait(r *http.Request, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (f *Faults) control(w http.ResponseWriter, r *http.Request) {
	var wire wireFault
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The answer goes out first, since its own connection may be at fault.
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	f.Set(Fault{
		Mode:   Mode(wire.Mode),
		Path:   wire.Path,
		Method: wire.Method,
		Delay:  time.Duration(wire.DelayMS) * time.Millisecond,
		Count:  wire.Count,
	})
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// Listen returns a listener whose connections can be silenced.
func (f *Faults) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, faults: f}
}

type listener struct {
	net.Listener
	faults *Faults
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: accepted, faults: l.faults, closed: make(chan struct{}), silent: make(chan struct{})}
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()
	if l.faults.conns == nil {
		l.faults.conns = map[*conn]bool{}
	}
	l.faults.conns[wrapped] = true
	return wrapped, nil
}

type conn struct {
	net.Conn
	faults    *Faults
	closeOnce sync.Once
	closed    chan struct{}
	quietOnce sync.Once
	silent    chan struct{}
}

func (c *conn) silence() {
	c.quietOnce.Do(func() { close(c.silent) })
}

// Read implements net.Conn; a silent connection yields nothing until closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn; a silent connection drops what is written.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.faults.mu.Lock()
		defer c.faults.mu.Unlock()
		delete(c.faults.conns, c)
	})
	return c.Conn.Close()
}
