package claimer

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

// memoryLog is a claim log in memory. Each call takes delay, and records are
// dropped after retention; zero keeps them forever.
type memoryLog struct {
	delay     time.Duration
	retention time.Duration
	appends   atomic.Int64

	mu      sync.Mutex
	records map[int][]indexer.Record
	times   map[int][]time.Time
}

func newMemoryLog(delay, retention time.Duration) *memoryLog {
	return &memoryLog{delay: delay, retention: retention, records: map[int][]indexer.Record{}, times: map[int][]time.Time{}}
}

// Append implements Stream.
func (m *memoryLog) Append(_ context.Context, partition int, records []indexer.Record) (uint64, error) {
	m.appends.Add(1)
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	first := uint64(len(m.records[partition]))
	m.records[partition] = append(m.records[partition], records...)
	for range records {
		m.times[partition] = append(m.times[partition], time.Now())
	}
	return first, nil
}

// Read implements Stream.
func (m *memoryLog) Read(_ context.Context, partition int, from uint64, limit int) (Page, error) {
	time.Sleep(m.delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	page := Page{Next: uint64(len(m.records[partition]))}
	for page.Oldest < page.Next && m.retention > 0 && time.Since(m.times[partition][page.Oldest]) > m.retention {
		page.Oldest++
	}
	for offset := max(from, page.Oldest); offset < page.Next && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, OffsetRecord{Offset: offset, Record: m.records[partition][offset]})
	}
	return page, nil
}

func newClaimer(stream Stream, process uint64) *Claimer {
	return &Claimer{
		Stream: stream, Process: process, Timeout: 10 * time.Second, PauseLimit: time.Minute,
		Keep: func() time.Duration { return 24 * time.Hour }, Now: time.Now,
	}
}

func assertState(t *testing.T, expected State, c *Claimer, key indexer.Key) {
	t.Helper()
	decision, err := c.Claim(context.Background(), key, indexer.Digest{})
	require.NoError(t, err)
	assert.Equal(t, expected, decision.State)
}

// TestRenewalOutlivesLogRetention remembers keys for a day with a log that
// keeps records for two hours and an owner that is replaced every three hours.
func TestRenewalOutlivesLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemoryLog(0, 2*time.Hour)
		ctx := context.Background()
		key := indexer.NewKey("team", "done")
		held := indexer.Key{key[0], key[1], 99}
		first := newClaimer(log, 1)
		decision, err := first.Claim(ctx, key, indexer.Digest{})
		require.NoError(t, err)
		require.NoError(t, first.Finish(ctx, decision, indexer.Answer{Status: 201, Body: []byte("ok")}))
		assertState(t, StateWon, first, held)
		partition := key.Partition(Partitions)
		renewed := 0
		for hour := range 23 {
			owner := newClaimer(log, uint64(10+hour/3))
			for range 60 {
				n, err := owner.RenewEntries(ctx, partition, 2*time.Hour)
				require.NoError(t, err)
				renewed += n
				time.Sleep(time.Minute)
			}
			assertState(t, StateDone, newClaimer(log, 1000+uint64(hour)), key)
			assertState(t, StateClaimed, newClaimer(log, 2000+uint64(hour)), held)
		}
		t.Log("entries renewed in 23 hours:", renewed)
		assert.Less(t, renewed, 2*23*4, "an entry is renewed a few times an hour at most")
		// A day without an owner: the log has dropped all records, so the key is
		// free again.
		time.Sleep(24 * time.Hour)
		owner := newClaimer(log, 99)
		for range 24 * 60 {
			_, err := owner.RenewEntries(ctx, partition, 2*time.Hour)
			require.NoError(t, err)
			time.Sleep(time.Minute)
		}
		assertState(t, StateWon, newClaimer(log, 3000), key)
	})
}

// TestKeyExpiresWithoutRenewal verifies that TestRenewalOutlivesLogRetention
// fails when entries are not renewed.
func TestKeyExpiresWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemoryLog(0, 2*time.Hour)
		key := indexer.NewKey("team", "key")
		assertState(t, StateWon, newClaimer(log, 1), key)
		time.Sleep(3 * time.Hour)
		assertState(t, StateWon, newClaimer(log, 2), key)
	})
}

// TestCheckPause verifies that CheckPause refuses a claim after the process was
// paused.
func TestCheckPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaimer(newMemoryLog(0, 0), 1)
		decision, err := c.Claim(context.Background(), indexer.Key{}, indexer.Digest{})
		require.NoError(t, err)
		require.NoError(t, c.CheckPause(decision))
		time.Sleep(2 * time.Minute)
		assert.ErrorIs(t, c.CheckPause(decision), ErrPaused)
	})
}

// BenchmarkClaim measures the latency of a claim at several log delays, and the
// rate of appends at 100 requests per second from one node.
func BenchmarkClaim(b *testing.B) {
	for _, delay := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		b.Run(delay.String(), func(b *testing.B) {
			log := newMemoryLog(delay, 0)
			c := newClaimer(log, 1)
			var claims sync.WaitGroup
			var totalTime atomic.Int64
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			started := time.Now()
			for i := range b.N {
				<-ticker.C
				claims.Go(func() {
					claimStarted := time.Now()
					decision, err := c.Claim(context.Background(), indexer.NewKey("t", fmt.Sprint(i)), indexer.Digest{})
					totalTime.Add(int64(time.Since(claimStarted)))
					if err == nil {
						_ = c.Finish(context.Background(), decision, indexer.Answer{Status: 201})
					}
				})
			}
			claims.Wait()
			b.ReportMetric(float64(totalTime.Load())/float64(b.N)/1e6, "ms/claim")
			b.ReportMetric(float64(log.appends.Load())/time.Since(started).Seconds(), "appends/s")
		})
	}
}

// BenchmarkIndexMemory measures the memory used per held key.
func BenchmarkIndexMemory(b *testing.B) {
	const keys = 200_000
	for b.Loop() {
		before := heap()
		index := indexer.New()
		for i := range keys {
			record := indexer.Record{Type: indexer.TypeClaim, Key: indexer.NewKey("t", fmt.Sprint(i)), Remaining: time.Hour}
			_ = index.Apply(uint64(i), record)
		}
		b.ReportMetric(float64(heap()-before)/keys, "B/key")
		runtime.KeepAlive(index)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
