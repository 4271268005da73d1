// Package lister is a stand-in for the platform's host list. A change becomes
// visible to readers only after a lag.
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

// State says whether a host receives new requests (live) or not (leaving).
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list: an endpoint of a service, or a node.
type Host struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	State   State
}

type hostEntry struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

type hostList struct {
	Hosts []hostEntry `json:"hosts"`
}

// change is an update of the list that is not visible yet.
type change struct {
	visibleAt time.Time
	name      string
	host      Host
	remove    bool
}

// Server is the host list. Set its exported fields before it serves requests.
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
	s.enqueue(change{name: host.Name, host: host})
}

// Remove removes a host from the list.
func (s *Server) Remove(name string) {
	s.enqueue(change{name: name, remove: true})
}

func (s *Server) enqueue(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visibleAt = time.Now().Add(s.Lag)
	s.pending = append(s.pending, c)
}

// Hosts returns the hosts that are visible now, ordered by name.
func (s *Server) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.visible == nil {
		s.visible = map[string]Host{}
	}
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		s.apply(s.pending[0])
		s.pending = s.pending[1:]
	}
	hosts := make([]Host, 0, len(s.visible))
	for _, host := range s.visible {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (s *Server) apply(c change) {
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
	list := hostList{Hosts: []hostEntry{}}
	for _, host := range s.Hosts() {
		list.Hosts = append(list.Hosts, hostEntry{
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
	etag := strconv.Quote(hex.EncodeToString(sum[:8]))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var entry hostEntry
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	address, err := netip.ParseAddrPort(entry.Address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(Host{
		Name:    r.PathValue("name"),
		Service: entry.Service,
		Domain:  entry.Domain,
		Address: address,
		State:   State(entry.State),
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
