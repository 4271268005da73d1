package retrier

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// Verdict tells whether and how a request may run, given the endpoint crashes
// that were counted for it.
type Verdict int

// The values of Verdict.
const (
	// VerdictAllow allows the request without restriction.
	VerdictAllow Verdict = iota
	// VerdictExclusive allows the request on an endpoint that runs no other
	// request.
	VerdictExclusive
	// VerdictRefuse refuses the request.
	VerdictRefuse
)

// crashLimit is the number of crashes at which a request is refused.
const crashLimit = 2

type crashRecord struct {
	// byNode is keyed by the hash of the observing node's name.
	byNode map[uint32]uint8
	last   time.Time
}

func (c crashRecord) total() int {
	sum := 0
	for _, n := range c.byNode {
		sum += int(n)
	}
	return sum
}

// Suspects counts, per request fingerprint, the endpoint crashes that happened
// while the request was running, as observed by this node and by its peers. It is
// safe for concurrent use.
type Suspects struct {
	Node string
	// Expiry is the time after the last crash at which a record is removed.
	Expiry time.Duration

	mu      sync.Mutex
	records map[uint64]crashRecord
}

// RecordCrash counts a crash that this node observed.
func (s *Suspects) RecordCrash(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := nodeHash(s.Node)
	s.set(now, fingerprint, self, s.records[fingerprint].byNode[self]+1)
}

// nodeHash returns the hash by which nodes name an observer to each other.
func nodeHash(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum32()
}

// Update records the number of crashes that an observer saw while the request was
// running, as told by a peer. A number that is not higher than the recorded one is
// ignored, since counts only grow.
func (s *Suspects) Update(now time.Time, peer string, suspect peertracker.Suspect) {
	observer := suspect.Observer
	if observer == 0 {
		observer = nodeHash(peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if observer == nodeHash(s.Node) || suspect.Crashes <= s.records[suspect.Fingerprint].byNode[observer] {
		return
	}
	s.set(now, suspect.Fingerprint, observer, suspect.Crashes)
}

func (s *Suspects) set(now time.Time, fingerprint uint64, node uint32, count uint8) {
	if s.records == nil {
		s.records = map[uint64]crashRecord{}
	}
	record, ok := s.records[fingerprint]
	if !ok {
		record.byNode = map[uint32]uint8{}
	}
	record.byNode[node] = count
	record.last = now
	s.records[fingerprint] = record
}

// Check returns the verdict on a request.
func (s *Suspects) Check(now time.Time, fingerprint uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	total := s.records[fingerprint].total()
	switch {
	case total == 0:
		return VerdictAllow
	case total < crashLimit:
		return VerdictExclusive
	default:
		return VerdictRefuse
	}
}

// Clear removes the record of a request that completed without a crash. A peer
// that observed crashes itself reports them again with its next heartbeat,
// until its own record expires or is cleared.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, fingerprint)
}

// Local returns at most n of the counts that this node observed, to be sent to
// its peers.
func (s *Suspects) Local(now time.Time, n int) []peertracker.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var counts []peertracker.Suspect
	self := nodeHash(s.Node)
	for fingerprint, record := range s.records {
		if count := record.byNode[self]; count > 0 && len(counts) < n {
			counts = append(counts, peertracker.Suspect{Fingerprint: fingerprint, Crashes: count})
		}
	}
	return counts
}

// Known returns at most n of the counts of all observers, those of the latest crashes
// first, for nodes that this one passes them on to.
func (s *Suspects) Known(now time.Time, n int) []peertracker.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	fingerprints := slices.SortedFunc(maps.Keys(s.records), func(a, b uint64) int {
		return cmp.Or(s.records[b].last.Compare(s.records[a].last), cmp.Compare(a, b))
	})
	var counts []peertracker.Suspect
	for _, fingerprint := range fingerprints {
		for observer, count := range s.records[fingerprint].byNode {
			counts = append(counts, peertracker.Suspect{Fingerprint: fingerprint, Crashes: count, Observer: observer})
		}
		if len(counts) >= n {
			return counts[:n]
		}
	}
	return counts
}

func (s *Suspects) expire(now time.Time) {
	for fingerprint, record := range s.records {
		if now.Sub(record.last) >= s.Expiry {
			delete(s.records, fingerprint)
		}
	}
}
