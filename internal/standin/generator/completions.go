package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"
)

type completionRequest struct {
	Model       string            `json:"model"`
	Messages    []json.RawMessage `json:"messages"`
	MaxTokens   int               `json:"max_tokens"`
	Priority    int               `json:"priority"`
	Weights     string            `json:"weights"`
	CacheBlocks []string          `json:"cache_blocks"`
	Resume      []string          `json:"resume"`
}

type chunk struct {
	Object  string   `json:"object"`
	Index   int      `json:"index"`
	Weights string   `json:"weights"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Prompt returns the text that an engine prefills for a list of messages: each as
// compact JSON, followed by a newline.
func Prompt(messages []json.RawMessage) []byte {
	var prompt bytes.Buffer
	for _, message := range messages {
		_ = json.Compact(&prompt, message)
		prompt.WriteByte('\n')
	}
	return prompt.Bytes()
}

// Token returns token i of the answer to a prompt.
func Token(prompt []byte, i int) string {
	sum := fnv.New32a()
	_, _ = sum.Write(prompt)
	_, _ = fmt.Fprint(sum, i)
	return fmt.Sprintf("w%d ", sum.Sum32()%10000)
}

// Answer returns the first n tokens of the answer to a prompt.
func Answer(prompt []byte, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// activeRequest is one request that the engine is processing.
type activeRequest struct {
	completionRequest
	prompt []byte
	// loadedWeights are the weights that were loaded when the request was admitted.
	loadedWeights string
	cachedTokens  int
	crashed       <-chan struct{}
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	active := &activeRequest{completionRequest: request, prompt: Prompt(request.Messages)}
	if status := s.admit(active); status != 0 {
		http.Error(w, "weights are not loaded", status)
		return
	}
	defer s.finish()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if !s.runPrefill(r.Context(), active) {
		s.recordCancelled(active)
		return
	}
	if !s.streamTokens(r.Context(), w, active) {
		s.recordCancelled(active)
	}
}

func (s *Server) admit(active *activeRequest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading {
		return http.StatusServiceUnavailable
	}
	if active.Weights != "" && active.Weights != s.LoadedWeights {
		return http.StatusConflict
	}
	active.loadedWeights = s.LoadedWeights
	active.crashed = s.crashed
	s.running++
	s.queuedTokens += active.promptTokens()
	s.stats.Runs++
	s.stats.PeakRunning = max(s.stats.PeakRunning, s.running)
	s.stats.PromptTokens += active.promptTokens()
	return 0
}

func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) recordCancelled(active *activeRequest) {
	s.mu.Lock()
	s.stats.Cancelled++
	s.mu.Unlock()
	// Abort the connection if the engine crashed.
	select {
	case <-active.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
}

func (a *activeRequest) promptTokens() int {
	return len(a.prompt)/TokenBytes + 1
}

// runPrefill waits for the turn of the request and then for the time that the
// prefill of its uncached tokens takes. It returns false if the request was
// cancelled or the engine crashed.
func (s *Server) runPrefill(ctx context.Context, active *activeRequest) bool {
	defer s.subtractQueued(active.promptTokens())
	if !s.prefill.acquire(ctx, active.Priority) {
		return false
	}
	defer s.prefill.release()
	s.mu.Lock()
	active.cachedTokens = s.cache.prefixLength(active.CacheBlocks) * BlockTokens
	uncached := max(active.promptTokens()-active.cachedTokens, 0)
	s.mu.Unlock()
	if !active.sleep(ctx, time.Duration(float64(uncached)/s.PrefillRate*float64(time.Second))) {
		return false
	}
	if bytes.Contains(active.prompt, []byte(CrashMarker)) {
		s.crash()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.ComputedTokens += uncached
	// Blocks that were computed with other weights than the loaded ones are not cached.
	if active.loadedWeights == s.LoadedWeights {
		s.cache.insert(active.CacheBlocks)
	}
	return true
}

func (s *Server) subtractQueued(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedTokens -= tokens
}

func (a *activeRequest) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-a.crashed:
		return false
	}
}

func (s *Server) streamTokens(ctx context.Context, w http.ResponseWriter, active *activeRequest) bool {
	tokens := active.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	tokens = min(tokens, maxTokens)
	for i := len(active.Resume); i < tokens; i++ {
		if !active.sleep(ctx, s.tokenInterval()) {
			return false
		}
		if !writeChunk(w, active.chunk(i, Token(active.prompt, i), nil, nil)) {
			return false
		}
	}
	reason := "length"
	total := &usage{PromptTokens: active.promptTokens(), CompletionTokens: tokens, CachedTokens: active.cachedTokens}
	if !writeChunk(w, active.chunk(tokens, "", &reason, total)) {
		return false
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err == nil
}

func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The interval is doubled when doublingConcurrency requests run.
	return s.TokenInterval + s.TokenInterval*time.Duration(s.running)/doublingConcurrency
}

func (a *activeRequest) chunk(index int, text string, reason *string, total *usage) chunk {
	return chunk{
		Object:  "chat.completion.chunk",
		Index:   index,
		Weights: a.loadedWeights,
		Choices: []choice{{Delta: delta{Content: text}, FinishReason: reason}},
		Usage:   total,
	}
}

func writeChunk(w http.ResponseWriter, c chunk) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
