package runner

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/renderer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/reporter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/follower"
)

const peerQueryTimeout = 3 * time.Second

// operators returns the handler of the HTTP interface for operators.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.Handle("GET /metrics", n.meter.Handler())
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	mux.HandleFunc("GET /v1/applied", n.serveApplied)
	mux.HandleFunc("GET /v1/events", n.serveEvents)
	mux.HandleFunc("POST /v1/drain", n.serveDrain)
	return mux
}

// Status returns the node's status for operators.
func (n *Node) Status() reporter.Status {
	snapshot := n.current.Load()
	watts, peak := n.limiter.Watts()
	status := reporter.Status{
		Node:      n.Settings.Name,
		Domain:    n.Settings.Domain,
		Ready:     snapshot.Ready,
		Leaving:   snapshot.Leaving,
		Alarm:     snapshot.Alarm,
		Applied:   snapshot.Configuration.Next(),
		Queued:    n.limiter.Queued(),
		Watts:     watts,
		PeakWatts: peak,
	}
	for _, peer := range snapshot.Peers {
		status.Peers = append(status.Peers, reporter.Peer{
			Name:           peer.Name,
			Domain:         peer.Domain,
			Applied:        peer.Applied,
			Leaving:        peer.Leaving,
			SinceHeartbeat: time.Since(peer.LastSeen),
		})
	}
	for _, rows := range snapshot.Services {
		for _, row := range rows {
			status.Endpoints = append(status.Endpoints, reporter.Endpoint{
				Name:       row.Name,
				Service:    row.Service,
				Domain:     row.Domain,
				Address:    row.Address,
				Leaving:    row.IsLeaving(),
				Weights:    row.Report.Version,
				Running:    row.Report.Running,
				OwnRunning: n.inFlight.Running(row.Name),
				Failures:   row.Failures,
			})
		}
	}
	return status
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, func() ([]byte, error) { return reporter.EncodeStatus(n.Status()) })
}

// serveApplied writes the configuration offsets of this node and of all peers
// that answer in time.
func (n *Node) serveApplied(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), peerQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	next := map[string]uint64{n.Settings.Name: n.current.Load().Configuration.Next()}
	for _, peer := range n.current.Load().Peers {
		calls.Go(func() {
			page, err := n.peerClient.Records(ctx, peer.Address, follower.EndOffset)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			next[peer.Name] = page.Next
		})
	}
	calls.Wait()
	writeJSON(w, func() ([]byte, error) { return reporter.EncodeApplied(next) })
}

func writeJSON(w http.ResponseWriter, encode func() ([]byte, error)) {
	body, err := encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// serveEvents writes the timeline, merged over all peers unless local is set.
func (n *Node) serveEvents(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := recorder.Filter{Request: query.Get("request"), Kind: recorder.Kind(query.Get("kind"))}
	events := n.journal.Events(filter)
	if query.Get("local") == "" {
		events = n.MergedEvents(r.Context(), filter)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = renderer.JSON(w, events)
}

// MergedEvents returns the events of this node and of all reachable peers, merged
// into one timeline.
func (n *Node) MergedEvents(ctx context.Context, filter recorder.Filter) []recorder.Event {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	addresses := n.peerAddresses()
	lists := make([][]recorder.Event, len(addresses)+1)
	lists[0] = n.journal.Events(filter)
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			events, err := n.peerClient.Events(ctx, address, filter)
			if err != nil {
				n.Log.Info().Err(err).Stringer("peer", address).Msg("failed to read a peer's events; the timeline is incomplete")
				return
			}
			lists[i+1] = events
		})
	}
	calls.Wait()
	return recorder.Merge(lists...)
}

func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	expected := "Bearer " + n.Settings.OperatorKey
	if subtle.ConstantTimeCompare([]byte(expected), []byte(r.Header.Get("Authorization"))) != 1 {
		http.Error(w, "operator key is missing or wrong", http.StatusUnauthorized)
		return
	}
	n.drainOnce.Do(func() { close(n.drainSignal) })
	w.WriteHeader(http.StatusAccepted)
}
