// Package lister is a stand-in of the platform's host list. Its readers see
// each change only after a lag.
//
// # Usage
//
//	hosts := &lister.Server{Lag: 500 * time.Millisecond}
//	http.Serve(listener, hosts)
//
// The protocol:
//
//	GET    /v1/hosts       -> with an ETag, {"hosts":[{"name":…,"service":…,"domain":…,"address":"IP:PORT","state":"live"|"leaving"},…]}
//	PUT    /v1/hosts/NAME  one host of that form
//	DELETE /v1/hosts/NAME
package lister

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

// State is a host's state.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	State   State
}

type wireHost struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

type wireList struct {
	Hosts []wireHost `json:"hosts"`
}

type change struct {
	at     time.Time
	name   string
	host   Host
	remove bool
}

// Server is the host list. Its fields are set before it serves.
type Server struct {
	// Lag is the time between a change and its visibility.
	Lag time.Duration

	routes  replier.Routes
	mu      sync.Mutex
	visible map[string]Host
	pending []change
}

// Put adds or changes a host.
func (s *Server) Put(host Host) {
	s.add(change{name: host.Name, host: host})
}

// Remove takes a host off the list.
func (s *Server) Remove(name string) {
	s.add(change{name: name, remove: true})
}

func (s *Server) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = time.Now().Add(s.Lag)
	s.pending = append(s.pending, c)
}

// Hosts returns what readers see now, ordered by name.
func (s *Server) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.visible == nil {
		s.visible = map[string]Host{}
	}
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		s.reveal(s.pending[0])
		s.pending = s.pending[1:]
	}
	hosts := make([]Host, 0, len(s.visible))
	for _, host := range s.visible {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (s *Server) reveal(c change) {
	if c.remove {
		delete(s.visible, c.name)
		return
	}
	s.visible[c.name] = c.host
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/hosts", s.list)
	mux.HandleFunc("PUT /v1/hosts/{name}", s.put)
	mux.HandleFunc("DELETE /v1/hosts/{name}", s.remove)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list := wireList{Hosts: []wireHost{}}
	for _, host := range s.Hosts() {
		list.Hosts = append(list.Hosts, wireHost{
			Name:    host.Name,
			Service: host.Service,
			Domain:  host.Domain,
			Address: host.Address.String(),
			State:   string(host.State),
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(body)
	tag := strconv.Quote(hex.EncodeToString(sum[:8]))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var wire wireHost
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	address, err := netip.ParseAddrPort(wire.Address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(Host{
		Name:    r.PathValue("name"),
		Service: wire.Service,
		Domain:  wire.Domain,
		Address: address,
		State:   State(wire.State),
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
