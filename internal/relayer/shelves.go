package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/exchanger"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// eventsWait is how long one read waits for a store's next events.
	eventsWait = time.Second
	// relistPause is the least time between full listings of one store, which
	// hold up its work.
	relistPause = 5 * time.Second
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
	Number int64
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
	Logger  zerolog.Logger

	mu      sync.Mutex
	follows map[netip.AddrPort]context.CancelFunc
}

// Follow starts following the stores of a view and stops following others.
func (s *Shelves) Follow(ctx context.Context, view exchanger.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.follows == nil {
		s.follows = map[netip.AddrPort]context.CancelFunc{}
	}
	listed := map[netip.AddrPort]bool{}
	for _, service := range view.Catalog.Stores() {
		address := service.Store.Address
		listed[address] = true
		if _, ok := s.follows[address]; ok {
			continue
		}
		follow, cancel := context.WithCancel(ctx)
		s.follows[address] = cancel
		go s.run(follow, address)
	}
	for address, cancel := range s.follows {
		if !listed[address] {
			cancel()
			delete(s.follows, address)
			s.Locator.Forget(address)
		}
	}
}

// run follows one store. While it does not answer, nothing is fetched from or
// saved to it.
func (s *Shelves) run(ctx context.Context, store netip.AddrPort) {
	tries := 0
	for ctx.Err() == nil {
		err := s.follow(ctx, store, func() { tries = 0 })
		if ctx.Err() != nil {
			return
		}
		s.Locator.Forget(store)
		s.Logger.Warn().Str("event", "dependency lost").Stringer("store", store).AnErr("error", err).Send()
		_ = retrier.Sleep(ctx, retrier.Backoff(tries, retryBase, relistPause, retrier.Random))
		tries++
	}
}

// follow lists a store and applies its events until they have a gap or the store
// restarts.
func (s *Shelves) follow(ctx context.Context, store netip.AddrPort, listed func()) error {
	listing, err := s.Log.List(ctx, store)
	if err != nil {
		return err
	}
	listed()
	s.Locator.Reset(store, listing.Held, listing.Reserved)
	s.Logger.Info().Str("event", "store listed").Stringer("store", store).Int64("epoch", listing.Epoch).Int("parts", len(listing.Held)).Send()
	next := listing.Next
	for {
		changes, err := s.Log.Changes(ctx, store, next, eventsWait)
		if err != nil {
			return err
		}
		if changes.Epoch != listing.Epoch || changes.Lost {
			s.Logger.Info().Str("event", "store events lost").Stringer("store", store).Int64("epoch", changes.Epoch).Bool("gap", changes.Lost).Send()
			return nil
		}
		for _, change := range changes.Changes {
			s.Locator.Stored(store, change.Key, change.Tokens)
		}
		next = changes.Next
	}
}
