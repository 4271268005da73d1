package throttler

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// An endpoint is cold for a while after the start of its process: it then takes only so many
// requests a second and crashes far above that. Each node uses a share of that rate which is safe
// whatever the other nodes do, so that no messages are needed and partitions do not matter.

const (
	// coldSigmas is the number of standard deviations between the expected number of requests in
	// a second and the bound, if each node sends at random times: a second exceeds the bound with
	// a probability of 2.5e-5 at a bound of 35.
	coldSigmas = 4.5
	// coldNodeMargin is the share of additional nodes that the others may not know of yet.
	coldNodeMargin = 0.1
	// coldTokenTTL is how long a token may be unused. If tokens were kept, all nodes would use
	// theirs at the first moment of a burst. Shorter times leave more of them unused: a node
	// gets a request every 140 ms on average.
	coldTokenTTL = 250 * time.Millisecond
	// coldEntryDelay is the longest time from the writing of an entry until it is read. Entries
	// that arrive within it after a loss may have been written before the loss.
	coldEntryDelay = 2 * time.Second
	// countSettleTime is how long after the directory of nodes was listed no token may be used.
	// Nodes that start together enter themselves within that time.
	countSettleTime = time.Second
	// warmTime is the longest time for which a node avoids an endpoint that was cold, and
	// warmCost what is added to its cost at the beginning; a fully loaded endpoint costs 1.
	warmTime = time.Second
	warmCost = 1.0
	// coldRemovedTTL is how long a process that is not in the directory is remembered.
	coldRemovedTTL = 2 * time.Minute
)

// Causes of coldness in the log.
const (
	causeEntry      = "entry"
	causeNewProcess = "new process"
	causeLost       = "lost"
	causeEvacuation = "evacuation ended"
)

// coldState is what a node knows of the process that uses an endpoint's id.
type coldState struct {
	// endpoint is the newest entry.
	endpoint endpointtracker.Endpoint
	// until is the end of the cold time by the entry. since is the start of a cold time of
	// which no entry has said how long it is. Both are zero if there is none.
	until time.Time
	since time.Time
	// lost is set from a failure, or the removal of the entry, until the endpoint answers or its
	// process has renewed the entry.
	lost bool
	// doubtUntil is until when entries can lengthen the cold time but not shorten it.
	doubtUntil time.Time
	cause      string
	removedAt  time.Time
	// token is when the present or next token becomes usable; zero before the first one.
	token time.Time
	// isCold is set while the process counts as cold, and warmAt is when that ended. This node
	// avoids it for warmFor from then.
	isCold  bool
	warmAt  time.Time
	warmFor time.Duration
}

// Cold decides which endpoints are cold and when this node may send them requests. It has no
// effect on services without a cold rate. Its exported fields are set before use, and it is
// safe for concurrent use. It calls nothing while it holds its lock but Random and Log.
type Cold struct {
	// Overrun and Slack are the bound: in any second, all nodes together send a cold endpoint at
	// most Overrun times the cold rate of its service plus Slack requests.
	Overrun float64
	Slack   float64
	// Random returns a number in [0, 1); nil for that of package rand.
	Random func() float64
	// OnWithheld is called when a request did not go to a cold endpoint; nil if not needed.
	OnWithheld func(service string)
	Log        zerolog.Logger

	mu       sync.Mutex
	services map[string]cataloger.Service
	states   map[string]*coldState
	// listed is set once the directory of endpoints has been listed.
	listed bool
	// nodes is the number of nodes; zero before countedAt, when the directory of nodes has been
	// listed.
	nodes     int
	countedAt time.Time
	// active is set while an endpoint is cold or was within warmTime.
	active atomic.Bool
}

// SetServices sets the services of the configuration.
func (c *Cold) SetServices(now time.Time, services map[string]cataloger.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = services
	c.updateAll(now)
}

// SetNodes sets the number of nodes that this node has ever heard of. It must not be called
// before the directory of nodes has been listed.
func (c *Cold) SetNodes(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes == 0 {
		c.countedAt = now
	}
	c.nodes = max(n, 1)
}

// Observe records an entry of the directory of endpoints that was read at its ReceivedAt.
func (c *Cold) Observe(endpoint endpointtracker.Endpoint) {
	now := endpoint.ReceivedAt
	c.mu.Lock()
	defer c.mu.Unlock()
	s, known := c.states[endpoint.ID]
	switch {
	case known && s.endpoint.SameProcess(endpoint) && !restarted(s.endpoint, endpoint):
		if !s.removedAt.IsZero() {
			s.removedAt, s.isCold = time.Time{}, false
		}
		if endpoint.Renewal < s.endpoint.Renewal || sameEntry(s.endpoint, endpoint) {
			return
		}
		s.endpoint = endpoint
		c.renew(now, s)
	case known && !endpoint.StartedAt.IsZero() && endpoint.StartedAt.Before(s.endpoint.StartedAt):
		return
	default:
		s = &coldState{endpoint: endpoint, cause: causeNewProcess}
		if known || c.listed {
			s.since = now
		}
		if c.states == nil {
			c.states = map[string]*coldState{}
		}
		c.states[endpoint.ID] = s
		s.adopt(now)
	}
	c.update(now, s)
}

