package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// recheckPause is the minimum time between queries to one endpoint. Its reports lag
// by some hundred milliseconds, so asking more often returns nothing new.
const recheckPause = 300 * time.Millisecond

// Rechecker updates an endpoint's weights after a response showed that they are not
// the expected ones. Its exported fields are set before use, and it is safe for
// concurrent use.
type Rechecker struct {
	Node      *Relayer
	Endpoints Endpoints
	// Suspend keeps new requests from an endpoint for a short time. It is called for each
	// response without a version, whether or not a query follows.
	Suspend func(id string)
	Logger  zerolog.Logger
	Now     func() time.Time

	mu        sync.Mutex
	lastQuery map[string]time.Time
}

// Check updates an endpoint's version of a model. version is what the response
// showed; if it is zero, the endpoint is suspended and queried in the background.
func (r *Rechecker) Check(endpoint endpointtracker.Endpoint, model string, version int64) {
	if version > 0 {
		r.Node.UpdateWeights(endpoint, model, version)
		return
	}
	r.Suspend(endpoint.ID)
	if r.allowQuery(endpoint.ID) {
		go r.query(endpoint)
	}
}

func (r *Rechecker) allowQuery(id string) bool {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastQuery[id]) < recheckPause {
		return false
	}
	if r.lastQuery == nil {
		r.lastQuery = map[string]time.Time{}
	}
	// The caller queries the endpoint now.
	r.lastQuery[id] = now
	return true
}

func (r *Rechecker) query(endpoint endpointtracker.Endpoint) {
	report, err := r.Endpoints.Report(context.Background(), endpoint)
	if err != nil {
		r.Logger.Warn().Str("event", "report").Str("endpoint", endpoint.ID).Err(err).Send()
		return
	}
	for model, version := range report.Weights {
		r.Node.UpdateWeights(endpoint, model, version)
	}
}
