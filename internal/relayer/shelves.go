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
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/owner"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// eventsWait is how long one read waits for a store's next events.
	eventsWait = 600 * time.Millisecond
	// maxFollowers is how many nodes follow one place: places answer a dozen such
	// reads at once.
	maxFollowers = 10
	// nearPause and farPause are the times between reads of events from places of
	// the own and of other failure domains.
	nearPause = 50 * time.Millisecond
	farPause  = 300 * time.Millisecond
	// relistPause is the longest time between tries to follow a place that does not
	// answer.
	relistPause = 1500 * time.Millisecond
)

// Listing is all that a store holds.
type Listing struct {
	// Epoch changes when the store restarts.
	Epoch int64
	// Next is the event after the listing.
	Next int64
	Held map[locator.Key]int
	// Reserved is the memory of incomplete parts, in tokens.
	Reserved int
}

// PartChange is one event of a store; zero tokens mean that the part is gone.
type PartChange struct {
	Key    locator.Key
	Tokens int
}

// PartChanges are the events since an earlier read.
type PartChanges struct {
	Epoch int64
	Next  int64
	// Lost is set when events in between are no longer kept.
	Lost    bool
	Changes []PartChange
}

// PartLog tells what stores of prompt parts hold.
type PartLog interface {
	List(ctx context.Context, store netip.AddrPort) (Listing, error)
	Changes(ctx context.Context, store netip.AddrPort, since int64, wait time.Duration) (PartChanges, error)
}

// Shelves keeps the directory of parts by following each store's events. Its
// fields are set before use.
type Shelves struct {
	Log     PartLog
	Locator *locator.Locator
	// Domain is the node's own failure domain. Events of others are read less
	// often, since bytes between domains cost more.
	Domain string
	// Self names this node, Alive the others that are alive.
	Self   string
	Alive  func() []string
	Logger zerolog.Logger

	mu      sync.Mutex
	follows map[netip.AddrPort]context.CancelFunc
}

// Follow starts following the stores and engines of a view and stops following
// others.
func (s *Shelves) Follow(ctx context.Context, view placer.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follows == nil {
		s.follows = map[netip.AddrPort]context.CancelFunc{}
	}
	places := map[netip.AddrPort]func(context.Context, netip.AddrPort) error{}
	for _, service := range view.Catalog.Stores() {
		pause := s.pause(service.Store.Domain)
		places[service.Store.Address] = func(ctx context.Context, place netip.AddrPort) error {
			return s.store(ctx, place, pause)
		}
	}
	for name, endpoints := range view.Endpoints {
		if view.Catalog.Services[name].Engine == nil {
			continue
		}
		for _, endpoint := range endpoints {
			pause := s.pause(endpoint.Domain)
			places[endpoint.Address] = func(ctx context.Context, place netip.AddrPort) error {
				return s.engine(ctx, place, pause)
			}
		}
	}
	nodes := append(s.Alive(), s.Self)
	for address := range places {
		if !mine(nodes, s.Self, address) {
			delete(places, address)
		}
	}
	for address, follow := range places {
		if _, ok := s.follows[address]; !ok {
			ctx, cancel := context.WithCancel(ctx)
			s.follows[address] = cancel
			go s.run(ctx, address, follow)
		}
	}
	for address, cancel := range s.follows {
		if _, ok := places[address]; !ok {
			cancel()
			delete(s.follows, address)
		}
	}
}

// pause is the time between reads of events from places of a failure domain.
func (s *Shelves) pause(domain string) time.Duration {
	if domain == s.Domain {
		return nearPause
	}
	return farPause
}

// mine reports whether a node is among those that follow a place.
func mine(nodes []string, self string, place netip.AddrPort) bool {
	if len(nodes) <= maxFollowers {
		return true
	}
	return slices.Index(owner.Rank(nodes, place.String()), self) < maxFollowers
}

// run follows one place. While it does not answer, nothing is fetched from or
// saved to it.
func (s *Shelves) run(ctx context.Context, place netip.AddrPort, follow func(context.Context, netip.AddrPort) error) {
	defer s.Locator.Forget(place)
	tries := 0
	for ctx.Err() == nil {
		began := time.Now()
		err := follow(ctx, place)
		if ctx.Err() != nil {
			return
		}
		s.Locator.Forget(place)
		if time.Since(began) > relistPause {
			tries = 0
		}
		if tries == 0 {
			s.Logger.Warn().Str("event", "dependency lost").Stringer("place", place).AnErr("error", err).Send()
		}
		_ = retrier.Sleep(ctx, retrier.Backoff(tries, retryBase, relistPause, retrier.Random))
		tries++
	}
}

// store lists what a store holds and applies its events until they have a gap or
// it restarts.
func (s *Shelves) store(ctx context.Context, place netip.AddrPort, pause time.Duration) error {
	listing, err := s.Log.List(ctx, place)
	if err != nil {
		return err
	}
	s.Locator.Reset(place, listing.Held, listing.Reserved)
	s.Logger.Info().Str("event", "store listed").Stringer("place", place).Int64("epoch", listing.Epoch).Int("parts", len(listing.Held)).Send()
	return s.events(ctx, place, position{listing.Epoch, listing.Next}, pause)
}

// engine applies an engine's events from the oldest that it still has. What was
// before stays unknown: a listing would hold up its work.
func (s *Shelves) engine(ctx context.Context, place netip.AddrPort, pause time.Duration) error {
	changes, err := s.Log.Changes(ctx, place, 0, eventsWait)
	if err != nil {
		return err
	}
	s.Locator.Reset(place, map[locator.Key]int{}, 0)
	s.apply(place, changes)
	return s.events(ctx, place, position{changes.Epoch, changes.Next}, pause)
}

// position is a place's next event.
type position struct {
	epoch int64
	next  int64
}

func (s *Shelves) events(ctx context.Context, place netip.AddrPort, at position, pause time.Duration) error {
	for {
		if err := retrier.Sleep(ctx, pause); err != nil {
			return err
		}
		changes, err := s.Log.Changes(ctx, place, at.next, eventsWait)
		if err != nil {
			return err
		}
		if changes.Epoch != at.epoch || changes.Lost {
			return errors.Newf("events have a gap: epoch %d then %d, lost %t", at.epoch, changes.Epoch, changes.Lost)
		}
		s.apply(place, changes)
		at.next = changes.Next
	}
}

func (s *Shelves) apply(place netip.AddrPort, changes PartChanges) {
	for _, change := range changes.Changes {
		s.Locator.Stored(place, change.Key, change.Tokens)
	}
}
