// Package exerciser sends open-loop load to nodes and measures what callers see.
//
// Arrivals are fixed by a seed and sent at their times whether or not earlier
// ones have been answered, so a slow system can't slow its own load.
//
// # Usage
//
//	shape, err := exerciser.GetShape("cooperative")
//	report := (&exerciser.Load{Nodes: nodes, Arrivals: shape.Arrivals(1, time.Minute)}).Run(ctx)
//	fmt.Println(report)
package exerciser

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
	longestTime = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
	connsPerUse = 256
	bulkClass   = "bulk"
)

// Load is one run. Its fields are set before Run.
type Load struct {
	// Nodes are the callers' addresses of the nodes, used in turn.
	Nodes    []netip.AddrPort
	Arrivals []Arrival
	// Fresh gives each repeat of the run its own orders.
	Fresh string
	// Timeout bounds one request.
	Timeout time.Duration

	client *http.Client
	report *Report
}

// Run sends the load and returns when all answers are in.
func (l *Load) Run(ctx context.Context) *Report {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connsPerUse}, Timeout: l.Timeout}
	l.report = newReport()
	var running sync.WaitGroup
	started := time.Now()
	for i, arrival := range l.Arrivals {
		select {
		case <-time.After(time.Until(started.Add(arrival.At))):
		case <-ctx.Done():
			running.Wait()
			return l.report
		}
		node := l.Nodes[i%len(l.Nodes)]
		running.Go(func() { l.send(ctx, node, arrival) })
	}
	running.Wait()
	l.report.Span = time.Since(started)
	return l.report
}

func (l *Load) send(ctx context.Context, node netip.AddrPort, arrival Arrival) {
	switch arrival.Class {
	case ClassLookup:
		l.call(ctx, node, arrival, http.MethodGet, "/orders/"+arrival.Order, nil)
	case ClassOrder:
		name := l.Fresh + arrival.Order
		body, _ := json.Marshal(map[string]string{"order": name})
		l.call(ctx, node, arrival, http.MethodPost, "/orders", body)
	default:
		l.prompt(ctx, node, arrival)
	}
}

func (l *Load) request(ctx context.Context, node netip.AddrPort, arrival Arrival, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	key := assembler.TeamKey
	if arrival.Team == 1 {
		key = assembler.SecondTeamKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if arrival.Class == ClassOrder {
		request.Header.Set("Idempotency-Key", l.Fresh+arrival.Order)
	}
	if arrival.Class == ClassBulk {
		request.Header.Set("X-Priority", bulkClass)
	}
	return l.client.Do(request)
}

func (l *Load) call(ctx context.Context, node netip.AddrPort, arrival Arrival, method, path string, body []byte) {
	started := time.Now()
	response, err := l.request(ctx, node, arrival, method, "/v1/services/"+assembler.PlainService+path, body)
	if err != nil {
		l.report.fail(arrival.Class, err.Error())
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode >= http.StatusBadRequest {
		l.report.refuse(arrival.Class, response.Status)
		return
	}
	l.report.answer(arrival.Class, time.Since(started), Sample{})
}

func (l *Load) prompt(ctx context.Context, node netip.AddrPort, arrival Arrival) {
	started := time.Now()
	body, _ := json.Marshal(map[string]any{
		"model": "usta", "messages": arrival.Messages, "max_tokens": arrival.Tokens, "stream": true,
	})
	response, err := l.request(ctx, node, arrival, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		l.report.fail(arrival.Class, err.Error())
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		l.report.refuse(arrival.Class, response.Status)
		return
	}
	got, text, err := ReadAnswer(response.Body, started)
	if err == nil && text != generator.Answer(generator.Prompt(arrival.Messages), arrival.Tokens) {
		err = errors.New("wrong answer")
	}
	if err != nil {
		l.report.fail(arrival.Class, err.Error())
		return
	}
	l.report.answer(arrival.Class, got.First, got)
}

// Sample is what one answered prompt showed.
type Sample struct {
	// First is the time to the first token, Gaps those between tokens.
	First time.Duration
	Gaps  []time.Duration
	// Prompt and Computed are the prompt's tokens and those that were computed.
	Prompt   int
	Computed int
}

// event is a chunk of a streamed answer.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		// CachedTokens is where an engine reports it, Details where a node does.
		CachedTokens int `json:"cached_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// ReadAnswer reads a streamed answer to its end mark and returns its text. An
// answer without end mark is an error.
func ReadAnswer(body io.Reader, started time.Time) (Sample, string, error) {
	var got Sample
	var text strings.Builder
	last := started
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return got, text.String(), nil
		}
		var chunk event
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return got, "", err
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			now := time.Now()
			if got.First == 0 {
				got.First = now.Sub(started)
			} else {
				got.Gaps = append(got.Gaps, now.Sub(last))
			}
			last = now
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		if chunk.Usage != nil {
			got.Prompt = chunk.Usage.PromptTokens
			got.Computed = chunk.Usage.PromptTokens - max(chunk.Usage.CachedTokens, chunk.Usage.Details.CachedTokens)
		}
	}
	return got, "", errors.New("answer has no end mark")
}

// Report is what a run showed.
type Report struct {
	Span time.Duration

	mu      sync.Mutex
	classes map[Class]*classReport
	gaps    *hdrhistogram.Histogram
	errors  map[string]int
}

type classReport struct {
	times    *hdrhistogram.Histogram
	answered int
	refused  int
	failed   int
	prompt   int
	computed int
}

func newReport() *Report {
	return &Report{classes: map[Class]*classReport{}, gaps: newHistogram(), errors: map[string]int{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime, digits)
}

func (r *Report) class(class Class) *classReport {
	held, ok := r.classes[class]
	if !ok {
		held = &classReport{times: newHistogram()}
		r.classes[class] = held
	}
	return held
}

func (r *Report) answer(class Class, took time.Duration, got Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.class(class)
	held.answered++
	held.prompt += got.Prompt
	held.computed += got.Computed
	_ = held.times.RecordValue(took.Microseconds())
	for _, gap := range got.Gaps {
		_ = r.gaps.RecordValue(gap.Microseconds())
	}
}

func (r *Report) refuse(class Class, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(class).refused++
	r.errors[string(class)+": "+status]++
}

func (r *Report) fail(class Class, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(class).failed++
	r.errors[string(class)+": "+reason]++
}
