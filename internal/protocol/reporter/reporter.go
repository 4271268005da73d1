// Package reporter encodes the status that nodes report to operators as JSON and
// decodes it.
//
// # Usage
//
//	data, err := reporter.EncodeStatus(status)
//	status, err := reporter.DecodeStatus(data)
package reporter

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Status is the status of a node, with the peers and endpoints that it knows.
type Status struct {
	Node    string
	Domain  string
	Ready   bool
	Leaving bool
	// Alarm is the reason why the configuration does not advance; empty if it
	// does.
	Alarm string
	// Applied is the offset of the next configuration record to apply.
	Applied uint64
	// Queued is the number of requests waiting for admission.
	Queued int
	// Watts and PeakWatts are the current and the highest power of the node's
	// running requests.
	Watts     float64
	PeakWatts float64
	Peers     []Peer
	Endpoints []Endpoint
}

// Peer is the state of a peer as known to the node.
type Peer struct {
	Name    string
	Domain  string
	Applied uint64
	Leaving bool
	// SinceHeartbeat is the time since the last heartbeat.
	SinceHeartbeat time.Duration
}

// Endpoint is the state of an endpoint as known to the node.
type Endpoint struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	Leaving bool
	Weights string
	// Running is the number of requests running on the endpoint, and OwnRunning
	// the number of those that the node sent.
	Running    int
	OwnRunning int
	// Failures is the number of failed load requests since the last successful
	// one.
	Failures int
}

type wireStatus struct {
	Node      string         `json:"node"`
	Domain    string         `json:"domain"`
	Ready     bool           `json:"ready"`
	Leaving   bool           `json:"leaving"`
	Alarm     string         `json:"alarm,omitempty"`
	Applied   uint64         `json:"applied"`
	Queued    int            `json:"queued"`
	Watts     float64        `json:"watts"`
	PeakWatts float64        `json:"peak_watts"`
	Peers     []wirePeer     `json:"peers"`
	Endpoints []wireEndpoint `json:"endpoints"`
}

type wirePeer struct {
	Name           string  `json:"name"`
	Domain         string  `json:"domain"`
	Applied        uint64  `json:"applied"`
	Leaving        bool    `json:"leaving"`
	SinceHeartbeat float64 `json:"silent_seconds"`
}

type wireEndpoint struct {
	Name       string         `json:"name"`
	Service    string         `json:"service"`
	Domain     string         `json:"domain"`
	Address    netip.AddrPort `json:"address"`
	Leaving    bool           `json:"leaving"`
	Weights    string         `json:"weights,omitempty"`
	Running    int            `json:"running"`
	OwnRunning int            `json:"own"`
	Failures   int            `json:"failures"`
}

// EncodeStatus returns a status as JSON.
func EncodeStatus(status Status) ([]byte, error) {
	wire := wireStatus{
		Node:      status.Node,
		Domain:    status.Domain,
		Ready:     status.Ready,
		Leaving:   status.Leaving,
		Alarm:     status.Alarm,
		Applied:   status.Applied,
		Queued:    status.Queued,
		Watts:     status.Watts,
		PeakWatts: status.PeakWatts,
		Peers:     []wirePeer{},
		Endpoints: []wireEndpoint{},
	}
	for _, peer := range status.Peers {
		wire.Peers = append(wire.Peers, wirePeer{
			Name:           peer.Name,
			Domain:         peer.Domain,
			Applied:        peer.Applied,
			Leaving:        peer.Leaving,
			SinceHeartbeat: peer.SinceHeartbeat.Seconds(),
		})
	}
	for _, endpoint := range status.Endpoints {
		wire.Endpoints = append(wire.Endpoints, wireEndpoint(endpoint))
	}
	return json.Marshal(wire)
}

// DecodeStatus decodes the output of EncodeStatus.
func DecodeStatus(data []byte) (Status, error) {
	var wire wireStatus
	if err := json.Unmarshal(data, &wire); err != nil {
		return Status{}, errors.Wrap(err, "decode status")
	}
	status := Status{
		Node:      wire.Node,
		Domain:    wire.Domain,
		Ready:     wire.Ready,
		Leaving:   wire.Leaving,
		Alarm:     wire.Alarm,
		Applied:   wire.Applied,
		Queued:    wire.Queued,
		Watts:     wire.Watts,
		PeakWatts: wire.PeakWatts,
	}
	for _, peer := range wire.Peers {
		status.Peers = append(status.Peers, Peer{
			Name:           peer.Name,
			Domain:         peer.Domain,
			Applied:        peer.Applied,
			Leaving:        peer.Leaving,
			SinceHeartbeat: time.Duration(peer.SinceHeartbeat * float64(time.Second)),
		})
	}
	for _, endpoint := range wire.Endpoints {
		status.Endpoints = append(status.Endpoints, Endpoint(endpoint))
	}
	return status, nil
}

type wireApplied struct {
	Next map[string]uint64 `json:"next"`
}

// EncodeApplied returns a map from node names to the offsets of their next
// configuration records as JSON.
func EncodeApplied(next map[string]uint64) ([]byte, error) {
	return json.Marshal(wireApplied{Next: next})
}

// DecodeApplied decodes the output of EncodeApplied.
func DecodeApplied(data []byte) (map[string]uint64, error) {
	var wire wireApplied
	err := json.Unmarshal(data, &wire)
	return wire.Next, errors.Wrap(err, "decode applied offsets")
}
