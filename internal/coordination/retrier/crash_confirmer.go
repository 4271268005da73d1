package retrier

import (
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// confirmAttempts is how often it is checked whether an endpoint has crashed, with
	// confirmPause between the checks.
	confirmAttempts = 2
	confirmPause    = 100 * time.Millisecond
	// maxPendingCrashes is the maximum number of endpoints that are checked at once, and
	// maxPendingParts that of parts reported for one of them.
	maxPendingCrashes = 64
	maxPendingParts   = 256
	// maxCrashed is the maximum number of crashed endpoints whose restart is waited for.
	maxCrashed = 64
)

// CrashConfirmer records the parts of broken requests in Suspects if the endpoint has
// crashed. A broken connection alone does not show that: the links of this node may be cut.
// It is safe for concurrent use. Its fields are set before use.
type CrashConfirmer struct {
	Suspects *PartSuspects
	// Refuses reports whether the host of an endpoint responds and refuses a new connection
	// to it.
	Refuses func(ctx context.Context, address netip.AddrPort) bool
	// Broadcast announces a crash to the peers at once.
	Broadcast func()
	Log       zerolog.Logger
	Now       func() time.Time

	mu      sync.Mutex
	pending map[uint32]*pendingCrash
	// crashed holds the last endpoints with a confirmed crash.
	crashed []endpointtracker.Endpoint
}

// pendingCrash is a crash that is being confirmed.
type pendingCrash struct {
	at    time.Time
	parts []uint64
}

// processHash returns the hash by which nodes name a process of an endpoint to each other.
func processHash(endpoint endpointtracker.Endpoint) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(endpoint.ID))
	_, _ = sum.Write(strconv.AppendInt(nil, endpoint.StartedAt.UnixMilli(), 10))
	return sum.Sum32()
}

// Report reports that a request with the parts broke at an endpoint before it was answered.
// It doesn't block.
func (c *CrashConfirmer) Report(endpoint endpointtracker.Endpoint, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	process := processHash(endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	crash, ok := c.pending[process]
	switch {
	case !ok && len(c.pending) >= maxPendingCrashes:
		c.log(endpoint, "not checked", len(parts))
		return
	case !ok:
		if c.pending == nil {
			c.pending = map[uint32]*pendingCrash{}
		}
		crash = &pendingCrash{at: c.Now()}
		c.pending[process] = crash
		go c.confirm(endpoint, process)
	}
	for _, part := range parts {
		if len(crash.parts) < maxPendingParts && !slices.Contains(crash.parts, part) {
			crash.parts = append(crash.parts, part)
		}
	}
}

func (c *CrashConfirmer) confirm(endpoint endpointtracker.Endpoint, process uint32) {
	confirmed := c.check(endpoint.Address)
	c.mu.Lock()
	crash := c.pending[process]
	delete(c.pending, process)
	c.mu.Unlock()
	if !confirmed {
		c.log(endpoint, "not confirmed", len(crash.parts))
		return
	}
	c.log(endpoint, "confirmed", len(crash.parts))
	c.Suspects.RecordCrash(c.Now(), crash.at, crash.parts, process)
	c.rememberCrash(endpoint)
	c.Broadcast()
}

func (c *CrashConfirmer) rememberCrash(endpoint endpointtracker.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashed) >= maxCrashed {
		c.crashed = slices.Delete(c.crashed, 0, 1)
	}
	c.crashed = append(c.crashed, endpoint)
}

// ObserveEntry is called with each entry of an endpoint in the directory. A process at the
// address of a crashed one that started later shows that the crash was one.
func (c *CrashConfirmer) ObserveEntry(endpoint endpointtracker.Endpoint) {
	c.mu.Lock()
	var ended []endpointtracker.Endpoint
	c.crashed = slices.DeleteFunc(c.crashed, func(crashed endpointtracker.Endpoint) bool {
		replaced := crashed.Address == endpoint.Address && endpoint.StartedAt.After(crashed.StartedAt)
		if replaced {
			ended = append(ended, crashed)
		}
		return replaced
	})
	c.mu.Unlock()
	for _, crashed := range ended {
		c.Suspects.RecordRestart(processHash(crashed))
		c.log(crashed, "restarted", 0)
	}
}

func (c *CrashConfirmer) check(address netip.AddrPort) bool {
	for attempt := range confirmAttempts {
		if attempt > 0 {
			time.Sleep(confirmPause)
		}
		if c.Refuses(context.Background(), address) {
			return true
		}
	}
	return false
}

func (c *CrashConfirmer) log(endpoint endpointtracker.Endpoint, outcome string, parts int) {
	c.Log.Warn().Str("event", "endpoint crash").Str("outcome", outcome).Str("endpoint", endpoint.ID).
		Stringer("address", endpoint.Address).Int("parts", parts).Send()
}
