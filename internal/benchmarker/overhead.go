package benchmarker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/assembler"
)

// Overhead measures the latency, CPU time and memory that a node in its own process
// adds to an engine: in one run, the same requests go through the node and directly
// to the engine. Set its fields before Run.
type Overhead struct {
	// Node and Operators are the node's addresses for callers and for operators.
	// Engine is the engine's address.
	Node      netip.AddrPort
	Operators netip.AddrPort
	Engine    netip.AddrPort
	// Rate is in requests per second, sent to each of the two targets.
	Rate   float64
	Tokens int
	Span   time.Duration
	// Streams is the number of streams held open to measure memory use.
	Streams int
	Out     io.Writer
}

// loadTarget is a destination of the load: the engine itself or the node.
type loadTarget struct {
	name       string
	address    netip.AddrPort
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	failed     int
}

// Run sends the load and prints the measurements.
func (o *Overhead) Run(ctx context.Context) error {
	targets := []*loadTarget{
		{name: "straight", address: o.Engine, firstToken: newHistogram(), total: newHistogram()},
		{name: "through the node", address: o.Node, firstToken: newHistogram(), total: newHistogram()},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	before, err := o.readUsage(ctx)
	if err != nil {
		return err
	}
	o.sendLoad(ctx, client, targets)
	after, err := o.readUsage(ctx)
	if err != nil {
		return err
	}
	for _, t := range targets {
		fmt.Fprintf(o.Out, "%-16s  first token p50 %s p95 %s p99 %s  whole p50 %s p99 %s  answered %d failed %d\n", t.name,
			formatPercentile(t.firstToken, 50), formatPercentile(t.firstToken, 95), formatPercentile(t.firstToken, 99), formatPercentile(t.total, 50), formatPercentile(t.total, 99), t.total.TotalCount(), t.failed)
	}
	tokens := float64(targets[1].total.TotalCount()) * float64(o.Tokens)
	cpu := after.cpu - before.cpu
	fmt.Fprintf(o.Out, "node: %.1f%% of a core, %.1f us per relayed token\n", 100*cpu.Seconds()/o.Span.Seconds(), float64(cpu.Microseconds())/tokens)
	return o.memory(ctx, client, after)
}

func formatPercentile(histogram *hdrhistogram.Histogram, percentile float64) string {
	return (time.Duration(histogram.ValueAtQuantile(percentile)) * time.Microsecond).String()
}

func (o *Overhead) sendLoad(ctx context.Context, client *http.Client, targets []*loadTarget) {
	rng := rand.New(rand.NewPCG(1, 1))
	var inFlight sync.WaitGroup
	started := time.Now()
	for _, at := range poisson(rng, o.Rate, o.Span) {
		select {
		case <-time.After(time.Until(started.Add(at))):
		case <-ctx.Done():
			return
		}
		for _, t := range targets {
			inFlight.Go(func() { o.send(ctx, client, t) })
		}
	}
	inFlight.Wait()
}

func (o *Overhead) openStream(ctx context.Context, client *http.Client, address netip.AddrPort, tokens int) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": "usta", "messages": []json.RawMessage{message("user", "a short prompt")}, "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+assembler.FirstTeamKey)
	return client.Do(request)
}

func (o *Overhead) send(ctx context.Context, client *http.Client, t *loadTarget) {
	started := time.Now()
	response, err := o.openStream(ctx, client, t.address, o.Tokens)
	if err != nil {
		t.recordFailure()
		return
	}
	defer response.Body.Close()
	sample, _, err := ReadAnswer(response.Body, started)
	if err != nil || response.StatusCode != http.StatusOK {
		t.recordFailure()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.firstToken.RecordValue(sample.FirstToken.Microseconds())
	_ = t.total.RecordValue(time.Since(started).Microseconds())
}

func (t *loadTarget) recordFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
}

// memory holds streams open and prints how much of the node's memory each uses. The
// streams have the engine's maximum number of tokens, so that they stay open during
// the measurement.
func (o *Overhead) memory(ctx context.Context, client *http.Client, before processUsage) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const streamTokens = 4096
	for range o.Streams {
		response, err := o.openStream(ctx, client, o.Node, streamTokens)
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			return errors.Newf("node refused a stream: %s", response.Status)
		}
		defer response.Body.Close()
		go func() { _, _ = io.Copy(io.Discard, response.Body) }()
	}
	after, err := o.readUsage(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "node: %d MB resident before, %d MB with %d open streams, %.1f KB a stream\n",
		before.memory>>20, after.memory>>20, o.Streams, float64(after.memory-before.memory)/1024/float64(max(o.Streams, 1)))
	return nil
}

// processUsage is the CPU time and the resident memory, in bytes, of a process.
type processUsage struct {
	cpu    time.Duration
	memory int64
}

func (o *Overhead) readUsage(ctx context.Context) (processUsage, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Operators.String()+"/metrics", nil)
	if err != nil {
		return processUsage{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return processUsage{}, err
	}
	defer response.Body.Close()
	var usage processUsage
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "process_cpu_seconds_total":
			usage.cpu = time.Duration(number * float64(time.Second))
		case "process_resident_memory_bytes":
			usage.memory = int64(number)
		}
	}
	return usage, scanner.Err()
}
