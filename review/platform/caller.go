//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// requestTokens is the number of tokens of a request's own part, and answerTokens that of its answer.
const (
	requestTokens = 2870
	answerTokens  = 64
)

var requestCount atomic.Int64

// document is a shared part of prompts.
type document struct {
	id     string
	tokens int
}

// ask sends a prompt about a document to a node with the key of a team, and returns the status of
// the answer; 0 if it is incomplete.
func (s *site) ask(n *node, key string, d document) int {
	count := requestCount.Add(1)
	id := fmt.Sprintf("%016x", count)
	url := fmt.Sprintf("http://%s:%d/kafi500/%s", n.ip, s.callerPort, id)
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, 1000)))
	if err != nil {
		panic(err)
	}
	r.Host = "nylo40.example"
	r.Header = http.Header{
		"Attempt-Id": {id}, "Model": {model}, "Token-Count": {fmt.Sprintf("%d,%d", d.tokens+requestTokens, answerTokens)},
		"Prompt-Prefix": {fmt.Sprintf("%s:%d,%s:%d", d.id, d.tokens, "f"+id, requestTokens)}, "Deadline-Ms": {"15000"}, "Credential": {key},
	}
	s.record.note("request %s with key %s for document %s to %s", id, key, d.id, n.name)
	began := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		s.record.note("request %s fails: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		s.record.note("request %s is answered %d, incomplete: %v", id, response.StatusCode, err)
		return 0
	}
	s.record.note("request %s is answered %d after %d ms", id, response.StatusCode, time.Since(began).Milliseconds())
	return response.StatusCode
}
