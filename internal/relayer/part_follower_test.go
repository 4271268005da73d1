package relayer_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/relayer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// quickLog answers at once, and counts its listings.
type quickLog struct{ listed chan struct{} }

// List implements relayer.PartLog.
func (l quickLog) List(context.Context, netip.AddrPort) (relayer.Listing, error) {
	select {
	case l.listed <- struct{}{}:
	default:
	}
	return relayer.Listing{Epoch: 1, Held: map[locator.Key]int{{Salt: "s", Part: "a"}: 1}}, nil
}

// Changes implements relayer.PartLog.
func (quickLog) Changes(ctx context.Context, _ netip.AddrPort, _ int64, _ time.Duration) (relayer.PartChanges, error) {
	<-ctx.Done()
	return relayer.PartChanges{}, ctx.Err()
}

// TestListingAfterTheEnd guards against a listing that is applied when its store is no longer
// followed: its parts would stay in the directory for good.
func TestListingAfterTheEnd(t *testing.T) {
	services := []cataloger.Service{{Name: "store", Store: &cataloger.Store{Address: netip.MustParseAddrPort("10.9.0.0:80"), Capacity: 1}}}
	with := placer.View{Catalog: cataloger.New(1, nil, services, nil, cataloger.Limits{})}
	without := placer.View{Catalog: cataloger.New(2, nil, nil, nil, cataloger.Limits{})}
	var directories []*locator.Locator
	for range 20000 {
		log := quickLog{listed: make(chan struct{}, 1)}
		l := locator.New()
		follower := &relayer.PartFollower{
			Log: log, Locator: l, Self: "n", Hubs: func() []string { return []string{"n"} }, Logger: zerolog.Nop(),
			FollowsEngines: func() bool { return false },
		}
		follower.Follow(t.Context(), with)
		<-log.listed
		follower.Follow(t.Context(), without)
		directories = append(directories, l)
	}
	time.Sleep(100 * time.Millisecond)
	for _, l := range directories {
		require.Empty(t, l.Holders())
	}
}
