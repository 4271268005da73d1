package retrier

import "time"

// maxSurvivals is the number of parts from which the older half of survivals is dropped.
const maxSurvivals = 1024

// survivals holds when endpoints last answered requests with parts, for the parts of the
// latest requests.
type survivals struct {
	latest map[uint64]time.Time
	older  map[uint64]time.Time
}

func (s *survivals) add(part uint64, at time.Time) {
	if s.latest == nil || len(s.latest) >= maxSurvivals {
		s.latest, s.older = map[uint64]time.Time{}, s.latest
	}
	s.latest[part] = at
}

// last returns the zero time if none is known.
func (s *survivals) last(part uint64) time.Time {
	if at, ok := s.latest[part]; ok {
		return at
	}
	return s.older[part]
}
