// Package verifier finds responses that net/http accepts as whole or well formed and that are not.
//
// A response without a length and without chunks ends with its connection, so that only an orderly end
// makes it whole. While a request is still being written, the system may report a reset to the goroutine
// that writes, and the one that reads then sees an ordinary end. A Conn joins the two again.
//
// net/http also accepts status codes below 100, other major versions, and names of header fields with
// blanks. Such fields are passed over, among them ones that say how long the body is. CheckHead rejects
// the head of such a response.
//
// # Usage
//
// With http.ReadResponse:
//
//	conn = &verifier.Conn{Conn: conn}
//	response, err := http.ReadResponse(bufio.NewReader(conn), request)
//	if err == nil {
//		err = verifier.CheckHead(response)
//	}
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
	"golang.org/x/net/http/httpguts"
)

// Status codes of responses, by RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

var (
	// ErrHead marks a response whose head is none by the protocol.
	ErrHead = errors.New("head of the response is malformed")
	// ErrReset is returned by reads from a connection whose writes have failed.
	ErrReset = errors.New("connection ended while the request was being written")
)

// CheckHead returns an error marked with ErrHead if the head of a response of HTTP/1 is malformed.
func CheckHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Mark(errors.Newf("protocol %q is not supported", response.Proto), ErrHead)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Mark(errors.Newf("status %q is none", response.Status), ErrHead)
	}
	for name, values := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Mark(errors.Newf("name of a header field %q is malformed", name), ErrHead)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Mark(errors.Newf("value of the header field %q is malformed", name), ErrHead)
			}
		}
	}
	return nil
}

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

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		// The connection is not reused, since the body has not been read.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
