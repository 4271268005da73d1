package retrier

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// maxPartRecords is the maximum number of parts that are recorded, and keptPartRecords
	// how many are left of more.
	maxPartRecords  = 1024
	keptPartRecords = 896
	// expirePeriod is the time between searches for expired records.
	expirePeriod = time.Second
	// clearedTTL is how long it is reported that a part is sound.
	clearedTTL = 2 * time.Second
	// weakTTL is how long it is reported that a part crashed an endpoint once.
	weakTTL = 30 * time.Second
	// maxUnrelated is the number of crashes by which a part may exceed another one that
	// explains its crashes: endpoints also end for other reasons.
	maxUnrelated = 1
)

// PartSuspects records which parts of prompts were in the requests that an endpoint had not
// yet answered when it crashed, as observed by this node and its peers. A part that crashed
// enough endpoints, and that none has survived since, is refused. It is safe for concurrent
// use. Its exported fields are set before use.
type PartSuspects struct {
	Node string
	// Expiry is the time after the last crash or refusal at which a record is removed.
	Expiry time.Duration

	mu      sync.Mutex
	records map[uint64]*partRecord
	// survivals is for parts without a record, of which peers may report crashes later.
	survivals survivals
	// expiredAt is when expired records were last removed.
	expiredAt time.Time
}

// PartRefusal says why requests with a part are refused.
type PartRefusal struct {
	// Index is that of the part among those that were checked.
	Index int
	// Crashes is the number of separate crashes, and Observers that of the nodes that saw
	// them.
	Crashes   int
	Observers int
	// SinceFirst and SinceLast are the times since the first and the last of them.
	SinceFirst time.Duration
	SinceLast  time.Duration
}

// PartHash returns the hash by which nodes name a part to each other.
func PartHash(id string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	return sum.Sum64()
}

// PartHashes returns the hashes of parts.
func PartHashes(ids []string) []uint64 {
	hashes := make([]uint64, len(ids))
	for i, id := range ids {
		hashes[i] = PartHash(id)
	}
	return hashes
}

// RecordCrash records that an endpoint crashed at a time while requests with the parts were
// waiting for its answer. endpoint is a hash of its process.
func (s *PartSuspects) RecordCrash(now, at time.Time, parts []uint64, endpoint uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, part := range parts {
		record := s.record(part)
		record.add(partCrash{endpoint: endpoint, observer: nodeHash(s.Node), at: at})
		record.used = now
	}
	s.evict()
}

// RecordRestart records that the directory shows another process in place of an endpoint's,
// whose hash is given. A node that alone saw crashes may refuse a part for them then.
func (s *PartSuspects) RecordRestart(endpoint uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range s.records {
		for i := range record.crashes {
			record.crashes[i].restarted = record.crashes[i].restarted || record.crashes[i].endpoint == endpoint
		}
	}
}

// RecordSurvival records that an endpoint answered a request with the parts.
func (s *PartSuspects) RecordSurvival(now time.Time, parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		s.survivals.add(part, now)
		if record, ok := s.records[part]; ok {
			record.survive(now, now)
		}
	}
}

