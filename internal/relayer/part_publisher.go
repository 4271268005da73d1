package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// publishPeriod is how long changes of the directory of parts are collected for one
	// datagram.
	publishPeriod = 100 * time.Millisecond
	// positionPeriod is the time between datagrams without changes, while there are none.
	positionPeriod = time.Second
	// partsBytes is the estimated size of the changes in one datagram, and groupBytes and
	// partBytes those of a group and of a part besides their texts.
	partsBytes = 1100
	groupBytes = 40
	partBytes  = 8
)

// PartPublisher sends the changes of this node's directory of parts to its members, in
// numbered datagrams. It implements locator.Observer. Its exported fields are set before
// use.
type PartPublisher struct {
	// Peers sends the datagrams.
	Peers *Peers
	// Locator is the directory whose observer this is.
	Locator *locator.Locator
	// First is the number of the first stream; it must differ between processes.
	First uint64

	// lastSent is when the last datagram was sent; only Run uses it.
	lastSent time.Time

	mu     sync.Mutex
	resets uint64
	// next is the number of the next datagram.
	next      uint64
	changes   []partChange
	forgotten []netip.AddrPort
}

type partChange struct {
	holder netip.AddrPort
	key    locator.Key
	tokens int
}

// PartSet implements locator.Observer.
func (p *PartPublisher) PartSet(holder netip.AddrPort, key locator.Key, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, partChange{holder: holder, key: key, tokens: tokens})
}

// HolderReset implements locator.Observer. It begins a new stream, so that members fetch
// the whole directory.
func (p *PartPublisher) HolderReset(netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	p.changes, p.forgotten, p.next = nil, nil, 0
}

// HolderForgotten implements locator.Observer.
func (p *PartPublisher) HolderForgotten(holder netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgotten = append(p.forgotten, holder)
}

// Run sends changes periodically until ctx ends.
func (p *PartPublisher) Run(ctx context.Context) {
	ticker := time.NewTicker(publishPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.publish()
		}
	}
}

// publish sends the collected changes. Without changes it sends the position of the
// stream now and then, so that a lost datagram is noticed.
func (p *PartPublisher) publish() {
	members := p.Peers.Members()
	p.mu.Lock()
	updates := p.take()
	p.mu.Unlock()
	if len(members) == 0 {
		return
	}
	if len(updates) == 0 && time.Since(p.lastSent) >= positionPeriod {
		updates = []peertracker.PartUpdates{p.position()}
	}
	for _, update := range updates {
		p.lastSent = time.Now()
		p.Peers.SendParts(members, update)
	}
}

// position returns a datagram without changes, which says what the next one's number is.
func (p *PartPublisher) position() peertracker.PartUpdates {
	p.mu.Lock()
	defer p.mu.Unlock()
	return peertracker.PartUpdates{Stream: p.First + p.resets, Number: p.next}
}

// take returns the collected changes as datagrams.
func (p *PartPublisher) take() []peertracker.PartUpdates {
	if len(p.changes)+len(p.forgotten) == 0 {
		return nil
	}
	var updates []peertracker.PartUpdates
	current, size := p.newUpdate(), 0
	current.Forgotten = p.forgotten
	for _, change := range p.changes {
		cost := partBytes + len(change.key.Part)
		group := lastGroup(&current)
		if group == nil || group.Holder != change.holder || group.Salt != change.key.Salt {
			cost += groupBytes + len(change.key.Salt)
			group = nil
		}
		if size+cost > partsBytes {
			updates = append(updates, current)
			current, size, group = p.newUpdate(), 0, nil
		}
		if group == nil {
			current.Groups = append(current.Groups, peertracker.PartGroup{Holder: change.holder, Salt: change.key.Salt})
			group = lastGroup(&current)
		}
		group.Parts = append(group.Parts, change.key.Part)
		group.Tokens = append(group.Tokens, change.tokens)
		size += cost
	}
	p.changes, p.forgotten = nil, nil
	return append(updates, current)
}

func lastGroup(updates *peertracker.PartUpdates) *peertracker.PartGroup {
	if len(updates.Groups) == 0 {
		return nil
	}
	return &updates.Groups[len(updates.Groups)-1]
}

func (p *PartPublisher) newUpdate() peertracker.PartUpdates {
	update := peertracker.PartUpdates{Stream: p.First + p.resets, Number: p.next}
	p.next++
	return update
}

// Directory returns a copy of the directory, for members that missed changes.
func (p *PartPublisher) Directory() messenger.PartDirectory {
	var directory messenger.PartDirectory
	var unsent []peertracker.PartUpdates
	inventories := p.Locator.Inventories(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		// Changes that are in the copy must have lower numbers than those that are not.
		unsent = p.take()
		directory.Stream, directory.Next = p.First+p.resets, p.next
	})
	for _, update := range unsent {
		p.Peers.SendParts(p.Peers.Members(), update)
	}
	for _, inventory := range inventories {
		directory.Holders = append(directory.Holders, encodeInventory(inventory))
	}
	return directory
}

func encodeInventory(inventory locator.Inventory) messenger.PartHolder {
	holder := messenger.PartHolder{Holder: inventory.Holder, Reserved: inventory.Reserved}
	groups := map[string]int{}
	for key, tokens := range inventory.Parts {
		i, ok := groups[key.Salt]
		if !ok {
			i = len(holder.Groups)
			groups[key.Salt] = i
			holder.Groups = append(holder.Groups, peertracker.PartGroup{Holder: inventory.Holder, Salt: key.Salt})
		}
		holder.Groups[i].Parts = append(holder.Groups[i].Parts, key.Part)
		holder.Groups[i].Tokens = append(holder.Groups[i].Tokens, tokens)
	}
	return holder
}

// SendParts sends changes of the directory of parts to members.
func (p *Peers) SendParts(members []netip.AddrPort, updates peertracker.PartUpdates) {
	if len(members) == 0 {
		return
	}
	heartbeat := peertracker.Heartbeat{
		Name: p.Name, Domain: p.Domain, Address: p.Address, Incarnation: p.Incarnation, Sequence: p.sequence.Add(1),
		Leaving: p.Stopping.Load(), Hub: true, Digest: true, Parts: &updates,
	}
	p.send(members, heartbeat)
}
