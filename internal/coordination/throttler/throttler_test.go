package throttler_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/throttler"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	endpoint = endpointtracker.Endpoint{ID: "e1", StartedAt: start}
	process  = throttler.ProcessOf(endpoint)
	limitOf2 = throttler.Statement{Known: true, Limited: true, Rate: 2}
	noLimit  = throttler.Statement{Known: true}
)

func assertRate(t *testing.T, limits *throttler.Limits, want float64, limited bool) {
	t.Helper()
	rate, ok := limits.Rate(process)
	assert.Equal(t, limited, ok)
	if limited {
		assert.InDelta(t, want, rate, 1e-9)
	}
}

func TestLearn(t *testing.T) {
	learned := func() *throttler.Limits {
		limits := &throttler.Limits{}
		limits.Learn(start, process, limitOf2, start)
		return limits
	}
	t.Run("a limit holds until an answer to a later request has none", func(t *testing.T) {
		limits := learned()
		limits.Learn(start.Add(time.Second), process, noLimit, start.Add(-time.Second))
		assertRate(t, limits, 2, true)
		limits.Learn(start.Add(time.Second), process, noLimit, start.Add(time.Millisecond))
		assertRate(t, limits, 0, false)
	})
	t.Run("an answer that says nothing changes nothing", func(t *testing.T) {
		limits := learned()
		limits.Learn(start.Add(time.Second), process, throttler.Statement{}, start.Add(time.Millisecond))
		assertRate(t, limits, 2, true)
	})
	t.Run("a later process has none", func(t *testing.T) {
		limits := learned()
		later := endpoint
		later.StartedAt = start.Add(time.Second)
		assert.Zero(t, limits.Of(later))
		assert.InDelta(t, 2, limits.Of(endpoint), 1e-9)
	})
	t.Run("peers are told of changes only", func(t *testing.T) {
		limits := &throttler.Limits{}
		assert.True(t, limits.Learn(start, process, limitOf2, start))
		assert.False(t, limits.Learn(start.Add(time.Second), process, limitOf2, start))
		assert.True(t, limits.Learn(start.Add(time.Second), process, noLimit, start.Add(time.Millisecond)))
	})
}

func TestMerge(t *testing.T) {
	t.Run("the newest statement holds in every order", func(t *testing.T) {
		a, b := &throttler.Limits{}, &throttler.Limits{}
		a.Learn(start, process, limitOf2, start)
		old := a.Known(start, 8)
		b.Merge(start, old)
		assertRate(t, b, 2, true)
		b.Learn(start.Add(-20*time.Second), process, noLimit, start.Add(time.Millisecond))
		assertRate(t, b, 0, false)
		assert.Empty(t, b.Merge(start, old))
		assertRate(t, b, 0, false)
		assert.Len(t, a.Merge(start, b.Known(start, 8)), 1)
		assertRate(t, a, 0, false)
	})
	t.Run("limits of processes that are gone are forgotten", func(t *testing.T) {
		limits := &throttler.Limits{}
		limits.Merge(start, []peertracker.EndpointLimit{{Endpoint: process.Endpoint, Started: process.Started, Rate: 2, Stamp: 1}})
		limits.SetListed(start, map[string][]endpointtracker.Endpoint{"s": {endpoint}})
		assert.Len(t, limits.Known(start.Add(time.Hour), 8), 1)
		limits.SetListed(start.Add(time.Hour), nil)
		assert.False(t, (&throttler.Permits{Limits: limits}).Any())
	})
	t.Run("memory is bounded", func(t *testing.T) {
		limits := &throttler.Limits{}
		for i := range 5000 {
			limits.Merge(start.Add(time.Duration(i)), []peertracker.EndpointLimit{{Endpoint: uint32(i), Rate: 2, Stamp: 1}})
		}
		assert.LessOrEqual(t, len(limits.Known(start, 5000)), 2048)
	})
}

