package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

var errStandin = errors.New("stand-in fails")

func position(era, offset int64) relayer.Position {
	return relayer.Position{Era: era, Offset: offset}
}

func record(key, value string, offset int64) relayer.Record {
	if value == "" {
		return relayer.Record{Key: key, Offset: offset}
	}
	return relayer.Record{Key: key, Value: []byte(value), Offset: offset}
}

func listedReplica(records ...relayer.Record) *relayer.Replica {
	replica := &relayer.Replica{Clock: time.Now}
	replica.Put(relayer.Batch{Records: records, Next: position(1, 10)}, time.Now(), true)
	return replica
}

func assertReadError(t *testing.T, replica *relayer.Replica, from relayer.Position, want error) {
	t.Helper()
	_, err := replica.Read(t.Context(), from, 0)
	assert.True(t, errors.Is(err, want), "%v", err)
}

func TestReplica(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("says nothing before the first listing", func(t *testing.T) {
		_, err := (&relayer.Replica{}).Newest(t.Context())
		assert.True(t, errors.Is(err, relayer.ErrUnavailable), "%v", err)
		assertReadError(t, &relayer.Replica{Clock: time.Now}, position(1, 0), relayer.ErrUnavailable)
	})
	run("lists the newest records without deleted keys", func(t *testing.T) {
		replica := listedReplica(record("a", "1", 3), record("b", "2", 7))
		replica.Put(relayer.Batch{Records: []relayer.Record{record("a", "", 10), record("b", "3", 11)}, Next: position(1, 12)}, time.Now(), false)
		batch, err := replica.Newest(t.Context())
		require.NoError(t, err)
		assert.Equal(t, []relayer.Record{record("b", "3", 11)}, batch.Records)
		assert.Equal(t, position(1, 12), batch.Next)
	})
	run("returns changes and deletions from a position on", func(t *testing.T) {
		replica := listedReplica(record("a", "1", 3), record("b", "2", 7))
		replica.Put(relayer.Batch{Records: []relayer.Record{record("a", "", 10), record("b", "3", 11)}, Next: position(1, 12)}, time.Now(), false)
		batch, err := replica.Read(t.Context(), position(1, 10), 0)
		require.NoError(t, err)
		assert.Equal(t, []relayer.Record{record("a", "", 10), record("b", "3", 11)}, batch.Records)
	})
	run("a read waits for the next change", func(t *testing.T) {
		replica := listedReplica()
		time.AfterFunc(time.Second, func() {
			replica.Put(relayer.Batch{Records: []relayer.Record{record("a", "1", 10)}, Next: position(1, 11)}, time.Now(), false)
		})
		started := time.Now()
		batch, err := replica.Read(t.Context(), position(1, 10), 4*time.Second)
		require.NoError(t, err)
		assert.Len(t, batch.Records, 1)
		assert.Equal(t, time.Second, time.Since(started))
	})
	run("a read without change ends after its wait", func(t *testing.T) {
		started := time.Now()
		batch, err := listedReplica().Read(t.Context(), position(1, 10), 4*time.Second)
		require.NoError(t, err)
		assert.Empty(t, batch.Records)
		assert.Equal(t, 4*time.Second, time.Since(started))
	})
	run("changes from before a listing are not complete", func(t *testing.T) {
		assertReadError(t, listedReplica(), position(1, 9), relayer.ErrDropped)
	})
	run("a restored log makes its readers list it anew", func(t *testing.T) {
		replica := listedReplica(record("a", "1", 3))
		replica.Put(relayer.Batch{Next: position(2, 4)}, time.Now(), true)
		assertReadError(t, replica, position(1, 10), relayer.ErrRestored)
	})
	run("a reader in a later era gets nothing of an earlier one", func(t *testing.T) {
		assertReadError(t, listedReplica(), position(2, 0), relayer.ErrUnavailable)
	})
	run("a reader that is ahead keeps its position", func(t *testing.T) {
		batch, err := listedReplica().Read(t.Context(), position(1, 15), 0)
		require.NoError(t, err)
		assert.Equal(t, position(1, 15), batch.Next)
	})
	run("says that the log was out of reach", func(t *testing.T) {
		replica := listedReplica()
		replica.SetInterrupted(time.Now())
		batch, err := replica.Newest(t.Context())
		require.NoError(t, err)
		assert.True(t, batch.Interrupted)
		time.Sleep(5 * time.Second)
		batch, err = replica.Newest(t.Context())
		require.NoError(t, err)
		assert.False(t, batch.Interrupted)
	})
}

