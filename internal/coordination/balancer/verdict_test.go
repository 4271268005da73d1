package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

func assertAvoided(t *testing.T, b *balancer.Balancer, at time.Time, want bool) {
	t.Helper()
	choice, ok := b.Pick(at, prompt())
	require.True(t, ok)
	b.Done(choice)
	assert.Equal(t, want, choice.Endpoint.ID != "near")
}

func TestVerdicts(t *testing.T) {
	t.Run("one node's report is not enough", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordPeerFailure("near", 1, now)
		b.RecordPeerFailure("near", 1, now)
		assertAvoided(t, b, now, false)
	})
	t.Run("two nodes' reports are, for a while", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordPeerFailure("near", 1, now)
		assert.True(t, b.RecordPeerFailure("near", 2, now.Add(time.Second)))
		assertAvoided(t, b, now.Add(1900*time.Millisecond), true)
		assertAvoided(t, b, now.Add(3100*time.Millisecond), false)
	})
	t.Run("reports that are far apart are not", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordPeerFailure("near", 1, now)
		b.RecordPeerFailure("near", 2, now.Add(2*time.Second))
		assertAvoided(t, b, now.Add(2*time.Second), false)
	})
	t.Run("an endpoint that this node has just heard from is not avoided", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordActivity("near", now)
		b.RecordPeerFailure("near", 1, now)
		b.RecordPeerFailure("near", 2, now)
		assertAvoided(t, b, now, false)
	})
	t.Run("it is used again when a peer says that it responds", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordPeerFailure("near", 1, now)
		b.RecordPeerFailure("near", 2, now)
		b.RecordPeerRecovery("near", now)
		assertAvoided(t, b, now, false)
	})
	t.Run("but not while it fails this node itself", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordFailure("near", now)
		b.RecordPeerRecovery("near", now)
		assertAvoided(t, b, now, true)
	})
	t.Run("a slow endpoint that another node hears from is not avoided", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		b.RecordPeerRecovery("near", now)
		b.RecordPeerFailure("near", 1, now)
		b.RecordPeerFailure("near", 2, now)
		assertAvoided(t, b, now, false)
	})
	t.Run("a node that hears from a reported endpoint says so, not too often", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		assert.False(t, b.RecordActivity("near", now))
		b.RecordPeerFailure("near", 1, now)
		assert.True(t, b.RecordActivity("near", now))
		assert.False(t, b.RecordActivity("near", now.Add(100*time.Millisecond)))
	})
	t.Run("an endpoint with a request that sends nothing is silent", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		assertPicks(t, b, prompt(), "near")
		assert.Empty(t, b.Silent(now.Add(600*time.Millisecond)))
		assert.Equal(t, []uint32{balancer.IDHash("near")}, b.Silent(now.Add(800*time.Millisecond)))
	})
	t.Run("a silent endpoint is unresponsive only if others say so too", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		assertPicks(t, b, prompt(), "near")
		later := now.Add(1500 * time.Millisecond)
		assert.False(t, b.Unresponsive("near", later))
		b.RecordPeerFailure("near", 1, later)
		b.RecordPeerFailure("near", 2, later)
		assert.True(t, b.Unresponsive("near", later))
		b.RecordActivity("near", later)
		assert.False(t, b.Unresponsive("near", later))
	})
	t.Run("others are to be told that it responds if they may avoid it", func(t *testing.T) {
		b := &balancer.Balancer{Domain: "d1"}
		assert.False(t, b.ResetBackoff("near"))
		b.RecordFailure("near", now)
		assert.True(t, b.ResetBackoff("near"))
		assert.False(t, b.ResetBackoff("near"))
	})
}

// TestDarkEndpoint replays sixteen seconds in which a quarter of a domain's engines do not
// respond, at nodes that send four requests a second each. Without reports each node loses
// a request to each dark engine whenever its own backoff ends.
func TestDarkEndpoint(t *testing.T) {
	const nodes, engines, dark, seconds, perSecond = 39, 20, 5, 16, 4
	var all []endpointtracker.Endpoint
	for i := range engines {
		all = append(all, endpoint(fmt.Sprint("e", i), "d1", 64))
	}
	lost := func(shared bool) (lost int) {
		type report struct {
			at       time.Time
			id       string
			reporter uint32
		}
		var balancers []*balancer.Balancer
		for n := range nodes {
			balancers = append(balancers, &balancer.Balancer{Domain: "d1", Name: fmt.Sprint("n", n), Nodes: func() int { return 195 }})
		}
		var reports []report
		for tick := range seconds * perSecond * nodes {
			at := now.Add(time.Duration(tick) * time.Second / (perSecond * nodes))
			for len(reports) > 0 && at.Sub(reports[0].at) > 300*time.Millisecond {
				for _, b := range balancers {
					b.RecordPeerFailure(reports[0].id, reports[0].reporter, at)
				}
				reports = reports[1:]
			}
			n := (tick * 7) % nodes
			choice, ok := balancers[n].Pick(at, balancer.Request{Endpoints: all})
			require.True(t, ok)
			balancers[n].Done(choice)
			if index := 0; func() bool { _, _ = fmt.Sscanf(choice.Endpoint.ID, "e%d", &index); return index < dark }() {
				lost++
				balancers[n].RecordFailure(choice.Endpoint.ID, at)
				if shared {
					reports = append(reports, report{at: at, id: choice.Endpoint.ID, reporter: uint32(n + 1)})
				}
			}
		}
		return lost
	}
	alone, shared := lost(false), lost(true)
	t.Logf("%d requests met a dark engine without reports, %d with them", alone, shared)
	assert.Less(t, shared, alone/2)
}
