package resumer

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// streamTTL is how long the build of a stream is kept at least, unless there are too many
	// streams. Callers come back sooner.
	streamTTL = 30 * time.Second
	// maxStreams bounds the streams of a period of streamTTL; two periods are kept. A stream
	// takes about 30 bytes.
	maxStreams = 100_000
	// maxBuilds bounds the builds of all kept streams.
	maxBuilds = 4096
	// maxPending bounds the streams whose build is not confirmed, and pendingTTL how long it may
	// become known.
	maxPending = 4096
	pendingTTL = 10 * time.Second
)

// conflicting is the index of a stream that two builds have begun, by what different nodes
// say: its id is no id.
const conflicting = 0

// StreamHash returns the hash by which nodes name a stream to each other.
func StreamHash(id string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum64()
}

// pending is a stream of this node whose build is not confirmed.
type pending struct {
	beginning Beginning
	added     time.Time
	// told is the build that peers have been told of.
	told Build
}

// Streams holds the builds of recent streams. Its exported fields are set before use, and it
// is safe for concurrent use.
type Streams struct {
	*Processes
	// Ask asks peers for the build of a stream.
	Ask func(ctx context.Context, stream uint64) (Build, bool)

	mu sync.Mutex
	// recent and previous hold indices of builds, by stream. previous are those of the last
	// period.
	recent   map[uint64]uint16
	previous map[uint64]uint16
	since    time.Time
	builds   []Build
	pending  map[uint64]pending
}

// Announce makes a stream of this node known to all nodes once its build is known. That holds
// for complete streams too: their callers may have lost the end.
func (s *Streams) Announce(id string, beginning Beginning) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[uint64]pending{}
	}
	if len(s.pending) < maxPending {
		s.pending[StreamHash(id)] = pending{beginning: beginning, added: s.Now()}
	}
}

// Collect returns the streams of this node whose build has become known since the last call, or
// has turned out to be another one. The latter then count as not known at all nodes.
func (s *Streams) Collect() []peertracker.StreamBuild {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var collected []peertracker.StreamBuild
	for stream, p := range s.pending {
		build, known, confirmed := s.Build(p.beginning)
		if known && build != p.told {
			collected = append(collected, peertracker.StreamBuild{Stream: stream, Service: build.Service, Build: build.Version})
			s.add(now, stream, build)
			p.told = build
			s.pending[stream] = p
		}
		if confirmed || now.Sub(p.added) >= pendingTTL {
			delete(s.pending, stream)
		}
	}
	return collected
}

// Add records streams of other nodes.
func (s *Streams) Add(streams []peertracker.StreamBuild) {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range streams {
		s.add(now, stream.Stream, Build{Service: stream.Service, Version: stream.Build})
	}
}

func (s *Streams) add(now time.Time, stream uint64, build Build) {
	if s.recent == nil || now.Sub(s.since) >= streamTTL || len(s.recent) >= maxStreams {
		s.previous, s.recent, s.since = s.recent, map[uint64]uint16{}, now
	}
	index := s.index(build)
	if known, ok := s.find(stream); ok && known != index {
		index = conflicting
	}
	s.recent[stream] = index
}

// index returns the index of a build.
func (s *Streams) index(build Build) uint16 {
	if i := slices.Index(s.builds, build); i > conflicting {
		return uint16(i)
	}
	if len(s.builds) == 0 {
		s.builds = []Build{conflicting: {}}
	}
	if len(s.builds) >= maxBuilds {
		// All streams are forgotten together, so that no index is used twice.
		s.builds, s.previous, s.recent = s.builds[:1], nil, map[uint64]uint16{}
	}
	s.builds = append(s.builds, build)
	return uint16(len(s.builds) - 1)
}

func (s *Streams) find(stream uint64) (uint16, bool) {
	if index, ok := s.recent[stream]; ok {
		return index, true
	}
	index, ok := s.previous[stream]
	return index, ok
}

// Known returns the build of a stream that this node knows of.
func (s *Streams) Known(stream uint64) (Build, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index, ok := s.find(stream); ok {
		return s.builds[index], index != conflicting
	}
	if p, ok := s.pending[stream]; ok {
		build, known, _ := s.Build(p.beginning)
		return build, known
	}
	return Build{}, false
}

// Origin returns the build of the stream that an earlier request began at any node; false if
// no node knows it.
func (s *Streams) Origin(ctx context.Context, id string) (Build, bool) {
	if id == "" {
		return Build{}, false
	}
	stream := StreamHash(id)
	if build, known := s.Known(stream); known {
		return build, true
	}
	return s.Ask(ctx, stream)
}
