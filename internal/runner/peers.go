package runner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

const (
	heartbeatInterval = time.Second
	// sameDomainFanout and otherDomainFanout are the numbers of peers of the
	// node's own and of other or unknown failure domains that each heartbeat is
	// sent to.
	sameDomainFanout  = 20
	otherDomainFanout = 2
	// sameDomainForwardFanout is the number of peers of the node's own failure
	// domain that also receive forwarded heartbeats.
	sameDomainForwardFanout = 2
	// forwardedPerDatagram is the maximum number of other peers' heartbeats that
	// are forwarded in one datagram.
	forwardedPerDatagram = 5
	// suspectsPerHeartbeat is the maximum number of suspects in a heartbeat.
	suspectsPerHeartbeat = 4
	// maxKnownIncarnations is the maximum number of nodes in knownIncarnations.
	maxKnownIncarnations = 4096
	// recordsPerCall is the maximum number of configuration records in one reply.
	recordsPerCall = 256
)

// recordPage holds the latest records of the configuration stream; next is the
// offset after the last one.
type recordPage struct {
	next    uint64
	records []replicator.Record
}

type recordPagePointer = atomic.Pointer[recordPage]

// receiveHeartbeat handles a datagram from a peer.
func (n *Node) receiveHeartbeat(message packer.Message) {
	now := time.Now()
	n.journal.ObserveStamp(now, message.Clock)
	for _, suspect := range message.Sender.Suspects {
		n.suspects.Update(now, message.Sender.Name, suspect)
	}
	if n.knownIncarnations.add(message.Sender) {
		// The answer contains other peers' heartbeats, so that a node that has just
		// started learns of a few other peers immediately.
		go n.sendHeartbeat([]netip.AddrPort{message.Sender.Address}, true)
	}
	received := append([]peertracker.Heartbeat{message.Sender}, message.Digests...)
	received = slices.DeleteFunc(received, func(h peertracker.Heartbeat) bool { return h.Name == n.Settings.Name })
	select {
	case n.control.messages <- heartbeatsReceived{heartbeats: received}:
	default:
		// The queue is full. Heartbeats are hints, and later ones replace this one.
	}
}

// knownIncarnations holds the latest incarnation of each node that has been
// answered with a heartbeat. It is safe for concurrent use.
type knownIncarnations struct {
	mu   sync.Mutex
	seen map[string]uint64
}

// add adds the incarnation of a heartbeat's node. It reports whether it was not
// known yet. When the maximum number of nodes is reached, all are forgotten; they
// are then answered once more.
func (k *knownIncarnations) add(heartbeat peertracker.Heartbeat) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen[heartbeat.Name] == heartbeat.Incarnation {
		return false
	}
	if k.seen == nil || len(k.seen) >= maxKnownIncarnations {
		k.seen = map[string]uint64{}
	}
	k.seen[heartbeat.Name] = heartbeat.Incarnation
	return true
}

// sendHeartbeats sends heartbeats at regular intervals until ctx ends.
func (n *Node) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		withoutForwarded, withForwarded := n.targets()
		n.sendHeartbeat(withoutForwarded, false)
		n.sendHeartbeat(withForwarded, true)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// broadcastHeartbeat sends a heartbeat to all peers immediately, at a graceful
// shutdown or after a request has crashed an endpoint.
func (n *Node) broadcastHeartbeat() {
	var all []netip.AddrPort
	for _, peer := range n.current.Load().Peers {
		all = append(all, peer.Address)
	}
	n.sendHeartbeat(all, false)
}

// sendHeartbeat sends a heartbeat to the targets, with forwarded heartbeats of
// other peers if withForwarded is set.
func (n *Node) sendHeartbeat(targets []netip.AddrPort, withForwarded bool) {
	snapshot := n.current.Load()
	message := packer.Message{
		Clock: n.journal.LastStamp(),
		Sender: peertracker.Heartbeat{
			Name:        n.Settings.Name,
			Domain:      n.Settings.Domain,
			Address:     n.Settings.Peers,
			Incarnation: n.incarnation,
			Sequence:    n.sequence.Add(1),
			Applied:     snapshot.Configuration.Next(),
			Leaving:     snapshot.Leaving,
			Suspects:    n.suspects.Local(time.Now(), suspectsPerHeartbeat),
		},
	}
	for _, target := range targets {
		if withForwarded {
			message.Digests = forwardedHeartbeats(snapshot.Peers, target)
		}
		if err := n.gossip.Send([]netip.AddrPort{target}, message); err != nil {
			n.Log.Debug().Err(err).Stringer("peer", target).Msg("failed to send heartbeat")
		}
	}
}