// restarted reports whether an entry is of a later process although neither says when its
// process started.
func restarted(known, endpoint endpointtracker.Endpoint) bool {
	return endpoint.StartedAt.IsZero() && endpoint.Renewal < known.Renewal
}

// sameEntry reports whether an entry of the same process is the known one, read again.
func sameEntry(known, endpoint endpointtracker.Endpoint) bool {
	if known.Renewal > 0 || endpoint.Renewal > 0 {
		return known.Renewal == endpoint.Renewal
	}
	return known.HasCold == endpoint.HasCold && known.Cold == endpoint.Cold
}

// renew records that a process has renewed its entry.
func (c *Cold) renew(now time.Time, s *coldState) {
	if now.Before(s.doubtUntil) {
		if until := now.Add(s.endpoint.Cold); s.endpoint.HasCold && until.After(s.until) {
			s.until = until
		}
		return
	}
	if s.lost && s.endpoint.StartedAt.IsZero() {
		// It is not known whether the process was restarted.
		s.since = now
	}
	s.lost = false
	s.adopt(now)
}

// adopt takes the cold time from the entry, if it says one.
func (s *coldState) adopt(now time.Time) {
	if s.endpoint.HasCold {
		s.since, s.until, s.cause = time.Time{}, now.Add(s.endpoint.Cold), causeEntry
	}
}

// RecordLoss records that an endpoint refused a connection or broke one off. Another process may
// use its id from now on.
func (c *Cold) RecordLoss(now time.Time, endpoint endpointtracker.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.states[endpoint.ID]; ok && s.endpoint.SameProcess(endpoint) {
		s.lost, s.doubtUntil, s.cause = true, now.Add(coldEntryDelay), causeLost
		c.update(now, s)
	}
}

// RecordAnswer records that an endpoint answered a request. If it was lost, its process may have
// started just before.
func (c *Cold) RecordAnswer(now time.Time, endpoint endpointtracker.Endpoint) {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.states[endpoint.ID]; ok && s.lost && s.endpoint.SameProcess(endpoint) {
		s.lost, s.since = false, now
		c.update(now, s)
	}
}

// RecordRemoved records that the entry of an endpoint was removed. If the directory was
// interrupted, the entry may have expired for that, which says nothing of the process.
func (c *Cold) RecordRemoved(now time.Time, id string, interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.states[id]; ok {
		c.remove(now, s, interrupted)
	}
}

func (c *Cold) remove(now time.Time, s *coldState, interrupted bool) {
	if s.removedAt.IsZero() {
		s.removedAt = now
	}
	if !interrupted && !s.lost {
		s.lost, s.doubtUntil, s.cause = true, now.Add(coldEntryDelay), causeLost
	}
}

// RecordListing records a full listing of the directory of endpoints, after its entries were
// observed.
func (c *Cold) RecordListing(now time.Time, keys map[string]bool, interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = true
	for id, s := range c.states {
		if !keys[id] {
			c.remove(now, s, interrupted)
		}
	}
}

// MarkDomainCold records that the evacuation of a failure domain has ended. Its endpoints are
// cold from now for the time of their service, unless entries that were written later say
// otherwise.
func (c *Cold) MarkDomainCold(now time.Time, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.endpoint.Domain == domain {
			s.since, s.doubtUntil = now, now.Add(coldEntryDelay)
			if !s.lost {
				s.cause = causeEvacuation
			}
			c.update(now, s)
		}
	}
}

// Any reports whether any endpoint is cold or was just before.
func (c *Cold) Any() bool { return c.active.Load() }

// IsCold reports whether an endpoint is cold.
func (c *Cold) IsCold(now time.Time, endpoint endpointtracker.Endpoint) bool {
	if !c.active.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coldState(now, endpoint) != nil
}

// Ready reports whether a request may be sent to an endpoint: it is not cold, or this node has
// a token for it.
func (c *Cold) Ready(now time.Time, endpoint endpointtracker.Endpoint) bool {
	return c.check(now, endpoint, false)
}

// Take uses the token for a request to an endpoint if it is cold. It reports false if there is
// none.
func (c *Cold) Take(now time.Time, endpoint endpointtracker.Endpoint) bool {
	return c.check(now, endpoint, true)
}

func (c *Cold) check(now time.Time, endpoint endpointtracker.Endpoint, take bool) bool {
	if !c.active.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.coldState(now, endpoint)
	if s == nil {
		return true
	}
	interval, ok := c.advance(now, s)
	if !ok || now.Before(s.token) {
		return false
	}
	if take {
		s.token = s.token.Add(interval)
	}
	return true
}

// Wait returns how long an endpoint gets no request from this node because it is cold; zero if
// it may get one now, or if that is not known yet.
func (c *Cold) Wait(now time.Time, endpoint endpointtracker.Endpoint) time.Duration {
	if !c.active.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.coldState(now, endpoint)
	if s == nil {
		return 0
	}
	if _, ok := c.advance(now, s); !ok {
		return 0
	}
	wait := max(s.token.Sub(now), 0)
	if !s.lost {
		wait = min(wait, c.end(s).Sub(now))
	}
	return wait
}

