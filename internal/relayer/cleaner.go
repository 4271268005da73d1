package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/owner"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// cleanPeriod is the time between looks for obsolete parts.
	cleanPeriod = 400 * time.Millisecond
	// cleanDelay is how long no node must have fetched parts of a version before
	// they are freed: longer than any fetch.
	cleanDelay = 900 * time.Millisecond
	// cleanBatch is the number of parts freed in one call.
	cleanBatch = 200
)

// PartFreer frees parts of a store.
type PartFreer interface {
	Free(ctx context.Context, store netip.AddrPort, keys []locator.Key) error
}

// Cleaner frees parts that were made with weights of versions that are no longer
// retained, once no node fetches them any more. Each store has an owner among
// the nodes; two owners free the same parts. Its fields are set before Run.
type Cleaner struct {
	Node    *Relayer
	Locator *locator.Locator
	Parts   PartFreer
	// Self names this node, Alive all that are alive.
	Self  string
	Alive func() []string
	// Acknowledged reports whether all nodes retain parts of this or later versions
	// of a model only.
	Acknowledged func(model string, version int64) bool
	Logger       zerolog.Logger
	Now          func() time.Time

	// floors holds the oldest version of each model that any node fetches, and
	// since when.
	floors map[string]floor
}

type floor struct {
	version int64
	since   time.Time
}

// Run works until ctx ends.
func (c *Cleaner) Run(ctx context.Context) {
	c.floors = map[string]floor{}
	for ctx.Err() == nil {
		view := c.Node.View()
		if view.Catalog != nil {
			c.look(view)
			c.clean(ctx, view)
		}
		_ = retrier.Sleep(ctx, cleanPeriod)
	}
}

// look works out which versions all nodes have stopped fetching.
func (c *Cleaner) look(view placer.View) {
	for model, version := range view.Retained {
		if c.floors[model].version != version && c.Acknowledged(model, version) {
			c.floors[model] = floor{version: version, since: c.Now()}
		}
	}
}

func (c *Cleaner) clean(ctx context.Context, view placer.View) {
	alive := append(c.Alive(), c.Self)
	for _, service := range view.Catalog.Stores() {
		address := service.Store.Address
		if owner.Pick(alive, address.String()) != c.Self {
			continue
		}
		keys := c.Locator.Obsolete(address, c.used)
		if len(keys) == 0 {
			continue
		}
		keys = keys[:min(len(keys), cleanBatch)]
		err := c.Parts.Free(ctx, address, keys)
		for _, key := range keys {
			// Whether freed or not, none of them is to be fetched.
			c.Locator.Stored(address, key, 0)
		}
		c.Logger.Info().Str("event", "parts freed").Stringer("store", address).Int("parts", len(keys)).AnErr("error", err).Send()
	}
}

// used reports whether requests may still use parts under a salt.
func (c *Cleaner) used(salt string) bool {
	model, version, ok := placer.ParseSalt(salt)
	if !ok {
		return false
	}
	f, known := c.floors[model]
	return !known || version >= f.version || c.Now().Sub(f.since) < cleanDelay
}
