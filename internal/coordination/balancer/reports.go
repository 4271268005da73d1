package balancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// Load is an endpoint's report of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on the endpoint's host at the moment, where 1 is normal; zero
	// if the endpoint does not say.
	Pace float64
}

// Reporter says whose load a peer reports; see package organizer.
type Reporter int

// The values of Reporter.
const (
	// Member is a peer that reports its own load, and that of its own members, to this
	// node only.
	Member Reporter = iota
	// Hub is a peer that reports its own load and that of its members to all hubs.
	Hub
	// Home is the peer that reports the load of all nodes, including this one.
	Home
)

// peer is a peer's reported load on endpoints, keyed by the hash of the endpoint's ID.
type peer struct {
	reporter   Reporter
	receivedAt time.Time
	loads      map[uint32]peertracker.Load
}

// sums are the loads of all reporters but the home, those of members among them, and
// what this node reported last.
type sums struct {
	others   map[uint32]peertracker.Load
	members  map[uint32]peertracker.Load
	reported map[uint32]peertracker.Load
	// total is what Total last summed up, kept for its memory only.
	total map[uint32]peertracker.Load
}

// emptied returns an empty map that reuses the memory of another one.
func emptied(loads map[uint32]peertracker.Load) map[uint32]peertracker.Load {
	if loads == nil {
		return map[uint32]peertracker.Load{}
	}
	clear(loads)
	return loads
}

// add adds a load n times; n is 1 or -1.
func add(sum map[uint32]peertracker.Load, load peertracker.Load, n int) {
	total := sum[load.Endpoint]
	total.Endpoint = load.Endpoint
	total.Running += n * load.Running
	total.Tokens += n * load.Tokens
	total.Reading += n * load.Reading
	if total.Running == 0 && total.Tokens == 0 && total.Reading == 0 {
		delete(sum, load.Endpoint)
		return
	}
	sum[load.Endpoint] = total
}

// HandleReport replaces a peer's reported load on the endpoints of a report.
func (b *Balancer) HandleReport(node string, reporter Reporter, now time.Time, report peertracker.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = map[string]*peer{}
		b.sums.others, b.sums.members = map[uint32]peertracker.Load{}, map[uint32]peertracker.Load{}
	}
	p, ok := b.peers[node]
	if ok && p.reporter != reporter {
		b.forget(node)
		ok = false
	}
	if !ok {
		p = &peer{reporter: reporter, loads: map[uint32]peertracker.Load{}}
		b.peers[node] = p
	}
	p.receivedAt = now
	for endpoint, load := range p.loads {
		if endpoint >= report.First && endpoint <= report.Last {
			b.count(p, load, -1)
			delete(p.loads, endpoint)
		}
	}
	for _, load := range report.Loads {
		b.count(p, load, 1)
		b.silences.record(reporter, now, load)
		p.loads[load.Endpoint] = load
	}
}

func (b *Balancer) count(p *peer, load peertracker.Load, n int) {
	b.silences.count(p.reporter, load, n)
	if p.reporter != Home {
		add(b.sums.others, load, n)
	}
	if p.reporter == Member {
		add(b.sums.members, load, n)
	}
}

// Forget drops what a peer has reported.
func (b *Balancer) Forget(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(node)
}

func (b *Balancer) forget(node string) {
	p, ok := b.peers[node]
	if !ok {
		return
	}
	for _, load := range p.loads {
		b.count(p, load, -1)
	}
	delete(b.peers, node)
}

// expire drops the reports of peers that have not reported for peerReportTTL.
func (b *Balancer) expire(now time.Time) {
	for node, p := range b.peers {
		if now.Sub(p.receivedAt) >= peerReportTTL {
			b.forget(node)
		}
	}
}

// Report returns the load of this node and its members, ordered by endpoint, to be sent
// to the home or to other hubs.
func (b *Balancer) Report(now time.Time) []peertracker.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.sums.reported = emptied(b.sums.reported)
	for _, load := range b.sums.members {
		add(b.sums.reported, load, 1)
	}
	b.addOwn(b.sums.reported)
	b.addSilences(now, b.sums.reported, false)
	b.updateBusy(now)
	return sorted(b.sums.reported)
}

// Total returns the load of all nodes, ordered by endpoint, to be sent to members.
func (b *Balancer) Total(now time.Time) []peertracker.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.sums.total = emptied(b.sums.total)
	total := b.sums.total
	for _, load := range b.sums.others {
		add(total, load, 1)
	}
	for _, p := range b.peers {
		if p.reporter != Home {
			continue
		}
		for endpoint := range p.loads {
			add(total, b.homeLoad(p, endpoint), 1)
		}
	}
	b.addOwn(total)
	b.addSilences(now, total, true)
	return sorted(total)
}

func (b *Balancer) addOwn(sum map[uint32]peertracker.Load) {
	for _, state := range b.states {
		if state.running > 0 {
			add(sum, peertracker.Load{Endpoint: state.hash, Running: state.running, Tokens: state.tokens, Reading: state.prefillTokens}, 1)
		}
	}
}