// Cost returns what is added to the cost of an endpoint that was cold. All nodes see it without
// load, so that each avoids it for a random time, and less toward its end: the nodes begin to use
// it one after the other, while its load shows in their reports.
func (c *Cold) Cost(now time.Time, endpoint endpointtracker.Endpoint) float64 {
	if !c.active.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.states[endpoint.ID]
	if !ok {
		return 0
	}
	c.update(now, s)
	left := s.warmAt.Add(s.warmFor).Sub(now)
	if s.isCold || left <= 0 {
		return 0
	}
	return warmCost * min(float64(left)/float64(s.warmFor), 1)
}

// RecordWithheld records that a request did not go to a cold endpoint of a service.
func (c *Cold) RecordWithheld(service string) {
	if c.OnWithheld != nil {
		c.OnWithheld(service)
	}
}

// Sweep notices and logs the ends of cold times, and forgets processes that left the directory.
func (c *Cold) Sweep(now time.Time) {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateAll(now)
}

func (c *Cold) updateAll(now time.Time) {
	active := false
	for id, s := range c.states {
		switch {
		case s.removedAt.IsZero():
			c.update(now, s)
			active = active || s.isCold || now.Before(s.warmAt.Add(s.warmFor))
		case now.Sub(s.removedAt) >= coldRemovedTTL:
			delete(c.states, id)
		}
	}
	c.active.Store(active)
}

// coldState returns the state of an endpoint; nil if it is not cold. An endpoint of a process
// that is not the newest known one gets no more than that one.
func (c *Cold) coldState(now time.Time, endpoint endpointtracker.Endpoint) *coldState {
	s, ok := c.states[endpoint.ID]
	if !ok {
		return nil
	}
	c.update(now, s)
	if !s.isCold {
		return nil
	}
	return s
}

// end returns the end of the cold time of a process that is not lost.
func (c *Cold) end(s *coldState) time.Time {
	end := s.until
	if implied := s.since.Add(c.services[s.endpoint.Service].ColdStart); !s.since.IsZero() && implied.After(end) {
		end = implied
	}
	return end
}

// update notices and logs the beginning or the end of a cold time.
func (c *Cold) update(now time.Time, s *coldState) {
	end := c.end(s)
	isCold := c.services[s.endpoint.Service].ColdRate > 0 && (s.lost || now.Before(end))
	if isCold == s.isCold {
		return
	}
	s.isCold = isCold
	if isCold {
		c.active.Store(true)
		// The first token is drawn now, so that it is used even if there are few requests.
		c.advance(now, s)
	} else {
		s.warmAt, s.warmFor = now, time.Duration(c.random()*float64(warmTime))
	}
	if !s.removedAt.IsZero() {
		return
	}
	interval, _ := c.interval(s)
	line := c.Log.Info().Str("event", "endpoint cold").Str("endpoint", s.endpoint.ID).Str("service", s.endpoint.Service).
		Time("started", s.endpoint.StartedAt).Bool("cold", isCold).Str("cause", s.cause).Bool("lost", s.lost).Int("nodes", c.nodes)
	if isCold && !s.lost {
		line.Dur("remaining", end.Sub(now))
	}
	if interval > 0 {
		line.Float64("share", float64(time.Second)/float64(interval))
	}
	line.Send()
}

// interval returns the time between tokens of this node; false if there are none.
func (c *Cold) interval(s *coldState) (time.Duration, bool) {
	rate := c.services[s.endpoint.Service].ColdRate
	seconds := float64(c.nodes) * (1 + coldNodeMargin) / expectedRate(rate, c.Overrun*rate+c.Slack)
	if c.nodes == 0 || !(seconds < math.MaxInt64/float64(time.Second)) {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// expectedRate returns the number of requests that all nodes together may be expected to send in
// a second: no more than the rate, and so few that their number, which varies like a Poisson
// variable, stays within the bound. A token may be used a while after it became usable, so that
// one second sees the tokens of more than a second.
func expectedRate(rate, bound float64) float64 {
	root := (math.Sqrt(coldSigmas*coldSigmas+4*bound) - coldSigmas) / 2
	return min(root*root/(1+coldTokenTTL.Seconds()), rate)
}

// advance skips tokens that were not used in time, and draws the first one: nodes learn of a cold
// endpoint at nearly the same time and must not all send their first request then. It reports
// false if there are no tokens.
func (c *Cold) advance(now time.Time, s *coldState) (time.Duration, bool) {
	interval, ok := c.interval(s)
	if !ok {
		return 0, false
	}
	if s.token.IsZero() {
		from := now
		if settled := c.countedAt.Add(countSettleTime); settled.After(now) {
			from = settled
		}
		s.token = from.Add(time.Duration(c.random() * float64(interval)))
	}
	if late := now.Sub(s.token) - min(coldTokenTTL, interval); late >= 0 {
		s.token = s.token.Add((late/interval + 1) * interval)
	}
	return interval, true
}

func (c *Cold) random() float64 {
	if c.Random == nil {
		return rand.Float64()
	}
	return c.Random()
}
