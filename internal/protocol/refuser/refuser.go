// Package refuser writes refusals as problem documents (RFC 9457) with an added
// member that tells whether the request ran.
//
// # Usage
//
//	refuser.Write(w, refuser.Problem{
//		Status: http.StatusServiceUnavailable,
//		Title:  "no endpoint is available",
//		Run:    refuser.NotRun,
//		Retry:  2 * time.Second,
//	})
package refuser

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Run tells whether a refused request ran.
type Run string

// The values of Run.
const (
	// NotRun means that neither this request nor an earlier one with the same
	// idempotency key reached an endpoint.
	NotRun Run = "not-run"
	// Unknown means that the request may have run.
	Unknown Run = "unknown"
	// Done means that an earlier request with the same key ran to its end.
	Done Run = "done"
)

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// Problem is one refusal.
type Problem struct {
	// Type is a short stable word that programs can test; it becomes a URN.
	Type   string
	Status int
	Title  string
	Detail string
	// Request is the identifier under which the time line shows the request.
	Request string
	Run     Run
	// Sent reports whether any byte of this very request may have left for
	// an endpoint.
	Sent bool
	// Retry is the time after which a new try is sensible; zero for never.
	Retry time.Duration
}

type wireProblem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Request    string `json:"request,omitempty"`
	Run        string `json:"run"`
	Sent       bool   `json:"sent"`
	RetryAfter int    `json:"retry_after,omitempty"`
}

// Encode returns the problem as JSON.
func Encode(problem Problem) ([]byte, error) {
	return json.Marshal(wireProblem{
		Type:       "urn:lacewingrelay:" + problem.Type,
		Title:      problem.Title,
		Status:     problem.Status,
		Detail:     problem.Detail,
		Request:    problem.Request,
		Run:        string(problem.Run),
		Sent:       problem.Sent,
		RetryAfter: retrySeconds(problem.Retry),
	})
}

// Write sends the problem as the whole answer.
func Write(w http.ResponseWriter, problem Problem) {
	body, err := Encode(problem)
	if err != nil {
		http.Error(w, problem.Title, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	if problem.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(problem.Retry)))
	}
	w.WriteHeader(problem.Status)
	_, _ = w.Write(body)
}

func retrySeconds(retry time.Duration) int {
	return int(math.Ceil(retry.Seconds()))
}
