package relayer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/ranker"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

const (
	// cleanPeriod is the time between checks for obsolete parts.
	cleanPeriod = 400 * time.Millisecond
	// cleanBatch is the maximum number of parts freed in one call.
	cleanBatch = 200
	// unusedScopeDelay is how long no team has used a scope before its parts are freed. The
	// configuration is in force at all nodes long before.
	unusedScopeDelay = time.Minute
)

// ErrClockUnknown is returned by a PartFreer that does not know the endpoints' clock yet and
// so has freed nothing.
var ErrClockUnknown = errors.New("clock of the endpoints is not known yet")

// PartFreer frees prompt parts in a store. It returns ErrClockUnknown if it has not tried.
type PartFreer interface {
	Free(ctx context.Context, store netip.AddrPort, keys []locator.Key) error
}

// Agreement reports what all nodes have stopped fetching. Peers implements it.
type Agreement interface {
	// Acknowledged reports whether all nodes place only requests that fetch parts of this or
	// later versions of a model.
	Acknowledged(model string, version int64) bool
	// LastJoin returns when a node last joined that is not bound by what was acknowledged
	// before.
	LastJoin() time.Time
	// SameConfiguration reports whether all nodes are known to have a version of the
	// configuration, and to share parts by it.
	SameConfiguration(version int64) bool
	// FreeDelay returns how long parts must be out of use at all nodes before no endpoint
	// fetches them any more.
	FreeDelay(catalog *cataloger.Catalog) time.Duration
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
	Self      string
	Hubs      func() []string
	Agreement Agreement
	Logger    zerolog.Logger
	Now       func() time.Time

	// agreed holds, for each model, the last retained version that all peers have
	// acknowledged, and since when without interruption.
	agreed    map[string]agreedVersion
	startedAt time.Time
	// unusedSince holds, for each scope of stored parts that no team uses, since when.
	unusedSince map[string]time.Time
}

type agreedVersion struct {
	version int64
	since   time.Time
}

// Run frees obsolete parts periodically until ctx ends.
func (c *Cleaner) Run(ctx context.Context) {
	c.agreed, c.unusedSince, c.startedAt = map[string]agreedVersion{}, map[string]time.Time{}, c.Now()
	for ctx.Err() == nil {
		view := c.Node.View()
		if view.Catalog != nil {
			c.updateAgreed(view)
			if c.Now().Sub(c.startedAt) >= settleTime {
				// Heartbeats of all peers that can be reached have arrived by now, and fetches of
				// versions that had been given up before the start have ended.
				c.freeObsolete(ctx, view)
			}
		}
		_ = retrier.Sleep(ctx, cleanPeriod)
	}
}

// updateAgreed records the retained versions that all peers have acknowledged. An
// agreement ends when a peer appears that lags behind.
func (c *Cleaner) updateAgreed(view placer.View) {
	for model, version := range view.OldestRetained {
		agreed, known := c.agreed[model]
		switch {
		case c.Agreement.Acknowledged(model, version):
			if agreed.version != version {
				c.agreed[model] = agreedVersion{version: version, since: c.Now()}
				c.Logger.Info().Str("event", "agreement").Str("model", model).Int64("version", version).Int64("former", agreed.version).
					Int("hubs", len(c.Hubs())).Send()
			}
		case known && !c.Agreement.Acknowledged(model, agreed.version):
			delete(c.agreed, model)
			c.Logger.Info().Str("event", "agreement ended").Str("model", model).Int64("version", agreed.version).Time("since", agreed.since).Send()
		}
	}
}

// agreements is what may be freed at one moment.
type agreements struct {
	agreed map[string]agreedVersion
	// until is the latest start of an agreement by which parts may be freed, and delay the
	// time since then.
	until time.Time
	delay time.Duration
	// unusedScope reports whether no team uses a scope any more.
	unusedScope func(scope string) bool
}

func (c *Cleaner) agreements(view placer.View) agreements {
	now, delay := c.Now(), c.Agreement.FreeDelay(view.Catalog)
	if now.Sub(c.Agreement.LastJoin()) < delay {
		return agreements{unusedScope: func(string) bool { return false }}
	}
	agreed := c.Agreement.SameConfiguration(view.Catalog.Version)
	return agreements{agreed: c.agreed, until: now.Add(-delay), delay: delay, unusedScope: func(scope string) bool {
		return c.isUnused(view, scope) && agreed
	}}
}

// isUnused reports whether no team has used a scope for unusedScopeDelay.
func (c *Cleaner) isUnused(view placer.View, scope string) bool {
	if view.ScopeInUse(scope) {
		delete(c.unusedSince, scope)
		return false
	}
	since, known := c.unusedSince[scope]
	if !known {
		since = c.Now()
		c.unusedSince[scope] = since
	}
	return c.Now().Sub(since) >= unusedScopeDelay
}

func (c *Cleaner) freeObsolete(ctx context.Context, view placer.View) {
	hubs, current := c.Hubs(), c.agreements(view)
	for _, service := range view.Catalog.Stores() {
		address := service.Store.Address
		if ranker.Pick(hubs, address.String()) != c.Self {
			continue
		}
		keys := c.Locator.ObsoleteParts(address, current.inUse)
		if len(keys) == 0 {
			continue
		}
		keys = keys[:min(len(keys), cleanBatch)]
		err := c.Parts.Free(ctx, address, keys)
		if errors.Is(err, ErrClockUnknown) {
			continue
		}
		for _, key := range keys {
			// The store may have freed the parts even if the call failed, so none is fetched
			// any more.
			c.Locator.SetPart(address, key, 0)
		}
		c.Logger.Info().Str("event", "parts freed").Stringer("store", address).Int("parts", len(keys)).Str("salt", keys[0].Salt).
			Dur("delay", current.delay).Dur("agreed", current.age(c.Now(), keys[0].Salt)).AnErr("error", err).Send()
	}
}

// age returns for how long the agreement has held by which a part with a cache salt is freed; zero
// if no team uses its scope.
func (a agreements) age(now time.Time, salt string) time.Duration {
	_, model, _, _ := placer.ParseSalt(salt)
	agreed, ok := a.agreed[model]
	if !ok {
		return 0
	}
	return now.Sub(agreed.since)
}

// inUse reports whether requests may still use parts with a cache salt, which names
// the model and the version.
func (a agreements) inUse(salt string) bool {
	scope, model, version, ok := placer.ParseSalt(salt)
	if !ok {
		// Nodes of another build may use it.
		return true
	}
	if a.unusedScope(scope) {
		return false
	}
	oldest, known := a.agreed[model]
	return !known || version >= oldest.version || oldest.since.After(a.until)
}
