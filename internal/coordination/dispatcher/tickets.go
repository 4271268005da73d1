package dispatcher

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ticketer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// ErrTicketRejected is returned for a ticket that can't be redeemed because it
// is forged or was redeemed for a different request.
var ErrTicketRejected = errors.New("ticket can't be redeemed for this request")

// TicketForwarder forwards a call to the node that issued its ticket. Its errors
// are marked ErrNotSent, ErrOutcomeUnknown or ErrTicketRejected.
type TicketForwarder interface {
	ForwardTicket(ctx context.Context, node, team, ticket string, call Call) (CallResult, error)
}

// TicketCallRunner runs calls at most once per ticket. Its fields are set
// before use.
type TicketCallRunner struct {
	CallRunner    *CallRunner
	Ticketer      *ticketer.Ticketer
	PeerForwarder TicketForwarder
}

// Issue returns a new ticket for a team.
func (t *TicketCallRunner) Issue(team string) (string, error) { return t.Ticketer.Issue(team) }

// Run redeems a ticket for a call, on the node that issued it.
func (t *TicketCallRunner) Run(ctx context.Context, team, ticket string, call Call) (CallResult, error) {
	node, err := t.Ticketer.Issuer(ticket, team)
	if errors.Is(err, ticketer.ErrOtherProcess) && node != t.Ticketer.Node {
		return t.PeerForwarder.ForwardTicket(ctx, node, team, ticket, call)
	}
	return t.RunLocal(ctx, team, ticket, call)
}

// RunLocal redeems a ticket on this node without forwarding the call.
func (t *TicketCallRunner) RunLocal(ctx context.Context, team, ticket string, call Call) (CallResult, error) {
	digest := indexer.NewDigest(call.Method, call.Service.Name+call.Target, call.Body)
	redemption, err := t.Ticketer.Redeem(ticket, team, digest)
	switch {
	case errors.Is(err, ticketer.ErrForged):
		return CallResult{}, errors.Mark(err, ErrTicketRejected)
	case err != nil:
		// The issuing process has ended or the ticket has expired, so the ticket
		// can't be redeemed any more. Whether a request ran under it is unknown.
		return CallResult{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	switch redemption.State {
	case ticketer.StateWon:
		return t.dispatch(ctx, team, ticket, call)
	case ticketer.StateDone:
		return replayedResult(redemption.Answer), nil
	case ticketer.StateMismatch:
		return CallResult{}, ErrTicketRejected
	default:
		return CallResult{}, ErrOutcomeUnknown
	}
}

func (t *TicketCallRunner) dispatch(ctx context.Context, team, ticket string, call Call) (CallResult, error) {
	call.Repeatable = false
	response, err := t.CallRunner.Run(ctx, team, call)
	if errors.Is(err, ErrNotSent) && !MayHaveRun(err) {
		t.Ticketer.Release(ticket)
		return CallResult{}, err
	}
	if err != nil {
		return CallResult{}, err
	}
	t.Ticketer.Finish(ticket, storedAnswer(response))
	return CallResult{Response: response}, nil
}
