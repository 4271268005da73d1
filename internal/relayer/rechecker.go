package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/state/tracker"
)

// recheckPause is the least time between questions to one endpoint: reports lag
// behind by some hundred milliseconds.
const recheckPause = 300 * time.Millisecond

// Rechecker asks endpoints for their weights after they turned out to have
// others than believed. Its fields are set before use, and it is safe for
// concurrent use.
type Rechecker struct {
	Node      *Relayer
	Endpoints Endpoints
	// Doubt is called at once: the endpoint gets no requests until its weights are
	// known.
	Doubt  func(id string)
	Logger zerolog.Logger
	Now    func() time.Time

	mu    sync.Mutex
	asked map[string]time.Time
}

// Check learns the weights of an endpoint; version is what it showed itself, or
// zero.
func (r *Rechecker) Check(endpoint tracker.Endpoint, model string, version int64) {
	if version > 0 {
		r.Node.Reweigh(endpoint, model, version)
		return
	}
	r.Doubt(endpoint.ID)
	if r.due(endpoint.ID) {
		go r.ask(endpoint)
	}
}

func (r *Rechecker) due(id string) bool {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.asked[id]) < recheckPause {
		return false
	}
	if r.asked == nil {
		r.asked = map[string]time.Time{}
	}
	r.asked[id] = now
	return true
}

func (r *Rechecker) ask(endpoint tracker.Endpoint) {
	report, err := r.Endpoints.Report(context.Background(), endpoint)
	if err != nil {
		r.Logger.Warn().Str("event", "report").Str("endpoint", endpoint.ID).Err(err).Send()
		return
	}
	for model, version := range report.Weights {
		r.Node.Reweigh(endpoint, model, version)
	}
}
