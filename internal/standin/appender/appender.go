// Package appender is a stand-in of the platform's log service: append-only
// streams with offsets that keep their records for a limited number.
//
// # Usage
//
//	log := &appender.Server{Retention: 100000}
//	http.Serve(listener, log)
//
// The protocol, which the follower package speaks:
//
//	POST /v1/streams/NAME/records      {"records":["BASE64",…]} -> {"first":N}
//	GET  /v1/streams/NAME/records?from=N&limit=M&wait_ms=W
//	     -> {"oldest":O,"next":K,"records":[{"offset":N,"data":"BASE64"},…]}
package appender

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

const (
	defaultLimit = 1000
	maxWait      = 30 * time.Second
)

// Server is the log service. Its fields are set before it serves.
type Server struct {
	// Retention is the number of records a stream keeps; zero for all.
	Retention int

	routes  replier.Routes
	mu      sync.Mutex
	streams map[string]*stream
	appends int
}

type stream struct {
	oldest  uint64
	records [][]byte
	changed chan struct{}
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendReply struct {
	First uint64 `json:"first"`
}

type readReply struct {
	Oldest  uint64       `json:"oldest"`
	Next    uint64       `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
}

// Appends returns the number of append calls so far.
func (s *Server) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var request appendRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	replier.JSON(w, http.StatusOK, appendReply{First: s.Append(r.PathValue("stream"), request.Records)})
}

// Append adds records to a stream and returns the offset of the first.
func (s *Server) Append(name string, records [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	held := s.stream(name)
	first := held.next()
	held.records = append(held.records, records...)
	if over := len(held.records) - s.Retention; s.Retention > 0 && over > 0 {
		held.records = held.records[over:]
		held.oldest += uint64(over)
	}
	close(held.changed)
	held.changed = make(chan struct{})
	return first
}

func (s *Server) stream(name string) *stream {
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	held, ok := s.streams[name]
	if !ok {
		held = &stream{changed: make(chan struct{})}
		s.streams[name] = held
	}
	return held
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 {
		limit = defaultLimit
	}
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(min(time.Duration(milliseconds)*time.Millisecond, maxWait))
	for {
		reply, changed := s.page(r.PathValue("stream"), from, limit)
		if len(reply.Records) > 0 || milliseconds <= 0 {
			replier.JSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			replier.JSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) page(name string, from uint64, limit int) (readReply, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.stream(name)
	reply := readReply{Oldest: held.oldest, Next: held.next(), Records: []readRecord{}}
	for offset := max(from, held.oldest); offset < held.next() && len(reply.Records) < limit; offset++ {
		reply.Records = append(reply.Records, readRecord{Offset: offset, Data: held.records[offset-held.oldest]})
	}
	return reply, held.changed
}