func sorted(loads map[uint32]peertracker.Load) []peertracker.Load {
	list := make([]peertracker.Load, 0, len(loads))
	for _, load := range loads {
		list = append(list, load)
	}
	slices.SortFunc(list, func(a, b peertracker.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// peerLoad returns the load on an endpoint that other nodes have reported.
func (b *Balancer) peerLoad(hash uint32) peertracker.Load {
	load := b.sums.others[hash]
	for _, p := range b.peers {
		if p.reporter == Home {
			home := b.homeLoad(p, hash)
			load.Running += home.Running
			load.Tokens += home.Tokens
			load.Reading += home.Reading
		}
	}
	return load
}

// homeLoad returns the load that the home has reported, less what this node has reported
// to it and counts itself.
func (b *Balancer) homeLoad(home *peer, hash uint32) peertracker.Load {
	load, own := home.loads[hash], b.sums.reported[hash]
	return peertracker.Load{
		Endpoint: hash, Running: max(load.Running-own.Running, 0),
		Tokens: max(load.Tokens-own.Tokens, 0), Reading: max(load.Reading-own.Reading, 0),
	}
}

// AllEndpoints is the range of a report on all endpoints.
func AllEndpoints(loads []peertracker.Load) peertracker.LoadReport {
	return peertracker.LoadReport{First: 0, Last: math.MaxUint32, Loads: loads}
}

// IDHash returns the hash of an ID: of an endpoint's ID in load reports between
// nodes, and of an endpoint's ID or a model's name in announced changes.
func IDHash(id string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum32()
}

// UpdateEndpointLoad records an endpoint's report of its own load.
func (b *Balancer) UpdateEndpointLoad(id string, now time.Time, reported Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	state.reported, state.reportedAt, state.runningAtReport = reported, now, state.running
	if reported.Pace > 0 {
		b.paces.own = now
		state.recordPace(now, reported.Pace)
	}
}

// RecordRefusal records that an endpoint refused a request for lack of capacity.
func (b *Balancer) RecordRefusal(id string, now time.Time) { b.backoff(id, now.Add(fullBackoff)) }

// RecordHold records that an endpoint has asked for no requests from this node for a
// time. Unlike a backoff, it does not end early.
func (b *Balancer) RecordHold(id string, now time.Time, hold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state := b.endpointState(id); state.holdUntil.Before(now.Add(hold)) {
		state.holdUntil = now.Add(hold)
	}
}

// Held reports whether an endpoint has asked for no requests from this node now.
func (b *Balancer) Held(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.endpointState(id).holdUntil)
}

// HoldLeft returns how long all endpoints that may take a request have asked for no
// requests, or take no more by their limits: the time until the first of them may get one;
// zero if one may get it now. That endpoints are cold counts only if all are: otherwise the
// request waits for one that is not.
func (b *Balancer) HoldLeft(now time.Time, request Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	allCold := b.allCold(now, request)
	var shortest time.Duration
	for _, endpoint := range request.Endpoints {
		if endpoint.Leaving || request.Avoid[endpoint.ID] {
			continue
		}
		left := b.endpointState(endpoint.ID).holdUntil.Sub(now)
		if b.Permits != nil {
			left = max(left, b.Permits.Wait(now, endpoint))
		}
		if allCold {
			left = max(left, b.Cold.Wait(now, endpoint))
		}
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// allCold reports whether all endpoints that may take a request are cold.
func (b *Balancer) allCold(now time.Time, request Request) bool {
	if b.Cold == nil || !b.Cold.Any() {
		return false
	}
	for _, endpoint := range request.Endpoints {
		if !endpoint.Leaving && !request.Avoid[endpoint.ID] && !b.Cold.IsCold(now, endpoint) {
			return false
		}
	}
	return true
}

// RecordLoading records that an endpoint is loading weights and refuses
// requests.
func (b *Balancer) RecordLoading(id string, now time.Time) {
	b.backoff(id, now.Add(loadingBackoff))
}

// RecordFailure records that an endpoint could not be reached or that a request
// to it was given up.
func (b *Balancer) RecordFailure(id string, now time.Time) {
	b.mu.Lock()
	state := b.endpointState(id)
	backoff := min(failureBackoff<<min(state.failures, 8), maxFailureBackoff)
	state.failures++
	b.mu.Unlock()
	b.backoff(id, now.Add(backoff))
}

// SetPathLost records that this node has lost its links to all endpoints, or has them back. Then
// its failures say nothing of the endpoints. While they are lost, the silence of an endpoint
// says nothing either, since older requests may wait for answers that can't arrive.
func (b *Balancer) SetPathLost(lost bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pathLost = lost
	for _, state := range b.states {
		state.lastActivity = now
		if state.failures > 0 {
			state.backoffUntil, state.failures = time.Time{}, 0
		}
	}
}

// ResetBackoff ends an endpoint's backoff and resets its failure count.
func (b *Balancer) ResetBackoff(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	state.backoffUntil, state.failures = time.Time{}, 0
}

// RecordActivity records that an endpoint sent data.
func (b *Balancer) RecordActivity(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.endpointState(id)
	state.lastActivity, state.heardAt = now, now
}

func (b *Balancer) backoff(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state := b.endpointState(id); state.backoffUntil.Before(until) {
		state.backoffUntil = until
	}
}
