package relayer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// eventsWait is how long one read waits for the next events of a store or engine.
	eventsWait = 600 * time.Millisecond
	// maxFollowers is how many nodes follow one holder. Stores and engines serve about
	// a dozen such reads at once.
	maxFollowers = 10
	// sameDomainPause and otherDomainPause are the pauses between reads of events from
	// holders in the node's own and in other failure domains.
	sameDomainPause  = 50 * time.Millisecond
	otherDomainPause = 300 * time.Millisecond
	// maxRetryDelay is the longest delay between attempts to follow a holder that
	// does not respond.
	maxRetryDelay = 1500 * time.Millisecond
	// longOutage is the time without responses after which a store may have been cut off
	// together with nodes that other nodes no longer count. It is shorter than
	// heartbeatTimeout.
	longOutage = 2500 * time.Millisecond
	// rejoinDelay is how long a store is left alone after a long outage. By then the nodes on
	// both sides have received each other's heartbeats, and with them the retained versions.
	rejoinDelay = 2500 * time.Millisecond
)

// Listing is the content of a store.
type Listing struct {
	// Epoch changes when the store restarts.
	Epoch int64
	// Next is the number of the first event after the listing.
	Next int64
	// Held holds the size of each complete part, in tokens.
	Held map[locator.Key]int
	// Reserved is the memory of incomplete parts, in tokens.
	Reserved int
}

// PartChange is one event of a store or engine; zero tokens mean that the part was
// removed.
type PartChange struct {
	Key    locator.Key
	Tokens int
}

// PartChanges holds the events since an earlier read. Epoch and Next are those of
// Listing.
type PartChanges struct {
	Epoch int64
	Next  int64
	// Lost is set when some of these events were already dropped.
	Lost    bool
	Changes []PartChange
}

// PartLog lists the prompt parts in stores, and reads the events of stores and engines.
// wait is the longest time that Changes waits for the first event.
type PartLog interface {
	List(ctx context.Context, holder netip.AddrPort) (Listing, error)
	Changes(ctx context.Context, holder netip.AddrPort, since int64, wait time.Duration) (PartChanges, error)
}

// PartFollower keeps the Locator current by following the events
// of each holder, that is of each store or engine that holds parts. Its exported
// fields are set before use.
type PartFollower struct {
	Log     PartLog
	Locator *locator.Locator
	// Domain is the node's own failure domain. Events of others are read less
	// often, since bytes between domains cost more.
	Domain string
	// Self is the name of this node. Hubs returns the names of the live hubs, of which each
	// holder gets at most maxFollowers; a node that is no hub follows none.
	Self string
	Hubs func() []string
	// FollowsEngines reports whether engines are followed as well as stores.
	FollowsEngines func() bool
	Logger         zerolog.Logger

	mu       sync.Mutex
	followed map[netip.AddrPort]context.CancelFunc
}

// Follow starts to follow the stores and engines of a view that are assigned to this node,
// and stops following all others.
func (f *PartFollower) Follow(ctx context.Context, view placer.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.followed == nil {
		f.followed = map[netip.AddrPort]context.CancelFunc{}
	}
	holders := map[netip.AddrPort]func(context.Context, netip.AddrPort, *contact) error{}
	for _, service := range view.Catalog.Stores() {
		pause := f.pause(service.Store.Domain)
		holders[service.Store.Address] = func(ctx context.Context, holder netip.AddrPort, contact *contact) error {
			return f.followStore(ctx, holder, pause, contact)
		}
	}
	followsEngines := f.FollowsEngines()
	for name, endpoints := range view.Endpoints {
		if view.Catalog.Services[name].Engine == nil || !followsEngines {
			continue
		}
		for _, endpoint := range endpoints {
			pause := f.pause(endpoint.Domain)
			holders[endpoint.Address] = func(ctx context.Context, holder netip.AddrPort, contact *contact) error {
				return f.followEngine(ctx, holder, pause, contact)
			}
		}
	}
	hubs := f.Hubs()
	for address := range holders {
		if !isFollower(hubs, f.Self, address) {
			delete(holders, address)
		}
	}
	for address, follow := range holders {
		if _, ok := f.followed[address]; !ok {
			ctx, cancel := context.WithCancel(ctx)
			f.followed[address] = cancel
			go f.run(ctx, address, follow)
		}
	}
	for address, cancel := range f.followed {
		if _, ok := holders[address]; !ok {
			cancel()
			delete(f.followed, address)
			f.Locator.Forget(address)
		}
	}
}

// pause returns the pause between reads of events from holders in a failure domain.
func (f *PartFollower) pause(domain string) time.Duration {
	if domain == f.Domain {
		return sameDomainPause
	}
	return otherDomainPause
}

// isFollower reports whether the node self is among the hubs that follow a holder.
func isFollower(hubs []string, self string, holder netip.AddrPort) bool {
	if len(hubs) <= maxFollowers {
		return slices.Contains(hubs, self)
	}
	i := slices.Index(ranker.Rank(hubs, holder.String()), self)
	return i >= 0 && i < maxFollowers
}

