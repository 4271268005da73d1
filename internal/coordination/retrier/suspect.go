package retrier

import (
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/observer"
)

// Verdict tells how a request with a history of crashes may run.
type Verdict int

// The verdicts on a request.
const (
	// VerdictFree lets the request run like any other.
	VerdictFree Verdict = iota
	// VerdictAlone lets the request run where nothing else runs.
	VerdictAlone
	// VerdictRefuse refuses the request.
	VerdictRefuse
)

// refuseCrashes is the number of crashes after which a request is refused.
const refuseCrashes = 2

type crashes struct {
	byNode map[string]uint8
	last   time.Time
}

func (c crashes) total() int {
	sum := 0
	for _, n := range c.byNode {
		sum += int(n)
	}
	return sum
}

// Suspects counts, per request fingerprint, the endpoints that crashed while
// the request ran, on this node and on its peers. It is safe for concurrent use.
type Suspects struct {
	// Node is this node's name.
	Node string
	// Expiry is the time after the last crash when a request is forgotten.
	Expiry time.Duration

	mu   sync.Mutex
	held map[uint64]crashes
}

// Crash counts a crash that this node saw.
func (s *Suspects) Crash(now time.Time, fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(now, fingerprint, s.Node, s.held[fingerprint].byNode[s.Node]+1)
}

// Learn takes in a peer's own count; a lower count than held changes nothing.
func (s *Suspects) Learn(now time.Time, node string, suspect observer.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if node == s.Node || suspect.Crashes <= s.held[suspect.Fingerprint].byNode[node] {
		return
	}
	s.set(now, suspect.Fingerprint, node, suspect.Crashes)
}

func (s *Suspects) set(now time.Time, fingerprint uint64, node string, count uint8) {
	if s.held == nil {
		s.held = map[uint64]crashes{}
	}
	entry, ok := s.held[fingerprint]
	if !ok {
		entry.byNode = map[string]uint8{}
	}
	entry.byNode[node] = count
	entry.last = now
	s.held[fingerprint] = entry
}

// Judge returns the verdict on a request.
func (s *Suspects) Judge(now time.Time, fingerprint uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	total := s.held[fingerprint].total()
	switch {
	case total == 0:
		return VerdictFree
	case total < refuseCrashes:
		return VerdictAlone
	default:
		return VerdictRefuse
	}
}

// Clear forgets a request that ran to its end; it crashed nothing.
func (s *Suspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, fingerprint)
}

// Own returns the newest counts of this node, at most n, for its peers.
func (s *Suspects) Own(now time.Time, n int) []observer.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var own []observer.Suspect
	for fingerprint, entry := range s.held {
		if count := entry.byNode[s.Node]; count > 0 && len(own) < n {
			own = append(own, observer.Suspect{Fingerprint: fingerprint, Crashes: count})
		}
	}
	return own
}

func (s *Suspects) expire(now time.Time) {
	for fingerprint, entry := range s.held {
		if now.Sub(entry.last) >= s.Expiry {
			delete(s.held, fingerprint)
		}
	}
}
