// Package resumer decides where a stream that broke off may go on: only at endpoints of the
// software build that began it, since what two builds write does not fit together.
//
// The build of a stream is that of the process that sent its first event. Processes works it
// out from the entries of the directory. What a node knows of the directory may be out of date,
// and a process may have the id and the address of an earlier one, so the build is known only
// if the directory was read about the time of the answer, and it is confirmed by what is read
// later. Streams keeps the builds of recent streams of all nodes, so that a caller can take a
// stream up at any node. A stream whose build is not known does not go on.
//
// # Usage
//
//	processes := &resumer.Processes{MaxAge: 1800 * time.Millisecond, Now: sinceBoot}
//	processes.Observe(endpoint)
//	processes.RecordRead(at)
//	streams := &resumer.Streams{Processes: processes, Ask: ask}
//	beginning := streams.Begin(endpoint) // at the first event
//	streams.Announce(requestID, beginning)
//	build, known := streams.Origin(ctx, requestID) // at any node
package resumer

import (
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

const (
	// maxProcesses is the number of processes with one id that are remembered.
	maxProcesses = 4
	// processTTL is how long a process that is not listed any more is remembered. Streams do not
	// last longer.
	processTTL = 2 * time.Minute
	// clockSlack bounds the difference between the clocks of endpoints' hosts and of this one.
	clockSlack = 500 * time.Millisecond
	// confirmAfter is how long after an answer began the directory must have been read to
	// confirm which process began it. A process writes its entry when it starts.
	confirmAfter = 500 * time.Millisecond
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

// process is a process of an endpoint, by its newest entry.
type process struct {
	endpoint endpointtracker.Endpoint
	// listed is set while the directory has its entry; otherwise notedAt is when it last had.
	listed  bool
	notedAt time.Time
}

// Processes remembers the processes of all endpoints. Its exported fields are set before use,
// and it is safe for concurrent use.
type Processes struct {
	// MaxAge is how old what is known of the directory may be when an answer begins. It is
	// shorter than the time in which an endpoint starts again.
	MaxAge time.Duration
	// Now is a clock that counts the time for which the host was suspended, and that no
	// adjustment of the wall clock affects.
	Now func() time.Time

	mu   sync.Mutex
	byID map[string][]process
	// readAt is the time as of which the directory was read.
	readAt time.Time
}

// Observe records a directory entry.
func (p *Processes) Observe(endpoint endpointtracker.Endpoint) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[string][]process{}
	}
	known := p.byID[endpoint.ID]
	i := slices.IndexFunc(known, func(k process) bool { return k.endpoint.SameProcess(endpoint) })
	if i < 0 {
		known = append(known, process{})
		i = len(known) - 1
	}
	known[i].endpoint, known[i].notedAt = endpoint, now
	slices.SortStableFunc(known, func(a, b process) int { return a.endpoint.StartedAt.Compare(b.endpoint.StartedAt) })
	p.byID[endpoint.ID] = known[max(len(known)-maxProcesses, 0):]
}

// RecordRead records that all entries which were written before at have been observed.
func (p *Processes) RecordRead(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.readAt) {
		p.readAt = at
	}
}

// Age returns how old what has been read of the directory is.
func (p *Processes) Age() time.Duration {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.readAt)
}

// SetListed records which endpoints the directory lists. Others are forgotten after a while.
func (p *Processes) SetListed(services map[string][]endpointtracker.Endpoint) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byID {
		for i := range known {
			listed := slices.ContainsFunc(services[known[i].endpoint.Service], known[i].endpoint.SameProcess)
			if listed || known[i].listed {
				known[i].notedAt = now
			}
			known[i].listed = listed
		}
		known = slices.DeleteFunc(known, func(k process) bool { return now.Sub(k.notedAt) >= processTTL })
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
// confirmed is set if the directory has been read since, so that no other process can turn out
// to have begun it.
func (p *Processes) Build(beginning Beginning) (build Build, known, confirmed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var latest, former process
	for _, candidate := range p.byID[beginning.Endpoint.ID] {
		if !candidate.endpoint.StartedAt.After(beginning.wall.Add(clockSlack)) {
			former, latest = latest, candidate
		}
	}
	build = Build{Service: latest.endpoint.Service, Version: latest.endpoint.Build}
	isCurrent := beginning.at.Sub(p.readAt) < p.MaxAge
	// By its clock, the latest process may have started only after the answer began.
	overlaps := latest.endpoint.StartedAt.After(beginning.wall.Add(-clockSlack)) &&
		former.endpoint.ID != "" && former.endpoint.Build != latest.endpoint.Build
	if !isCurrent || overlaps || build.Version == "" {
		return Build{}, false, false
	}
	return build, true, p.readAt.Sub(beginning.at) >= confirmAfter
}

// Sole returns the build of all processes of a service that may have begun a stream; false if
// there were several builds, or if what is known of the directory may be old.
func (p *Processes) Sole(service string) (Build, bool) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	build := Build{Service: service}
	for _, known := range p.byID {
		for _, k := range known {
			if k.endpoint.Service != service || !k.listed && now.Sub(k.notedAt) >= processTTL {
				continue
			}
			if k.endpoint.Build == "" || build.Version != "" && build.Version != k.endpoint.Build {
				return Build{}, false
			}
			build.Version = k.endpoint.Build
		}
	}
	return build, build.Version != "" && now.Sub(p.readAt) < p.MaxAge
}
