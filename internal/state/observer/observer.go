// Package observer keeps a node's view of its peers from their heartbeats.
//
// The view is a hint that saves work: no promise of the system depends on it.
// A heartbeat counts only when it is newer than the last one of the same peer,
// by incarnation and then by sequence number, so late, doubled and reordered
// heartbeats change nothing.
//
// # Usage
//
//	view := &observer.View{Domain: "kadikoy", Near: 10 * time.Second, Far: time.Minute}
//	changed := view.Observe(now, heartbeat)
//	alive := view.Alive(now)
package observer

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Heartbeat is one report of a peer about itself.
type Heartbeat struct {
	Name        string
	Domain      string
	Address     netip.AddrPort
	Incarnation uint64
	Sequence    uint64
	// Applied is the next configuration offset of the peer.
	Applied uint64
	Leaving bool
	// Suspects holds the hashes of requests that were running when an
	// endpoint crashed, with the number of crashes.
	Suspects []Suspect
	// Loads holds the peer's own work on endpoints.
	Loads []Load
	// Changes is what the peer has just learnt of endpoints.
	Changes []Change
}

// Change is news of an endpoint's weights. Endpoint and Model are hashes.
type Change struct {
	Endpoint uint32
	Model    uint32
	// Version is the loaded version; zero while one is being loaded.
	Version int64
}

// Load is a peer's own work on an endpoint.
type Load struct {
	// Endpoint is a hash of the endpoint's id.
	Endpoint uint32
	// Running counts requests, Tokens the memory that they take, and Reading the
	// prompt tokens that are still to be read.
	Running int
	Tokens  int
	Reading int
}

// Suspect is a request fingerprint and the number of endpoints it crashed.
type Suspect struct {
	Fingerprint uint64
	Crashes     uint8
}

// Peer is the last accepted heartbeat of a peer and when it came.
type Peer struct {
	Heartbeat
	Seen time.Time
}

// View is a node's knowledge of its peers. It belongs to the control goroutine.
// Its exported fields are set before use.
type View struct {
	// Domain is the node's own failure domain.
	Domain string
	// Near and Far are the silences after which a peer of the own and of
	// another failure domain is taken for dead. Far ones are heard of more
	// seldom.
	Near time.Duration
	Far  time.Duration

	peers map[string]Peer
}

func (v *View) timeout(peer Peer) time.Duration {
	if peer.Domain == v.Domain {
		return v.Near
	}
	return v.Far
}

// Observe takes in a heartbeat and reports whether it was newer than what the
// view held.
func (v *View) Observe(now time.Time, heartbeat Heartbeat) bool {
	held, ok := v.peers[heartbeat.Name]
	if ok && !newer(heartbeat, held.Heartbeat) {
		return false
	}
	if v.peers == nil {
		v.peers = map[string]Peer{}
	}
	v.peers[heartbeat.Name] = Peer{Heartbeat: heartbeat, Seen: now}
	return true
}

func newer(a, b Heartbeat) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Alive returns the peers heard of within their timeouts, ordered by name.
func (v *View) Alive(now time.Time) []Peer {
	var alive []Peer
	for _, peer := range v.peers {
		if now.Sub(peer.Seen) < v.timeout(peer) {
			alive = append(alive, peer)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return alive
}

// Forget drops peers that have been silent for the given time.
func (v *View) Forget(now time.Time, after time.Duration) {
	for name, peer := range v.peers {
		if now.Sub(peer.Seen) >= after {
			delete(v.peers, name)
		}
	}
}
