package messenger

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// RunTicket implements wire.Peer.
func (s *server) RunTicket(ctx context.Context, request *wire.RunTicketRequest) (*wire.RunTicketReply, error) {
	call := dispatcher.Call{
		Request: request.Request,
		Service: configurator.Service{Name: request.Service},
		Method:  request.Method,
		Target:  request.Target,
		Header:  decodeHeader(request.Headers),
		Body:    request.Body,
	}
	// The call runs to its end even if the forwarding node disconnects.
	result, err := s.node.RunTicket(context.WithoutCancel(ctx), request.Team, request.Ticket, call)
	if err != nil {
		return &wire.RunTicketReply{Result: ticketResult(err), Detail: err.Error()}, nil
	}
	return &wire.RunTicketReply{
		Result:         wire.TicketResult_TICKET_RESULT_ANSWERED,
		Status:         uint32(result.Response.Status),
		Headers:        encodeHeader(result.Response.Header),
		Body:           result.Response.Body,
		RepeatedAnswer: result.Replayed,
		Omitted:        result.Omitted,
	}, nil
}

func ticketResult(err error) wire.TicketResult {
	switch {
	case errors.Is(err, dispatcher.ErrNotSent):
		return wire.TicketResult_TICKET_RESULT_NOT_SENT
	case errors.Is(err, dispatcher.ErrTicketRejected):
		return wire.TicketResult_TICKET_RESULT_REFUSED
	default:
		return wire.TicketResult_TICKET_RESULT_UNKNOWN
	}
}

// RunTicket forwards a call to the peer that issued its ticket, which runs it. Its
// errors are marked dispatcher.ErrNotSent, ErrTicketRejected or ErrOutcomeUnknown.
func (c *Client) RunTicket(ctx context.Context, address netip.AddrPort, team, ticket string, call dispatcher.Call) (dispatcher.CallResult, error) {
	request := &wire.RunTicketRequest{
		Team:    team,
		Ticket:  ticket,
		Request: call.Request,
		Service: call.Service.Name,
		Method:  call.Method,
		Target:  call.Target,
		Headers: encodeHeader(call.Header),
		Body:    call.Body,
	}
	reply, err := c.peer(address).RunTicket(ctx, request)
	if err != nil {
		return dispatcher.CallResult{}, errors.Mark(errors.Wrapf(err, "ticket at %s", address), dispatcher.ErrOutcomeUnknown)
	}
	switch reply.Result {
	case wire.TicketResult_TICKET_RESULT_ANSWERED:
		return dispatcher.CallResult{
			Response: dispatcher.Response{Status: int(reply.Status), Header: decodeHeader(reply.Headers), Body: reply.Body},
			Replayed: reply.RepeatedAnswer,
			Omitted:  reply.Omitted,
		}, nil
	case wire.TicketResult_TICKET_RESULT_NOT_SENT:
		return dispatcher.CallResult{}, errors.Wrap(dispatcher.ErrNotSent, reply.Detail)
	case wire.TicketResult_TICKET_RESULT_REFUSED:
		return dispatcher.CallResult{}, errors.Wrap(dispatcher.ErrTicketRejected, reply.Detail)
	default:
		return dispatcher.CallResult{}, errors.Wrap(dispatcher.ErrOutcomeUnknown, reply.Detail)
	}
}

func encodeHeader(header http.Header) []*wire.Header {
	var encoded []*wire.Header
	for name, values := range header {
		encoded = append(encoded, &wire.Header{Name: name, Values: values})
	}
	return encoded
}

func decodeHeader(encoded []*wire.Header) http.Header {
	header := http.Header{}
	for _, h := range encoded {
		header[http.CanonicalHeaderKey(h.Name)] = h.Values
	}
	return header
}
