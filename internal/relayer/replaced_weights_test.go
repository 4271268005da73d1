package relayer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/scheduler"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// placePrompt places a prompt of model m by a node's view.
func placePrompt(t *testing.T, node *relayer.Relayer) error {
	t.Helper()
	p := &placer.Placer{
		View: node.View, Balancer: &balancer.Balancer{}, Locator: locator.New(), Scheduler: &scheduler.Scheduler{Now: time.Now},
		Nodes: func() int { return 1 }, HasContact: func() bool { return true }, EndpointClock: func(t time.Time) (time.Time, bool) { return t, true }, FetchLimit: func() time.Duration { return placer.MaxFetchTime },
		KnownAge: placer.WeightsLimits{Place: 8 * time.Second, Begin: 9 * time.Second}, Now: time.Now,
	}
	placement, err := p.Place(t.Context(), &forwarder.Exchange{
		ID: "id", Service: "llm", Received: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route:  cataloger.Route{Name: "r", Stream: true, Objective: time.Second},
		Prompt: &forwarder.Prompt{Model: "m", Parts: []locator.Part{{ID: "a", Tokens: 10}}},
	}, forwarder.Progress{})
	if err == nil {
		placement.Release()
	}
	return err
}

// TestSuspendedHostUsesReplacedWeights covers a host that is suspended after a version was named:
// the monotonic clock stops meanwhile, and the age of the target must not.
func TestSuspendedHostUsesReplacedWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := newHost()
		node := newNodeOn(t, host, engine("a", 1))
		node.SetTargetVersion("m", 2, true)
		synctest.Wait()
		time.Sleep(3 * time.Second)
		require.NoError(t, placePrompt(t, node))
		host.suspend(5 * time.Second)
		time.Sleep(time.Second)
		err := placePrompt(t, node)
		assert.True(t, errors.Is(err, forwarder.ErrUnavailable), "%v", err)
	})
}

// TestVersionNamedDuringStandstill covers a version that is named while the host of a node
// stands still. The node learns of it afterwards and must not take it for just named.
func TestVersionNamedDuringStandstill(t *testing.T) {
	run := func(name string, after time.Duration, excluded bool) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				host := newHost()
				node := newNodeOn(t, host, engine("a", 1))
				time.Sleep(time.Second)
				host.suspend(9 * time.Second)
				time.Sleep(after)
				// The feed reads a record that is not of its first listing.
				node.SetTargetVersion("m", 2, true)
				time.Sleep(3 * time.Second)
				err := placePrompt(t, node)
				assert.Equal(t, excluded, errors.Is(err, forwarder.ErrUnavailable), "%v", err)
			})
		})
	}
	run("learned at once", 0, true)
	run("learned soon", 300*time.Millisecond, true)
	run("named later", 4*time.Second, false)
}

// TestAgeOfTargetFromPeers covers a node that starts after a version was named, at 7 and at 195
// nodes: it takes the age from its peers.
func TestAgeOfTargetFromPeers(t *testing.T) {
	for nodes, domains := range map[int]int{7: 3, 195: 5} {
		runFleet(t, fmt.Sprintf("%d nodes", nodes), nodes, domains, func(t *testing.T, f *fleet) {
			f.wait(membershipBound)
			started := f.nodes[len(f.nodes)-1]
			for _, n := range f.nodes {
				n.node.Configure(catalog(1), "test")
				n.node.SetTargetVersion("m", 2, n != started)
			}
			f.wait(time.Second)
			age, known := started.node.View().TargetAge("m")
			require.True(t, known)
			assert.InDelta(t, time.Second, age, float64(50*time.Millisecond))
		})
	}
}

// TestNewNodeCountsSuspendedTime guards against a node whose clock stops with its host: the clock
// of a new node is the one that counts that time.
func TestNewNodeCountsSuspendedTime(t *testing.T) {
	got, ok := relayer.New(zerolog.Nop(), time.Now).Uptime()
	require.True(t, ok)
	want, ok := relayer.SinceBoot()
	require.True(t, ok)
	assert.InDelta(t, want, got, float64(time.Second))
}

// TestInvalidAgeFromPeer covers an age from a peer that can't be one.
func TestInvalidAgeFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newNode(t, engine("a", 1))
		node.SetTargetVersion("m", 2, false)
		synctest.Wait()
		node.AdoptTargetAges(func(string, int64) (time.Duration, bool) { return -time.Hour, true })
		synctest.Wait()
		_, known := node.View().TargetAge("m")
		assert.False(t, known)
	})
}
