package dialer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/hinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// Engine is the client of model engines. It implements dispatcher.Engine.
type Engine struct {
	Pools *Pools
}

const (
	eventPrefix = "data: "
	doneEvent   = "[DONE]"
	// maxLineBytes is the longest line of an engine's stream.
	maxLineBytes = 1 << 20
)

type wireChunk struct {
	Index   int    `json:"index"`
	Weights string `json:"weights"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		CachedTokens     int `json:"cached_tokens"`
	} `json:"usage"`
}

// Complete implements dispatcher.Engine.
func (e *Engine) Complete(ctx context.Context, endpoint registrar.Endpoint, completion dispatcher.Completion) (dispatcher.TokenStream, error) {
	body, err := encodeCompletion(completion)
	if err != nil {
		return nil, errors.Mark(err, dispatcher.ErrNotSent)
	}
	ctx, ex := startExchange(ctx, completion.StallTimeout)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpointURL(endpoint.Address, "/v1/chat/completions"), bytes.NewReader(body))
	if err != nil {
		ex.release()
		return nil, errors.Mark(err, dispatcher.ErrNotSent)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", completion.Request)
	response, err := e.Pools.get(endpoint.Address).RoundTrip(request)
	if err != nil {
		return nil, e.fail(ex, endpoint, err)
	}
	if response.StatusCode != http.StatusOK {
		drainBody(response.Body)
		ex.release()
		return nil, errors.Wrapf(dispatcher.ErrRefused, "%s answered %s", endpoint.Name, response.Status)
	}
	ex.restartTimer()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxLineBytes)
	return &stream{engine: e, endpoint: endpoint, exchange: ex, body: response.Body, scanner: scanner}, nil
}

func (e *Engine) fail(ex *exchange, endpoint registrar.Endpoint, err error) error {
	defer ex.release()
	return e.Pools.handleFailure(ex, endpoint.Address, errors.Wrap(err, endpoint.Name))
}

// encodeCompletion encodes the caller's options together with the members that
// the relay sets. The latter take precedence.
func encodeCompletion(completion dispatcher.Completion) ([]byte, error) {
	members := map[string]any{}
	if len(completion.Options) > 0 {
		options := map[string]json.RawMessage{}
		if err := json.Unmarshal(completion.Options, &options); err != nil {
			return nil, errors.Wrap(err, "options")
		}
		for name, value := range options {
			members[name] = value
		}
	}
	messages := make([]json.RawMessage, 0, len(completion.Messages))
	for _, message := range completion.Messages {
		messages = append(messages, message)
	}
	members["model"] = completion.Model
	members["messages"] = messages
	members["stream"] = true
	members["priority"] = completion.Priority
	members["weights"] = completion.Weights
	members["cache_blocks"] = completion.Blocks
	if completion.MaxTokens > 0 {
		members["max_tokens"] = completion.MaxTokens
	}
	if len(completion.Delivered) > 0 {
		members["resume"] = completion.Delivered
	}
	return encodeUnescaped(members)
}

// encodeUnescaped encodes JSON without HTML escapes. An engine must receive the
// caller's messages byte for byte, because fingerprints and token counts have
// been computed from those bytes.
func encodeUnescaped(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// stream implements dispatcher.TokenStream on a server-sent event stream.
type stream struct {
	engine   *Engine
	endpoint registrar.Endpoint
	exchange *exchange
	body     io.ReadCloser
	scanner  *bufio.Scanner
	usage    dispatcher.Usage
	hasUsage bool
}

// Next implements dispatcher.TokenStream.
func (s *stream) Next() (dispatcher.Token, error) {
	for s.scanner.Scan() {
		s.exchange.restartTimer()
		data, ok := strings.CutPrefix(s.scanner.Text(), eventPrefix)
		if !ok {
			continue
		}
		if data == doneEvent {
			return dispatcher.Token{}, s.end()
		}
		token, isToken, err := s.decode(data)
		if err != nil {
			return dispatcher.Token{}, err
		}
		if isToken {
			return token, nil
		}
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return dispatcher.Token{}, s.engine.fail(s.exchange, s.endpoint, err)
}

func (s *stream) end() error {
	if !s.hasUsage {
		return errors.Wrapf(dispatcher.ErrBroken, "%s ended without usage", s.endpoint.Name)
	}
	return io.EOF
}

func (s *stream) decode(data string) (dispatcher.Token, bool, error) {
	var chunk wireChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return dispatcher.Token{}, false, errors.Mark(errors.Wrap(err, s.endpoint.Name), dispatcher.ErrBroken)
	}
	if chunk.Usage != nil {
		s.hasUsage = true
		s.usage = dispatcher.Usage{
			Prompt:     chunk.Usage.PromptTokens,
			Completion: chunk.Usage.CompletionTokens,
			Cached:     chunk.Usage.CachedTokens,
		}
	}
	if len(chunk.Choices) == 0 {
		return dispatcher.Token{}, false, nil
	}
	if reason := chunk.Choices[0].FinishReason; reason != nil {
		s.usage.Reason = *reason
	}
	text := chunk.Choices[0].Delta.Content
	return dispatcher.Token{Index: chunk.Index, Text: text, Weights: chunk.Weights}, text != "", nil
}

// Usage implements dispatcher.TokenStream.
func (s *stream) Usage() dispatcher.Usage { return s.usage }

// Close implements dispatcher.TokenStream. Closing before the end of the stream
// cancels the completion on the engine.
func (s *stream) Close() {
	s.exchange.release()
	_ = s.body.Close()
}

type wireLoad struct {
	Weights      string  `json:"weights"`
	Running      int     `json:"running"`
	QueuedTokens int     `json:"queued_tokens"`
	Watts        float64 `json:"watts"`
	PrefillRate  float64 `json:"prefill_rate"`
	Loading      bool    `json:"loading"`
	// Leaving is set by an endpoint that accepts no new requests.
	Leaving bool `json:"leaving"`
}

// Load fetches an engine's load report.
func (e *Engine) Load(ctx context.Context, address netip.AddrPort, timeout time.Duration) (registrar.Report, error) {
	var load wireLoad
	if _, err := sendJSON(ctx, e.Pools, timeout, address, http.MethodGet, "/v1/load", nil, &load); err != nil {
		return registrar.Report{}, err
	}
	return registrar.Report{
		Version:      load.Weights,
		Running:      load.Running,
		QueuedTokens: load.QueuedTokens,
		Watts:        load.Watts,
		PrefillRate:  load.PrefillRate,
		Loading:      load.Loading,
		Leaving:      load.Leaving,
	}, nil
}

type wireEvents struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Type     string `json:"type"`
		Block    string `json:"block"`
	} `json:"events"`
}

// Events fetches an engine's cache events, starting at a sequence number.
func (e *Engine) Events(ctx context.Context, address netip.AddrPort, from uint64, timeout time.Duration) ([]hinter.Event, error) {
	var wire wireEvents
	target := fmt.Sprintf("/v1/cache/events?from=%d", from)
	if _, err := sendJSON(ctx, e.Pools, timeout, address, http.MethodGet, target, nil, &wire); err != nil {
		return nil, err
	}
	events := make([]hinter.Event, 0, len(wire.Events))
	for _, event := range wire.Events {
		events = append(events, hinter.Event{
			Sequence: event.Sequence,
			Type:     hinter.EventType(event.Type),
			Block:    fingerprinter.Block(event.Block),
		})
	}
	return events, nil
}

// Order tells an engine which weights to load. The fencing token is the offset of
// the configuration that the order is based on. An engine that checks it rejects
// an older token, and Order then returns ErrRefused.
func (e *Engine) Order(ctx context.Context, address netip.AddrPort, fencingToken uint64, weights string, timeout time.Duration) error {
	order := struct {
		Fence   uint64 `json:"fence"`
		Weights string `json:"weights"`
	}{fencingToken, weights}
	status, err := sendJSON(ctx, e.Pools, timeout, address, http.MethodPost, "/v1/orders", order, nil)
	if status == http.StatusConflict {
		return errors.Mark(err, dispatcher.ErrRefused)
	}
	return err
}

func endpointURL(address netip.AddrPort, target string) string {
	return "http://" + address.String() + target
}
