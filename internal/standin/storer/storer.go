// Package storer is a stand-in for a store host: named blobs with a limit on
// their total size, behind a link of limited rate.
//
// # Usage
//
//	store := &storer.Server{Capacity: 64 << 20, LinkRate: 32 << 20}
//	http.Serve(listener, store)
//
// The protocol:
//
//	PUT    /v1/blobs/NAME   201; 507 if the host is full; 412 if the request has
//	       If-None-Match: * and the name exists
//	GET    /v1/usage        {"bytes":…,"capacity":…,"moved":…}; moved is the number
//	       of bytes transferred by PUT and GET of single blobs
//	GET    /v1/blobs/NAME
//	DELETE /v1/blobs/NAME
//	GET    /v1/blobs?prefix=P  {"blobs":[{"name":…,"bytes":…,"idle_ms":…,"reads":…,"data":"BASE64"},…]},
//	       with the data of blobs of at most 4096 bytes
//	POST   /v1/read         {"names":[…]} -> the named blobs that exist and have at
//	       most 4096 bytes, in the form of GET /v1/blobs; idle_ms and reads are those
//	       before this read
package storer

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

// Server is one store host. Set its exported fields before it serves requests.
type Server struct {
	// Capacity is the limit on the total size of all blobs, in bytes.
	Capacity int64
	// LinkRate is the rate of the link in bytes per second; zero for no limit.
	LinkRate int64

	routes     replier.Routes
	mu         sync.Mutex
	blobs      map[string]*blob
	used       int64
	movedBytes int64
	linkIdleAt time.Time
}

type blob struct {
	content    []byte
	lastAccess time.Time
	reads      int
}

func (b *blob) size() int64 {
	if b == nil {
		return 0
	}
	return int64(len(b.content))
}

func (b *blob) recordRead() {
	b.lastAccess = time.Now()
	b.reads++
}

// maxInlineBytes is the size of the largest blob whose data listings and batch
// reads include.
const maxInlineBytes = 4096

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/blobs/{name}", s.put)
	mux.HandleFunc("GET /v1/blobs/{name}", s.get)
	mux.HandleFunc("DELETE /v1/blobs/{name}", s.remove)
	mux.HandleFunc("GET /v1/blobs", s.list)
	mux.HandleFunc("POST /v1/read", s.readBatch)
	mux.HandleFunc("GET /v1/usage", s.usage)
}

// MovedBytes returns the number of bytes that PUT and GET of single blobs have
// transferred over the link. Listings and batch reads are not counted.
func (s *Server) MovedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.movedBytes
}

// transfer counts n bytes and waits until the link, which is shared by all
// requests, has transferred them.
func (s *Server) transfer(n int) {
	s.mu.Lock()
	s.movedBytes += int64(n)
	if s.LinkRate <= 0 {
		s.mu.Unlock()
		return
	}
	start := time.Now()
	if s.linkIdleAt.After(start) {
		start = s.linkIdleAt
	}
	s.linkIdleAt = start.Add(time.Duration(float64(n) / float64(s.LinkRate) * float64(time.Second)))
	done := s.linkIdleAt
	s.mu.Unlock()
	time.Sleep(time.Until(done))
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
	newUsed := s.used - s.blobs[name].size() + int64(len(content))
	if newUsed > s.Capacity {
		http.Error(w, "full", http.StatusInsufficientStorage)
		return
	}
	if s.blobs == nil {
		s.blobs = map[string]*blob{}
	}
	s.blobs[name] = &blob{content: content, lastAccess: time.Now()}
	s.used = newUsed
	w.WriteHeader(http.StatusCreated)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stored, ok := s.blobs[r.PathValue("name")]
	if ok {
		stored.recordRead()
	}
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.transfer(len(stored.content))
	_, _ = w.Write(stored.content)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	s.used -= s.blobs[name].size()
	delete(s.blobs, name)
	w.WriteHeader(http.StatusNoContent)
}

type usageResponse struct {
	Bytes    int64 `json:"bytes"`
	Capacity int64 `json:"capacity"`
	Moved    int64 `json:"moved"`
}

func (s *Server) usage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replier.JSON(w, http.StatusOK, usageResponse{Bytes: s.used, Capacity: s.Capacity, Moved: s.movedBytes})
}

func (s *Server) readBatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Names []string `json:"names"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	blobs := []blobInfo{}
	for _, name := range request.Names {
		if stored, ok := s.blobs[name]; ok && stored.size() <= maxInlineBytes {
			blobs = append(blobs, stored.list(name))
			stored.recordRead()
		}
	}
	replier.JSON(w, http.StatusOK, map[string]any{"blobs": blobs})
}

type blobInfo struct {
	Name   string `json:"name"`
	Bytes  int64  `json:"bytes"`
	IdleMS int64  `json:"idle_ms"`
	Reads  int    `json:"reads"`
	Data   []byte `json:"data,omitempty"`
}

func (b *blob) list(name string) blobInfo {
	entry := blobInfo{Name: name, Bytes: b.size(), IdleMS: time.Since(b.lastAccess).Milliseconds(), Reads: b.reads}
	if b.size() <= maxInlineBytes {
		entry.Data = b.content
	}
	return entry
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blobs := []blobInfo{}
	for name, stored := range s.blobs {
		if !strings.HasPrefix(name, r.URL.Query().Get("prefix")) {
			continue
		}
		blobs = append(blobs, stored.list(name))
	}
	slices.SortFunc(blobs, func(a, b blobInfo) int { return strings.Compare(a.Name, b.Name) })
	replier.JSON(w, http.StatusOK, map[string]any{"blobs": blobs})
}
