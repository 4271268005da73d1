// Package generator is a stand-in of a model engine: it batches continuously,
// keeps prompt prefixes in a cache of limited blocks, streams tokens that are a
// fixed function of the prompt, and can export and import blocks.
//
// # Usage
//
//	engine := &generator.Server{Name: "usta-llm-1", Version: "v1", CacheBlocks: 64}
//	http.Serve(listener, engine)
//
// The protocol, which the dialer package speaks:
//
//	POST /v1/chat/completions  OpenAI-style, always streamed, with the added
//	     members priority, weights, cache_blocks and resume (tokens already
//	     delivered); 409 when the weights differ, 503 while loading
//	GET  /v1/load              load report, lagging
//	GET  /v1/cache/events?from=N  cache events, late and with gaps
//	POST /v1/kv/export         {"items":[{"block":…,"url":…}]}
//	POST /v1/kv/import         {"items":[{"block":…,"url":…,"bytes":…,"checksum":…}]};
//	     a block that is in the cache already is not fetched
//	POST /v1/orders            {"fence":N,"weights":…}; 409 for an old fence
//	GET  /v1/stats             counters for tests
//
// A prompt that holds CrashMarker crashes the engine.
package generator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

// CrashMarker is the text that makes the engine crash.
const CrashMarker = "<crash-engine>"

const (
	// BlockTokens is the number of tokens of one cache block.
	BlockTokens = 1024
	// TokenBytes is the number of prompt bytes that make one token.
	TokenBytes = 4

	defaultTokens   = 16
	maxTokens       = 4096
	batchPerSlowing = 16
)

// Server is one engine. Its fields are set before it serves.
type Server struct {
	Name    string
	Version string
	// CacheBlocks is the number of blocks that fit the engine's memory.
	CacheBlocks int
	// BlockBytes is the size of an exported block.
	BlockBytes int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// TokenInterval is the time between tokens of a lone request.
	TokenInterval time.Duration
	// ReportLag is the age of load reports, and of cache events.
	ReportLag time.Duration
	// DropEvents loses every n-th cache event; zero loses none.
	DropEvents int
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// LoadTime is the time that loading weights takes.
	LoadTime time.Duration
	// RestartTime is the time that the engine is down after a crash.
	RestartTime time.Duration
	// Crashed is called when the engine crashes, to cut its connections.
	Crashed func(down time.Duration)
	// IdleWatts and RunWatts make up the reported power.
	IdleWatts float64
	RunWatts  float64

	routes    replier.Routes
	mu        sync.Mutex
	once      sync.Once
	cache     *cache
	prefill   *prefillQueue
	running   int
	queued    int
	fence     uint64
	loading   bool
	downUntil time.Time
	crashed   chan struct{}
	reports   []timedReport
	stats     Stats
	client    http.Client
}

// Stats counts what the engine did.
type Stats struct {
	Runs           int `json:"runs"`
	Crashes        int `json:"crashes"`
	Cancelled      int `json:"cancelled"`
	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_tokens"`
	ImportedBlocks int `json:"imported_blocks"`
	CorruptBlocks  int `json:"corrupt_blocks"`
	Loads          int `json:"loads"`
	PeakRunning    int `json:"peak_running"`
}

type wireReport struct {
	Weights      string  `json:"weights"`
	Running      int     `json:"running"`
	QueuedTokens int     `json:"queued_tokens"`
	Watts        float64 `json:"watts"`
	PrefillRate  float64 `json:"prefill_rate"`
	Loading      bool    `json:"loading"`
}

type timedReport struct {
	at     time.Time
	report wireReport
}

func (s *Server) init() {
	s.once.Do(func() {
		s.cache = newCache(s.CacheBlocks, s.DropEvents)
		s.prefill = &prefillQueue{}
		s.crashed = make(chan struct{})
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/cache/events", s.events)
	mux.HandleFunc("POST /v1/kv/export", s.export)
	mux.HandleFunc("POST /v1/kv/import", s.importBlocks)
	mux.HandleFunc("POST /v1/orders", s.order)
	mux.HandleFunc("GET /v1/stats", s.serveStats)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Weights returns the loaded weight version.
func (s *Server) Weights() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Version
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Crashes++
	s.downUntil = time.Now().Add(s.RestartTime)
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.cache.clear()
	if s.Crashed != nil {
		go s.Crashed(s.RestartTime)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.reports = append(s.reports, timedReport{now, s.report()})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.ReportLag {
		s.reports = s.reports[1:]
	}
	replier.JSON(w, http.StatusOK, s.reports[0].report)
}

func (s *Server) report() wireReport {
	return wireReport{
		Weights:      s.Version,
		Running:      s.running,
		QueuedTokens: s.queued,
		Watts:        s.IdleWatts + float64(s.running)*s.RunWatts,
		PrefillRate:  s.PrefillRate,
		Loading:      s.loading,
	}
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	replier.JSON(w, http.StatusOK, s.Stats())
}

type wireOrder struct {
	Fence   uint64 `json:"fence"`
	Weights string `json:"weights"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order wireOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Fencing && order.Fence < s.fence {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, order.Fence)
	if order.Weights != s.Version && !s.loading {
		s.loading = true
		s.stats.Loads++
		time.AfterFunc(s.LoadTime, func() { s.loaded(order.Weights) })
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) loaded(weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	s.Version = weights
	s.cache.clear()
}
