// Package peertracker keeps a node's view of its peers, based on their
// heartbeats.
//
// The view is a hint used for optimization: no guarantee of the system depends on
// it. A heartbeat is applied only if it is newer than the last one of the same
// peer, by incarnation and then by sequence number, so that late, duplicate and
// reordered heartbeats have no effect.
//
// # Usage
//
//	view := &peertracker.View{Domain: "kadikoy", SameDomainTimeout: 10 * time.Second, OtherDomainTimeout: time.Minute}
//	changed := view.Observe(now, heartbeat)
//	alive := view.Alive(now)
package peertracker

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Heartbeat is a peer's state as reported by the peer itself.
type Heartbeat struct {
	Name   string
	Domain string
	// Address is where the peer receives calls and, unless it is a relay node,
	// heartbeats.
	Address netip.AddrPort
	// Incarnation grows with each restart of the peer's process, and Sequence with
	// each heartbeat of an incarnation.
	Incarnation uint64
	Sequence    uint64
	// Applied tells which configuration the peer has applied: the offset of the
	// next record to apply or, for relay nodes, the version of the configuration.
	Applied uint64
	Leaving bool
	// Suspects are requests that were running when an endpoint crashed.
	Suspects []Suspect
	// PartSuspects are prompt parts that may crash endpoints.
	PartSuspects []PartSuspect
	// Loads is the load that the sender reports; nil if the heartbeat says nothing about
	// loads. This and all fields below but Changes are set by relay nodes only.
	Loads *LoadReport
	// Changes are recent changes of endpoints that the peer has detected, of their weights
	// or that they are leaving, and the target and retained versions of models.
	Changes []Change
	// Hub is set by a node that acts as a hub of its domain. Homed is set by a node that
	// asks the receiver to be its home, and Digest by a home in what it sends its members.
	Hub    bool
	Homed  bool
	Digest bool
	// Nodes is the number of live nodes that the sender speaks for, itself included.
	Nodes int
	// Hubs are hashes of the addresses of the live hubs of the sender's domain, and Sources
	// are those of them through which members can follow the log.
	Hubs    []uint32
	Sources []uint32
	// LogContact is set by a node that reads the log itself and has contact with it.
	LogContact bool
	// Parts are changes of the directory of prompt parts; nil for none.
	Parts *PartUpdates
	// Limits are limits on requests that endpoints have named.
	Limits []EndpointLimit
	// Streams are streams that have begun. A heartbeat with them says nothing else of its
	// sender, but for Homed.
	Streams []StreamBuild
}

// StreamBuild is the build of the endpoint that began a stream.
type StreamBuild struct {
	// Stream is a hash of the id of the request that began it.
	Stream  uint64
	Service string
	Build   string
}

// EndpointLimit is what a process of an endpoint said of the requests that it takes from all
// nodes together.
type EndpointLimit struct {
	// Endpoint is a hash of the endpoint's id. Started is the start of the process in Unix
	// milliseconds; zero if unknown.
	Endpoint uint32
	Started  int64
	// Rate is in requests a second. Ended is set if the process named no limit any more.
	Rate  float64
	Ended bool
	// Stamp orders the statements on one process; the highest is in force.
	Stamp int64
}

// LoadReport replaces what its sender has reported before of the endpoints whose hashes
// are between First and Last.
type LoadReport struct {
	First uint32
	Last  uint32
	// Loads is ordered by the hash of the endpoint.
	Loads []Load
}

// PartUpdates are changes of the directory of prompt parts. The datagrams of one stream
// are numbered, so that a gap is noticed.
type PartUpdates struct {
	Stream uint64
	Number uint64
	Groups []PartGroup
	// Forgotten are holders that do not respond.
	Forgotten []netip.AddrPort
}

// PartGroup holds parts of one holder and cache salt, with their sizes in tokens. Zero
// tokens mean that the part was removed.
type PartGroup struct {
	Holder netip.AddrPort
	Salt   string
	Parts  []string
	Tokens []int
}

