package retrier_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

func endpoint(id string) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{ID: id, Address: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: time.UnixMilli(5)}
}

// TestCrashConfirmer guards against parts that are accused because a node is cut off: only a
// host that refuses connections confirms a crash.
func TestCrashConfirmer(t *testing.T) {
	run := func(name string, refuses func(check int64) bool, check func(t *testing.T, c *retrier.CrashConfirmer, checks *atomic.Int64)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var checks atomic.Int64
				check(t, &retrier.CrashConfirmer{
					Suspects: &retrier.PartSuspects{Node: "n", Expiry: time.Hour}, Broadcast: func() {}, Log: zerolog.Nop(), Now: time.Now,
					Refuses: func(context.Context, netip.AddrPort) bool {
						time.Sleep(10 * time.Millisecond)
						return refuses(checks.Add(1))
					},
				}, &checks)
			})
		})
	}
	assertKnown := func(t *testing.T, c *retrier.CrashConfirmer, want int) {
		t.Helper()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Len(t, c.Suspects.Known(time.Now(), 10_000), want)
	}
	always := func(int64) bool { return true }
	never := func(int64) bool { return false }
	run("a crash", always, func(t *testing.T, c *retrier.CrashConfirmer, _ *atomic.Int64) {
		c.Report(endpoint("e"), hashes("x y"))
		assertKnown(t, c, 2)
	})
	run("a process that still ends", func(check int64) bool { return check == 2 }, func(t *testing.T, c *retrier.CrashConfirmer, _ *atomic.Int64) {
		c.Report(endpoint("e"), hashes("x y"))
		assertKnown(t, c, 2)
	})
	run("an endpoint that is up or out of reach", never, func(t *testing.T, c *retrier.CrashConfirmer, checks *atomic.Int64) {
		c.Report(endpoint("e"), hashes("x y"))
		assertKnown(t, c, 0)
		assert.EqualValues(t, 2, checks.Load())
	})
	run("requests that break together are checked once", always, func(t *testing.T, c *retrier.CrashConfirmer, checks *atomic.Int64) {
		for i := range 50 {
			c.Report(endpoint("e"), hashes(fmt.Sprint("x y", i)))
		}
		assertKnown(t, c, 51)
		assert.EqualValues(t, 1, checks.Load())
	})
	run("a request without shared parts", always, func(t *testing.T, c *retrier.CrashConfirmer, checks *atomic.Int64) {
		c.Report(endpoint("e"), nil)
		assertKnown(t, c, 0)
		assert.Zero(t, checks.Load())
	})
	run("bounds what is checked at once", never, func(t *testing.T, c *retrier.CrashConfirmer, checks *atomic.Int64) {
		for i := range 1000 {
			c.Report(endpoint(fmt.Sprint("e", i)), hashes("x"))
		}
		assertKnown(t, c, 0)
		assert.EqualValues(t, 2*64, checks.Load())
	})
	run("an answer after the break clears the part before the crash is confirmed", always, func(t *testing.T, c *retrier.CrashConfirmer, _ *atomic.Int64) {
		c.Report(endpoint("e"), hashes("x"))
		c.Report(endpoint("f"), hashes("x"))
		time.Sleep(time.Second)
		c.Suspects.RecordSurvival(time.Now(), hashes("x"))
		c.Suspects.RecordCrash(time.Now(), time.Now().Add(-time.Millisecond), hashes("x"), 7)
		for _, suspect := range c.Suspects.Known(time.Now(), 10) {
			assert.Empty(t, suspect.Crashes)
		}
	})
}