// TestIssue asks again and again for as many permits as there are, as a whole site would.
func TestIssue(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 1.2, 5, 80} {
		for _, patient := range []bool{false, true} {
			issuer := &throttler.Issuer{Share: func() float64 { return 1 }}
			demand := throttler.Demand{Process: process, Permits: throttler.MaxPermits, Patient: patient}
			var usable []time.Time
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
				for _, wait := range issuer.Issue(now, demand, rate).Waits {
					usable = append(usable, now.Add(wait))
				}
			}
			for i, from := range usable {
				n := 0
				for _, at := range usable[i:] {
					if at.Before(from.Add(4 * time.Second)) {
						n++
					}
				}
				assert.LessOrEqual(t, n, int(1.5*4*rate+5), "rate %v", rate)
			}
			assert.GreaterOrEqual(t, float64(len(usable)), 0.9*58*rate, "rate %v", rate)
		}
	}
	for _, rate := range []float64{0.3, 1.2, 5, 80} {
		t.Run(fmt.Sprintf("permits that nobody asked for are saved up, limit %v", rate), func(t *testing.T) {
			issuer := &throttler.Issuer{Share: func() float64 { return 1 }}
			issued := func(now time.Time) int {
				return len(issuer.Issue(now, throttler.Demand{Process: process, Permits: throttler.MaxPermits}, rate).Waits)
			}
			issued(start)
			after, saved, n := start.Add(time.Minute), 0, 0
			for now := after; now.Before(after.Add(4 * time.Second)); now = now.Add(5 * time.Millisecond) {
				n += issued(now)
				if now.Equal(after) {
					saved = n
				}
			}
			assert.GreaterOrEqual(t, saved, 3)
			assert.LessOrEqual(t, n, int(1.5*4*rate+5))
		})
	}
	t.Run("nodes out of reach leave a part of the limit", func(t *testing.T) {
		issuer := &throttler.Issuer{Share: func() float64 { return 0.25 }}
		n := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			n += len(issuer.Issue(now, throttler.Demand{Process: process, Permits: 1}, 8).Waits)
		}
		assert.InDelta(t, 0.25*0.95*8*20, float64(n), 5)
	})
}

func newPermits(ask throttler.Ask) *throttler.Permits {
	limits := &throttler.Limits{}
	limits.Learn(time.Now(), process, limitOf2, time.Now())
	return &throttler.Permits{Limits: limits, Ask: ask, OnChange: func() {}, OnError: func(throttler.Process, error) {}, Now: time.Now}
}

func TestPermits(t *testing.T) {
	want := func(p *throttler.Permits) { <-p.Want(time.Now(), endpoint, true) }
	run := func(name string, grant throttler.Grant, err error, check func(t *testing.T, p *throttler.Permits)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPermits(func(context.Context, throttler.Demand) (throttler.Grant, error) { return grant, err })
				require.False(t, p.Ready(time.Now(), endpoint))
				check(t, p)
				time.Sleep(10 * time.Second)
			})
		})
	}
	run("each is used once", throttler.Grant{Waits: []time.Duration{0}}, nil, func(t *testing.T, p *throttler.Permits) {
		want(p)
		assert.True(t, p.Take(time.Now(), endpoint))
		assert.False(t, p.Take(time.Now(), endpoint))
	})
	run("expire", throttler.Grant{Waits: []time.Duration{0}}, nil, func(t *testing.T, p *throttler.Permits) {
		want(p)
		time.Sleep(time.Second)
		assert.False(t, p.Take(time.Now(), endpoint))
	})
	run("are used no earlier than issued for", throttler.Grant{Waits: []time.Duration{time.Second}}, nil, func(t *testing.T, p *throttler.Permits) {
		want(p)
		assert.False(t, p.Take(time.Now(), endpoint))
		assert.Equal(t, time.Second, p.Wait(time.Now(), endpoint))
		time.Sleep(time.Second)
		assert.True(t, p.Take(time.Now(), endpoint))
	})
	run("a node that is denied waits", throttler.Grant{Retry: 2 * time.Second}, nil, func(t *testing.T, p *throttler.Permits) {
		want(p)
		assert.Equal(t, 2*time.Second, p.Wait(time.Now(), endpoint))
		assert.Nil(t, p.Want(time.Now(), endpoint, true))
	})
	run("without an issuer there are none", throttler.Grant{}, errors.New("unreachable"), func(t *testing.T, p *throttler.Permits) {
		want(p)
		assert.False(t, p.Take(time.Now(), endpoint))
		assert.Positive(t, p.Wait(time.Now(), endpoint))
	})
	run("an endpoint without a limit needs none", throttler.Grant{}, nil, func(t *testing.T, p *throttler.Permits) {
		other := endpointtracker.Endpoint{ID: "e2"}
		assert.True(t, p.Ready(time.Now(), other))
		assert.True(t, p.Take(time.Now(), other))
		assert.Zero(t, p.Wait(time.Now(), other))
	})
}
