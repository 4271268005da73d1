// Package chatter decodes the requests and encodes the responses of the
// OpenAI-style chat protocol that callers use.
//
// # Usage
//
//	request, err := chatter.DecodeRequest(body)
//	line, err := chatter.EncodeToken(answer, "text")
package chatter

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks a request that can't be decoded.
var ErrMalformed = errors.New("chat request is malformed")

// MaxTokens is the maximum length of an answer that a caller may request, in
// tokens.
const MaxTokens = 4096

// Request is a caller's chat request.
type Request struct {
	Model    string
	Messages [][]byte
	// Text is the messages in the form used to count prompt tokens: each as
	// compact JSON followed by a newline.
	Text   []byte
	Stream bool
	// MaxTokens is zero if the caller did not set it.
	MaxTokens int
	// Options is the caller's whole JSON object.
	Options []byte
}

type wireRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens *int              `json:"max_tokens"`
}

// DecodeRequest decodes a chat request. It returns ErrMalformed with the reason
// for a request that is invalid.
func DecodeRequest(body []byte) (Request, error) {
	var wire wireRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return Request{}, errors.Mark(err, ErrMalformed)
	}
	if wire.Model == "" {
		return Request{}, errors.Wrap(ErrMalformed, "model is missing")
	}
	if len(wire.Messages) == 0 {
		return Request{}, errors.Wrap(ErrMalformed, "messages are missing")
	}
	request := Request{Model: wire.Model, Stream: wire.Stream, Options: body}
	if wire.MaxTokens != nil {
		request.MaxTokens = *wire.MaxTokens
		if request.MaxTokens <= 0 || request.MaxTokens > MaxTokens {
			return Request{}, errors.Wrapf(ErrMalformed, "max_tokens must be between 1 and %d", MaxTokens)
		}
	}
	return request, decodeMessages(&request, wire.Messages)
}

func decodeMessages(request *Request, messages []json.RawMessage) error {
	var text bytes.Buffer
	for i, message := range messages {
		var fields struct {
			Role string `json:"role"`
		}
		if err := json.Unmarshal(message, &fields); err != nil || fields.Role == "" {
			return errors.Wrapf(ErrMalformed, "message %d has no role", i)
		}
		start := text.Len()
		if err := json.Compact(&text, message); err != nil {
			return errors.Mark(err, ErrMalformed)
		}
		text.WriteByte('\n')
		request.Messages = append(request.Messages, bytes.Clone(text.Bytes()[start:text.Len()-1]))
	}
	request.Text = text.Bytes()
	return nil
}

// Answer is the metadata of an answer, which all its chunks repeat.
type Answer struct {
	Request string
	Model   string
	Created time.Time
}

// Usage is the usage statistics of a complete answer, in tokens.
type Usage struct {
	Prompt     int
	Completion int
	Cached     int
}

type wireChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int          `json:"index"`
	Delta        *wireMessage `json:"delta,omitempty"`
	Message      *wireMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type wireMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireUsage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	Details          wireDetails `json:"prompt_tokens_details"`
}

type wireDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// DoneEvent is the event that marks the end of a complete streamed answer.
const DoneEvent = "data: [DONE]\n\n"

const (
	assistantRole = "assistant"
	objectChunk   = "chat.completion.chunk"
	objectAnswer  = "chat.completion"
)

// EncodeToken returns one token as a server-sent event.
func EncodeToken(answer Answer, text string) ([]byte, error) {
	chunk := answer.chunk(objectChunk)
	chunk.Choices = []wireChoice{{Delta: &wireMessage{Role: assistantRole, Content: text}}}
	return encodeEvent(chunk)
}

// EncodeEnd returns the last event of an answer before DoneEvent, with the finish
// reason and the usage.
func EncodeEnd(answer Answer, reason string, usage Usage) ([]byte, error) {
	chunk := answer.chunk(objectChunk)
	chunk.Choices = []wireChoice{{Delta: &wireMessage{}, FinishReason: &reason}}
	chunk.Usage = encodeUsage(usage)
	return encodeEvent(chunk)
}

// EncodeAnswer returns a whole answer as one JSON object.
func EncodeAnswer(answer Answer, text, reason string, usage Usage) ([]byte, error) {
	response := answer.chunk(objectAnswer)
	response.Choices = []wireChoice{{Message: &wireMessage{Role: assistantRole, Content: text}, FinishReason: &reason}}
	response.Usage = encodeUsage(usage)
	return json.Marshal(response)
}

// EncodeError returns a problem document as the last event of an answer that
// failed midway.
func EncodeError(problem []byte) []byte {
	return append(append([]byte("event: error\ndata: "), problem...), "\n\n"...)
}

func (a Answer) chunk(object string) wireChunk {
	return wireChunk{ID: a.Request, Object: object, Created: a.Created.Unix(), Model: a.Model}
}

func encodeUsage(usage Usage) *wireUsage {
	return &wireUsage{
		PromptTokens:     usage.Prompt,
		CompletionTokens: usage.Completion,
		TotalTokens:      usage.Prompt + usage.Completion,
		Details:          wireDetails{CachedTokens: usage.Cached},
	}
}

func encodeEvent(chunk wireChunk) ([]byte, error) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return nil, err
	}
	return append(append([]byte("data: "), data...), "\n\n"...), nil
}
