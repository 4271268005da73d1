package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
)

const (
	// cleanPeriod is the time between checks for obsolete parts.
	cleanPeriod = 400 * time.Millisecond
	// freeDelay is how long all nodes must have stopped placing requests with parts of a
	// version before these are freed. Fetches that were placed before have ended by then.
	freeDelay = placer.MaxFetchTime + fetchMargin
	// fetchMargin covers the time until an endpoint notices that a fetch has to end.
	fetchMargin = 300 * time.Millisecond
	// cleanBatch is the maximum number of parts freed in one call.
	cleanBatch = 200
)

// PartFreer frees prompt parts in a store.
type PartFreer interface {
	Free(ctx context.Context, store netip.AddrPort, keys []locator.Key) error
}

// Cleaner frees stored prompt parts that were computed with versions of weights
// that are no longer retained, once no node fetches them any more. Each store is
// assigned to one live hub. If nodes disagree on that for a while, both free the
// same parts, which does no harm. Its exported fields are set before Run.
type Cleaner struct {
	Node    *Relayer
	Locator *locator.Locator
	Parts   PartFreer
	// Self is the name of this node. Hubs returns the names of the live hubs, among which
	// the stores are divided.
	Self string
	Hubs func() []string
	// Acknowledged reports whether all nodes fetch only parts of this or later
	// versions of a model.
	Acknowledged func(model string, version int64) bool
	Logger       zerolog.Logger
	Now          func() time.Time

	// agreed holds, for each model, the last retained version that all peers have
	// acknowledged, and since when.
	agreed map[string]agreedVersion
}

type agreedVersion struct {
	version int64
	since   time.Time
}

// Run frees obsolete parts periodically until ctx ends.
func (c *Cleaner) Run(ctx context.Context) {
	c.agreed = map[string]agreedVersion{}
	for ctx.Err() == nil {
		view := c.Node.View()
		if view.Catalog != nil {
			c.updateAgreed(view)
			c.freeObsolete(ctx, view)
		}
		_ = retrier.Sleep(ctx, cleanPeriod)
	}
}

// updateAgreed records the retained versions that all peers have acknowledged.
func (c *Cleaner) updateAgreed(view placer.View) {
	for model, version := range view.OldestRetained {
		if c.agreed[model].version != version && c.Acknowledged(model, version) {
			c.agreed[model] = agreedVersion{version: version, since: c.Now()}
		}
	}
}

func (c *Cleaner) freeObsolete(ctx context.Context, view placer.View) {
	hubs := c.Hubs()
	for _, service := range view.Catalog.Stores() {
		address := service.Store.Address
		if ranker.Pick(hubs, address.String()) != c.Self {
			continue
		}
		keys := c.Locator.ObsoleteParts(address, c.inUse)
		if len(keys) == 0 {
			continue
		}
		keys = keys[:min(len(keys), cleanBatch)]
		err := c.Parts.Free(ctx, address, keys)
		for _, key := range keys {
			// The store may have freed the parts even if the call failed, so none is fetched
			// any more.
			c.Locator.SetPart(address, key, 0)
		}
		c.Logger.Info().Str("event", "parts freed").Stringer("store", address).Int("parts", len(keys)).AnErr("error", err).Send()
	}
}

// inUse reports whether requests may still use parts with a cache salt, which names
// the model and the version.
func (c *Cleaner) inUse(salt string) bool {
	model, version, ok := placer.ParseSalt(salt)
	if !ok {
		// No request uses a malformed salt.
		return false
	}
	oldest, known := c.agreed[model]
	return !known || version >= oldest.version || c.Now().Sub(oldest.since) < freeDelay
}
