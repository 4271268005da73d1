// Package keeper is a stand-in of a store host: named blobs in limited space
// behind a limited link.
//
// # Usage
//
//	store := &keeper.Server{Capacity: 64 << 20, LinkBytes: 32 << 20}
//	http.Serve(listener, store)
//
// The protocol:
//
//	PUT    /v1/blobs/NAME   201, 507 when the host is full, or with
//	       If-None-Match: * 412 when the name is taken
//	POST   /v1/read         {"names":[…]} -> as GET /v1/blobs, of those found, with
//	       the idle times before this read
//	GET    /v1/usage        {"bytes":…,"capacity":…,"moved":…}
//	GET    /v1/blobs/NAME
//	DELETE /v1/blobs/NAME
//	GET    /v1/blobs?prefix=P  {"blobs":[{"name":…,"bytes":…,"idle_ms":…,"reads":…,"data":"BASE64"},…]},
//	       with the data of small blobs
package keeper

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

// Server is one store host. Its fields are set before it serves.
type Server struct {
	// Capacity is in bytes.
	Capacity int64
	// LinkBytes is the rate of the link in bytes per second; zero for no limit.
	LinkBytes int64

	routes   replier.Routes
	mu       sync.Mutex
	blobs    map[string]*blob
	used     int64
	moved    int64
	linkFree time.Time
}

type blob struct {
	content []byte
	read    time.Time
	reads   int
}

func (b *blob) size() int64 {
	if b == nil {
		return 0
	}
	return int64(len(b.content))
}

func (b *blob) touch() {
	b.read = time.Now()
	b.reads++
}

// smallBytes is the largest blob that lists and batched reads carry.
const smallBytes = 4096

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/blobs/{name}", s.put)
	mux.HandleFunc("GET /v1/blobs/{name}", s.get)
	mux.HandleFunc("DELETE /v1/blobs/{name}", s.remove)
	mux.HandleFunc("GET /v1/blobs", s.list)
	mux.HandleFunc("POST /v1/read", s.readSome)
	mux.HandleFunc("GET /v1/usage", s.usage)
}

// Moved returns the bytes that crossed the link.
func (s *Server) Moved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

// transfer waits until the link has carried n bytes.
func (s *Server) transfer(n int) {
	s.mu.Lock()
	s.moved += int64(n)
	if s.LinkBytes <= 0 {
		s.mu.Unlock()
		return
	}
	start := time.Now()
	if s.linkFree.After(start) {
		start = s.linkFree
	}
	s.linkFree = start.Add(time.Duration(float64(n) / float64(s.LinkBytes) * float64(time.Second)))
	ready := s.linkFree
	s.mu.Unlock()
	time.Sleep(time.Until(ready))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.transfer(len(content))
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	if s.blobs[name] != nil && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "name is taken", http.StatusPreconditionFailed)
		return
	}
	grown := s.used - s.blobs[name].size() + int64(len(content))
	if grown > s.Capacity {
		http.Error(w, "full", http.StatusInsufficientStorage)
		return
	}
	if s.blobs == nil {
		s.blobs = map[string]*blob{}
	}
	s.blobs[name] = &blob{content: content, read: time.Now()}
	s.used = grown
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	held, ok := s.blobs[r.PathValue("name")]
	if ok {
		held.touch()
	}
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.transfer(len(held.content))
	_, _ = w.Write(held.content)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	s.used -= s.blobs[name].size()
	delete(s.blobs, name)
	w.WriteHeader(http.StatusNoContent)
}

type wireUsage struct {
	Bytes    int64 `json:"bytes"`
	Capacity int64 `json:"capacity"`
	Moved    int64 `json:"moved"`
}

func (s *Server) usage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replier.JSON(w, http.StatusOK, wireUsage{Bytes: s.used, Capacity: s.Capacity, Moved: s.moved})
}

func (s *Server) readSome(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Names []string `json:"names"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	blobs := []listBlob{}
	for _, name := range request.Names {
		if held, ok := s.blobs[name]; ok && held.size() <= smallBytes {
			blobs = append(blobs, held.list(name))
			held.touch()
		}
	}
	replier.JSON(w, http.StatusOK, map[string]any{"blobs": blobs})
}

type listBlob struct {
	Name   string `json:"name"`
	Bytes  int64  `json:"bytes"`
	IdleMS int64  `json:"idle_ms"`
	Reads  int    `json:"reads"`
	Data   []byte `json:"data,omitempty"`
}

func (b *blob) list(name string) listBlob {
	listed := listBlob{Name: name, Bytes: b.size(), IdleMS: time.Since(b.read).Milliseconds(), Reads: b.reads}
	if b.size() <= smallBytes {
		listed.Data = b.content
	}
	return listed
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blobs := []listBlob{}
	for name, held := range s.blobs {
		if !strings.HasPrefix(name, r.URL.Query().Get("prefix")) {
			continue
		}
		blobs = append(blobs, held.list(name))
	}
	slices.SortFunc(blobs, func(a, b listBlob) int { return strings.Compare(a.Name, b.Name) })
	replier.JSON(w, http.StatusOK, map[string]any{"blobs": blobs})
}
