package listener

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/chatter"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/refuser"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

func (s *Server) chat(e *exchange) {
	// Prompts may run more than once, so an idempotency key has no effect on them.
	e.key = ""
	request, err := chatter.DecodeRequest(e.body)
	if err != nil {
		e.refuse(problem{status: http.StatusBadRequest, kind: "malformed", title: "chat request can't be read", detail: err.Error()})
		return
	}
	model, ok := e.snapshot.Model(request.Model)
	if !ok {
		e.refuse(problem{status: http.StatusNotFound, kind: "no-model", title: "there is no such model", detail: request.Model})
		return
	}
	service, _ := e.snapshot.Service(model.Service)
	e.withAdmission(service, func() { s.runPrompt(e, request, model, service) })
}

func (s *Server) runPrompt(e *exchange, request chatter.Request, model configurator.Model, service configurator.Service) {
	priority, _ := e.snapshot.Priority(e.r.Header.Get(headerPriority), service)
	prompt := dispatcher.Prompt{
		Request:        e.id,
		Team:           e.team.Name,
		Model:          model,
		Service:        service,
		Priority:       priority,
		Options:        request.Options,
		Messages:       request.Messages,
		MaxTokens:      request.MaxTokens,
		ExpectedReturn: parseExpectedReturn(e.r.Header.Get(headerReturn)),
		Text:           request.Text,
	}
	out := s.newSink(e, request, priority.Name)
	usage, err := s.PromptRunner.Run(e.r.Context(), prompt, out)
	if err != nil {
		out.fail(err)
		e.finish(priority.Name, err)
		return
	}
	s.countUsage(priority.Name, usage)
	out.end(usage)
	e.summary = fmt.Sprintf("%d prompt tokens, %d cached, %d generated", usage.Prompt, usage.Cached, usage.Completion)
	e.finish(priority.Name, nil)
}

// parseExpectedReturn parses the caller's hint on when it will send the
// conversation's next prompt. A hint that is invalid or negative is ignored.
func parseExpectedReturn(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return 0
	}
	return parsed
}

func (s *Server) countUsage(class string, usage dispatcher.Usage) {
	scope := s.Metrics.Tagged(map[string]string{"class": class})
	scope.Counter("prompt_tokens").Inc(int64(usage.Prompt))
	scope.Counter("recomputed_tokens").Inc(int64(usage.Prompt - usage.Cached))
	scope.Counter("answer_tokens").Inc(int64(usage.Completion))
}

// sink writes an answer to the caller, either streamed or in one piece.
type sink interface {
	dispatcher.Sink
	end(usage dispatcher.Usage)
	fail(err error)
}

func (s *Server) newSink(e *exchange, request chatter.Request, class string) sink {
	common := responseSink{
		exchange: e,
		class:    class,
		answer:   chatter.Answer{Request: e.id, Model: request.Model, Created: e.started},
	}
	if request.Stream {
		return &streamSink{responseSink: common}
	}
	return &bufferedSink{responseSink: common}
}

// responseSink holds what both sinks have in common.
type responseSink struct {
	*exchange
	class         string
	answer        chatter.Answer
	hasFirstToken bool
}

// recordFirstToken records the time to the first token, once a request.
func (a *responseSink) recordFirstToken() {
	if a.hasFirstToken {
		return
	}
	a.hasFirstToken = true
	took := a.server.Now().Sub(a.started)
	a.server.Metrics.Tagged(map[string]string{"class": a.class}).Timer("first_token_time").Record(took)
}

// streamSink streams the answer as server-sent events.
type streamSink struct{ responseSink }

// Token implements dispatcher.Sink.
func (s *streamSink) Token(token dispatcher.Token) error {
	if !s.hasFirstToken {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	s.recordFirstToken()
	event, err := chatter.EncodeToken(s.answer, token.Text)
	if err != nil {
		return err
	}
	return s.write(event)
}

func (s *streamSink) write(event []byte) error {
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *streamSink) end(usage dispatcher.Usage) {
	event, err := chatter.EncodeEnd(s.answer, usage.Reason, encodeUsage(usage))
	if err != nil {
		return
	}
	_ = s.write(append(event, chatter.DoneEvent...))
}

// fail ends the stream with an error event and without the [DONE] event. Before
// the first token it refuses the request instead.
func (s *streamSink) fail(err error) {
	if !s.hasFirstToken {
		s.refuseError(err)
		return
	}
	document, encodeErr := refuser.Encode(s.document(problemFromError(err)))
	if encodeErr != nil {
		return
	}
	_ = s.write(chatter.EncodeError(document))
}

// bufferedSink buffers the answer and writes it once it is complete.
type bufferedSink struct {
	responseSink
	text strings.Builder
}

// Token implements dispatcher.Sink.
func (s *bufferedSink) Token(token dispatcher.Token) error {
	s.recordFirstToken()
	s.text.WriteString(token.Text)
	return s.r.Context().Err()
}

func (s *bufferedSink) end(usage dispatcher.Usage) {
	body, err := chatter.EncodeAnswer(s.answer, s.text.String(), usage.Reason, encodeUsage(usage))
	if err != nil {
		return
	}
	s.w.Header().Set("Content-Type", "application/json")
	_, _ = s.w.Write(body)
	_, _ = io.WriteString(s.w, "\n")
}

func (s *bufferedSink) fail(err error) { s.refuseError(err) }

func encodeUsage(usage dispatcher.Usage) chatter.Usage {
	return chatter.Usage{Prompt: usage.Prompt, Completion: usage.Completion, Cached: usage.Cached}
}
