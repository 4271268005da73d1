package ticketer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

func newTicketer(process uint64, now *time.Time) *Ticketer {
	return &Ticketer{Node: "n.1", ProcessID: process, Key: []byte("key"), Expiry: time.Hour, Now: func() time.Time { return *now }}
}

func redeem(t *testing.T, ticketer *Ticketer, ticket string, digest indexer.Digest) State {
	t.Helper()
	redemption, err := ticketer.Redeem(ticket, "team", digest)
	require.NoError(t, err)
	return redemption.State
}

func TestTickets(t *testing.T) {
	now := time.Unix(0, 0)
	issuer := newTicketer(1, &now)
	ticket, err := issuer.Issue("team")
	require.NoError(t, err)
	digest, other := indexer.Digest{1}, indexer.Digest{2}
	t.Run("only one call may run", func(t *testing.T) {
		assert.Equal(t, StateWon, redeem(t, issuer, ticket, digest))
		assert.Equal(t, StateRunning, redeem(t, issuer, ticket, digest))
		assert.Equal(t, StateMismatch, redeem(t, issuer, ticket, other))
	})
	t.Run("a request that was not sent can be retried", func(t *testing.T) {
		issuer.Release(ticket)
		assert.Equal(t, StateWon, redeem(t, issuer, ticket, digest))
	})
	t.Run("a replay returns the stored answer", func(t *testing.T) {
		issuer.Finish(ticket, indexer.Answer{Status: 201})
		assert.Equal(t, StateDone, redeem(t, issuer, ticket, digest))
	})
	t.Run("another process of the same node can't redeem it", func(t *testing.T) {
		_, err := newTicketer(2, &now).Redeem(ticket, "team", digest)
		assert.True(t, errors.Is(err, ErrOtherProcess))
	})
	t.Run("another team can't redeem it", func(t *testing.T) {
		_, err := issuer.Redeem(ticket, "other", digest)
		assert.True(t, errors.Is(err, ErrForged))
	})
	t.Run("an expired ticket can't be redeemed", func(t *testing.T) {
		now = now.Add(time.Hour)
		_, err := issuer.Redeem(ticket, "team", digest)
		assert.True(t, errors.Is(err, ErrExpired))
	})
}
