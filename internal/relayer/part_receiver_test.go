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
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/packer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/messenger"
)

// partHome is a hub whose directory of parts a member follows.
type partHome struct {
	address   netip.AddrPort
	parts     *locator.Locator
	publisher *relayer.PartPublisher
	member    *partMember
}

// partMember follows the directory of one of several homes.
type partMember struct {
	parts    *locator.Locator
	receiver *relayer.PartReceiver
	homes    map[netip.AddrPort]*partHome
	// fails makes all calls for a directory fail, and mismatches those that send known parts.
	fails, mismatches atomic.Bool
	// whole and partial count the calls without and with known parts.
	whole, partial atomic.Int64

	mu sync.Mutex
	// delays returns when a datagram arrives, once for each of its copies.
	delays func() []time.Duration
}

func (m *partMember) setDelays(delays func() []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays = delays
}

// inOrder and lost are delays of datagrams that arrive at once, and of those that do not arrive.
func inOrder() []time.Duration { return []time.Duration{0} }

func lost() []time.Duration { return nil }

// Send implements relayer.Gossip.
func (h *partHome) Send(_ []netip.AddrPort, message packer.Message) error {
	if message.Sender.Parts == nil {
		return nil
	}
	h.member.mu.Lock()
	defer h.member.mu.Unlock()
	for _, delay := range h.member.delays() {
		time.AfterFunc(delay, func() {
			h.member.receiver.Handle(context.Background(), h.address, *message.Sender.Parts)
		})
	}
	return nil
}

var errNoDirectory = errors.New("directory can't be fetched")

// Parts implements relayer.PartClient.
func (m *partMember) Parts(_ context.Context, home netip.AddrPort, known []messenger.PartHolder) (messenger.PartDirectory, error) {
	if len(known) > 0 {
		m.partial.Add(1)
	} else {
		m.whole.Add(1)
	}
	time.Sleep(20 * time.Millisecond)
	if m.fails.Load() {
		return messenger.PartDirectory{}, errNoDirectory
	}
	if m.mismatches.Load() && len(known) > 0 {
		return messenger.PartDirectory{}, messenger.ErrDirectoryMismatch
	}
	directory := m.homes[home].publisher.Directory()
	time.Sleep(20 * time.Millisecond)
	return directory, nil
}

// newPartMember returns a member and its possible homes, whose publishers run until ctx ends.
func newPartMember(ctx context.Context, t *testing.T, homes int) (*partMember, []*partHome) {
	t.Helper()
	m := &partMember{parts: locator.New(), homes: map[netip.AddrPort]*partHome{}, delays: inOrder}
	m.receiver = &relayer.PartReceiver{Locator: m.parts, Client: m, Logger: zerolog.Nop()}
	var all []*partHome
	for i := range homes {
		h := &partHome{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(10 + i)}), 80), parts: locator.New(), member: m}
		peers := newPeers(t, newNode(t), &standinStateClient{})
		peers.Gossip = h
		h.publisher = &relayer.PartPublisher{Peers: peers, Locator: h.parts, First: uint64(1000 * (i + 1))}
		h.parts.Observer = h.publisher
		message := heartbeat(1)
		message.Sender.Homed = true
		go every(ctx, 500*time.Millisecond, func() {
			message.Sender.Sequence++
			peers.HandleHeartbeat(message)
		})
		go h.publisher.Run(ctx)
		m.homes[h.address] = h
		all = append(all, h)
	}
	return m, all
}

func testHolder(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 9, byte(i)}), 80)
}

