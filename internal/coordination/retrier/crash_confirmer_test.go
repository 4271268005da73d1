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

// TestCrashesSeenByOneNode guards against a part that crashes one endpoint after the other if its
// requests come at one node only. That node refuses the part once the directory confirms the
// crashes, and no other node does.
func TestCrashesSeenByOneNode(t *testing.T) {
	process := func(n int) endpointtracker.Endpoint {
		return endpointtracker.Endpoint{
			ID: fmt.Sprint("e", n), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(n%2+80)), StartedAt: time.UnixMilli(int64(1000 * n)),
		}
	}
	run := func(name string, entry func(n int) endpointtracker.Endpoint, want retrier.Verdict) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				alone := &retrier.PartSuspects{Node: "n", Expiry: time.Hour}
				c := &retrier.CrashConfirmer{
					Suspects: alone, Broadcast: func() {}, Log: zerolog.Nop(), Now: time.Now,
					Refuses: func(context.Context, netip.AddrPort) bool { return true },
				}
				for n := range 4 {
					c.Report(process(n), hashes("x"))
					time.Sleep(time.Second)
					c.ObserveEntry(entry(n))
				}
				verdict, _ := alone.Check(time.Now(), hashes("x"))
				assert.Equal(t, want, verdict)
				peer := &retrier.PartSuspects{Node: "m", Expiry: time.Hour}
				for _, suspect := range alone.Known(time.Now(), 10) {
					peer.Update(time.Now(), suspect)
				}
				verdict, _ = peer.Check(time.Now(), hashes("x"))
				assert.Equal(t, retrier.VerdictAllow, verdict)
			})
		})
	}
	run("other processes take their places", func(n int) endpointtracker.Endpoint { return process(n + 2) }, retrier.VerdictRefuse)
	run("their entries are renewed", process, retrier.VerdictAllow)
	run("processes start elsewhere", func(n int) endpointtracker.Endpoint {
		started := process(n + 2)
		started.Address = netip.AddrPortFrom(started.Address.Addr(), 90)
		return started
	}, retrier.VerdictAllow)
}
