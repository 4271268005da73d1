package relayer

import (
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/organizer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// kind is the kind of a heartbeat, by its receivers.
type kind int

const (
	// toHubs is for hubs of the own domain, toOtherHubs for those of others.
	toHubs kind = iota
	toOtherHubs
	toHome
	toMembers
	kinds
)

// Estimated sizes in bytes, for dividing a heartbeat into datagrams.
const (
	datagramBytes = 1300
	fixedBytes    = 200
	suspectBytes  = 19
	changeBytes   = 18
	loadBytes     = 12
	// partSuspectBytes is the size without crashes, and partCrashBytes that of each of them.
	partSuspectBytes = 24
	partCrashBytes   = 13
	limitBytes       = 40
)

// newHeartbeats returns the heartbeat of a kind, as one or more datagrams. The first one
// has all but the loads, changes and limits for which it has no room.
func (p *Peers) newHeartbeats(now time.Time, kind kind, lists *loadLists) []peertracker.Heartbeat {
	base := p.baseHeartbeat(now, kind)
	changes := p.heartbeatChanges(now, kind)
	var limits []peertracker.EndpointLimit
	if p.Limits != nil {
		limits = p.Limits.Known(now, maxLimits)
	}
	loads := p.loads(now, kind, lists)
	var heartbeats []peertracker.Heartbeat
	next := uint32(0)
	for {
		heartbeat := base
		heartbeat.Sequence = p.sequence.Add(1)
		if len(heartbeats) > 0 {
			heartbeat.Suspects, heartbeat.PartSuspects = nil, nil
		}
		n := min(len(changes), maxChanges)
		heartbeat.Changes, changes = changes[:n], changes[n:]
		room := datagramBytes - fixedBytes - len(heartbeat.Suspects)*suspectBytes - partSuspectsSize(heartbeat.PartSuspects) - n*changeBytes
		fit := min(len(limits), room/limitBytes)
		heartbeat.Limits, limits = limits[:fit], limits[fit:]
		room -= fit * limitBytes
		heartbeat.Loads, loads = takeLoads(loads, next, room)
		heartbeats = append(heartbeats, heartbeat)
		if len(loads) == 0 {
			// What follows replaces no load.
			return append(heartbeats, p.withoutLoads(base, changes, limits)...)
		}
		next = loads[0].Endpoint
	}
}

// withoutLoads returns datagrams with changes and limits, and no loads.
func (p *Peers) withoutLoads(base peertracker.Heartbeat, changes []peertracker.Change, limits []peertracker.EndpointLimit) []peertracker.Heartbeat {
	var heartbeats []peertracker.Heartbeat
	base.Suspects, base.PartSuspects = nil, nil
	for chunk := range slices.Chunk(changes, maxChanges) {
		heartbeat := base
		heartbeat.Sequence, heartbeat.Changes = p.sequence.Add(1), chunk
		heartbeats = append(heartbeats, heartbeat)
	}
	for chunk := range slices.Chunk(limits, (datagramBytes-fixedBytes)/limitBytes) {
		heartbeat := base
		heartbeat.Sequence, heartbeat.Limits = p.sequence.Add(1), chunk
		heartbeats = append(heartbeats, heartbeat)
	}
	return heartbeats
}

// baseHeartbeat returns a heartbeat without sequence number, loads and changes.
func (p *Peers) baseHeartbeat(now time.Time, kind kind) peertracker.Heartbeat {
	heartbeat := p.stateHeartbeat(now, kind)
	heartbeat.Suspects = p.Suspects.Known(now, maxSuspects)
	if p.PartSuspects != nil {
		heartbeat.PartSuspects = p.knownPartSuspects(now)
	}
	return heartbeat
}

// stateHeartbeat returns a heartbeat with nothing but the state of the sender.
func (p *Peers) stateHeartbeat(now time.Time, kind kind) peertracker.Heartbeat {
	heartbeat := peertracker.Heartbeat{
		Name: p.Name, Domain: p.Domain, Address: p.Address, Incarnation: p.Incarnation, Leaving: p.Stopping.Load(),
		Homed: kind == toHome, Digest: kind == toMembers, LogContact: p.HasLogContact(),
	}
	if catalog := p.Node.View().Catalog; catalog != nil {
		heartbeat.Applied = uint64(catalog.Version)
	}
	isSource := p.isSource()
	p.mu.Lock()
	defer p.mu.Unlock()
	heartbeat.Hub = p.role.Hub || kind == toMembers
	heartbeat.Nodes = p.reportedNodes(now)
	if kind == toMembers {
		heartbeat.Nodes = p.liveNodes(now)
	}
	if kind == toMembers || kind != toHome && p.role.Hub {
		heartbeat.Hubs, heartbeat.Sources = p.hubHashes(now, isSource)
	}
	return heartbeat
}

// hubHashes returns the hashes of the live hubs of this node's domain, and of those through
// which members can follow the log. A member passes on what its home says.
func (p *Peers) hubHashes(now time.Time, isSource bool) (hubs, sources []uint32) {
	if home, ok := p.peers[p.role.Home]; ok && !p.role.Hub {
		return home.heartbeat.Hubs, home.heartbeat.Sources
	}
	self := organizer.Hash(p.Address)
	hubs = append(hubs, self)
	if isSource {
		sources = append(sources, self)
	}
	for _, address := range p.organizer.LiveHubs(now) {
		hash := organizer.Hash(address)
		hubs = append(hubs, hash)
		if slices.Contains(p.peers[address].heartbeat.Sources, hash) {
			sources = append(sources, hash)
		}
	}
	return hubs, sources
}

func partSuspectsSize(suspects []peertracker.PartSuspect) int {
	size := 0
	for _, suspect := range suspects {
		size += partSuspectBytes + len(suspect.Crashes)*partCrashBytes
	}
	return size
}

// knownPartSuspects returns as many suspect parts as there is room for in a datagram.
func (p *Peers) knownPartSuspects(now time.Time) []peertracker.PartSuspect {
	known := p.PartSuspects.Known(now, maxPartSuspectBytes/partSuspectBytes)
	for partSuspectsSize(known) > maxPartSuspectBytes {
		known = known[:len(known)-1]
	}
	return known
}