// TestDirectoryOfLostHome guards against parts that a member fetches by a directory which nobody
// keeps current, while they are freed and saved anew.
func TestDirectoryOfLostHome(t *testing.T) {
	key := locator.Key{Salt: "s", Part: "a"}
	run := func(name string, check func(t *testing.T, m *partMember, homes []*partHome)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m, homes := newPartMember(ctx, t, 2)
				for _, h := range homes {
					h.parts.Reset(testHolder(1), map[locator.Key]int{key: 10}, 0)
				}
				m.receiver.SetHome(ctx, homes[0].address)
				time.Sleep(2 * time.Second)
				require.Equal(t, contents(homes[0].parts), contents(m.parts))
				check(t, m, homes)
			})
		})
	}
	run("no home", func(t *testing.T, m *partMember, _ []*partHome) {
		m.receiver.SetHome(t.Context(), netip.AddrPort{})
		assert.Empty(t, contents(m.parts))
	})
	run("another home after none gets what was known", func(t *testing.T, m *partMember, homes []*partHome) {
		m.receiver.SetHome(t.Context(), netip.AddrPort{})
		homes[1].parts.SetPart(testHolder(1), key, 0)
		m.receiver.SetHome(t.Context(), homes[1].address)
		time.Sleep(time.Second)
		assert.Equal(t, contents(homes[1].parts), contents(m.parts))
		assert.Equal(t, []int64{1, 1}, []int64{m.whole.Load(), m.partial.Load()})
	})
	run("a holder that the home loses and finds again gets what was known", func(t *testing.T, m *partMember, homes []*partHome) {
		homes[0].parts.Forget(testHolder(1))
		time.Sleep(500 * time.Millisecond)
		assert.Empty(t, contents(m.parts))
		homes[0].parts.Reset(testHolder(1), map[locator.Key]int{key: 10}, 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, contents(homes[0].parts), contents(m.parts))
		assert.Equal(t, []int64{1, 1}, []int64{m.whole.Load(), m.partial.Load()})
	})
	run("the whole directory is fetched after a mismatch", func(t *testing.T, m *partMember, homes []*partHome) {
		m.mismatches.Store(true)
		m.receiver.SetHome(t.Context(), homes[1].address)
		time.Sleep(3 * time.Second)
		assert.Equal(t, contents(homes[1].parts), contents(m.parts))
		assert.Equal(t, []int64{2, 1}, []int64{m.whole.Load(), m.partial.Load()})
	})
	run("no home while the directory is fetched", func(t *testing.T, m *partMember, homes []*partHome) {
		m.receiver.SetHome(t.Context(), homes[1].address)
		time.Sleep(30 * time.Millisecond)
		m.receiver.SetHome(t.Context(), netip.AddrPort{})
		time.Sleep(time.Second)
		assert.Empty(t, contents(m.parts))
	})
	run("a home whose directory can't be fetched", func(t *testing.T, m *partMember, homes []*partHome) {
		m.fails.Store(true)
		m.receiver.SetHome(t.Context(), homes[1].address)
		homes[1].parts.SetPart(testHolder(1), key, 0)
		time.Sleep(time.Second)
		assert.Empty(t, contents(m.parts))
		m.fails.Store(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, contents(homes[1].parts), contents(m.parts))
	})
	run("lost datagrams, and a directory that can't be fetched", func(t *testing.T, m *partMember, homes []*partHome) {
		m.setDelays(lost)
		m.fails.Store(true)
		homes[0].parts.SetPart(testHolder(1), key, 0)
		time.Sleep(200 * time.Millisecond)
		m.setDelays(inOrder)
		time.Sleep(2 * time.Second)
		assert.Empty(t, contents(m.parts)[testHolder(1)])
		m.fails.Store(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, contents(homes[0].parts), contents(m.parts))
	})
}

// TestDirectoryByDisorderedDatagrams checks that a member's directory becomes equal to that of its last home
// while datagrams are lost, late, repeated and out of order, and the home changes.
func TestDirectoryByDisorderedDatagrams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operations := rapid.SliceOfN(rapid.IntRange(0, 1000), 1, 120).Draw(rt, "operations")
		fates := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 30).Draw(rt, "fates")
		var home, member map[netip.AddrPort]map[locator.Key]int
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m, homes := newPartMember(ctx, t, 2)
			var n atomic.Int64
			m.setDelays(func() []time.Duration {
				i := int(n.Add(1))
				switch fate := fates[i%len(fates)]; fate {
				case 0:
					return nil
				case 1, 2:
					return []time.Duration{0, time.Duration(fate) * 400 * time.Millisecond}
				default:
					return []time.Duration{time.Duration(fate-3) * 90 * time.Millisecond}
				}
			})
			current := homes[0]
			m.receiver.SetHome(ctx, current.address)
			for _, operation := range operations {
				h := homes[operation%2]
				key := locator.Key{Salt: fmt.Sprint("s", operation%2), Part: fmt.Sprint("p", operation%13)}
				switch holder := testHolder(operation % 3); operation % 12 {
				case 0:
					h.parts.Reset(holder, map[locator.Key]int{key: 10}, 0)
				case 1:
					h.parts.Forget(holder)
				case 2, 3:
					h.parts.SetPart(holder, key, 0)
				case 4, 5:
					time.Sleep(130 * time.Millisecond)
				case 6:
					current = homes[operation/12%2]
					m.receiver.SetHome(ctx, current.address)
				default:
					h.parts.SetPart(holder, key, 1+operation)
				}
			}
			m.setDelays(inOrder)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			home, member = contents(current.parts), contents(m.parts)
		})
		if !assert.ObjectsAreEqual(home, member) {
			rt.Fatalf("home has %v, member %v", home, member)
		}
	})
}
