package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
)

// ticketExpiry is the time after which an issued ticket expires.
const ticketExpiry = time.Hour

// RunTicket implements messenger.Node.
func (n *Node) RunTicket(ctx context.Context, team, ticket string, call dispatcher.Call) (dispatcher.CallResult, error) {
	service, ok := n.current.Load().Service(call.Service.Name)
	if !ok {
		return dispatcher.CallResult{}, errors.Wrapf(dispatcher.ErrNotSent, "service %s is not known here", call.Service.Name)
	}
	call.Service = service
	return n.tickets.RunLocal(ctx, team, ticket, call)
}

// ForwardTicket implements dispatcher.TicketForwarder.
func (n *Node) ForwardTicket(ctx context.Context, node, team, ticket string, call dispatcher.Call) (dispatcher.CallResult, error) {
	for _, peer := range n.current.Load().Peers {
		if peer.Name == node {
			return n.ticketClient.RunTicket(ctx, peer.Address, team, ticket, call)
		}
	}
	return dispatcher.CallResult{}, errors.Wrapf(dispatcher.ErrOutcomeUnknown, "node %s, which issued the ticket, can't be reached", node)
}
