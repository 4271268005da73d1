package forwarder_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/locator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// TestFailedAttemptLogsParts guards against log lines that don't tell which of the broken
// requests at an endpoint had begun to be answered, and which parts they share.
func TestFailedAttemptLogsParts(t *testing.T) {
	run := func(t *testing.T, parts []locator.Part, respond response) map[string]any {
		t.Helper()
		var log bytes.Buffer
		e := &standinSender{responses: []response{respond}}
		f := newForwarder(e)
		f.Log = zerolog.New(&log)
		x := exchange(cataloger.RetryIfNotRun)
		x.Prompt = &forwarder.Prompt{Model: "m", Parts: parts}
		require.Error(t, f.Run(t.Context(), x, &standinSink{}))
		var line map[string]any
		require.NoError(t, json.NewDecoder(&log).Decode(&line))
		require.Equal(t, "attempt failed", line["outcome"])
		return line
	}
	t.Run("without events", func(t *testing.T) {
		line := run(t, []locator.Part{{ID: "a"}, {ID: "b"}, {ID: "own"}}, stream(errors.Mark(errors.New("cut"), forwarder.ErrBroken)))
		assert.Equal(t, []any{"a", "b"}, line["parts"])
		assert.Equal(t, false, line["events"])
	})
	t.Run("with events", func(t *testing.T) {
		line := run(t, []locator.Part{{ID: "a"}, {ID: "own"}}, stream(errors.Mark(errors.New("cut"), forwarder.ErrBroken), "1"))
		assert.Equal(t, true, line["events"])
		assert.Contains(t, line, "sinceEvent")
	})
	t.Run("bounds parts and their length", func(t *testing.T) {
		parts := make([]locator.Part, 100)
		for i := range parts {
			parts[i].ID = strings.Repeat("x", 1000)
		}
		line := run(t, parts, failsWith(forwarder.ErrBroken))
		require.Len(t, line["parts"], 8)
		assert.Len(t, line["parts"].([]any)[0], 64)
		assert.EqualValues(t, 99, line["sharedParts"])
	})
}
