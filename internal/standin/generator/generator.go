// Package generator is a stand-in for a model engine: it runs requests in a
// continuous batch, caches prompt prefixes in a limited number of blocks, streams
// tokens that are a deterministic function of the prompt, and exports and imports
// cache blocks.
//
// # Usage
//
//	engine := &generator.Server{Name: "usta-llm-1", LoadedWeights: "w1", CacheBlocks: 64, PrefillRate: 20000}
//	http.Serve(listener, engine)
//
// The protocol, whose client is the dialer package:
//
//	POST /v1/chat/completions  OpenAI-style, always streamed, with the added
//	     members priority, weights, cache_blocks and resume (tokens already
//	     delivered); 409 if other weights are loaded, 503 while weights load
//	GET  /v1/load              load report, delayed by ReportLag
//	GET  /v1/cache/events?from=N  cache events, delayed by ReportLag and with gaps
//	     if DropEvery is set
//	POST /v1/kv/export         {"items":[{"block":…,"url":…}]}
//	POST /v1/kv/import         {"items":[{"block":…,"url":…,"bytes":…,"checksum":…}]};
//	     a block that is in the cache already is not fetched
//	POST /v1/orders            {"fence":N,"weights":…} loads weights; 409 for an
//	     old fencing token if Fencing is set; loads nothing while weights are
//	     loading
//	GET  /v1/stats             counters for tests
//
// Export and import respond with the items of the request. Failed items have
// "failed":true. An export adds bytes and checksum, an import "held":true for blocks
// that were in the cache already. An import stops at the first failed item and
// returns the later ones unchanged.
//
// A prompt that contains CrashMarker crashes the engine.
package generator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

// CrashMarker is the text in a prompt that makes the engine crash.
const CrashMarker = "<crash-engine>"

const (
	// BlockTokens is the number of tokens of one cache block.
	BlockTokens = 1024
	// TokenBytes is the number of prompt bytes that make one token.
	TokenBytes = 4

	defaultTokens       = 16
	maxTokens           = 4096
	doublingConcurrency = 16
)

// Server is one engine. Set its exported fields before the first request.
type Server struct {
	Name          string
	LoadedWeights string
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// BlockBytes is the size of an exported block in bytes.
	BlockBytes int
	// PrefillRate is in tokens per second and must be positive.
	PrefillRate float64
	// TokenInterval is the base time between tokens; the actual time grows with the
	// number of running requests.
	TokenInterval time.Duration
	// ReportLag is the delay of load reports and of cache events.
	ReportLag time.Duration
	// DropEvery makes the engine drop every DropEvery-th cache event; zero drops none.
	DropEvery int
	// Fencing makes the engine refuse orders with an old fencing token.
	Fencing bool
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// RestartTime is the downtime after a crash.
	RestartTime time.Duration
	// OnCrash is called when the engine crashes, to close its connections.
	OnCrash func(downtime time.Duration)
	// IdleWatts is the reported power when idle; each running request adds
	// RunWatts.
	IdleWatts float64
	RunWatts  float64

	routes              replier.Routes
	mu                  sync.Mutex
	initOnce            sync.Once
	cache               *cache
	prefill             *prefillQueue
	running             int
	queuedTokens        int
	highestFencingToken uint64
	loading             bool
	downUntil           time.Time
	crashed             chan struct{}
	reports             []timedReport
	stats               Stats
	client              http.Client
}

// Stats holds the engine's counters.
type Stats struct {
	Runs           int `json:"runs"`
	Crashes        int `json:"crashes"`
	Cancelled      int `json:"cancelled"`
	PromptTokens   int `json:"prompt_tokens"`
	ComputedTokens int `json:"computed_tokens"`
	ImportedBlocks int `json:"imported_blocks"`
	CorruptBlocks  int `json:"corrupt_blocks"`
	WeightLoads    int `json:"loads"`
	PeakRunning    int `json:"peak_running"`
}

type loadReport struct {
	Weights      string  `json:"weights"`
	Running      int     `json:"running"`
	QueuedTokens int     `json:"queued_tokens"`
	Watts        float64 `json:"watts"`
	PrefillRate  float64 `json:"prefill_rate"`
	Loading      bool    `json:"loading"`
}

// timedReport is a load report and the time at which it was made.
type timedReport struct {
	at     time.Time
	report loadReport
}

func (s *Server) init() {
	s.initOnce.Do(func() {
		s.cache = newCache(s.CacheBlocks, s.DropEvery)
		s.prefill = &prefillQueue{}
		s.crashed = make(chan struct{})
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	s.routes.Serve(w, r, s.route)
}

func (s *Server) route(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /v1/load", s.serveLoadReport)
	mux.HandleFunc("GET /v1/cache/events", s.events)
	mux.HandleFunc("POST /v1/kv/export", s.exportBlocks)
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

// Weights returns the name of the loaded weights.
func (s *Server) Weights() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.LoadedWeights
}

func (s *Server) isDown() bool {
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
	if s.OnCrash != nil {
		go s.OnCrash(s.RestartTime)
	}
}

func (s *Server) serveLoadReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.reports = append(s.reports, timedReport{now, s.report()})
	// A report is recorded at each call. The response is the newest one that is at
	// least ReportLag old, or the oldest if none is.
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.ReportLag {
		s.reports = s.reports[1:]
	}
	replier.JSON(w, http.StatusOK, s.reports[0].report)
}

func (s *Server) report() loadReport {
	return loadReport{
		Weights:      s.LoadedWeights,
		Running:      s.running,
		QueuedTokens: s.queuedTokens,
		Watts:        s.IdleWatts + float64(s.running)*s.RunWatts,
		PrefillRate:  s.PrefillRate,
		Loading:      s.loading,
	}
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	replier.JSON(w, http.StatusOK, s.Stats())
}

// weightOrder is the body of POST /v1/orders: an order to load weights.
type weightOrder struct {
	FencingToken uint64 `json:"fence"`
	Weights      string `json:"weights"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order weightOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Fencing && order.FencingToken < s.highestFencingToken {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	s.highestFencingToken = max(s.highestFencingToken, order.FencingToken)
	if order.Weights != s.LoadedWeights && !s.loading {
		s.loading = true
		s.stats.WeightLoads++
		time.AfterFunc(s.LoadTime, func() { s.finishLoading(order.Weights) })
	}
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) finishLoading(weights string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	s.LoadedWeights = weights
	s.cache.clear()
}
