package relayer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

const (
	// directoryTimeout bounds the call that fetches the directory of parts.
	directoryTimeout = 2 * time.Second
	// directoryJitter spreads the calls of a home's members after a reset.
	directoryJitter = 300 * time.Millisecond
	// maxKnownAge is how long the content of a holder that is no longer in the directory is kept.
	maxKnownAge = time.Minute
	// maxHeld is the number of datagrams that are kept while the directory is fetched.
	maxHeld = 64
)

// PartClient fetches a peer's directory of parts. What is the same in known need not be sent again.
type PartClient interface {
	Parts(ctx context.Context, peer netip.AddrPort, known []messenger.PartHolder) (messenger.PartDirectory, error)
}

// PartReceiver keeps a member's directory of parts equal to its home's: it applies the
// home's numbered changes, and fetches the whole directory at first and after a gap. Its
// exported fields are set before use.
type PartReceiver struct {
	Locator *locator.Locator
	Client  PartClient
	Logger  zerolog.Logger

	mu   sync.Mutex
	home netip.AddrPort
	// stream and next are those of the next datagram to apply; stream is zero before the
	// first directory.
	stream   uint64
	next     uint64
	fetching bool
	held     []peertracker.PartUpdates
	// known is the last content of each holder, from which that in the next directory hardly differs.
	// Nothing keeps it current, so that it is used for no other purpose.
	known map[netip.AddrPort]knownHolder
	// whole is set if the next directory is fetched without the use of known.
	whole bool
}

// SetHome makes the receiver follow another home; an invalid address means none. Without a home
// nothing removes the parts that are gone, so it forgets the directory.
func (r *PartReceiver) SetHome(ctx context.Context, home netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.home == home {
		return
	}
	r.home, r.stream, r.next, r.held = home, 0, 0, nil
	if !home.IsValid() {
		r.forget()
		return
	}
	r.fetch(ctx)
}

// knownHolder is the content of a holder at a time.
type knownHolder struct {
	messenger.PartHolder
	at time.Time
}

// remember keeps the content of holders in known. The caller holds the lock.
func (r *PartReceiver) remember(holders []netip.AddrPort) {
	now := time.Now()
	if r.known == nil {
		r.known = map[netip.AddrPort]knownHolder{}
	}
	for _, address := range holders {
		if inventory, ok := r.Locator.Inventory(address); ok && len(inventory.Parts) > 0 {
			r.known[address] = knownHolder{encodeInventory(inventory), now}
		}
	}
	maps.DeleteFunc(r.known, func(_ netip.AddrPort, known knownHolder) bool { return now.Sub(known.at) > maxKnownAge })
}

// forget forgets the directory. The caller holds the lock.
func (r *PartReceiver) forget() {
	holders := r.Locator.Holders()
	r.remember(holders)
	for _, holder := range holders {
		r.Locator.Forget(holder)
	}
}

// Handle applies changes from a home.
func (r *PartReceiver) Handle(ctx context.Context, home netip.AddrPort, updates peertracker.PartUpdates) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case home != r.home:
	case r.fetching:
		if len(r.held) < maxHeld {
			r.held = append(r.held, updates)
		}
	case updates.Stream == r.stream && updates.Number == r.next:
		if len(updates.Groups)+len(updates.Forgotten) > 0 {
			r.apply(updates)
		}
	case updates.Stream == r.stream && updates.Number < r.next:
		// The directory that was fetched has these changes.
	default:
		r.held = append(r.held[:0], updates)
		r.fetch(ctx)
	}
}

// apply applies the next datagram of the stream. The caller holds the lock.
func (r *PartReceiver) apply(updates peertracker.PartUpdates) {
	r.remember(updates.Forgotten)
	for _, holder := range updates.Forgotten {
		r.Locator.Forget(holder)
	}
	for _, group := range updates.Groups {
		for i, part := range group.Parts {
			r.Locator.SetPart(group.Holder, locator.Key{Salt: group.Salt, Part: part}, group.Tokens[i])
		}
	}
	r.next = updates.Number + 1
}

// fetch fetches the whole directory in the background. The caller holds the lock.
func (r *PartReceiver) fetch(ctx context.Context) {
	if r.fetching {
		return
	}
	r.fetching = true
	go func() {
		for r.fetchOnce(ctx) {
			if retrier.Sleep(ctx, retryBase+retrier.UniformJitter(directoryJitter)) != nil {
				return
			}
		}
	}()
}

// fetchOnce reports whether the directory must be fetched again.
func (r *PartReceiver) fetchOnce(ctx context.Context) bool {
	r.mu.Lock()
	home := r.home
	if home.IsValid() {
		r.remember(r.Locator.Holders())
	}
	var known []messenger.PartHolder
	if !r.whole {
		for _, holder := range r.known {
			known = append(known, holder.PartHolder)
		}
	}
	r.mu.Unlock()
	if !home.IsValid() {
		return r.done(false)
	}
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	directory, err := r.Client.Parts(callCtx, home, known)
	if err != nil {
		r.setWhole(errors.Is(err, messenger.ErrDirectoryMismatch))
		r.Logger.Warn().Str("event", "directory of parts").Stringer("home", home).Err(err).Send()
		r.forgetOf(home)
		return r.done(ctx.Err() == nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.home != home {
		return true
	}
	r.replace(directory)
	r.whole = false
	r.Logger.Info().Str("event", "directory of parts").Stringer("home", home).Uint64("stream", directory.Stream).
		Uint64("next", directory.Next).Int("holders", len(directory.Holders)).Int("held", len(r.held)).Send()
	held := r.held
	r.held, r.fetching = nil, false
	for _, updates := range held {
		if updates.Stream == r.stream && updates.Number == r.next {
			r.apply(updates)
		}
	}
	return false
}

// setWhole records whether the next call fetches the whole directory.
func (r *PartReceiver) setWhole(whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = whole
}

// forgetOf forgets the directory if home is still the home: changes are missing that can't be
// fetched.
func (r *PartReceiver) forgetOf(home netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.home == home {
		r.forget()
	}
}

func (r *PartReceiver) done(again bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetching = again
	return again
}

// replace replaces the directory. The caller holds the lock.
func (r *PartReceiver) replace(directory messenger.PartDirectory) {
	r.stream, r.next = directory.Stream, directory.Next
	var holders []netip.AddrPort
	for _, holder := range directory.Holders {
		parts := map[locator.Key]int{}
		for _, group := range holder.Groups {
			for i, part := range group.Parts {
				parts[locator.Key{Salt: group.Salt, Part: part}] = group.Tokens[i]
			}
		}
		r.Locator.Reset(holder.Holder, parts, holder.Reserved)
		holders = append(holders, holder.Holder)
	}
	for _, known := range r.Locator.Holders() {
		if !slices.Contains(holders, known) {
			r.Locator.Forget(known)
		}
	}
}