// standinLog is a log that counts calls and may fail or be silent.
type standinLog struct {
	calls  atomic.Int64
	fails  atomic.Bool
	silent atomic.Bool
}

func (s *standinLog) Newest(ctx context.Context) (relayer.Batch, error) {
	return s.Read(ctx, position(1, 5), 0)
}

func (s *standinLog) Read(ctx context.Context, from relayer.Position, wait time.Duration) (relayer.Batch, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return relayer.Batch{}, ctx.Err()
	}
	if s.fails.Load() {
		return relayer.Batch{}, errStandin
	}
	return relayer.Batch{Next: from}, retrier.Sleep(ctx, wait)
}

// standinPeerLog is the same log at a peer.
type standinPeerLog struct{ standinLog }

func (s *standinPeerLog) Newest(ctx context.Context, _ netip.AddrPort, _ string) (relayer.Batch, error) {
	return s.standinLog.Newest(ctx)
}

func (s *standinPeerLog) Read(ctx context.Context, _ netip.AddrPort, _ string, from relayer.Position, wait time.Duration) (relayer.Batch, error) {
	return s.standinLog.Read(ctx, from, wait)
}

// logReader is a node that reads a log, with the source that it is told.
type logReader struct {
	direct  standinLog
	peer    standinPeerLog
	hub     atomic.Bool
	contact atomic.Int64

	mu      sync.Mutex
	hasPeer bool
	changed chan struct{}
}

func (r *logReader) setPeer(hasPeer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasPeer = hasPeer
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *logReader) source() (netip.AddrPort, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return store, r.hasPeer, r.changed
}

// newLogReader returns a node that reads its log until the test ends.
func newLogReader(t *testing.T, hub, hasPeer bool) *logReader {
	t.Helper()
	r := &logReader{hasPeer: hasPeer, changed: make(chan struct{})}
	r.hub.Store(hub)
	shared := &relayer.SharedLog{
		Topic: "x", Direct: &r.direct, Peer: &r.peer, Source: r.source, IsHub: r.hub.Load,
		RecordLogContact: func() { r.contact.Add(1) }, RecordFed: func() {}, Clock: time.Now,
	}
	feed := &relayer.Feed{Name: "x", Log: shared, Wait: time.Second, Apply: func(relayer.Record, time.Time) {}, Logger: zerolog.Nop(), Clock: time.Now}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go feed.Run(ctx)
	return r
}

// TestSharedLog covers who calls the log: a fleet of members must not, whatever happens to
// their hubs, but for a few calls each.
func TestSharedLog(t *testing.T) {
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("a hub reads the log itself", func(t *testing.T) {
		r := newLogReader(t, true, false)
		time.Sleep(10 * time.Second)
		// A read ends at the same moment; the next one must have begun.
		synctest.Wait()
		assert.Zero(t, r.peer.calls.Load())
		assert.InDelta(t, 11, r.direct.calls.Load(), 2)
		assert.Equal(t, r.direct.calls.Load()-1, r.contact.Load(), "one call is under way")
	})
	run("a member reads it at its home only", func(t *testing.T) {
		r := newLogReader(t, false, true)
		time.Sleep(20 * time.Second)
		assert.Zero(t, r.direct.calls.Load())
		assert.LessOrEqual(t, r.peer.calls.Load(), int64(7))
	})
	run("a read at a silent home ends when the source changes", func(t *testing.T) {
		r := newLogReader(t, false, true)
		time.Sleep(time.Second)
		r.peer.silent.Store(true)
		time.Sleep(4 * time.Second)
		r.setPeer(false)
		time.Sleep(100 * time.Millisecond)
		assert.EqualValues(t, 1, r.direct.calls.Load())
	})
	run("a member without a source reads it itself, seldom", func(t *testing.T) {
		r := newLogReader(t, false, false)
		r.direct.fails.Store(true)
		time.Sleep(20 * time.Second)
		assert.LessOrEqual(t, r.direct.calls.Load(), int64(7))
		assert.GreaterOrEqual(t, r.direct.calls.Load(), int64(3))
	})
	run("a hub without contact reads it at a peer, and tries it itself now and then", func(t *testing.T) {
		r := newLogReader(t, true, true)
		r.direct.fails.Store(true)
		time.Sleep(10 * time.Second)
		assert.InDelta(t, 8, r.direct.calls.Load(), 4)
		assert.Positive(t, r.peer.calls.Load())
	})
}

