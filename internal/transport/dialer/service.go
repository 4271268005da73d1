package dialer

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/dispatcher"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	// maxResponseBytes is the largest response body of a plain service.
	maxResponseBytes = 16 << 20
	// maxControlBytes is the largest response body of a call of the node itself, such as a
	// report or a list of hosts.
	maxControlBytes = 4 << 20
)

var errBodyTooBig = errors.New("body of the answer is too big")

// Service is the client of plain services. It implements dispatcher.ServiceClient.
type Service struct {
	Pools *Pools
}

// Do implements dispatcher.ServiceClient. The service's timeout limits the time
// without receiving data, not the whole call. A call that is not repeatable is
// sent on a new connection: the handshake has just shown that the peer is
// reachable, and the HTTP client never retries a request on a new connection.
func (s *Service) Do(ctx context.Context, endpoint registrar.Endpoint, call dispatcher.Call) (dispatcher.Response, error) {
	ctx, ex := startExchange(ctx, call.Service.Timeout)
	defer ex.release()
	request, err := http.NewRequestWithContext(ctx, call.Method, endpointURL(endpoint.Address, call.Target), bytes.NewReader(call.Body))
	if err != nil {
		return dispatcher.Response{}, errors.Mark(err, dispatcher.ErrNotSent)
	}
	request.Header = http.Header(call.Header).Clone()
	request.Header.Set("X-Request-Id", call.Request)
	transport := s.Pools.get(endpoint.Address)
	if !call.Repeatable {
		request.GetBody = nil
		transport = s.Pools.unpooledTransport()
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return dispatcher.Response{}, s.markFailure(ex, endpoint, err)
	}
	defer response.Body.Close()
	body, err := readBody(ex, response.Body)
	if err != nil {
		return dispatcher.Response{}, s.markFailure(ex, endpoint, err)
	}
	return dispatcher.Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

func (s *Service) markFailure(ex *exchange, endpoint registrar.Endpoint, err error) error {
	return s.Pools.handleFailure(ex, endpoint.Address, errors.Wrap(err, endpoint.Name))
}

// readBody reads a body to its end and restarts the stall timer after each chunk.
func readBody(ex *exchange, body io.Reader) ([]byte, error) {
	var whole bytes.Buffer
	for {
		n, err := io.CopyN(&whole, body, 64<<10)
		if n > 0 {
			ex.restartTimer()
		}
		if errors.Is(err, io.EOF) {
			return whole.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if whole.Len() > maxResponseBytes {
			return nil, errors.Wrapf(errBodyTooBig, "limit is %d bytes", maxResponseBytes)
		}
	}
}