// Change is a change of an endpoint's weights. Endpoint and Model are hashes of
// the endpoint's id and the model's name. For a target or retained version of a
// model, Endpoint is a marker; for an endpoint that is leaving, Model is one.
type Change struct {
	Endpoint uint32
	Model    uint32
	// Version is the loaded version; zero while one is being loaded.
	Version int64
}

// Load is the load that requests put on an endpoint.
type Load struct {
	// Endpoint is a hash of the endpoint's id.
	Endpoint uint32
	// Running is the number of running requests.
	Running int
	// Tokens is the memory that they use, in tokens.
	Tokens int
	// Reading is the number of prompt tokens that still wait for prefill.
	Reading int
	// Silent is the time since any of the nodes concerned got data from the endpoint; valid only
	// if HasSilent is set.
	Silent    time.Duration
	HasSilent bool
}

// Suspect is the fingerprint of a request that may crash endpoints, with the
// number of endpoints that crashed while running it.
type Suspect struct {
	Fingerprint uint64
	Crashes     uint8
	// Observer is a hash of the name of the node that saw the crashes; zero for the sender
	// of the heartbeat.
	Observer uint32
}

// PartSuspect is a prompt part that may crash endpoints, by a hash of its id. Ages are
// relative to the time of the heartbeat.
type PartSuspect struct {
	Part    uint64
	Crashes []PartCrash
	// Used is the time since the last crash or refusal of a request with the part.
	Used time.Duration
	// Survived is the time since an endpoint last answered a request with the part; valid
	// only if HasSurvived is set.
	Survived    time.Duration
	HasSurvived bool
}

// PartCrash is the crash of an endpoint that had not yet answered a request with a part.
type PartCrash struct {
	// Endpoint is a hash of the process, and Observer of the name of the node that saw it.
	Endpoint uint32
	Observer uint32
	Age      time.Duration
}

// Peer is the latest heartbeat of a peer and the local time of its receipt.
type Peer struct {
	Heartbeat
	LastSeen time.Time
}

// View is a node's view of its peers. It is owned by the control goroutine and
// not safe for concurrent use. Its exported fields are set before use.
type View struct {
	// Domain is the node's own failure domain.
	Domain string
	// SameDomainTimeout and OtherDomainTimeout are the times without a heartbeat
	// after which a peer of the node's own or of another failure domain is
	// considered dead. Heartbeats from other domains arrive less often, so their
	// timeout should be longer.
	SameDomainTimeout  time.Duration
	OtherDomainTimeout time.Duration

	peers map[string]Peer
}

func (v *View) timeout(peer Peer) time.Duration {
	if peer.Domain == v.Domain {
		return v.SameDomainTimeout
	}
	return v.OtherDomainTimeout
}

// Observe applies a heartbeat received at now. It reports whether the heartbeat
// was newer than the known one of the same peer.
func (v *View) Observe(now time.Time, heartbeat Heartbeat) bool {
	known, ok := v.peers[heartbeat.Name]
	if ok && !newer(heartbeat, known.Heartbeat) {
		return false
	}
	if v.peers == nil {
		v.peers = map[string]Peer{}
	}
	v.peers[heartbeat.Name] = Peer{Heartbeat: heartbeat, LastSeen: now}
	return true
}

func newer(a, b Heartbeat) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Alive returns the peers whose last heartbeat is within the timeout, ordered by
// name.
func (v *View) Alive(now time.Time) []Peer {
	var alive []Peer
	for _, peer := range v.peers {
		if now.Sub(peer.LastSeen) < v.timeout(peer) {
			alive = append(alive, peer)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return alive
}

// Prune removes the peers without a heartbeat for at least maxSilence.
func (v *View) Prune(now time.Time, maxSilence time.Duration) {
	for name, peer := range v.peers {
		if now.Sub(peer.LastSeen) >= maxSilence {
			delete(v.peers, name)
		}
	}
}
