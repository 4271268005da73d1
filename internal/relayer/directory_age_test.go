package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
)

const (
	// directoryWait and directoryPeriod are those of the platform's directory of endpoints, and
	// maxDirectoryAge the age up to which what was read of it counts as current.
	directoryWait   = 800 * time.Millisecond
	directoryPeriod = 400 * time.Millisecond
	maxDirectoryAge = 1800 * time.Millisecond
	// readMaxAge is the age after which a member reads the log itself.
	readMaxAge = 1400 * time.Millisecond
)

// datedLog is a log that knows when each of its records was appended.
type datedLog struct {
	mu       sync.Mutex
	appended []time.Time
	changed  chan struct{}
	// silent makes calls wait until their context ends.
	silent atomic.Bool
}

func (l *datedLog) append() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appended = append(l.appended, time.Now())
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// before returns the number of records that were appended before a time.
func (l *datedLog) before(at time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := int64(0)
	for _, appended := range l.appended {
		if appended.Before(at) {
			n++
		}
	}
	return n
}

// since returns the records from an offset on, and a channel that is closed when there are more.
func (l *datedLog) since(from int64) (relayer.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.appended))
	batch := relayer.Batch{Next: position(1, end)}
	for offset := from; offset < end; offset++ {
		batch.Records = append(batch.Records, record(fmt.Sprint(offset%5), "x", offset))
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return batch, l.changed
}

// Newest implements relayer.KeyedLog.
func (l *datedLog) Newest(ctx context.Context) (relayer.Batch, error) {
	return l.Read(ctx, position(1, 0), 0)
}