// Update records what a peer knows of a part. It reports whether the part is refused now
// and was not before.
func (s *PartSuspects) Update(now time.Time, told peertracker.PartSuspect) bool {
	if told.Used >= s.Expiry {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	record := s.record(told.Part)
	before := record.evidence(record.crashes).isEnough()
	isNews := record.merge(now, told)
	s.evict()
	return isNews && !before && record.evidence(record.crashes).isEnough()
}

// Check returns the verdict on a request with the parts and, unless it is VerdictAllow, why.
// VerdictExclusive lets a single request run, to learn whether the part is sound by now. A
// part is not refused for crashes that another part explains which the request does not have.
func (s *PartSuspects) Check(now time.Time, parts []uint64) (Verdict, PartRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var refused []*partRecord
	var refusal PartRefusal
	mayProbe := true
	for i, part := range parts {
		record, ok := s.records[part]
		if !ok || !record.evidence(record.crashes).isEnough() {
			continue
		}
		left := s.leftToExplain(record, parts)
		e := record.evidence(left)
		if !e.isEnough() {
			continue
		}
		if len(refused) == 0 {
			refusal = PartRefusal{
				Index: i, Crashes: e.separate, Observers: e.observers,
				SinceFirst: now.Sub(left[0].at), SinceLast: now.Sub(left[len(left)-1].at),
			}
		}
		refused = append(refused, record)
		mayProbe = mayProbe && record.mayProbe(now, nodeHash(s.Node))
	}
	if len(refused) == 0 {
		return VerdictAllow, PartRefusal{}
	}
	for _, record := range refused {
		record.used = now
		if mayProbe {
			record.probed = now
		}
	}
	if mayProbe {
		return VerdictExclusive, refusal
	}
	return VerdictRefuse, refusal
}

// leftToExplain returns the crashes of a record without those that parts explain that are
// not in the request and crashed about as often, or more.
func (s *PartSuspects) leftToExplain(record *partRecord, parts []uint64) []partCrash {
	left, own := record.crashes, record.evidence(record.crashes)
	for part, other := range s.records {
		e := other.evidence(other.crashes)
		if e.isEnough() && e.separate+maxUnrelated >= own.separate && !slices.Contains(parts, part) {
			left = unexplained(left, other)
		}
	}
	return left
}

// Known returns at most n of the records, to be sent to peers: by turns one with strong
// evidence, one of a part that is sound and one of the others. The strongest evidence comes
// first; the order is otherwise random, so that each record is sent in time.
func (s *PartSuspects) Known(now time.Time, n int) []peertracker.PartSuspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var strong, cleared, weak []uint64
	parts := slices.Collect(maps.Keys(s.records))
	rand.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	for _, part := range parts {
		switch record := s.records[part]; {
		case record.evidence(record.crashes).separate > 1:
			strong = append(strong, part)
		case now.Sub(record.clearedAt) < clearedTTL:
			cleared = append(cleared, part)
		case record.isRecent(now):
			weak = append(weak, part)
		}
	}
	slices.SortStableFunc(strong, func(a, b uint64) int {
		return cmp.Compare(s.records[b].evidence(s.records[b].crashes).rank(), s.records[a].evidence(s.records[a].crashes).rank())
	})
	var known []peertracker.PartSuspect
	for i := range max(len(strong), len(cleared), len(weak)) {
		for _, list := range [][]uint64{strong, cleared, weak} {
			if i < len(list) && len(known) < n {
				known = append(known, s.records[list[i]].report(now, list[i]))
			}
		}
	}
	return known
}

func (s *PartSuspects) record(part uint64) *partRecord {
	if s.records == nil {
		s.records = map[uint64]*partRecord{}
	}
	record, ok := s.records[part]
	if !ok {
		record = &partRecord{survived: s.survivals.last(part)}
		s.records[part] = record
	}
	return record
}

// evict removes the records with the weakest evidence, the least recently used first, if
// there are too many.
func (s *PartSuspects) evict() {
	if len(s.records) <= maxPartRecords {
		return
	}
	type candidate struct {
		part uint64
		rank int
		used time.Time
	}
	candidates := make([]candidate, 0, len(s.records))
	for part, record := range s.records {
		candidates = append(candidates, candidate{part, record.evidence(record.crashes).rank(), record.used})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), a.used.Compare(b.used)) })
	for _, c := range candidates[:len(candidates)-keptPartRecords] {
		delete(s.records, c.part)
	}
}

func (s *PartSuspects) expire(now time.Time) {
	if since := now.Sub(s.expiredAt); since >= 0 && since < expirePeriod {
		return
	}
	s.expiredAt = now
	maps.DeleteFunc(s.records, func(_ uint64, record *partRecord) bool { return now.Sub(record.used) >= s.Expiry })
}
