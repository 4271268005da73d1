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
	return &Ticketer{Node: "n.1", Process: process, Key: []byte("key"), Window: time.Hour, Now: func() time.Time { return *now }}
}

func begin(t *testing.T, ticketer *Ticketer, ticket string, digest indexer.Digest) State {
	t.Helper()
	entry, err := ticketer.Begin(ticket, "team", digest)
	require.NoError(t, err)
	return entry.State
}

func TestTickets(t *testing.T) {
	now := time.Unix(0, 0)
	one := newTicketer(1, &now)
	ticket, err := one.Issue("team")
	require.NoError(t, err)
	digest, other := indexer.Digest{1}, indexer.Digest{2}
	t.Run("only one call wins", func(t *testing.T) {
		assert.Equal(t, StateWon, begin(t, one, ticket, digest))
		assert.Equal(t, StateRunning, begin(t, one, ticket, digest))
		assert.Equal(t, StateMismatch, begin(t, one, ticket, other))
	})
	t.Run("an unsent call can be tried again", func(t *testing.T) {
		one.Release(ticket)
		assert.Equal(t, StateWon, begin(t, one, ticket, digest))
	})
	t.Run("a repeat gets the answer", func(t *testing.T) {
		one.Finish(ticket, indexer.Answer{Status: 201})
		assert.Equal(t, StateDone, begin(t, one, ticket, digest))
	})
	t.Run("another process of the same node never runs it", func(t *testing.T) {
		_, err := newTicketer(2, &now).Begin(ticket, "team", digest)
		assert.True(t, errors.Is(err, ErrElsewhere))
	})
	t.Run("another team can't redeem it", func(t *testing.T) {
		_, err := one.Begin(ticket, "other", digest)
		assert.True(t, errors.Is(err, ErrForged))
	})
	t.Run("a forgotten ticket never runs", func(t *testing.T) {
		now = now.Add(time.Hour)
		_, err := one.Begin(ticket, "team", digest)
		assert.True(t, errors.Is(err, ErrExpired))
	})
}
