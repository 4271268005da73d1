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
	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

const (
	heartbeatInterval = time.Second
	// nearCount is the number of peers of the own failure domain that get each
	// heartbeat, farCount that of peers of other domains.
	nearCount = 20
	farCount  = 2
	// digestedNear is the number of near ones that get digests.
	digestedNear = 2
	// digestCount is the number of other peers' heartbeats in a datagram.
	digestCount = 5
	// suspectCount is the number of suspects in a heartbeat.
	suspectCount = 4
	// maxGreetings bounds the nodes whose first heartbeats are remembered.
	maxGreetings = 4096
	// recordsPerCall bounds the configuration records of one reply.
	recordsPerCall = 256
)

// heldPage is the newest part of the configuration stream.
type heldPage struct {
	next    uint64
	records []replicator.Record
}

type recordsCell = atomic.Pointer[heldPage]

// hear takes in a datagram.
func (n *Node) hear(message packer.Message) {
	now := time.Now()
	n.journal.ObserveStamp(now, message.Clock)
	for _, suspect := range message.Sender.Suspects {
		n.suspects.Learn(now, message.Sender.Name, suspect)
	}
	if n.greetings.first(message.Sender) {
		// A newcomer hears at once of a few others.
		go n.sendHeartbeat([]netip.AddrPort{message.Sender.Address}, true)
	}
	heard := append([]observer.Heartbeat{message.Sender}, message.Digests...)
	heard = slices.DeleteFunc(heard, func(h observer.Heartbeat) bool { return h.Name == n.Settings.Name })
	select {
	case n.control.messages <- heartbeatHeard{heartbeats: heard}:
	default:
		// A heartbeat is a hint; the next one will do.
	}
}

// greetings remembers which incarnations of which nodes have been answered. It
// is safe for concurrent use.
type greetings struct {
	mu   sync.Mutex
	seen map[string]uint64
}

// first reports whether a heartbeat is the first of a node's incarnation, once.
func (g *greetings) first(heartbeat observer.Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen[heartbeat.Name] == heartbeat.Incarnation {
		return false
	}
	if g.seen == nil || len(g.seen) >= maxGreetings {
		g.seen = map[string]uint64{}
	}
	g.seen[heartbeat.Name] = heartbeat.Incarnation
	return true
}

// beat sends heartbeats until ctx ends.
func (n *Node) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		plain, digested := n.targets()
		n.sendHeartbeat(plain, false)
		n.sendHeartbeat(digested, true)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tellAll sends a heartbeat to all peers at once: about a planned stop, or a
// request that has crashed an endpoint.
func (n *Node) tellAll() {
	var all []netip.AddrPort
	for _, peer := range n.cell.Load().Peers {
		all = append(all, peer.Address)
	}
	n.sendHeartbeat(all, false)
}

// sendHeartbeat sends a heartbeat, with what is known of other peers where asked
// for.
func (n *Node) sendHeartbeat(targets []netip.AddrPort, digest bool) {
	snapshot := n.cell.Load()
	message := packer.Message{
		Clock: n.journal.LastStamp(),
		Sender: observer.Heartbeat{
			Name:        n.Settings.Name,
			Domain:      n.Settings.Domain,
			Address:     n.Settings.Peers,
			Incarnation: n.incarnation,
			Sequence:    n.sequence.Add(1),
			Applied:     snapshot.Configuration.Next(),
			Leaving:     snapshot.Leaving,
			Suspects:    n.suspects.Own(time.Now(), suspectCount),
		},
	}
	for _, target := range targets {
		if digest {
			message.Digests = digests(snapshot.Peers, target)
		}
		if err := n.gossip.Send(target, message); err != nil {
			n.Log.Debug().Err(err).Stringer("peer", target).Msg("heartbeat was not sent")
		}
	}
}

// digests returns a few random peers without their suspects.
func digests(peers []observer.Peer, target netip.AddrPort) []observer.Heartbeat {
	var chosen []observer.Heartbeat
	for _, i := range rand.Perm(len(peers)) {
		if len(chosen) == digestCount {
			break
		}
		if peers[i].Address == target {
			continue
		}
		digest := peers[i].Heartbeat
		digest.Suspects = nil
		chosen = append(chosen, digest)
	}
	return chosen
}

// targets returns the peers that get the next heartbeat: those of the own
// failure domain, and a few that also get digests: some of them, and some of
// other domains or of which nothing has been heard yet.
func (n *Node) targets() (plain, digested []netip.AddrPort) {
	var near, others []netip.AddrPort
	heard := map[netip.AddrPort]bool{}
	for _, peer := range n.cell.Load().Peers {
		heard[peer.Address] = true
	}
	for domain, addresses := range n.peersByDomain() {
		for _, address := range addresses {
			if domain == n.Settings.Domain && heard[address] {
				near = append(near, address)
			} else {
				others = append(others, address)
			}
		}
	}
	near = sample(near, nearCount)
	split := min(digestedNear, len(near))
	return near[split:], append(near[:split:split], sample(others, farCount)...)
}

// sample returns at most count of the addresses, by chance.
func sample(addresses []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// peersByDomain collects peers from the host list, from heartbeats and from the
// seeds, which count as a domain of their own until they are heard of.
func (n *Node) peersByDomain() map[string][]netip.AddrPort {
	snapshot := n.cell.Load()
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

// peerAddresses returns all known peers in random order, the own domain first.
func (n *Node) peerAddresses() []netip.AddrPort {
	byDomain := n.peersByDomain()
	near := byDomain[n.Settings.Domain]
	delete(byDomain, n.Settings.Domain)
	var far []netip.AddrPort
	for _, addresses := range byDomain {
		far = append(far, addresses...)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// Records implements messenger.Node.
func (n *Node) Records(from uint64) replicator.Page {
	page := n.records.Load()
	found := replicator.Page{Oldest: page.next, Next: page.next}
	if len(page.records) > 0 {
		found.Oldest = page.records[0].Offset
	}
	for _, record := range page.records {
		if record.Offset >= from && len(found.Records) < recordsPerCall {
			found.Records = append(found.Records, record)
		}
	}
	return found
}

// Push implements messenger.Node.
func (n *Node) Push(ctx context.Context, records []replicator.Record) uint64 {
	n.control.Take(ctx, records, "peer")
	return n.cell.Load().Configuration.Next()
}

// Snapshot implements messenger.Node.
func (n *Node) Snapshot() configurator.Snapshot {
	return n.cell.Load().Configuration.Snapshot()
}

// Events implements messenger.Node.
func (n *Node) Events(filter recorder.Filter) []recorder.Event {
	return n.journal.Events(filter)
}

// Resolve implements messenger.Node.
func (n *Node) Resolve(ctx context.Context, partition int, key indexer.Key, offset uint64) (indexer.Entry, bool, error) {
	return n.claims.Resolve(ctx, partition, key, offset)
}
