package relayer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/balancer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

func (f *fleet) assertSharedHosts(t *testing.T, want bool) {
	t.Helper()
	for _, n := range f.nodes {
		assert.Equal(t, want, n.balancer.SharedHosts(time.Now()), n.name)
	}
}

// reportPace lets a node receive a load report with a pace.
func (n *fleetNode) reportPace() {
	n.balancer.UpdateEndpointLoad("e", time.Now(), balancer.Load{Running: 1, Slots: 8, Pace: 1.2})
}

// TestSharedHosts guards against nodes that do not learn that endpoints report a pace, or that
// tell each other of it without end.
func TestSharedHosts(t *testing.T) {
	runFleet(t, "134 nodes", 134, 3, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		f.nodes[100].balancer.UpdateEndpointLoad("e", time.Now(), balancer.Load{Running: 1, Slots: 8})
		f.wait(time.Second)
		f.assertSharedHosts(t, false)
		f.nodes[100].reportPace()
		f.wait(time.Second)
		f.assertSharedHosts(t, true)
		f.wait(9*time.Second + 50*time.Millisecond)
		f.assertSharedHosts(t, false)
	})
}

// assertPeriods checks how many load reports a second hubs and members get, on average.
func (f *fleet) assertPeriods(t *testing.T, hub, member float64) {
	t.Helper()
	var received [2]float64
	for _, n := range f.nodes {
		n.received.Store(0)
	}
	const seconds = 6
	f.wait(seconds * time.Second)
	hubs := float64(len(f.hubs()))
	for _, n := range f.nodes {
		if n.peers.IsHub() {
			received[0] += float64(n.received.Load()) / seconds / hubs
		} else {
			received[1] += float64(n.received.Load()) / seconds / (float64(len(f.nodes)) - hubs)
		}
	}
	assert.InEpsilon(t, hub, received[0], 0.1, "hubs")
	assert.InEpsilon(t, member, received[1], 0.1, "members")
}

// TestLoadPeriods guards against longer periods where endpoints share their hosts, and against
// more traffic where they do not.
func TestLoadPeriods(t *testing.T) {
	// With 60 nodes, each of 3 domains has 3 hubs and 17 members.
	runFleet(t, "60 nodes", 60, 3, func(t *testing.T, f *fleet) {
		f.wait(membershipBound)
		require.Len(t, f.hubs(), 9)
		const reporters = 2 + 17.0/3
		const perDomain, perSlow, perFast, perOther = 1 / 0.150, 1 / 0.600, 1 / 0.030, 1 / 0.060
		f.assertPeriods(t, reporters*perDomain+6*perSlow, perDomain)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					f.nodes[50].reportPace()
				}
			}
		}()
		f.wait(2 * time.Second)
		f.assertPeriods(t, reporters*perFast+6*perOther, perFast)
		f.assertLive(t, f.nodes, 60)
		for _, n := range f.nodes {
			assert.Zero(t, n.tooLarge.Load(), n.name)
		}
	})
}

// crowd places requests at random nodes of a fleet on endpoints of the same domains.
type crowd struct {
	fleet     *fleet
	endpoints []endpointtracker.Endpoint
	running   map[string]int
}

func newCrowd(f *fleet, endpoints int) *crowd {
	c := &crowd{fleet: f, running: map[string]int{}}
	for i := range endpoints {
		c.endpoints = append(c.endpoints, endpointtracker.Endpoint{ID: fmt.Sprint("e", i), Domain: fmt.Sprintf("d%d", i%f.domains), Slots: 32})
	}
	for _, n := range f.nodes {
		n.balancer.Name, n.balancer.Nodes = n.name, func() int { return len(f.nodes) }
	}
	return c
}

// pick returns a number of endpoints at random.
func (c *crowd) pick(n int) []endpointtracker.Endpoint {
	picked := slices.Clone(c.endpoints)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:n]
}

// place places n requests, one a millisecond, on the best of some endpoints that are taken at
// random. Each runs for 0.2 to 1 s. It calls placed
// with each before it is counted.
func (c *crowd) place(t *testing.T, n, choices int, placed func(by *fleetNode, choice balancer.Choice)) {
	t.Helper()
	for range n {
		by := c.fleet.nodes[rand.IntN(len(c.fleet.nodes))]
		endpoints := c.pick(choices)
		for _, endpoint := range endpoints {
			by.balancer.RecordActivity(endpoint.ID, time.Now())
		}
		choice, ok := by.balancer.Pick(time.Now(), balancer.Request{Endpoints: endpoints})
		require.True(t, ok)
		c.fleet.mu.Lock()
		placed(by, choice)
		c.running[choice.Endpoint.ID]++
		c.fleet.mu.Unlock()
		time.AfterFunc(200*time.Millisecond+rand.N(800*time.Millisecond), func() {
			c.fleet.mu.Lock()
			defer c.fleet.mu.Unlock()
			by.balancer.Done(choice)
			c.running[choice.Endpoint.ID]--
		})
		time.Sleep(time.Millisecond)
		synctest.Wait()
	}
}

