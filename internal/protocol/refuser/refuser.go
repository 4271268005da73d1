// Package refuser writes the responses to refused and failed requests as problem
// documents (RFC 9457) with an additional member that tells whether the request
// ran.
//
// # Usage
//
//	refuser.Write(w, refuser.Problem{
//		Status:    http.StatusServiceUnavailable,
//		Title:     "no endpoint is available",
//		RunStatus: refuser.NotRun,
//		Retry:     2 * time.Second,
//	})
package refuser

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RunStatus tells whether a refused or failed request was run by an endpoint.
type RunStatus string

// The values of RunStatus.
const (
	// NotRun means that neither this request nor an earlier one with the same
	// idempotency key reached an endpoint.
	NotRun RunStatus = "not-run"
	// Unknown means that the request may have run.
	Unknown RunStatus = "unknown"
	// Completed means that an earlier request with the same idempotency key was
	// completed.
	Completed RunStatus = "done"
)

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// Problem describes why a request was refused or failed.
type Problem struct {
	// Type is a short, stable identifier for programs, which becomes part of a
	// URN.
	Type   string
	Status int
	Title  string
	Detail string
	// Request is the identifier of the request in the timeline.
	Request   string
	RunStatus RunStatus
	// Sent reports whether any byte of this request itself, as opposed to an
	// earlier one with the same key, may have been sent to an endpoint.
	Sent bool
	// Retry is the time after which the caller may retry; zero if a retry is
	// pointless. It is rounded up to whole seconds.
	Retry time.Duration
}

type wireProblem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Request    string `json:"request,omitempty"`
	RunStatus  string `json:"run"`
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
		RunStatus:  string(problem.RunStatus),
		Sent:       problem.Sent,
		RetryAfter: retrySeconds(problem.Retry),
	})
}

// Write writes the problem as the response to a request.
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