// Read implements relayer.KeyedLog.
func (l *datedLog) Read(ctx context.Context, from relayer.Position, wait time.Duration) (relayer.Batch, error) {
	time.Sleep(linkDelay)
	if l.silent.Load() {
		<-ctx.Done()
		return relayer.Batch{}, ctx.Err()
	}
	batch, changed := l.since(from.Offset)
	if len(batch.Records) == 0 {
		select {
		case <-changed:
			batch, _ = l.since(from.Offset)
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return batch, retrier.Sleep(ctx, linkDelay)
}

// replicaPeer reads a log at a peer that follows it, and counts the reads.
type replicaPeer struct {
	*relayer.Replica
	reads *atomic.Int64
}

// Newest implements relayer.PeerLog.
func (p replicaPeer) Newest(ctx context.Context, _ netip.AddrPort, _ string) (relayer.Batch, error) {
	time.Sleep(linkDelay)
	batch, err := p.Replica.Newest(ctx)
	time.Sleep(linkDelay)
	return batch, err
}

// Read implements relayer.PeerLog.
func (p replicaPeer) Read(ctx context.Context, _ netip.AddrPort, _ string, from relayer.Position, wait time.Duration) (relayer.Batch, error) {
	p.reads.Add(1)
	time.Sleep(linkDelay)
	batch, err := p.Replica.Read(ctx, from, wait)
	time.Sleep(linkDelay)
	return batch, err
}

// directoryReader is a node that follows a log, itself or through a peer.
type directoryReader struct {
	replica *relayer.Replica
	// applied is the number of records that the node has applied, and readAt the time as of
	// which it has read the log.
	applied atomic.Int64
	readAt  atomic.Int64
	changed atomic.Pointer[chan struct{}]
	// peerReads counts the reads at the home.
	peerReads atomic.Int64
}

// follow starts a node that follows a log until the test ends: through home, or itself if that
// is nil.
func follow(t *testing.T, log *datedLog, home *directoryReader) *directoryReader {
	t.Helper()
	r := &directoryReader{replica: &relayer.Replica{Clock: time.Now, Prompt: true}}
	r.changeSource()
	shared := &relayer.SharedLog{
		Topic: "x", Direct: log, IsHub: func() bool { return home == nil }, RecordLogContact: func() {}, RecordFed: func() {}, MaxAge: readMaxAge, Clock: time.Now,
		Source: func() (netip.AddrPort, bool, <-chan struct{}) { return store, home != nil, *r.changed.Load() },
	}
	if home != nil {
		shared.Peer = replicaPeer{home.replica, &r.peerReads}
	}
	feed := &relayer.Feed{
		Name: "x", Log: shared, Wait: directoryWait, Period: directoryPeriod, Replica: r.replica, Logger: zerolog.Nop(), Clock: time.Now, MaxAge: readMaxAge,
		Apply: func(record relayer.Record, _ time.Time) { r.applied.Store(max(r.applied.Load(), record.Offset+1)) },
		RecordRead: func(at time.Time) {
			assert.LessOrEqual(t, log.before(at), r.applied.Load(), "records applied, of those appended by %s", at)
			r.readAt.Store(max(r.readAt.Load(), at.UnixNano()))
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		feed.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return r
}

// changeSource makes the node end its call to its source.
func (r *directoryReader) changeSource() {
	changed := make(chan struct{})
	if previous := r.changed.Swap(&changed); previous != nil {
		close(*previous)
	}
}

func (r *directoryReader) age() time.Duration { return time.Since(time.Unix(0, r.readAt.Load())) }

// assertCurrent checks for a time that what the nodes have read is never too old.
func assertCurrent(t *testing.T, d time.Duration, readers ...*directoryReader) {
	t.Helper()
	oldest := make([]time.Duration, len(readers))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, r := range readers {
			oldest[i] = max(oldest[i], r.age())
		}
	}
	for i := range readers {
		assert.Less(t, oldest[i], maxDirectoryAge, "age of what node %d has read", i)
	}
}

// TestAgeOfDirectory covers how old what a node has read of the directory may be: never too old
// while the log is in reach, and never older than the node takes it for.
func TestAgeOfDirectory(t *testing.T) {
	run := func(name string, check func(t *testing.T, log *datedLog, hub, member *directoryReader)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &datedLog{}
				hub := follow(t, log, nil)
				time.Sleep(3 * time.Second)
				member := follow(t, log, hub)
				time.Sleep(3 * time.Second)
				check(t, log, hub, member)
			})
		})
	}
	run("nothing changes", func(t *testing.T, _ *datedLog, hub, member *directoryReader) {
		assertCurrent(t, 20*time.Second, hub, member)
	})
	for _, period := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		run(fmt.Sprintf("a change every %s on the mean", period), func(t *testing.T, log *datedLog, hub, member *directoryReader) {
			random := rand.New(rand.NewPCG(26, uint64(period)))
			go func() {
				for retrier.Sleep(t.Context(), time.Duration(random.Float64()*2*float64(period))) == nil {
					log.append()
				}
			}()
			assertCurrent(t, time.Minute, hub, member)
		})
	}
	run("the member's source changes again and again", func(t *testing.T, _ *datedLog, hub, member *directoryReader) {
		random := rand.New(rand.NewPCG(26, 1))
		go func() {
			for retrier.Sleep(t.Context(), time.Duration(random.Float64()*float64(3*time.Second))) == nil {
				member.changeSource()
			}
		}()
		assertCurrent(t, time.Minute, member)
	})
	run("the log does not answer the hub", func(t *testing.T, log *datedLog, hub, member *directoryReader) {
		log.silent.Store(true)
		time.Sleep(maxDirectoryAge + directoryWait)
		log.append()
		time.Sleep(5 * time.Second)
		assert.Greater(t, hub.age(), maxDirectoryAge)
		assert.Greater(t, member.age(), maxDirectoryAge)
		before := member.peerReads.Load()
		member.changeSource()
		time.Sleep(20 * time.Second)
		assert.LessOrEqual(t, member.peerReads.Load()-before, int64(30), "reads at the hub in 20 s")
	})
	run("a read ends since the source may have changed", func(t *testing.T, log *datedLog, hub, member *directoryReader) {
		log.silent.Store(true)
		time.Sleep(directoryWait + directoryPeriod)
		log.append()
		for range 40 {
			member.changeSource()
			time.Sleep(100 * time.Millisecond)
		}
		assert.Greater(t, member.age(), maxDirectoryAge)
	})
}
