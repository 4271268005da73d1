package runner

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/renderer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

const eventsTimeout = 3 * time.Second

// operators returns the handler of the operators' address.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.Handle("GET /metrics", n.reporter.HTTPHandler())
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	mux.HandleFunc("GET /v1/applied", n.serveApplied)
	mux.HandleFunc("GET /v1/events", n.serveEvents)
	mux.HandleFunc("POST /v1/drain", n.serveDrain)
	return mux
}

// Status is a node's account of itself and of what it sees.
type Status struct {
	Node      string           `json:"node"`
	Domain    string           `json:"domain"`
	Ready     bool             `json:"ready"`
	Leaving   bool             `json:"leaving"`
	Alarm     string           `json:"alarm,omitempty"`
	Applied   uint64           `json:"applied"`
	Queued    int              `json:"queued"`
	Watts     float64          `json:"watts"`
	PeakWatts float64          `json:"peak_watts"`
	Peers     []PeerStatus     `json:"peers"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// PeerStatus is a peer as a node sees it.
type PeerStatus struct {
	Name    string  `json:"name"`
	Domain  string  `json:"domain"`
	Applied uint64  `json:"applied"`
	Leaving bool    `json:"leaving"`
	Silent  float64 `json:"silent_seconds"`
}

// EndpointStatus is an endpoint as a node sees it.
type EndpointStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	Leaving  bool   `json:"leaving"`
	Weights  string `json:"weights,omitempty"`
	Running  int    `json:"running"`
	Own      int    `json:"own"`
	Failures int    `json:"failures"`
}

// Status returns the node's account of itself.
func (n *Node) Status() Status {
	snapshot := n.cell.Load()
	watts, peak := n.limiter.Watts()
	status := Status{
		Node:      n.Settings.Name,
		Domain:    n.Settings.Domain,
		Ready:     snapshot.Ready,
		Leaving:   snapshot.Leaving,
		Alarm:     snapshot.Alarm,
		Applied:   snapshot.Configuration.Next(),
		Queued:    n.limiter.Queued(),
		Watts:     watts,
		PeakWatts: peak,
		Peers:     []PeerStatus{},
		Endpoints: []EndpointStatus{},
	}
	for _, peer := range snapshot.Peers {
		status.Peers = append(status.Peers, PeerStatus{
			Name:    peer.Name,
			Domain:  peer.Domain,
			Applied: peer.Applied,
			Leaving: peer.Leaving,
			Silent:  time.Since(peer.Seen).Seconds(),
		})
	}
	for _, rows := range snapshot.Services {
		for _, row := range rows {
			status.Endpoints = append(status.Endpoints, EndpointStatus{
				Name:     row.Name,
				Service:  row.Service,
				Domain:   row.Domain,
				Address:  row.Address.String(),
				Leaving:  row.Left(),
				Weights:  row.Report.Version,
				Running:  row.Report.Running,
				Own:      n.flight.Running(row.Name),
				Failures: row.Failures,
			})
		}
	}
	return status
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.Status())
}

// Applied is the next configuration offset of each node that answers, by name or
// address.
type Applied struct {
	Next map[string]uint64 `json:"next"`
}

// serveApplied asks all peers for their configuration offset.
func (n *Node) serveApplied(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), eventsTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	applied := Applied{Next: map[string]uint64{n.Settings.Name: n.cell.Load().Configuration.Next()}}
	for _, peer := range n.cell.Load().Peers {
		calls.Go(func() {
			page, err := n.peers.Records(ctx, peer.Address, endOffset)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			applied.Next[peer.Name] = page.Next
		})
	}
	calls.Wait()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(applied)
}

// serveEvents prints the time line, merged over all peers unless local is set.
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

// MergedEvents returns the events of this node and of all reachable peers in
// one order.
func (n *Node) MergedEvents(ctx context.Context, filter recorder.Filter) []recorder.Event {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	addresses := n.peerAddresses()
	lists := make([][]recorder.Event, len(addresses)+1)
	lists[0] = n.journal.Events(filter)
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			events, err := n.peers.Events(ctx, address, filter)
			if err != nil {
				n.Log.Info().Err(err).Stringer("peer", address).Msg("time line lacks a peer")
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
	n.drainOnce.Do(func() { close(n.drain) })
	w.WriteHeader(http.StatusAccepted)
}
