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
//	PUT    /v1/blobs/NAME   201, or 507 when the host is full
//	GET    /v1/blobs/NAME
//	DELETE /v1/blobs/NAME
//	GET    /v1/blobs?prefix=P  {"bytes":…,"capacity":…,"blobs":[{"name":…,"bytes":…},…]}
package keeper

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Server is one store host. Its fields are set before it serves.
type Server struct {
	// Capacity is in bytes.
	Capacity int64
	// LinkBytes is the rate of the link in bytes per second; zero for no limit.
	LinkBytes int64

	mu       sync.Mutex
	blobs    map[string][]byte
	used     int64
	moved    int64
	linkFree time.Time
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blobs/{name}", s.put)
	mux.HandleFunc("GET /v1/blobs/{name}", s.get)
	mux.HandleFunc("DELETE /v1/blobs/{name}", s.remove)
	mux.HandleFunc("GET /v1/blobs", s.list)
	mux.ServeHTTP(w, r)
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
	grown := s.used - int64(len(s.blobs[name])) + int64(len(content))
	if grown > s.Capacity {
		http.Error(w, "full", http.StatusInsufficientStorage)
		return
	}
	if s.blobs == nil {
		s.blobs = map[string][]byte{}
	}
	s.blobs[name] = content
	s.used = grown
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	content, ok := s.blobs[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.transfer(len(content))
	_, _ = w.Write(content)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	s.used -= int64(len(s.blobs[name]))
	delete(s.blobs, name)
	w.WriteHeader(http.StatusNoContent)
}

type listReply struct {
	Bytes    int64      `json:"bytes"`
	Capacity int64      `json:"capacity"`
	Moved    int64      `json:"moved"`
	Blobs    []listBlob `json:"blobs"`
}

type listBlob struct {
	Name  string `json:"name"`
	Bytes int    `json:"bytes"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := listReply{Bytes: s.used, Capacity: s.Capacity, Moved: s.moved, Blobs: []listBlob{}}
	for name, content := range s.blobs {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) {
			reply.Blobs = append(reply.Blobs, listBlob{Name: name, Bytes: len(content)})
		}
	}
	slices.SortFunc(reply.Blobs, func(a, b listBlob) int { return strings.Compare(a.Name, b.Name) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
