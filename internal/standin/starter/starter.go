// Package starter runs stand-ins as HTTP servers with switchable faults.
//
// # Usage
//
//	server, err := starter.Start(address, handler)
//	defer server.Close()
//	address := server.Address()
package starter

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/faulter"
)

const readHeaderTimeout = 10 * time.Second

// Server is a running stand-in.
type Server struct {
	Faults *faulter.Faults

	handler http.Handler
	address netip.AddrPort
	mu      sync.Mutex
	http    *http.Server
	closed  bool
}

// Start serves handler on an address; port 0 takes a free one.
func Start(address netip.AddrPort, handler http.Handler) (*Server, error) {
	s := &Server{Faults: &faulter.Faults{}, handler: handler, address: address}
	return s, s.open()
}

// Address returns the address that the stand-in listens on.
func (s *Server) Address() netip.AddrPort { return s.address }

func (s *Server) open() error {
	bound, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = netip.MustParseAddrPort(bound.Addr().String())
	s.http = &http.Server{Handler: s.Faults.Wrap(s.handler), ReadHeaderTimeout: readHeaderTimeout}
	go func(server *http.Server) { _ = server.Serve(s.Faults.Listen(bound)) }(s.http)
	return nil
}

// Close ends the stand-in and cuts its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.http.Close()
}

// Crash cuts all connections and refuses new ones for the given time.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
	time.AfterFunc(down, s.reopen)
}

func (s *Server) reopen() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if !closed {
		_ = s.open()
	}
}
