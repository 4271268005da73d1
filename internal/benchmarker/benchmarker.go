// Package benchmarker sends open-loop load to nodes and measures the latency
// and the results that callers see.
//
// A seed determines the requests and their arrival times. Each is sent at its time
// whether or not earlier ones have been answered, so a slow system does not reduce
// the load.
//
// Rounds compares routing policies on sites of stand-ins, Overhead measures what a
// node adds to an engine, and EvictionTrial compares eviction policies on a synthetic
// trace.
//
// # Usage
//
//	workload, err := benchmarker.GetWorkload("cooperative")
//	report := (&benchmarker.Load{Nodes: nodes, Arrivals: workload.Arrivals(1, time.Minute)}).Run(ctx)
//	fmt.Println(report)
package benchmarker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/assembler"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxIdleConns      = 256
	bulkPriority      = "bulk"
)

// Load is one run of open-loop load. Set its exported fields before Run.
type Load struct {
	// Nodes are the addresses at which the nodes serve callers, used in turn.
	Nodes    []netip.AddrPort
	Arrivals []Arrival
	// OrderPrefix is prepended to the IDs and idempotency keys of orders, so that the
	// orders of two runs against the same nodes differ.
	OrderPrefix string
	// Timeout is the limit on the duration of one request.
	Timeout time.Duration

	client *http.Client
	report *Report
}

// Run sends the load and returns when all requests have ended. If ctx ends before
// all requests are sent, it sends no more and returns a report whose Span is zero.
func (l *Load) Run(ctx context.Context) *Report {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}, Timeout: l.Timeout}
	l.report = newReport()
	var inFlight sync.WaitGroup
	started := time.Now()
	for i, arrival := range l.Arrivals {
		select {
		case <-time.After(time.Until(started.Add(arrival.At))):
		case <-ctx.Done():
			inFlight.Wait()
			return l.report
		}
		node := l.Nodes[i%len(l.Nodes)]
		inFlight.Go(func() { l.send(ctx, node, arrival) })
	}
	inFlight.Wait()
	l.report.Span = time.Since(started)
	return l.report
}

func (l *Load) send(ctx context.Context, node netip.AddrPort, arrival Arrival) {
	switch arrival.Class {
	case ClassLookup:
		l.callService(ctx, node, arrival, http.MethodGet, "/orders/"+arrival.Order, nil)
	case ClassOrder:
		name := l.OrderPrefix + arrival.Order
		body, _ := json.Marshal(map[string]string{"order": name})
		l.callService(ctx, node, arrival, http.MethodPost, "/orders", body)
	default:
		l.sendPrompt(ctx, node, arrival)
	}
}

func (l *Load) request(ctx context.Context, node netip.AddrPort, arrival Arrival, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	key := assembler.FirstTeamKey
	if arrival.Team == 1 {
		key = assembler.SecondTeamKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if arrival.Class == ClassOrder {
		request.Header.Set("Idempotency-Key", l.OrderPrefix+arrival.Order)
	}
	if arrival.Class == ClassBulk {
		request.Header.Set("X-Priority", bulkPriority)
	}
	return l.client.Do(request)
}

func (l *Load) callService(ctx context.Context, node netip.AddrPort, arrival Arrival, method, path string, body []byte) {
	started := time.Now()
	response, err := l.request(ctx, node, arrival, method, "/v1/services/"+assembler.PlainService+path, body)
	if err != nil {
		l.report.recordFailure(arrival.Class, err.Error())
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode >= http.StatusBadRequest {
		l.report.recordRefusal(arrival.Class, response.Status)
		return
	}
	l.report.recordAnswer(arrival.Class, time.Since(started), Sample{})
}

func (l *Load) sendPrompt(ctx context.Context, node netip.AddrPort, arrival Arrival) {
	started := time.Now()
	body, _ := json.Marshal(map[string]any{
		"model": "usta", "messages": arrival.Messages, "max_tokens": arrival.Tokens, "stream": true,
	})
	response, err := l.request(ctx, node, arrival, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		l.report.recordFailure(arrival.Class, err.Error())
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		l.report.recordRefusal(arrival.Class, response.Status)
		return
	}
	sample, text, err := ReadAnswer(response.Body, started)
	if err == nil && text != generator.Answer(generator.Prompt(arrival.Messages), arrival.Tokens) {
		err = errors.New("answer differs from the engine's answer to the prompt")
	}
	if err != nil {
		l.report.recordFailure(arrival.Class, err.Error())
		return
	}
	l.report.recordAnswer(arrival.Class, sample.FirstToken, sample)
}

// Sample holds the measurements of one answered prompt.
type Sample struct {
	// FirstToken is the time to the first token, and Gaps are the times between
	// tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	// Prompt is the number of prompt tokens, and Computed the number of those that
	// were not cached.
	Prompt   int
	Computed int
}

// streamChunk is one event of a streamed answer.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		// Engines report cached tokens in CachedTokens, nodes in Details.
		CachedTokens int `json:"cached_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// ReadAnswer reads a streamed answer up to its end marker, data: [DONE], and
// returns its measurements and text. started is the time at which the request was
// sent. An answer without end marker is an error.
func ReadAnswer(body io.Reader, started time.Time) (Sample, string, error) {
	var sample Sample
	var text strings.Builder
	last := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return sample, text.String(), nil
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return sample, "", err
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			now := time.Now()
			if sample.FirstToken == 0 {
				sample.FirstToken = now.Sub(started)
			} else {
				sample.Gaps = append(sample.Gaps, now.Sub(last))
			}
			last = now
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		if chunk.Usage != nil {
			sample.Prompt = chunk.Usage.PromptTokens
			sample.Computed = chunk.Usage.PromptTokens - max(chunk.Usage.CachedTokens, chunk.Usage.Details.CachedTokens)
		}
	}
	return sample, "", errors.New("answer ended without its end marker")
}

// Report holds the results of a run.
type Report struct {
	Span time.Duration

	mu      sync.Mutex
	classes map[Class]*classReport
	gaps    *hdrhistogram.Histogram
	// reasons counts the refusals and failures by class and reason.
	reasons map[string]int
}

type classReport struct {
	latencies      *hdrhistogram.Histogram
	answered       int
	refused        int
	failed         int
	promptTokens   int
	computedTokens int
}

func newReport() *Report {
	return &Report{classes: map[Class]*classReport{}, gaps: newHistogram(), reasons: map[string]int{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func (r *Report) class(class Class) *classReport {
	counts, ok := r.classes[class]
	if !ok {
		counts = &classReport{latencies: newHistogram()}
		r.classes[class] = counts
	}
	return counts
}

func (r *Report) recordAnswer(class Class, latency time.Duration, sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.class(class)
	counts.answered++
	counts.promptTokens += sample.Prompt
	counts.computedTokens += sample.Computed
	_ = counts.latencies.RecordValue(latency.Microseconds())
	for _, gap := range sample.Gaps {
		_ = r.gaps.RecordValue(gap.Microseconds())
	}
}

func (r *Report) recordRefusal(class Class, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(class).refused++
	r.reasons[string(class)+": "+status]++
}

func (r *Report) recordFailure(class Class, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(class).failed++
	r.reasons[string(class)+": "+reason]++
}