// forwardedHeartbeats returns the heartbeats of a few random peers other than
// target, without their suspects.
func forwardedHeartbeats(peers []peertracker.Peer, target netip.AddrPort) []peertracker.Heartbeat {
	var chosen []peertracker.Heartbeat
	for _, i := range rand.Perm(len(peers)) {
		if len(chosen) == forwardedPerDatagram {
			break
		}
		if peers[i].Address == target {
			continue
		}
		forwarded := peers[i].Heartbeat
		forwarded.Suspects = nil
		chosen = append(chosen, forwarded)
	}
	return chosen
}

// targets returns random peers that receive the next heartbeat. withForwarded are
// a few peers of the node's own failure domain and a few others: peers of other
// domains, and addresses from which no heartbeat has been received yet.
// withoutForwarded are further peers of the node's own domain.
func (n *Node) targets() (withoutForwarded, withForwarded []netip.AddrPort) {
	var sameDomain, others []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, peer := range n.current.Load().Peers {
		known[peer.Address] = true
	}
	for domain, addresses := range n.peersByDomain() {
		for _, address := range addresses {
			if domain == n.Settings.Domain && known[address] {
				sameDomain = append(sameDomain, address)
			} else {
				others = append(others, address)
			}
		}
	}
	sameDomain = sample(sameDomain, sameDomainFanout)
	split := min(sameDomainForwardFanout, len(sameDomain))
	return sameDomain[split:], append(sameDomain[:split:split], sample(others, otherDomainFanout)...)
}

// sample returns at most count random addresses. It shuffles its argument.
func sample(addresses []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// peersByDomain returns the addresses of the peers known from heartbeats, from
// the host list and from the configured seeds, by failure domain. Seeds whose
// domain is not known from the other two are listed under the empty domain.
func (n *Node) peersByDomain() map[string][]netip.AddrPort {
	snapshot := n.current.Load()
	seen := map[netip.AddrPort]bool{n.Settings.Peers: true}
	byDomain := map[string][]netip.AddrPort{}
	add := func(domain string, address netip.AddrPort) {
		if !seen[address] {
			seen[address] = true
			byDomain[domain] = append(byDomain[domain], address)
		}
	}
	for _, peer := range snapshot.Peers {
		add(peer.Domain, peer.Address)
	}
	for _, row := range snapshot.Nodes {
		add(row.Domain, row.Address)
	}
	for _, seed := range n.Settings.Seeds {
		add("", seed)
	}
	return byDomain
}

// peerAddresses returns the addresses of all known peers in random order, those
// of the node's own failure domain first.
func (n *Node) peerAddresses() []netip.AddrPort {
	byDomain := n.peersByDomain()
	sameDomain := byDomain[n.Settings.Domain]
	delete(byDomain, n.Settings.Domain)
	var otherDomains []netip.AddrPort
	for _, addresses := range byDomain {
		otherDomains = append(otherDomains, addresses...)
	}
	rand.Shuffle(len(sameDomain), func(i, j int) { sameDomain[i], sameDomain[j] = sameDomain[j], sameDomain[i] })
	rand.Shuffle(len(otherDomains), func(i, j int) { otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i] })
	return append(sameDomain, otherDomains...)
}

// Records implements messenger.Node.
func (n *Node) Records(from uint64) replicator.Page {
	recent := n.records.Load()
	reply := replicator.Page{Oldest: recent.next, Next: recent.next}
	if len(recent.records) > 0 {
		reply.Oldest = recent.records[0].Offset
	}
	for _, record := range recent.records {
		if record.Offset >= from && len(reply.Records) < recordsPerCall {
			reply.Records = append(reply.Records, record)
		}
	}
	return reply
}

// Push implements messenger.Node.
func (n *Node) Push(ctx context.Context, records []replicator.Record) uint64 {
	n.control.Apply(ctx, records, "peer")
	return n.current.Load().Configuration.Next()
}

// Snapshot implements messenger.Node.
func (n *Node) Snapshot() configurator.Snapshot {
	return n.current.Load().Configuration.Snapshot()
}

// Events implements messenger.Node.
func (n *Node) Events(filter recorder.Filter) []recorder.Event {
	return n.journal.Events(filter)
}

// Resolve implements messenger.Node.
func (n *Node) Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	return n.claims.Resolve(ctx, partition, key, offset)
}