// partLink carries datagrams with changes of the directory of parts from a hub to a
// member, and loses some.
type partLink struct {
	receiver  *relayer.PartReceiver
	publisher *relayer.PartPublisher
	home      netip.AddrPort
	lose      func() bool
}

// Send implements relayer.Gossip.
func (l *partLink) Send(_ []netip.AddrPort, message packer.Message) error {
	if message.Sender.Parts != nil && !l.lose() {
		l.receiver.Handle(context.Background(), l.home, *message.Sender.Parts)
	}
	return nil
}

// Parts implements relayer.PartClient.
func (l *partLink) Parts(context.Context, netip.AddrPort, []messenger.PartHolder) (messenger.PartDirectory, error) {
	time.Sleep(50 * time.Millisecond)
	return l.publisher.Directory(), nil
}

func contents(l *locator.Locator) map[netip.AddrPort]map[locator.Key]int {
	all := map[netip.AddrPort]map[locator.Key]int{}
	for _, inventory := range l.Inventories(func() {}) {
		all[inventory.Holder] = inventory.Parts
	}
	return all
}

// runDirectory makes changes to a hub's directory of parts while datagrams are lost, and
// returns it and its member's once they had time to become equal.
func runDirectory(t *testing.T, operations []int, lose func() bool) (hub, member map[netip.AddrPort]map[locator.Key]int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		peers := newPeers(t, newNode(t), &standinStateClient{})
		hubParts, memberParts := locator.New(), locator.New()
		link := &partLink{home: store, lose: lose}
		link.publisher = &relayer.PartPublisher{Peers: peers, Locator: hubParts, First: 7}
		link.receiver = &relayer.PartReceiver{Locator: memberParts, Client: link, Logger: zerolog.Nop()}
		hubParts.Observer, peers.Gossip = link.publisher, link
		message := heartbeat(1)
		message.Sender.Homed = true
		peers.HandleHeartbeat(message)
		link.receiver.SetHome(ctx, store)
		go link.publisher.Run(ctx)
		for i, operation := range operations {
			holder := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 9, byte(operation % 3)}), 80)
			key := locator.Key{Salt: fmt.Sprint("s", operation%2), Part: fmt.Sprint("p", operation%17)}
			switch operation % 11 {
			case 0:
				hubParts.Reset(holder, map[locator.Key]int{key: 10}, 0)
			case 1:
				hubParts.Forget(holder)
			case 2:
				hubParts.SetPart(holder, key, 0)
			case 3:
				time.Sleep(120 * time.Millisecond)
			default:
				hubParts.SetPart(holder, key, 1+operation)
			}
			if i%40 == 0 {
				message.Sender.Sequence++
				peers.HandleHeartbeat(message)
			}
		}
		for range 12 {
			message.Sender.Sequence++
			peers.HandleHeartbeat(message)
			time.Sleep(500 * time.Millisecond)
		}
		synctest.Wait()
		hub, member = contents(hubParts), contents(memberParts)
	})
	return hub, member
}

// TestDirectoryOfParts checks that a member's directory becomes equal to its home's,
// whatever datagrams are lost.
func TestDirectoryOfParts(t *testing.T) {
	operations := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 150)
	t.Run("without loss", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			hub, member := runDirectory(t, operations.Draw(rt, "operations"), func() bool { return false })
			if !assert.ObjectsAreEqual(hub, member) {
				rt.Fatalf("hub has %v, member %v", hub, member)
			}
		})
	})
	t.Run("with every third datagram lost", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			var n atomic.Int64
			hub, member := runDirectory(t, operations.Draw(rt, "operations"), func() bool { return n.Add(1)%3 == 0 })
			if !assert.ObjectsAreEqual(hub, member) {
				rt.Fatalf("hub has %v, member %v", hub, member)
			}
		})
	})
	t.Run("the check detects a member that hears nothing", func(t *testing.T) {
		hub, member := runDirectory(t, []int{0, 3, 3, 4, 5, 6, 7, 8}, func() bool { return true })
		assert.NotEqual(t, hub, member)
	})
}
