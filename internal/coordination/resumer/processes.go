// Package resumer decides where a stream that broke off may go on: only at endpoints of the
// software build that began it, since what two builds write does not fit together.
//
// The build of a stream is that of the process that sent its first event. Processes works it
// out from what the directory and the endpoints say of themselves. The directory may be out
// of date, and a process may have the id and the address of an earlier one, so a process
// counts as the one that answered only if it was seen alive about that time. Streams keeps
// the builds of recent streams of all nodes, so that a caller can take a stream up at any
// node. A stream whose build is not known does not go on.
//
// # Usage
//
//	processes := &resumer.Processes{MaxAge: 1800 * time.Millisecond, Now: sinceBoot}
//	processes.Observe(endpoint, true)
//	streams := &resumer.Streams{Processes: processes, Ask: ask}
//	beginning := streams.Begin(endpoint) // at the first event
//	streams.Announce(requestID, beginning)
//	build, known := streams.Origin(ctx, requestID) // at any node
package resumer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// maxProcesses is the number of processes with one id that are remembered.
	maxProcesses = 4
	// processTTL is how long a process that was not seen is remembered. Streams do not last
	// longer.
	processTTL = 2 * time.Minute
	// clockSlack bounds the difference between the clocks of endpoints' hosts and of this one.
	clockSlack = 500 * time.Millisecond
	// maxTick is the longest time between two calls of Collect of a process that runs. After a
	// longer one, entries that were read before it still arrive for catchUp.
	maxTick = 400 * time.Millisecond
	catchUp = 500 * time.Millisecond
)

// Build is the version of the software of an endpoint of a service.
type Build struct {
	Service string
	Version string
}

// Beginning is the first event of an answer.
type Beginning struct {
	// Endpoint is the entry of the endpoint that the request was sent to.
	Endpoint endpointtracker.Endpoint
	// at is the time by Processes.Now, and wall by the wall clock.
	at   time.Time
	wall time.Time
}

// sighting is a process of an endpoint.
type sighting struct {
	endpoint endpointtracker.Endpoint
	// seenAt is when the process was last seen alive; zero if it never was.
	seenAt time.Time
	// notedAt is when anything was last heard of it.
	notedAt time.Time
}

// Processes remembers the processes of all endpoints. Its exported fields are set before use,
// and it is safe for concurrent use.
type Processes struct {
	// MaxAge is how long before an answer the process must have been seen alive to count as
	// the one that answered. It is shorter than the time in which an endpoint starts again.
	MaxAge time.Duration
	// Now is a clock that counts the time for which the host was suspended, and that no
	// adjustment of the wall clock affects.
	Now func() time.Time

	mu       sync.Mutex
	byID     map[string][]sighting
	prunedAt time.Time
	// tickedAt is when tick was last called, stoodUntil the end of the last time for which this
	// process did not run.
	tickedAt   time.Time
	stoodUntil time.Time
}

// tick records that this process runs. What it has read may be old if it did not run for a
// while, because it was stopped or its host was suspended.
func (p *Processes) tick(now time.Time) {
	if !p.tickedAt.IsZero() && now.Sub(p.tickedAt) > maxTick {
		p.stoodUntil = now
	}
	p.tickedAt = now
}

// isCurrent reports whether what this process reads now can't be old.
func (p *Processes) isCurrent(now time.Time) bool {
	if p.tickedAt.IsZero() {
		return true
	}
	return now.Sub(p.tickedAt) <= maxTick && (p.stoodUntil.IsZero() || now.Sub(p.stoodUntil) > catchUp)
}

// Observe records a directory entry. alive is set if the entry was just written, so that its
// process was alive.
func (p *Processes) Observe(endpoint endpointtracker.Endpoint, alive bool) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[string][]sighting{}
	}
	p.prune(now)
	known := p.byID[endpoint.ID]
	i := slices.IndexFunc(known, func(s sighting) bool { return s.endpoint.SameProcess(endpoint) })
	if i < 0 {
		known = append(known, sighting{})
		i = len(known) - 1
	}
	known[i].endpoint, known[i].notedAt = endpoint, now
	if alive && p.isCurrent(now) {
		known[i].seenAt = now
	}
	slices.SortStableFunc(known, func(a, b sighting) int { return a.endpoint.StartedAt.Compare(b.endpoint.StartedAt) })
	p.byID[endpoint.ID] = known[max(len(known)-maxProcesses, 0):]
}

// ObserveAlive records that the process at an address said itself that it is alive and when
// it started.
func (p *Processes) ObserveAlive(address netip.AddrPort, startedAt time.Time) {
	if startedAt.IsZero() {
		return
	}
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCurrent(now) {
		return
	}
	for _, known := range p.byID {
		for i, s := range known {
			if s.endpoint.Address == address && s.endpoint.StartedAt.Equal(startedAt) {
				known[i].seenAt, known[i].notedAt = now, now
			}
		}
	}
}

// prune forgets processes of which nothing was heard for a long time.
func (p *Processes) prune(now time.Time) {
	if now.Sub(p.prunedAt) < processTTL {
		return
	}
	p.prunedAt = now
	for id, known := range p.byID {
		known = slices.DeleteFunc(known, func(s sighting) bool { return now.Sub(s.notedAt) >= processTTL })
		if p.byID[id] = known; len(known) == 0 {
			delete(p.byID, id)
		}
	}
}

// Begin returns the beginning of an answer whose first event has just arrived.
func (p *Processes) Begin(endpoint endpointtracker.Endpoint) Beginning {
	return Beginning{Endpoint: endpoint, at: p.Now(), wall: time.Now()}
}

// Build returns the build of the process that began an answer; false if it is not known.
// It may be known later on.
func (p *Processes) Build(beginning Beginning) (Build, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest, former sighting
	for _, s := range p.byID[beginning.Endpoint.ID] {
		if !s.endpoint.StartedAt.After(beginning.wall.Add(clockSlack)) {
			former, latest = latest, s
		}
	}
	build := Build{Service: latest.endpoint.Service, Version: latest.endpoint.Build}
	seen := !latest.seenAt.IsZero() && beginning.at.Sub(latest.seenAt) < p.MaxAge
	// By its clock, the latest process may have started only after the answer began.
	overlaps := latest.endpoint.StartedAt.After(beginning.wall.Add(-clockSlack)) &&
		former.endpoint.ID != "" && former.endpoint.Build != latest.endpoint.Build
	if !seen || overlaps || build.Version == "" {
		return Build{}, false
	}
	return build, true
}

// Sole returns the build of all processes of a service that this node knows of and that may have
// begun a stream; false if there were several builds, or if none of the processes was seen alive
// just now, so that this node may not know all of them.
func (p *Processes) Sole(service string) (Build, bool) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	build, current := Build{Service: service}, false
	for _, known := range p.byID {
		for _, s := range known {
			if s.endpoint.Service != service || now.Sub(s.notedAt) >= processTTL {
				continue
			}
			if s.endpoint.Build == "" || build.Version != "" && build.Version != s.endpoint.Build {
				return Build{}, false
			}
			build.Version = s.endpoint.Build
			current = current || !s.seenAt.IsZero() && now.Sub(s.seenAt) < p.MaxAge
		}
	}
	return build, current
}
