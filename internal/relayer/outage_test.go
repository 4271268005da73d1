package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
)

// scriptedLog answers each read with what read returns; its listing is empty.
type scriptedLog struct {
	read func(ctx context.Context) (relayer.Batch, error)
}

func (scriptedLog) Newest(context.Context) (relayer.Batch, error) {
	return relayer.Batch{Next: position(1, 1)}, nil
}

func (s scriptedLog) Read(ctx context.Context, _ relayer.Position, _ time.Duration) (relayer.Batch, error) {
	return s.read(ctx)
}

// removals follows a log through a member's feed, and returns the grace of each removal.
func removals(t *testing.T, log relayer.KeyedLog) <-chan time.Duration {
	t.Helper()
	graces := make(chan time.Duration, 10)
	feed := &relayer.Feed{
		Name: "x", Log: log, Period: 100 * time.Millisecond, ContactLimit: 3 * time.Second, Logger: zerolog.Nop(), Clock: time.Now,
		Apply: func(_ relayer.Record, graceEnd time.Time) { graces <- max(time.Until(graceEnd), 0) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go feed.Run(ctx)
	return graces
}

// TestGraceOfRemovedEntries guards against a grace that depends on when the removal of an entry was
// read, or on calls that fail although the log does not: both let requests reach endpoints that have
// left.
func TestGraceOfRemovedEntries(t *testing.T) {
	removal := func(offset int64) relayer.Batch {
		return relayer.Batch{Records: []relayer.Record{record("a", "", offset)}, Next: position(1, offset+1)}
	}
	run := func(name string, check func(t *testing.T)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
	}
	run("ends two seconds after the log's return for all removals", func(t *testing.T) {
		began, offset := time.Now(), int64(0)
		graces := removals(t, scriptedLog{func(ctx context.Context) (relayer.Batch, error) {
			if time.Since(began) < 5*time.Second {
				return relayer.Batch{}, errStandin
			}
			offset++
			return removal(offset), retrier.Sleep(ctx, 500*time.Millisecond)
		}})
		first := <-graces
		assert.InDelta(t, 2, first.Seconds(), 0.5)
		second := <-graces
		assert.Equal(t, first-600*time.Millisecond, second)
		time.Sleep(3 * time.Second)
		for len(graces) > 1 {
			<-graces
		}
		assert.Zero(t, <-graces)
	})
	run("counts from the start of a call that failed after the log's return", func(t *testing.T) {
		hung := false
		graces := removals(t, scriptedLog{func(ctx context.Context) (relayer.Batch, error) {
			if hung {
				return removal(2), nil
			}
			hung = true
			_ = retrier.Sleep(ctx, 2*time.Second)
			return relayer.Batch{}, errStandin
		}})
		assert.LessOrEqual(t, <-graces, time.Second, "a node is in touch again 3 s after the return")
	})
	run("ends at a member when it ends at its hub", func(t *testing.T) {
		replica := listedReplica()
		replica.SetGraceEnd(time.Now().Add(1300 * time.Millisecond))
		time.Sleep(300 * time.Millisecond)
		batch, err := replica.Newest(t.Context())
		assert.NoError(t, err)
		graces := removals(t, scriptedLog{func(context.Context) (relayer.Batch, error) {
			got := removal(2)
			got.Grace = batch.Grace
			return got, nil
		}})
		assert.Equal(t, time.Second, <-graces)
	})
	run("is none after failed calls to a peer", func(t *testing.T) {
		r := &logReader{hasPeer: true, changed: make(chan struct{})}
		r.peer.fails.Store(true)
		time.AfterFunc(5*time.Second, func() { r.peer.fails.Store(false) })
		offset := int64(0)
		log := &relayer.SharedLog{
			Topic: "x", Direct: &r.direct, Peer: &r.peer, Source: r.source, IsHub: r.hub.Load,
			RecordLogContact: func() {}, RecordFed: func() {}, Clock: time.Now,
		}
		graces := removals(t, scriptedLog{func(ctx context.Context) (relayer.Batch, error) {
			if _, err := log.Read(ctx, position(1, 1), 0); err != nil {
				return relayer.Batch{}, err
			}
			offset++
			return removal(offset), nil
		}})
		assert.Zero(t, <-graces)
	})
}
