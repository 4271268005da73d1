package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// TestSilentEndpoints guards against requests to an endpoint that is silent to all nodes, and
// against avoiding one of which that is not known or that is the only one left.
func TestSilentEndpoints(t *testing.T) {
	silent := func(silent time.Duration) peertracker.Load {
		return peertracker.Load{Endpoint: balancer.IDHash("near"), Running: 2, Silent: silent, HasSilent: true}
	}
	for _, test := range []struct {
		name        string
		reports     []peertracker.Load
		heard       bool
		sharedHosts bool
		busy        time.Duration
		want        string
	}{
		{"silent to all", []peertracker.Load{silent(time.Second), silent(2 * time.Second)}, false, true, 700 * time.Millisecond, "far"},
		{"without shared hosts", []peertracker.Load{silent(time.Second)}, false, false, 700 * time.Millisecond, "near"},
		{"has just got its first request", []peertracker.Load{silent(time.Second)}, false, true, 500 * time.Millisecond, "near"},
		{"heard by one peer", []peertracker.Load{silent(time.Second), silent(100 * time.Millisecond)}, false, true, 700 * time.Millisecond, "near"},
		{"heard by this node", []peertracker.Load{silent(time.Second)}, true, true, 700 * time.Millisecond, "near"},
		{"unknown to an older build", []peertracker.Load{silent(time.Second), {Endpoint: balancer.IDHash("near"), Running: 1}}, false, true, 700 * time.Millisecond, "near"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &balancer.Balancer{Domain: "d1"}
			if test.sharedHosts {
				b.HandlePaceAge(balancer.Home, now, 0)
			}
			handle := func(at time.Time) {
				for i, load := range test.reports {
					b.HandleReport(string(rune('a'+i)), balancer.Hub, at, balancer.AllEndpoints([]peertracker.Load{load}))
				}
			}
			// The endpoint counts as busy from the first report that this node makes.
			b.Running(now, "near")
			handle(now.Add(-test.busy))
			b.Report(now.Add(-test.busy))
			if test.heard {
				b.RecordActivity("near", now)
			}
			handle(now)
			assertPicks(t, b, prompt(), test.want)
			alone := prompt()
			alone.Endpoints = alone.Endpoints[:1]
			assertPicks(t, b, alone, "near")
		})
	}
	t.Run("reports that have ended say nothing", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.HandlePaceAge(balancer.Home, now, 0)
		b.Running(now, "near")
		b.HandleReport("a", balancer.Hub, now.Add(-time.Second), balancer.AllEndpoints([]peertracker.Load{silent(time.Second)}))
		b.Report(now.Add(-time.Second))
		assertPicks(t, b, prompt(), "near")
	})
	t.Run("a home reports the least of its members", func(t *testing.T) {
		b := &balancer.Balancer{}
		b.HandlePaceAge(balancer.Member, now, 0)
		b.HandleReport("a", balancer.Member, now, balancer.AllEndpoints([]peertracker.Load{silent(time.Second)}))
		b.HandleReport("b", balancer.Member, now, balancer.AllEndpoints([]peertracker.Load{silent(40 * time.Millisecond)}))
		b.HandleReport("c", balancer.Hub, now, balancer.AllEndpoints([]peertracker.Load{silent(20 * time.Millisecond)}))
		assert.Equal(t, 50*time.Millisecond, b.Report(now.Add(10 * time.Millisecond))[0].Silent)
		assert.Equal(t, 30*time.Millisecond, b.Total(now.Add(10 * time.Millisecond))[0].Silent)
	})
}
