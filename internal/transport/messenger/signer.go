package messenger

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	codeHeader  = "X-Peer-Code"
	nonceHeader = "X-Peer-Nonce"

	nonceBytes = 16
	// maxBodyBytes is the largest body of a request or reply between nodes.
	maxBodyBytes = 16 << 20
)

// ErrNotAuthentic is returned for a reply whose authentication code does not
// match its content and the shared key. A reply over maxBodyBytes is cut off
// and never matches.
var ErrNotAuthentic = errors.New("reply of peer is not authentic")

// authenticationCode returns the HMAC of a request or a reply. The nonce binds
// a reply to its request, and the direction prevents a request's code from
// being accepted for a reply or the reverse. Nonces are not remembered, so a
// recorded request can be sent again.
func authenticationCode(key []byte, direction, path, nonce string, body []byte) string {
	mac := hmac.New(sha256.New, key)
	for _, part := range []string{direction, path, nonce} {
		sum := sha256.Sum256([]byte(part))
		mac.Write(sum[:])
	}
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

const (
	directionRequest = "request"
	directionReply   = "reply"
)

// signer is a round tripper that signs requests and verifies replies.
type signer struct {
	key  []byte
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s *signer) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, nonceBytes)
	_, _ = rand.Read(raw)
	nonce := hex.EncodeToString(raw)
	signed := request.Clone(request.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.Header.Set(nonceHeader, nonce)
	signed.Header.Set(codeHeader, authenticationCode(s.key, directionRequest, request.URL.Path, nonce, body))
	response, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	return s.verifyReply(response, request.URL.Path, nonce)
}

func (s *signer) verifyReply(response *http.Response, path, nonce string) (*http.Response, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	expected := authenticationCode(s.key, directionReply, path, nonce, body)
	if !hmac.Equal([]byte(expected), []byte(response.Header.Get(codeHeader))) {
		return nil, ErrNotAuthentic
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// authenticate wraps a handler: it rejects requests without a valid code and signs
// the replies.
func authenticate(key []byte, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "request can't be read", http.StatusBadRequest)
			return
		}
		nonce := r.Header.Get(nonceHeader)
		expected := authenticationCode(key, directionRequest, r.URL.Path, nonce, body)
		if !hmac.Equal([]byte(expected), []byte(r.Header.Get(codeHeader))) {
			http.Error(w, "request is not authentic", http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		reply := &bufferedReply{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(reply, r)
		w.Header().Set(codeHeader, authenticationCode(key, directionReply, r.URL.Path, nonce, reply.body.Bytes()))
		w.WriteHeader(reply.status)
		_, _ = w.Write(reply.body.Bytes())
	})
}

// bufferedReply buffers a reply, because its code precedes it in a header.
type bufferedReply struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// Write implements http.ResponseWriter.
func (b *bufferedReply) Write(p []byte) (int, error) { return b.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedReply) WriteHeader(status int) { b.status = status }
