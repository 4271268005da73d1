package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

// Sentinel errors of requests with an idempotency key or a ticket.
var (
	// ErrKeyReused is returned when the key was used for a different request.
	ErrKeyReused = errors.New("idempotency key was used for another request")
	// ErrOutcomeUnknown is returned when a request may already have run under the
	// key or ticket and its answer is not available.
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

	decision  claimer.Decision
	won       bool
	requestID string
	team      string
}

// Run claims the key and, if the claim is won, runs the call at most once.
// After an error marked ErrNotSent the call did not run, and its key is
// released. After any other error of a won claim the key stays claimed.
func (k *KeyedCallRunner) Run(ctx context.Context, team, idempotencyKey string, call Call) (CallResult, error) {
	key := indexer.NewKey(team, idempotencyKey)
	digest := indexer.NewDigest(call.Method, call.Service.Name+call.Target, call.Body)
	decision, err := k.Claims.Claim(ctx, key, digest)
	if err != nil {
		return CallResult{}, err
	}
	k.recordEvent(call, team, recorder.KindClaim, decision)
	switch decision.State {
	case claimer.StateWon:
		return k.dispatch(ctx, team, call, decision)
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

func (k *KeyedCallRunner) dispatch(ctx context.Context, team string, call Call, decision claimer.Decision) (CallResult, error) {
	// The process may have been suspended since the claim, too long to still send
	// the call.
	if err := k.Claims.CheckPause(decision); err != nil {
		return CallResult{}, k.release(ctx, team, call, decision, err)
	}
	call.Repeatable = false
	response, err := k.CallRunner.Run(ctx, team, call)
	if errors.Is(err, ErrNotSent) && !MayHaveRun(err) {
		return CallResult{}, k.release(ctx, team, call, decision, err)
	}
	if err != nil {
		return CallResult{}, err
	}
	return CallResult{Response: response, decision: decision, won: true, requestID: call.Request, team: team}, nil
}

// release releases the key of a call that was not sent. The error is marked
// ErrNotSent even if the release fails, since the call did not run; the claimer
// retries the release later.
func (k *KeyedCallRunner) release(ctx context.Context, team string, call Call, decision claimer.Decision, cause error) error {
	k.recordEvent(call, team, recorder.KindRelease, decision)
	err := k.Claims.Release(context.WithoutCancel(ctx), decision)
	return errors.Mark(errors.CombineErrors(cause, err), ErrNotSent)
}

// Finish appends the answer of a won claim to the log, for replays. It does not
// retry: the caller of Finish calls it again after an error.
func (k *KeyedCallRunner) Finish(ctx context.Context, result CallResult) error {
	if !result.won {
		return nil
	}
	if err := k.Claims.Finish(ctx, result.decision, storedAnswer(result.Response)); err != nil {
		return err
	}
	k.recordEvent(Call{Request: result.requestID}, result.team, recorder.KindOutcome, result.decision)
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
func storedHeader(header map[string][]string) map[string][]string {
	stored := map[string][]string{}
	for _, name := range []string{"Content-Type", "Location"} {
		if values := header[name]; len(values) > 0 {
			stored[name] = values
		}
	}
	return stored
}

func (k *KeyedCallRunner) recordEvent(call Call, team string, kind recorder.Kind, decision claimer.Decision) {
	k.CallRunner.Journal.Record(k.now(), recorder.Event{
		Kind:    kind,
		Request: call.Request,
		Team:    team,
		Offset:  decision.Offset,
		Detail:  decision.State.String(),
	})
}

func (k *KeyedCallRunner) now() time.Time { return k.CallRunner.Now() }
