// Package throttler keeps to the limits on requests that endpoints name for themselves: so
// many requests a second from all nodes together.
//
// A share for each node would not do: with a small limit and many nodes, a share is far
// below one request, so that nodes either starve the endpoint or exceed its limit. Instead
// one node, the Issuer of an endpoint, hands out permits for single requests, and the others
// ask it for them when they have requests for the endpoint. Limits is what a node knows of
// the limits, and Permits the permits that it holds. Package relayer carries both between
// the nodes and chooses the Issuer.
//
// An endpoint may also be brittle: it bears few refusals, so that the nodes need leases for its
// places, see brittle.go.
//
// A limit belongs to a process. A later process with the same id or address has none until
// it names one.
//
// # Usage
//
//	limits := &throttler.Limits{}
//	permits := &throttler.Permits{Limits: limits, Ask: ask, OnChange: startWaiting, Now: time.Now}
//	limits.Learn(now, throttler.ProcessOf(endpoint), statement, sentAt)
//	if permits.Take(now, endpoint) {
//		// Send the request.
//	}
package throttler

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// restatePeriod is the time after which a repeated statement of the same limit is told to
	// peers again, so that nodes that have just started learn of it.
	restatePeriod = 2 * time.Second
	// newsPeriod is how long a new statement is in each heartbeat.
	newsPeriod = time.Second
	// unlistedTTL is how long the limit of a process that is not in the directory is kept. A
	// peer may know of the process earlier than this node.
	unlistedTTL = 30 * time.Second
	// maxKnown bounds the processes whose limits are kept. The endpoints of a large site all
	// fit.
	maxKnown = 2048
)

// Process identifies a process of an endpoint.
type Process struct {
	// Endpoint is a hash of the endpoint's id.
	Endpoint uint32
	// Started is the start of the process in Unix milliseconds; zero if unknown.
	Started int64
}

// ProcessOf returns the process that a directory entry describes.
func ProcessOf(endpoint endpointtracker.Endpoint) Process {
	process := Process{Endpoint: balancer.IDHash(endpoint.ID)}
	if !endpoint.StartedAt.IsZero() {
		process.Started = endpoint.StartedAt.UnixMilli()
	}
	return process
}

// Statement is what an answer says of the limit of its endpoint.
type Statement struct {
	// Known is unset if the answer says nothing, not even that there is no limit.
	Known bool
	// Limited is set if there is a limit, of Rate requests a second.
	Limited bool
	Rate    float64
	// Brittle is the number of requests for which the endpoint may have no room within a second
	// before it falls over; zero if it is not brittle.
	Brittle float64
}

// known is the limit of one process.
type known struct {
	peertracker.EndpointLimit
	// learnedAt is when this node learned of the present limit, statedAt when it last got a
	// statement that was told to peers.
	learnedAt time.Time
	statedAt  time.Time
}

// Limits holds the limits of all endpoints, as this node and its peers have learned them. It
// is safe for concurrent use.
type Limits struct {
	mu    sync.Mutex
	known map[Process]*known
	// listed holds the processes in the directory.
	listed map[Process]bool
	// any is set while limits are known, so that Rate costs little while there are none.
	any atomic.Bool
}

// Learn records the statement in an answer to a request that was sent at sentAt. It reports
// whether peers must be told. An answer without a limit ends one only if its request was sent
// after the limit was learned: answers of other connections may be older.
func (l *Limits) Learn(now time.Time, process Process, statement Statement, sentAt time.Time) bool {
	if !statement.Known {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	brittle := Statement{Known: true, Limited: statement.Brittle > 0, Rate: statement.Brittle}
	changed := l.learn(now, process.brittleness(), brittle, sentAt)
	return l.learn(now, process, statement, sentAt) || changed
}

func (l *Limits) learn(now time.Time, process Process, statement Statement, sentAt time.Time) bool {
	k, ok := l.known[process]
	limited := ok && !k.Ended
	switch {
	case !statement.Limited && (!limited || !sentAt.After(k.learnedAt)):
		return false
	case statement.Limited && limited && k.Rate == statement.Rate:
		if now.Sub(k.statedAt) < restatePeriod {
			return false
		}
	}
	if !ok {
		k = l.add(now, process)
	}
	changed := limited != statement.Limited || k.Rate != statement.Rate
	if changed {
		k.learnedAt = now
	}
	k.Rate, k.Ended, k.statedAt = statement.Rate, !statement.Limited, now
	// A statement follows all that this node knows of, whatever the clocks of its peers say.
	k.Stamp = max(now.UnixMilli(), k.Stamp+1)
	return changed
}

// add adds a process, in place of the one heard of longest ago if there are too many.
func (l *Limits) add(now time.Time, process Process) *known {
	if l.known == nil {
		l.known = map[Process]*known{}
	}
	if len(l.known) >= maxKnown {
		var oldest Process
		for other, k := range l.known {
			if first, ok := l.known[oldest]; !ok || k.statedAt.Before(first.statedAt) {
				oldest = other
			}
		}
		delete(l.known, oldest)
	}
	k := &known{EndpointLimit: peertracker.EndpointLimit{Endpoint: process.Endpoint, Started: process.Started, Ended: true}, learnedAt: now}
	l.known[process] = k
	l.any.Store(true)
	return k
}

// Merge records what a peer knows and returns the limits that changed by it.
func (l *Limits) Merge(now time.Time, limits []peertracker.EndpointLimit) []peertracker.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []peertracker.EndpointLimit
	for _, limit := range limits {
		process := Process{Endpoint: limit.Endpoint, Started: limit.Started}
		k, ok := l.known[process]
		if ok && k.Stamp >= limit.Stamp {
			continue
		}
		if !ok {
			k = l.add(now, process)
		}
		if k.Ended != limit.Ended || k.Rate != limit.Rate {
			k.learnedAt = now
			changed = append(changed, limit)
		}
		k.EndpointLimit, k.statedAt = limit, now
	}
	return changed
}

// Rate returns the limit of a process in requests a second; limited is false if it has none.
func (l *Limits) Rate(process Process) (rate float64, limited bool) {
	if !l.any.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.known[process]
	if !ok || k.Ended {
		return 0, false
	}
	return k.Rate, true
}

// Of returns the limit of an endpoint in requests a second; zero if it has none.
func (l *Limits) Of(endpoint endpointtracker.Endpoint) float64 {
	if !l.any.Load() {
		return 0
	}
	rate, _ := l.Rate(ProcessOf(endpoint))
	return rate
}

// SetListed records which processes are in the directory. The limits of others are forgotten
// after a while.
func (l *Limits) SetListed(now time.Time, endpoints map[string][]endpointtracker.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = map[Process]bool{}
	for _, list := range endpoints {
		for _, endpoint := range list {
			l.listed[ProcessOf(endpoint)] = true
		}
	}
	l.expire(now)
}

func (l *Limits) expire(now time.Time) {
	for process, k := range l.known {
		if !l.listed[process.Base()] && now.Sub(k.statedAt) >= unlistedTTL || process.isFullness() && now.Sub(k.statedAt) >= penaltyTime {
			delete(l.known, process)
		}
	}
	l.any.Store(len(l.known) > 0)
}

// Known returns limits for a heartbeat: all that were just learned, and n others, chosen at
// random so that each peer gets all in time.
func (l *Limits) Known(now time.Time, n int) []peertracker.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var news, others []peertracker.EndpointLimit
	for _, k := range l.known {
		if now.Sub(k.learnedAt) < newsPeriod {
			news = append(news, k.EndpointLimit)
		} else {
			others = append(others, k.EndpointLimit)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(news, others[:min(n, len(others))]...)
}
