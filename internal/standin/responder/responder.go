// Package responder is a stand-in for a plain service: it executes orders,
// answers status lookups and counts how often each order was executed.
//
// # Usage
//
//	service := &responder.Server{Name: "atolye-1"}
//	http.Serve(listener, service)
//
// The protocol:
//
//	POST /orders  {"order":"ID",…} -> {"order":"ID","by":"NAME","executions":N}
//	GET  /orders/ID                -> {"order":"ID","by":"NAME","executions":N}
//	GET  /executions               -> {"ID":N,…}
//	GET  /v1/load                  -> {"running":N}
//
// In the response to GET /orders/ID, N is zero for an unknown order.
package responder

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

// Server is one endpoint of the service. Set its exported fields before it serves
// requests.
type Server struct {
	Name string
	// WorkTime is the processing time of a request.
	WorkTime time.Duration

	routes     replier.Routes
	mu         sync.Mutex
	executions map[string]int
	running    atomic.Int32
}

type orderRequest struct {
	Order string `json:"order"`
}

type orderResponse struct {
	Order      string `json:"order"`
	By         string `json:"by"`
	Executions int    `json:"executions"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /orders/{id}", s.status)
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("GET /v1/load", s.load)
}

// Executions returns how often each order was executed.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.simulateWork()
	s.mu.Lock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[order.Order]++
	response := orderResponse{Order: order.Order, By: s.Name, Executions: s.executions[order.Order]}
	s.mu.Unlock()
	replier.JSON(w, http.StatusCreated, response)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.simulateWork()
	s.mu.Lock()
	response := orderResponse{Order: r.PathValue("id"), By: s.Name, Executions: s.executions[r.PathValue("id")]}
	s.mu.Unlock()
	replier.JSON(w, http.StatusOK, response)
}

func (s *Server) simulateWork() {
	s.running.Add(1)
	defer s.running.Add(-1)
	time.Sleep(s.WorkTime)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	replier.JSON(w, http.StatusOK, map[string]int32{"running": s.running.Load()})
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	replier.JSON(w, http.StatusOK, s.Executions())
}
