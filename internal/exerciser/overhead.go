package exerciser

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

// Overhead measures what a node in a process of its own adds to an engine: the
// same requests go through the node and straight to the engine in one run. Its
// fields are set before Run.
type Overhead struct {
	Node      netip.AddrPort
	Operators netip.AddrPort
	Engine    netip.AddrPort
	// Rate is in requests per second on each of the two ways.
	Rate   float64
	Tokens int
	Span   time.Duration
	// Streams is the number of streams held open to measure memory.
	Streams int
	Out     io.Writer
}

// way is one of the two ways of the load.
type way struct {
	name   string
	target netip.AddrPort
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	whole  *hdrhistogram.Histogram
	failed int
}

// Run measures and prints.
func (o *Overhead) Run(ctx context.Context) error {
	ways := []*way{
		{name: "straight", target: o.Engine, first: newHistogram(), whole: newHistogram()},
		{name: "through the node", target: o.Node, first: newHistogram(), whole: newHistogram()},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connsPerUse}}
	before, err := o.process(ctx)
	if err != nil {
		return err
	}
	o.drive(ctx, client, ways)
	after, err := o.process(ctx)
	if err != nil {
		return err
	}
	for _, w := range ways {
		fmt.Fprintf(o.Out, "%-16s  first token p50 %s p95 %s p99 %s  whole p50 %s p99 %s  answered %d failed %d\n", w.name,
			at(w.first, 50), at(w.first, 95), at(w.first, 99), at(w.whole, 50), at(w.whole, 99), w.whole.TotalCount(), w.failed)
	}
	tokens := float64(ways[1].whole.TotalCount()) * float64(o.Tokens)
	cpu := after.cpu - before.cpu
	fmt.Fprintf(o.Out, "node: %.1f%% of a core, %.1f us per relayed token\n", 100*cpu.Seconds()/o.Span.Seconds(), float64(cpu.Microseconds())/tokens)
	return o.memory(ctx, client, after)
}

func at(histogram *hdrhistogram.Histogram, quantile float64) string {
	return (time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond).String()
}

func (o *Overhead) drive(ctx context.Context, client *http.Client, ways []*way) {
	source := rand.New(rand.NewPCG(1, 1))
	var running sync.WaitGroup
	started := time.Now()
	for _, at := range poisson(source, o.Rate, o.Span) {
		select {
		case <-time.After(time.Until(started.Add(at))):
		case <-ctx.Done():
			return
		}
		for _, w := range ways {
			running.Go(func() { o.send(ctx, client, w) })
		}
	}
	running.Wait()
}

func (o *Overhead) open(ctx context.Context, client *http.Client, target netip.AddrPort, tokens int) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": "usta", "messages": []json.RawMessage{message("user", "a short prompt")}, "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+assembler.TeamKey)
	return client.Do(request)
}

func (o *Overhead) send(ctx context.Context, client *http.Client, w *way) {
	started := time.Now()
	response, err := o.open(ctx, client, w.target, o.Tokens)
	if err != nil {
		w.fail()
		return
	}
	defer response.Body.Close()
	got, _, err := ReadAnswer(response.Body, started)
	if err != nil || response.StatusCode != http.StatusOK {
		w.fail()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.first.RecordValue(got.First.Microseconds())
	_ = w.whole.RecordValue(time.Since(started).Microseconds())
}

func (w *way) fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed++
}

// memory holds streams open and prints what each takes of the node's memory.
func (o *Overhead) memory(ctx context.Context, client *http.Client, before processUse) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const manyTokens = 4096
	for range o.Streams {
		response, err := o.open(ctx, client, o.Node, manyTokens)
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			return errors.Newf("a stream was refused: %s", response.Status)
		}
		defer response.Body.Close()
		go func() { _, _ = io.Copy(io.Discard, response.Body) }()
	}
	after, err := o.process(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "node: %d MB resident before, %d MB with %d open streams, %.1f KB a stream\n",
		before.memory>>20, after.memory>>20, o.Streams, float64(after.memory-before.memory)/1024/float64(max(o.Streams, 1)))
	return nil
}

// processUse is a process's use of the machine.
type processUse struct {
	cpu    time.Duration
	memory int64
}

func (o *Overhead) process(ctx context.Context) (processUse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Operators.String()+"/metrics", nil)
	if err != nil {
		return processUse{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return processUse{}, err
	}
	defer response.Body.Close()
	var use processUse
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "process_cpu_seconds_total":
			use.cpu = time.Duration(number * float64(time.Second))
		case "process_resident_memory_bytes":
			use.memory = int64(number)
		}
	}
	return use, scanner.Err()
}
