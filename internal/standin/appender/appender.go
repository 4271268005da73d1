// Package appender is a stand-in for the platform's log service: append-only
// streams of records, which are numbered by consecutive offsets. Each stream
// retains a limited number of its newest records.
//
// # Usage
//
//	log := &appender.Server{Retention: 100000}
//	http.Serve(listener, log)
//
// The protocol, whose client is the follower package:
//
//	POST /v1/streams/NAME/records      {"records":["BASE64",…]} -> {"first":N}
//	GET  /v1/streams/NAME/records?from=N&limit=M&wait_ms=W
//	     -> {"oldest":O,"next":K,"records":[{"offset":N,"data":"BASE64"},…]}
//
// A read returns at most M records (1000 by default) from offset N on. If there are
// none, it waits for up to W ms, at most 30 s. oldest is the offset of the oldest
// retained record, next that of the next record to be appended.
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
	defaultReadLimit = 1000
	maxReadWait      = 30 * time.Second
)

// Server is the log service. Set its exported fields before it serves requests.
type Server struct {
	// Retention is the number of records a stream retains; zero for all.
	Retention int

	routes  replier.Routes
	mu      sync.Mutex
	streams map[string]*stream
	appends int
}

// stream is one append-only stream; appended is closed and replaced at each append,
// to wake waiting readers.
type stream struct {
	oldest   uint64
	records  [][]byte
	appended chan struct{}
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First uint64 `json:"first"`
}

type readResponse struct {
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
	replier.JSON(w, http.StatusOK, appendResponse{First: s.Append(r.PathValue("stream"), request.Records)})
}

// Append adds records to a stream and returns the offset of the first.
func (s *Server) Append(name string, records [][]byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	log := s.stream(name)
	first := log.next()
	log.records = append(log.records, records...)
	if excess := len(log.records) - s.Retention; s.Retention > 0 && excess > 0 {
		log.records = log.records[excess:]
		log.oldest += uint64(excess)
	}
	close(log.appended)
	log.appended = make(chan struct{})
	return first
}

func (s *Server) stream(name string) *stream {
	if s.streams == nil {
		s.streams = map[string]*stream{}
	}
	log, ok := s.streams[name]
	if !ok {
		log = &stream{appended: make(chan struct{})}
		s.streams[name] = log
	}
	return log
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 {
		limit = defaultReadLimit
	}
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(min(time.Duration(waitMS)*time.Millisecond, maxReadWait))
	for {
		response, appended := s.readPage(r.PathValue("stream"), from, limit)
		if len(response.Records) > 0 || waitMS <= 0 {
			replier.JSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			replier.JSON(w, http.StatusOK, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) readPage(name string, from uint64, limit int) (readResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.stream(name)
	response := readResponse{Oldest: log.oldest, Next: log.next(), Records: []readRecord{}}
	for offset := max(from, log.oldest); offset < log.next() && len(response.Records) < limit; offset++ {
		response.Records = append(response.Records, readRecord{Offset: offset, Data: log.records[offset-log.oldest]})
	}
	return response, log.appended
}
