// Package demonstrator demonstrates the system on stand-ins in the same process: it
// publishes a configuration, sends prompts again after their cache blocks have been
// evicted, sends an order twice under one idempotency key, and prints the results.
//
// # Usage
//
//	demo := &demonstrator.Demo{Out: os.Stdout}
//	err := demo.Run(ctx)
package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/benchmarker"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/renderer"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/assembler"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/generator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

const (
	conversations = 6
	rounds        = 3
	// documentBlocks is the length of the document of each conversation, in cache
	// blocks.
	documentBlocks = 6
	readyTimeout   = 15 * time.Second
	timelineEvents = 24
)

// Demo is the demonstration. Set its exported fields before Run.
type Demo struct {
	Out io.Writer
	// HTML receives the timeline as an HTML page; nil for none.
	HTML io.Writer
	// KeepRunning keeps the site running after the demonstration until ctx ends.
	KeepRunning bool

	site    *assembler.Site
	node    *assembler.RunningNode
	baseURL string
}

// Run runs the demonstration. It returns an error if an answer is wrong or if the
// order is not executed exactly once.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.site.Close()
	if err := d.runConversations(ctx); err != nil {
		return err
	}
	if err := d.orderTwice(ctx); err != nil {
		return err
	}
	if err := d.printTimeline(ctx); err != nil {
		return err
	}
	if d.KeepRunning {
		fmt.Fprintf(d.Out, "\nThe site is running; callers at %s with the key %q. Stop it with Ctrl-C.\n", d.baseURL, assembler.FirstTeamKey)
		<-ctx.Done()
	}
	return nil
}

func (d *Demo) start(ctx context.Context) error {
	site, err := assembler.Start(assembler.Plan{
		Domains:       []string{"kadikoy"},
		Engines:       3,
		Workers:       2,
		Stores:        2,
		StoreBytes:    64 << 20,
		StoreLinkRate: 64 << 20,
		Ceiling:       1000,
		Engine:        assembler.EnginePlan{CacheBlocks: 8, PrefillRate: 20000, TokenInterval: 5 * time.Millisecond},
	})
	if err != nil {
		return err
	}
	d.site = site
	if err := site.Publish(ctx, "w1"); err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "Configuration published to the log; starting a node before 3 engines, 2 order workers and 2 store hosts.")
	settings := site.Settings("kadikoy-1", "kadikoy")
	d.baseURL = "http://" + settings.Callers.String()
	d.node = site.StartNode(settings)
	return d.awaitReady(ctx)
}

func (d *Demo) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if d.node.Ready(3) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return errors.New("node did not load the configuration and the engines' reports before the timeout")
}

func (d *Demo) runConversations(ctx context.Context) error {
	fmt.Fprintf(d.Out, "\n%d conversations of %d blocks each take turns; an engine's memory holds 8 blocks, so each has been evicted when it returns.\n", conversations, documentBlocks)
	fmt.Fprintln(d.Out, "round  first token (mean)  prompt tokens  recomputed")
	for round := range rounds {
		var firstToken time.Duration
		prompt, computed := 0, 0
		for conversation := range conversations {
			sample, err := d.prompt(ctx, conversation, round)
			if err != nil {
				return err
			}
			firstToken += sample.FirstToken
			prompt += sample.Prompt
			computed += sample.Computed
		}
		fmt.Fprintf(d.Out, "%5d  %18s  %13d  %9.0f%%\n", round+1,
			(firstToken / conversations).Round(100*time.Microsecond), prompt, 100*float64(computed)/float64(prompt))
	}
	return nil
}

// document returns the text that a conversation starts with.
func document(conversation int) string {
	line := fmt.Sprintf("Condition of enamel sign %d: chipped rim, rust at the lower hole. ", conversation)
	size := documentBlocks * generator.BlockTokens * generator.TokenBytes
	return strings.Repeat(line, size/len(line)+1)
}

func (d *Demo) prompt(ctx context.Context, conversation, round int) (benchmarker.Sample, error) {
	messages := []json.RawMessage{message("system", document(conversation))}
	for turn := range round + 1 {
		messages = append(messages, message("user", fmt.Sprintf("Question %d: is the enamel original?", turn)))
	}
	const tokens = 8
	body, err := json.Marshal(map[string]any{"model": "usta", "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return benchmarker.Sample{}, err
	}
	started := time.Now()
	response, err := d.send(ctx, http.MethodPost, "/v1/chat/completions", body, "")
	if err != nil {
		return benchmarker.Sample{}, err
	}
	defer response.Body.Close()
	sample, text, err := benchmarker.ReadAnswer(response.Body, started)
	if err != nil {
		return benchmarker.Sample{}, err
	}
	if text != generator.Answer(generator.Prompt(messages), tokens) {
		return benchmarker.Sample{}, errors.Newf("conversation %d: answer differs from the engine's answer to the prompt", conversation)
	}
	return sample, nil
}

func message(role, content string) json.RawMessage {
	encoded, _ := json.Marshal(map[string]string{"role": role, "content": content})
	return encoded
}

func (d *Demo) send(ctx context.Context, method, path string, body []byte, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, d.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+assembler.FirstTeamKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(request)
}

// orderTwice sends an order twice under one idempotency key and verifies that it is
// executed once and that both requests get the same answer.
func (d *Demo) orderTwice(ctx context.Context) error {
	fmt.Fprintln(d.Out, "\nAn order and its repeat under the same idempotency key:")
	var answers []string
	for range 2 {
		answer, err := d.sendOrder(ctx)
		if err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	if answers[0] != answers[1] {
		return errors.New("the replayed answer is not the original one")
	}
	executions := 0
	for _, worker := range d.site.Workers {
		executions += worker.Executions()["sign-17"]
	}
	fmt.Fprintf(d.Out, "the order ran %d time(s)\n", executions)
	if executions != 1 {
		return errors.New("the order did not run exactly once")
	}
	return nil
}

func (d *Demo) sendOrder(ctx context.Context) (string, error) {
	response, err := d.send(ctx, http.MethodPost, "/v1/services/"+assembler.PlainService+"/orders", []byte(`{"order":"sign-17"}`), "order-sign-17")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	// The node records the answer only after it has sent it. Wait, so that the second
	// request finds the record.
	d.node.WaitRecorded()
	fmt.Fprintf(d.Out, "  %s  replayed=%q  %s", response.Status, response.Header.Get("Idempotent-Replayed"), body)
	return string(body), nil
}

func (d *Demo) printTimeline(ctx context.Context) error {
	events := d.node.MergedEvents(ctx, recorder.Filter{})
	fmt.Fprintf(d.Out, "\nThe last %d of %d events of the time line:\n", min(timelineEvents, len(events)), len(events))
	if d.HTML != nil {
		if err := renderer.HTML(d.HTML, events); err != nil {
			return err
		}
	}
	return renderer.Text(d.Out, events[max(len(events)-timelineEvents, 0):])
}
