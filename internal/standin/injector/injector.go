// Package injector injects faults into a stand-in's HTTP server.
//
// # Usage
//
//	faults := &injector.Faults{}
//	listener := faults.Listen(inner)
//	server := &http.Server{Handler: faults.Wrap(handler)}
//	server.Serve(listener)
//
// Faults are also set over HTTP:
//
//	curl -X PUT localhost:9100/_faults -d '{"mode":"slow","path":"/v1","delay_ms":500}'
//	curl -X PUT localhost:9100/_faults -d '{"mode":"none"}'
package injector

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ControlPath is the path that sets the fault; requests to it are exempt from faults.
const ControlPath = "/_faults"

// Mode is the kind of fault.
type Mode string

// The modes of faults.
const (
	ModeNone Mode = "none"
	// ModeFail responds with 503 without processing the request.
	ModeFail Mode = "fail"
	// ModeSlow delays the request before it is processed.
	ModeSlow Mode = "slow"
	// ModeHang neither processes the request nor responds.
	ModeHang Mode = "hang"
	// ModeLose processes the request and drops the response.
	ModeLose Mode = "lose"
	// ModeSilent makes the connections that are open when it is set transfer no
	// more data in either direction until they are closed. Later connections work.
	ModeSilent Mode = "silent"
)

// Fault describes a fault to inject.
type Fault struct {
	Mode Mode
	// Path limits the fault to requests whose path starts with it.
	Path string
	// Method limits the fault to one method; empty for all.
	Method string
	Delay  time.Duration
	// Count is the number of requests to affect; zero for all.
	Count int
}

type faultRequest struct {
	Mode    string `json:"mode"`
	Path    string `json:"path"`
	Method  string `json:"method"`
	DelayMS int64  `json:"delay_ms"`
	Count   int    `json:"count"`
}

// Faults injects faults into one server: the active fault into its requests, and
// ModeSilent into its open connections. It is safe for concurrent use.
type Faults struct {
	mu        sync.Mutex
	fault     Fault
	remaining int
	conns     map[*conn]bool
}

// Set replaces the active fault. ModeSilent acts on the open connections at once
// and leaves the active fault unchanged.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault.Mode == ModeSilent {
		for c := range f.conns {
			c.silence()
		}
		return
	}
	f.fault = fault
	f.remaining = fault.Count
}

func (f *Faults) faultFor(r *http.Request) Fault {
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
		if f.remaining == 0 {
			return Fault{}
		}
		f.remaining--
	}
	return fault
}

// Wrap returns a handler that applies the faults to requests for next.
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
	fault := f.faultFor(r)
	switch fault.Mode {
	case ModeFail:
		http.Error(w, "switched to fail", http.StatusServiceUnavailable)
	case ModeSlow:
		if sleep(r, fault.Delay) {
			next.ServeHTTP(w, r)
		}
	case ModeHang:
		<-r.Context().Done()
	case ModeLose:
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

func sleep(r *http.Request, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (f *Faults) control(w http.ResponseWriter, r *http.Request) {
	var request faultRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The response is flushed first, since ModeSilent also silences the connection of
	// this request.
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	f.Set(Fault{
		Mode:   Mode(request.Mode),
		Path:   request.Path,
		Method: request.Method,
		Delay:  time.Duration(request.DelayMS) * time.Millisecond,
		Count:  request.Count,
	})
}

// discardWriter is a response writer that drops what is written.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// Listen wraps a listener so that its connections can be silenced.
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
	faults      *Faults
	closeOnce   sync.Once
	closed      chan struct{}
	silenceOnce sync.Once
	silent      chan struct{}
}

func (c *conn) silence() {
	c.silenceOnce.Do(func() { close(c.silent) })
}

// Read implements net.Conn. On a silenced connection it discards what it reads and
// blocks until the connection is closed.
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

// Write implements net.Conn. A silenced connection drops what is written.
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
