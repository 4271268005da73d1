package relayer

import (
	"sync"
	"time"
)

// Fetches records until when engines may fetch parts for requests that this node has placed.
// The node announces a version as given up only after that, so that peers may free its parts at
// once. The zero Fetches is ready to use and safe for concurrent use.
type Fetches struct {
	mu sync.Mutex
	// ends holds, for each model and version, when the last fetch ends.
	ends map[string]map[int64]time.Time
}

// Record records a fetch of parts of a version that ends at the given time at the latest. It is
// called before the node checks whether the version is retained.
func (f *Fetches) Record(model string, version int64, end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ends == nil {
		f.ends = map[string]map[int64]time.Time{}
	}
	if f.ends[model] == nil {
		f.ends[model] = map[int64]time.Time{}
	}
	if end.After(f.ends[model][version]) {
		f.ends[model][version] = end
	}
}

// Oldest returns the oldest version of a model that engines may still fetch for this node, or
// retained if there is none before it.
func (f *Fetches) Oldest(now time.Time, model string, retained int64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := retained
	for version, end := range f.ends[model] {
		switch {
		case !end.After(now):
			delete(f.ends[model], version)
		case version < oldest:
			oldest = version
		}
	}
	return oldest
}