// contact records since when a holder does not respond.
type contact struct {
	known bool
	// lostAt is the end of the first call that failed since the last response, and triedAt the
	// start of the last one.
	lostAt  time.Time
	triedAt time.Time
}

func (c *contact) responded() { *c = contact{known: true} }

// failed records that a call failed that began at started.
func (c *contact) failed(started time.Time) {
	if c.lostAt.IsZero() {
		c.lostAt = time.Now()
	}
	c.triedAt = started
}

// outage returns for how long the holder did not respond at least; zero for a holder that has
// never responded. It may have been longer by the first and the last call that failed and
// the pause after that one.
func (c *contact) outage() time.Duration {
	if !c.known || c.lostAt.IsZero() {
		return 0
	}
	return max(c.triedAt.Sub(c.lostAt), 0)
}

// run follows one holder until ctx ends. While the holder does not respond, it
// has no entries in the Locator, so nothing is fetched from it, saved to it or freed there.
func (f *PartFollower) run(ctx context.Context, holder netip.AddrPort, follow func(context.Context, netip.AddrPort, *contact) error) {
	tries, contact := 0, &contact{}
	for ctx.Err() == nil {
		started := time.Now()
		err := follow(ctx, holder, contact)
		if f.update(ctx, func() { f.Locator.Forget(holder) }) != nil {
			return
		}
		contact.failed(started)
		if time.Since(started) > maxRetryDelay {
			// The holder responded for a while, so this is a new outage.
			tries = 0
		}
		if tries == 0 {
			f.Logger.Warn().Str("event", "dependency lost").Stringer("place", holder).AnErr("error", err).Send()
		}
		_ = retrier.Sleep(ctx, retrier.Backoff(tries, retryBase, maxRetryDelay, retrier.UniformJitter))
		tries++
	}
}

// followStore lists a store's parts and applies its events, until events are missing
// or the store restarts. After a long outage the store is left alone for rejoinDelay first.
func (f *PartFollower) followStore(ctx context.Context, holder netip.AddrPort, pause time.Duration, contact *contact) error {
	listing, err := f.Log.List(ctx, holder)
	if err != nil {
		return err
	}
	if outage := contact.outage(); outage >= longOutage {
		f.Logger.Info().Str("event", "store is back").Stringer("place", holder).Dur("outage", outage).Dur("pause", rejoinDelay).Send()
		if err := retrier.Sleep(ctx, rejoinDelay); err != nil {
			return err
		}
		if listing, err = f.Log.List(ctx, holder); err != nil {
			return err
		}
	}
	contact.responded()
	if err := f.update(ctx, func() { f.Locator.Reset(holder, listing.Held, listing.Reserved) }); err != nil {
		return err
	}
	f.Logger.Info().Str("event", "store listed").Stringer("place", holder).Int64("epoch", listing.Epoch).Int("parts", len(listing.Held)).Send()
	return f.followEvents(ctx, holder, position{listing.Epoch, listing.Next}, pause, contact)
}

// followEngine applies an engine's events from the oldest that it still keeps. Parts
// from before that stay unknown, since a listing would delay the engine's requests.
func (f *PartFollower) followEngine(ctx context.Context, holder netip.AddrPort, pause time.Duration, contact *contact) error {
	changes, err := f.Log.Changes(ctx, holder, 0, eventsWait)
	if err != nil {
		return err
	}
	err = f.update(ctx, func() {
		f.Locator.Reset(holder, map[locator.Key]int{}, 0)
		f.apply(holder, changes)
	})
	if err != nil {
		return err
	}
	return f.followEvents(ctx, holder, position{changes.Epoch, changes.Next}, pause, contact)
}

// position is the next event to read from a holder.
type position struct {
	epoch int64
	next  int64
}

func (f *PartFollower) followEvents(ctx context.Context, holder netip.AddrPort, from position, pause time.Duration, contact *contact) error {
	for {
		if err := retrier.Sleep(ctx, pause); err != nil {
			return err
		}
		changes, err := f.Log.Changes(ctx, holder, from.next, eventsWait)
		if err != nil {
			return err
		}
		contact.responded()
		if changes.Epoch != from.epoch || changes.Lost {
			return errors.Newf("part events are incomplete: epoch was %d and is now %d, events lost: %t", from.epoch, changes.Epoch, changes.Lost)
		}
		if err := f.update(ctx, func() { f.apply(holder, changes) }); err != nil {
			return err
		}
		from.next = changes.Next
	}
}

// update changes the Locator unless ctx has ended: the holder is then no longer followed, or
// is followed anew.
func (f *PartFollower) update(ctx context.Context, change func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	change()
	return nil
}

func (f *PartFollower) apply(holder netip.AddrPort, changes PartChanges) {
	for _, change := range changes.Changes {
		f.Locator.SetPart(holder, change.Key, change.Tokens)
	}
}
