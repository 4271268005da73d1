package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/retrier"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// cutSender is the sender of a node whose connections to endpoints all break.
type cutSender struct{ *crashSite }

// Send implements forwarder.Sender.
func (cutSender) Send(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
	time.Sleep(prefillTime)
	return forwarder.Answer{}, errors.Mark(io.ErrUnexpectedEOF, forwarder.ErrBroken)
}

// cutOff breaks all connections of a node. If rejected is set, each new one is refused, as by
// a faulty firewall of the node's host; else none is answered.
func (s *crashSite) cutOff(i int, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := *s.forwarders[i]
	f.Sender = cutSender{s}
	f.Crashes.Refuses = func(context.Context, netip.AddrPort) bool { return rejected }
	s.forwarders[i] = &f
}

// assertServed checks that no node refuses a request with the parts.
func (s *crashSite) assertServed(t *testing.T, parts ...string) {
	t.Helper()
	refused := 0
	for _, n := range s.nodes {
		if verdict, _ := n.peers.PartSuspects.Check(time.Now(), retrier.PartHashes(parts)); verdict != retrier.VerdictAllow {
			refused++
		}
	}
	assert.Zero(t, refused, "nodes that refuse a request with %v", parts)
}

func (s *crashSite) assertDatagrams(t *testing.T) {
	t.Helper()
	for _, n := range s.nodes {
		assert.Zero(t, n.tooLarge.Load(), "%s sent a datagram over the limit", n.name)
	}
}

// sentBytes returns the bytes that a node sends in a second, at most.
func (s *crashSite) sentBytes() (most int64) {
	for _, n := range s.nodes {
		n.bytes.Store(0)
	}
	const seconds = 3
	s.wait(seconds * time.Second)
	for _, n := range s.nodes {
		most = max(most, n.bytes.Load()/seconds)
	}
	return most
}

// runCrashSites runs a check on sites of 7 and of 195 nodes.
func runCrashSites(t *testing.T, check func(t *testing.T, ctx context.Context, s *crashSite)) {
	for _, site := range []struct{ nodes, domains int }{{7, 3}, {195, 5}} {
		t.Run(fmt.Sprintf("%d nodes", site.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t, site.nodes, site.domains, 14)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s.wait(membershipBound)
				check(t, ctx, s)
				s.assertDatagrams(t)
				cancel()
				s.wait(time.Second)
			})
		})
	}
}

// TestCutOffNodeAccusesNoPart guards against parts that are refused because one node sees all
// its connections break.
func TestCutOffNodeAccusesNoPart(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		t.Run(fmt.Sprintf("connections rejected %t", rejected), func(t *testing.T) {
			runCrashSites(t, func(t *testing.T, ctx context.Context, s *crashSite) {
				s.cutOff(3, rejected)
				for range 100 {
					// No request comes at another node, whose answer would clear the parts.
					s.requestAt(ctx, 3, "system", "rare")
				}
				s.wait(membershipBound)
				s.assertServed(t, "system", "rare")
			})
		})
	}
	t.Run("a domain of cut-off nodes", func(t *testing.T) {
		runCrashSites(t, func(t *testing.T, ctx context.Context, s *crashSite) {
			var cut []int
			for i, n := range s.nodes {
				if n.domain == "d1" {
					s.cutOff(i, false)
					cut = append(cut, i)
				}
			}
			for i := range 100 {
				s.requestAt(ctx, cut[i%len(cut)], "system")
			}
			s.wait(membershipBound)
			s.assertServed(t, "system")
		})
	})
}

// TestEndingEndpointsAccuseNoPart guards against sound parts that are refused because the
// endpoints that run them end for other reasons.
func TestEndingEndpointsAccuseNoPart(t *testing.T) {
	runCrashSites(t, func(t *testing.T, ctx context.Context, s *crashSite) {
		var parts []string
		for i := range 20 {
			part := fmt.Sprint("doc", i)
			parts = append(parts, part)
			s.repeatSound(ctx, 200*time.Millisecond, func() []string { return []string{"system", part} })
		}
		for i := range 60 {
			s.wait(500 * time.Millisecond)
			s.mu.Lock()
			s.endpoints[i%len(s.endpoints)].end()
			if i%20 == 19 {
				for _, e := range s.endpoints {
					e.end()
				}
			}
			s.mu.Unlock()
			for _, part := range parts {
				s.assertServed(t, "system", part)
			}
		}
	})
}

// TestNodeWithoutContactLearnsRefusedPart covers a node that was away while a part crashed
// endpoints, such as one that starts.
func TestNodeWithoutContactLearnsRefusedPart(t *testing.T) {
	runCrashSites(t, func(t *testing.T, ctx context.Context, s *crashSite) {
		away := s.nodes[len(s.nodes)-1]
		s.setCut(func(a, b *fleetNode) bool { return a == away || b == away })
		for i := range 5 {
			s.requestAt(ctx, i%3, "system", crashingPart)
			s.wait(time.Second)
		}
		s.setCut(func(a, b *fleetNode) bool { return false })
		s.wait(membershipBound)
		require.NotEmpty(t, s.crashes)
		reached := len(s.reached)
		s.requestAt(ctx, len(s.nodes)-1, "system", crashingPart)
		assert.Len(t, s.reached, reached)
	})
}

// TestHeartbeatsWithManySuspects shows that a datagram stays under its limit with all that it
// may hold.
func TestHeartbeatsWithManySuspects(t *testing.T) {
	runCrashSites(t, func(t *testing.T, _ context.Context, s *crashSite) {
		before := s.sentBytes()
		for i := range 300 {
			for _, n := range s.nodes[:3] {
				part := retrier.PartHashes([]string{fmt.Sprint("part", i)})
				for crash := range 7 {
					n.peers.PartSuspects.RecordCrash(time.Now(), time.Now().Add(-time.Duration(crash)*time.Hour), part, uint32(1<<31+7*i+crash))
				}
				n.peers.Suspects.RecordCrash(time.Now(), uint64(1<<60+i))
				n.peers.Announce(endpointtracker.Endpoint{ID: fmt.Sprint("endpoint", i)}, "m", 1<<40)
			}
		}
		s.wait(5 * time.Second)
		full := s.sentBytes()
		s.wait(30 * time.Second)
		t.Logf("bytes sent by a node in a second, at most: %d without suspects, %d with, %d later", before, full, s.sentBytes())
	})
}
