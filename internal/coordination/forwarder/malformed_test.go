package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

var errMalformedAnswer = errors.Mark(errors.Mark(errors.New("no answer"), forwarder.ErrBroken), forwarder.ErrMalformed)

func malformed(context.Context, forwarder.Attempt) (forwarder.Answer, error) {
	return forwarder.Answer{}, errMalformedAnswer
}

// TestMalformedAnswersAreNotCrashes guards against sound requests that are refused as poison
// because endpoints answered them with bytes that are no answer.
func TestMalformedAnswersAreNotCrashes(t *testing.T) {
	t.Run("the request is still sent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := &standinSender{responses: []response{malformed}}
			x := newForwarder(e)
			announced := 0
			x.Broadcast = func() { announced++ }
			for range 4 {
				assertFails(t, x.Run(t.Context(), exchange(cataloger.RetrySafe), &standinSink{}), forwarder.ErrMalformed)
			}
			e.responses = []response{status(200)}
			require.NoError(t, x.Run(t.Context(), exchange(cataloger.RetrySafe), &standinSink{}))
			assert.Zero(t, announced)
			assert.Empty(t, x.Suspects.Local(x.Now(), 1))
		})
	})
	t.Run("it is retried as after a broken answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e, err := runExchange(t, exchange(cataloger.RetrySafe), &standinSink{}, malformed, status(200))
			require.NoError(t, err)
			assertSends(t, e, 2)
		})
	})
	t.Run("it is not retried if it may run only once, and may have run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e, err := runExchange(t, exchange(cataloger.RetryIfNotRun), &standinSink{}, malformed, status(200))
			assertFails(t, err, forwarder.ErrBroken)
			assertSends(t, e, 1)
		})
	})
	t.Run("a stream is resumed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &standinSink{}
			e, err := runExchange(t, exchange(cataloger.RetryResumable), c, stream(errMalformedAnswer, "1"), stream(io.EOF, "2"))
			require.NoError(t, err)
			assert.Equal(t, []string{"1", "2"}, c.events)
			assert.Equal(t, "1", e.attempts[1].LastEventID)
		})
	})
}
