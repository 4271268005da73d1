package dispatcher

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

// Sentinel errors of requests with an idempotency key.
var (
	// ErrKeyReused is returned when the key was used for a different request.
	ErrKeyReused = errors.New("idempotency key was used for another request")
	// ErrOutcomeUnknown is returned when an earlier request holds the key and its
	// answer is not recorded.
	ErrOutcomeUnknown = errors.New("an earlier request with this key may have run")
)

// maxStoredAnswerBytes is the size of the largest answer body that is stored for
// replays.
const maxStoredAnswerBytes = 16 << 10

// Claims is the part of claimer.Claimer that KeyedCallRunner needs.
type Claims interface {
	Claim(ctx context.Context, key indexer.Key, digest indexer.Digest) (claimer.Decision, error)
	CheckPause(decision claimer.Decision) error
	Finish(ctx context.Context, decision claimer.Decision, answer indexer.Answer) error
	Release(ctx context.Context, decision claimer.Decision) error
}

// KeyedCallRunner runs calls at most once per idempotency key. Its fields are set
// before use.
type KeyedCallRunner struct {
	CallRunner *CallRunner
	Claims     Claims
}

// CallResult is the result of a call with an idempotency key or a ticket.
type CallResult struct {
	Response Response
	// Replayed is set if the response is a replay of an earlier request's answer.
	Replayed bool
	// Omitted is set if the body of the earlier answer was too large to store.
	Omitted bool

	decision claimer.Decision
	won      bool
	request  string
	team     string
}

// Run claims the key and, if the claim is won, sends the call once. After an
// error marked ErrNotSent the call did not run, and its key is released. After
// any other error of a won claim the key stays claimed.
func (o *KeyedCallRunner) Run(ctx context.Context, team, idempotencyKey string, call Call) (CallResult, error) {
	key := indexer.NewKey(team, idempotencyKey)
	digest := indexer.NewDigest(call.Method, call.Service.Name+call.Target, call.Body)
	decision, err := o.Claims.Claim(ctx, key, digest)
	if err != nil {
		return CallResult{}, err
	}
	o.event(call, team, recorder.KindClaim, decision)
	switch decision.State {
	case claimer.StateWon:
		return o.dispatch(ctx, team, call, decision)
	case claimer.StateDone:
		return replayedResult(decision.Answer), nil
	case claimer.StateMismatch:
		return CallResult{}, ErrKeyReused
	default:
		return CallResult{}, ErrOutcomeUnknown
	}
}

func replayedResult(answer *indexer.Answer) CallResult {
	return CallResult{
		Response: Response{Status: answer.Status, Header: answer.Header, Body: answer.Body},
		Replayed: true,
		Omitted:  answer.Omitted,
	}
}

func (o *KeyedCallRunner) dispatch(ctx context.Context, team string, call Call, decision claimer.Decision) (CallResult, error) {
	if err := o.Claims.CheckPause(decision); err != nil {
		return CallResult{}, o.release(ctx, team, call, decision, err)
	}
	call.Repeatable = false
	response, err := o.CallRunner.Run(ctx, team, call)
	if errors.Is(err, ErrNotSent) && !MayHaveRun(err) {
		return CallResult{}, o.release(ctx, team, call, decision, err)
	}
	if err != nil {
		return CallResult{}, err
	}
	return CallResult{Response: response, decision: decision, won: true, request: call.Request, team: team}, nil
}

// release releases the key of a call that was not sent. The error is marked
// ErrNotSent even if the release fails, since the call did not run; the claimer
// retries the release later.
func (o *KeyedCallRunner) release(ctx context.Context, team string, call Call, decision claimer.Decision, cause error) error {
	o.event(call, team, recorder.KindRelease, decision)
	err := o.Claims.Release(context.WithoutCancel(ctx), decision)
	return errors.Mark(errors.CombineErrors(cause, err), ErrNotSent)
}

// Finish stores the answer of a won claim for replays. It is called after the
// answer is sent to the caller, and retries until the log accepts it or ctx ends.
func (o *KeyedCallRunner) Finish(ctx context.Context, result CallResult) error {
	if !result.won {
		return nil
	}
	if err := o.Claims.Finish(ctx, result.decision, storedAnswer(result.Response)); err != nil {
		return err
	}
	o.event(Call{Request: result.request}, result.team, recorder.KindOutcome, result.decision)
	return nil
}

// storedAnswer returns the part of a response that is stored for replays.
func storedAnswer(response Response) indexer.Answer {
	answer := indexer.Answer{Status: response.Status, Header: storedHeader(response.Header), Body: response.Body}
	if len(answer.Body) > maxStoredAnswerBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	return answer
}

// storedHeader returns the part of a response header that is stored for replays.
func storedHeader(header http.Header) http.Header {
	stored := http.Header{}
	for _, name := range []string{"Content-Type", "Location"} {
		if values := header.Values(name); len(values) > 0 {
			stored[name] = values
		}
	}
	return stored
}

func (o *KeyedCallRunner) event(call Call, team string, kind recorder.Kind, decision claimer.Decision) {
	o.CallRunner.Journal.Record(o.now(), recorder.Event{
		Kind:    kind,
		Request: call.Request,
		Team:    team,
		Offset:  decision.Offset,
		Detail:  decision.State.String(),
	})
}

func (o *KeyedCallRunner) now() time.Time { return o.CallRunner.Now() }
