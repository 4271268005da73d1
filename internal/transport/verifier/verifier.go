// Package verifier finds responses that net/http accepts as whole and that are not.
//
// A response without a length and without chunks ends with its connection, so that only an orderly end
// makes it whole. While a request is still being written, the system may report a reset to the goroutine
// that writes, and the one that reads then sees an ordinary end. A Conn joins the two again.
//
// # Usage
//
// With http.ReadResponse:
//
//	conn = &verifier.Conn{Conn: conn}
//	response, err := http.ReadResponse(bufio.NewReader(conn), request)
//
// With a client:
//
//	client := &http.Client{Transport: verifier.NewTransport(&http.Transport{DialContext: dialer.DialContext})}
package verifier

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrReset is returned by reads from a connection whose writes have failed.
var ErrReset = errors.New("connection ended while the request was being written")

// Transport is an http.Transport that verifies its responses. It is made by NewTransport.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that verifies the responses of next, whose DialContext is set. Next is
// not used otherwise any more.
func NewTransport(next *http.Transport) *Transport {
	dial := next.DialContext
	next.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	return &Transport{next}
}
