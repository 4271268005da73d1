package messenger

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/wire"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

// partsHub serves a directory of parts.
type partsHub struct {
	RelayNode
	directory PartDirectory
}

func (h partsHub) Parts() PartDirectory { return h.directory }

// newDirectory returns a directory of 25 holders with 7,500 parts together, without the first skipped
// parts of each holder.
func newDirectory(skipped int) PartDirectory {
	directory := PartDirectory{Stream: 3, Next: 4}
	for i := range 25 {
		holder := PartHolder{Holder: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Reserved: i}
		group := peertracker.PartGroup{Holder: holder.Holder, Salt: "salt"}
		for n := skipped; n < 300; n++ {
			group.Parts, group.Tokens = append(group.Parts, fmt.Sprintf("%06x%06x", i*7919, n*104729)), append(group.Tokens, 100+n)
		}
		holder.Groups = append(holder.Groups, group)
		directory.Holders = append(directory.Holders, holder)
	}
	return directory
}

// content returns all parts of a directory by their holders, in order.
func content(directory PartDirectory) map[netip.AddrPort][]string {
	all := map[netip.AddrPort][]string{}
	for _, holder := range directory.Holders {
		all[holder.Holder] = []string{fmt.Sprint(holder.Reserved)}
		for _, group := range holder.Groups {
			for i, part := range group.Parts {
				all[holder.Holder] = append(all[holder.Holder], fmt.Sprint(group.Salt, part, group.Tokens[i]))
			}
		}
		slices.Sort(all[holder.Holder])
	}
	return all
}

// TestDirectoryOnSharedLink guards against directories of parts that fill the link of a hub, which carries
// the configurations as well, when all its members come from another hub: a third of 134 nodes,
// 10 Mbit/s, and half of the 3 s within which a version must be in force.
func TestDirectoryOnSharedLink(t *testing.T) {
	const members, bytesPerSecond, limit = 44, 1_250_000, 1500 * time.Millisecond
	run := func(name string, want PartDirectory) {
		t.Run(name, func(t *testing.T) {
			peer, transport := serve(t, partsHub{directory: want}), &countingTransport{}
			client := NewClient(transport, 0, nil)
			for range members {
				got, err := client.Parts(t.Context(), peer, newDirectory(3).Holders)
				require.NoError(t, err)
				assert.Equal(t, want.Next, got.Next)
				assert.Equal(t, content(want), content(got))
			}
			assert.Less(t, time.Duration(transport.received.Load())*time.Second/bytesPerSecond, limit)
		})
	}
	run("all holders", newDirectory(0))
	some := newDirectory(0)
	some.Holders = some.Holders[:16]
	run("a hub that has lost some of them", some)
}

func TestDirectory(t *testing.T) {
	gone := newDirectory(0)
	gone.Holders[3].Holder = netip.MustParseAddrPort("10.9.9.9:80")
	gone.Holders[3].Groups[0].Holder = gone.Holders[3].Holder
	for name, known := range map[string][]PartHolder{
		"nothing known":         nil,
		"the same":              newDirectory(0).Holders,
		"less":                  newDirectory(200).Holders,
		"a holder that is gone": gone.Holders,
	} {
		t.Run(name, func(t *testing.T) {
			want := newDirectory(10)
			got, err := NewClient(&countingTransport{}, 0, nil).Parts(t.Context(), serve(t, partsHub{directory: want}), known)
			require.NoError(t, err)
			assert.Equal(t, content(want), content(got))
		})
	}
}

// changedReply changes the replies of a peer.
type changedReply struct {
	wire.Relay
	change func(*wire.PartsReply)
}

func (c changedReply) Parts(ctx context.Context, request *wire.PartsRequest) (*wire.PartsReply, error) {
	reply, err := c.Relay.Parts(ctx, request)
	c.change(reply)
	return reply, err
}

// TestDirectoryMismatch guards against parts that the peer does not have.
func TestDirectoryMismatch(t *testing.T) {
	call := func(t *testing.T, change func(*wire.PartsReply)) (PartDirectory, error) {
		t.Helper()
		relay := wire.NewRelayServer(changedReply{&relayServer{node: partsHub{directory: newDirectory(0)}}, change})
		server := httptest.NewServer(authenticate(nil, relay))
		defer server.Close()
		peer := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		return NewClient(http.DefaultTransport, 0, nil).Parts(t.Context(), peer, newDirectory(1).Holders)
	}
	for name, change := range map[string]func(*wire.PartsReply){
		"another total":        func(r *wire.PartsReply) { *r.Holders[0].Total++ },
		"unknown bucket":       func(r *wire.PartsReply) { r.Holders[0].Differing = append(r.Holders[0].Differing, 1<<31) },
		"bucket left out":      func(r *wire.PartsReply) { r.Holders[0].Differing = r.Holders[0].Differing[1:] },
		"parts left out":       func(r *wire.PartsReply) { r.Holders[0].Groups = nil },
		"of an unknown holder": func(r *wire.PartsReply) { r.Holders[0].Holder = "10.9.9.9:80" },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := call(t, change)
			assert.True(t, errors.Is(err, ErrDirectoryMismatch), "%v", err)
		})
	}
	t.Run("an earlier build sends everything", func(t *testing.T) {
		got, err := call(t, func(r *wire.PartsReply) {
			whole, _ := (&relayServer{node: partsHub{directory: newDirectory(0)}}).Parts(t.Context(), &wire.PartsRequest{})
			r.Holders = whole.Holders
		})
		require.NoError(t, err)
		assert.Equal(t, content(newDirectory(0)), content(got))
	})
}
