package dispatcher

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ticketer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// ErrTicket is returned for a ticket that can't be redeemed because it is forged
// or was redeemed for a different request.
var ErrTicket = errors.New("ticket can't be redeemed for this request")

// TicketForwarder forwards a call to the node that issued its ticket. Its errors
// are marked ErrNotSent, ErrOutcomeUnknown or ErrTicket.
type TicketForwarder interface {
	ForwardTicket(ctx context.Context, node, team, ticket string, call Call) (OrderResult, error)
}

// Tickets runs calls at most once per ticket. Its fields are set before use.
type Tickets struct {
	Calls    *Calls
	Ticketer *ticketer.Ticketer
	Forward  TicketForwarder
}

// Issue returns a new ticket for a team.
func (t *Tickets) Issue(team string) (string, error) { return t.Ticketer.Issue(team) }

// Run redeems a ticket for a call, on the node that issued it.
func (t *Tickets) Run(ctx context.Context, team, ticket string, call Call) (OrderResult, error) {
	node, err := t.Ticketer.Issuer(ticket, team)
	if errors.Is(err, ticketer.ErrOtherProcess) && node != t.Ticketer.Node {
		return t.Forward.ForwardTicket(ctx, node, team, ticket, call)
	}
	return t.RunHere(ctx, team, ticket, call)
}

// RunHere redeems a ticket on this node without forwarding the call.
func (t *Tickets) RunHere(ctx context.Context, team, ticket string, call Call) (OrderResult, error) {
	digest := indexer.NewDigest(call.Method, call.Service.Name+call.Target, call.Body)
	redemption, err := t.Ticketer.Redeem(ticket, team, digest)
	switch {
	case errors.Is(err, ticketer.ErrForged):
		return OrderResult{}, errors.Mark(err, ErrTicket)
	case err != nil:
		// The issuing process has ended or the ticket has expired, so the ticket
		// can't be redeemed any more. Whether a request ran under it is unknown.
		return OrderResult{}, errors.Mark(err, ErrOutcomeUnknown)
	}
	switch redemption.State {
	case ticketer.StateWon:
		return t.dispatch(ctx, team, ticket, call)
	case ticketer.StateDone:
		return replayedResult(redemption.Answer), nil
	case ticketer.StateMismatch:
		return OrderResult{}, ErrTicket
	default:
		return OrderResult{}, ErrOutcomeUnknown
	}
}

func (t *Tickets) dispatch(ctx context.Context, team, ticket string, call Call) (OrderResult, error) {
	call.Repeatable = false
	response, err := t.Calls.Run(ctx, team, call)
	if errors.Is(err, ErrNotSent) && !MayHaveRun(err) {
		t.Ticketer.Release(ticket)
		return OrderResult{}, err
	}
	if err != nil {
		return OrderResult{}, err
	}
	t.Ticketer.Finish(ticket, storedAnswer(response))
	return OrderResult{Response: response}, nil
}