// TestSumsOfRunningRequests guards against sums of running requests that are too old to tell
// endpoints apart. Requests are spread evenly, so that the error is that of the age only.
func TestSumsOfRunningRequests(t *testing.T) {
	meanError := func(nodes int, shared bool) (relative float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, nodes, 3)
			c := newCrowd(f, 90)
			f.wait(membershipBound)
			if shared {
				f.nodes[0].reportPace()
			}
			sum, wrong := 0, 0
			check := func(by *fleetNode, choice balancer.Choice) {
				known, truth := by.balancer.Running(time.Now(), choice.Endpoint.ID)-1, c.running[choice.Endpoint.ID]
				wrong += max(known-truth, truth-known)
				sum += truth
			}
			c.place(t, 2000, 1, func(*fleetNode, balancer.Choice) {})
			c.place(t, 2000, 1, check)
			relative = float64(wrong) / float64(sum)
		})
		return relative
	}
	for _, nodes := range []int{60, 134} {
		seldom, often := meanError(nodes, false), meanError(nodes, true)
		t.Logf("%d nodes: mean error of the sums %.2f, and %.2f where hosts are shared", nodes, seldom, often)
		assert.Less(t, often, 0.6*seldom)
	}
}

// TestSharedHostsBesideOlderBuilds guards against nodes that are lost, or loads that are not
// counted, while only some nodes know of shared hosts.
func TestSharedHostsBesideOlderBuilds(t *testing.T) {
	runFleet(t, "60 nodes", 60, 3, func(t *testing.T, f *fleet) {
		for i, n := range f.nodes {
			n.old.Store(i%2 == 0)
		}
		target := engine("e", 1)
		f.wait(membershipBound)
		f.nodes[3].reportPace()
		for _, n := range f.nodes {
			_, ok := n.balancer.Pick(time.Now(), balancer.Request{Endpoints: []endpointtracker.Endpoint{target}, Urgent: true})
			require.True(t, ok)
			n.lost.Store(0)
		}
		f.wait(4 * time.Second)
		f.assertLive(t, f.nodes, 60)
		shared := 0
		for _, n := range f.nodes {
			assert.Zero(t, n.lost.Load(), n.name)
			assert.Equal(t, 60, n.balancer.Running(time.Now(), target.ID), n.name)
			if n.balancer.SharedHosts(time.Now()) {
				shared++
			}
		}
		assert.Greater(t, shared, 10, "the hub that has a report, other hubs and their members")
		assert.LessOrEqual(t, shared, 30)
	})
}

// TestSilentEngines guards against requests that go to engines that have sent nothing to any node,
// also to nodes that have no request there themselves. The same site without that knowledge sends
// clearly more.
func TestSilentEngines(t *testing.T) {
	const engines = 40
	toSilent := func(t *testing.T, mute, oneOld bool) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 60, 3)
			c := newCrowd(f, engines)
			for i := range c.endpoints {
				c.endpoints[i].Slots = 256
			}
			silentIDs := map[string]bool{}
			for i := 0; i < engines; i += 4 {
				silentIDs[c.endpoints[i].ID] = true
			}
			var silent atomic.Bool
			falls := func(id string) bool { return silent.Load() && silentIDs[id] }
			for _, n := range f.nodes {
				n.mute.Store(mute)
			}
			f.nodes[50].old.Store(oneOld)
			f.wait(membershipBound)
			f.nodes[0].reportPace()
			place := func(n int) {
				for range n {
					by := f.nodes[rand.IntN(len(f.nodes))]
					choice, ok := by.balancer.Pick(time.Now(), balancer.Request{Endpoints: c.endpoints, Urgent: true})
					require.True(t, ok)
					if falls(choice.Endpoint.ID) {
						sent++
					}
					go func() {
						for range 16 {
							time.Sleep(40 * time.Millisecond)
							if !falls(choice.Endpoint.ID) {
								by.balancer.RecordActivity(choice.Endpoint.ID, time.Now())
							}
						}
						if falls(choice.Endpoint.ID) {
							time.Sleep(5 * time.Second)
						}
						by.balancer.Done(choice)
					}()
					time.Sleep(2 * time.Millisecond)
				}
			}
			place(400)
			silent.Store(true)
			// Within the time that the rule takes to notice, nothing differs.
			place(400)
			sent = 0
			place(800)
			time.Sleep(6 * time.Second)
		})
		return sent
	}
	// One run sends about ten requests to silent engines, too few to compare two runs.
	const runs = 5
	var without, with, beside int
	for range runs {
		without += toSilent(t, true, false)
		with += toSilent(t, false, false)
		beside += toSilent(t, false, true)
	}
	t.Logf("requests sent to silent engines, of %d from 0.8 s on: %d, with shared silences %d, beside one older node %d", runs*800, without, with, beside)
	assert.Less(t, 2*with, without)
	assert.LessOrEqual(t, beside, without)
}
