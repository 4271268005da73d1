// Package starter runs stand-ins as HTTP servers with fault injection.
//
// # Usage
//
//	server, err := starter.Start(address, handler)
//	defer server.Close()
//	fmt.Println(server.Address())
package starter

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/injector"
)

const readHeaderTimeout = 10 * time.Second

// Server is the HTTP server of a running stand-in.
type Server struct {
	Faults *injector.Faults

	handler http.Handler
	address netip.AddrPort
	mu      sync.Mutex
	http    *http.Server
	closed  bool
}

// Start serves handler on an address; port 0 picks a free port.
func Start(address netip.AddrPort, handler http.Handler) (*Server, error) {
	s := &Server{Faults: &injector.Faults{}, handler: handler, address: address}
	return s, s.listen()
}

// Address returns the address that the stand-in listens on.
func (s *Server) Address() netip.AddrPort { return s.address }

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = netip.MustParseAddrPort(listener.Addr().String())
	s.http = &http.Server{Handler: s.Faults.Wrap(s.handler), ReadHeaderTimeout: readHeaderTimeout}
	go func(server *http.Server) { _ = server.Serve(s.Faults.Listen(listener)) }(s.http)
	return nil
}

// Close stops the stand-in and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.http.Close()
}

// Crash closes the listener and all connections. The stand-in listens on the same
// address again after downtime, unless it has been closed.
func (s *Server) Crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
	time.AfterFunc(downtime, s.restart)
}

func (s *Server) restart() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if !closed {
		_ = s.listen()
	}
}
