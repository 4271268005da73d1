package parser

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const valid = `name = "n1"
domain = "bursa"
[listen]
callers = "127.0.0.1:7100"
peers = "127.0.0.1:7200"
operators = "127.0.0.1:7300"
[platform]
log = "127.0.0.1:7001"
hosts = "127.0.0.1:7002"
[peers]
key = "0123456789abcdef"
seeds = ["127.0.0.1:7201"]
[operators]
key = "0123456789abcdef"
`

func TestParse(t *testing.T) {
	settings, err := Parse("node.toml", []byte(valid))
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:7100", settings.Callers.String())
	assert.Equal(t, "cost", settings.Policy)
	assert.True(t, settings.Stores)
	assert.Equal(t, 3*time.Second, settings.Grace)
	assert.Len(t, settings.Seeds, 1)
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	cases := []struct {
		name, old, new, reason string
	}{
		{"a missing name", `name = "n1"`, ``, "node.toml:1: name: is missing"},
		{"an unknown key", `domain =`, `region =`, "node.toml:2: region: unknown key"},
		{"a bad address", `"127.0.0.1:7200"`, `"localhost"`, "node.toml:5: listen.peers"},
		{"a port of zero", `127.0.0.1:7300`, `127.0.0.1:0`, "node.toml:6: listen.operators: needs an address"},
		{"a wrong type", `"n1"`, `1`, "node.toml:1"},
		{"a short key", "[operators]\nkey = \"0123456789abcdef\"", "[operators]\nkey = \"0\"", "node.toml:14: operators.key: needs at least 16 characters"},
		{"a negative duration", "[operators]", "[drain]\ngrace = \"-1s\"\n[operators]", "node.toml:14: drain.grace"},
		{"an unknown log format", "[operators]", "[logging]\nformat = \"xml\"\n[operators]", "node.toml:14: logging.format: must be json or console"},
		{"not TOML", "[listen]", "[listen", "node.toml:3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("node.toml", []byte(strings.Replace(valid, c.old, c.new, 1)))
			require.Error(t, err)
			assert.True(t, errors.Is(err, ErrInvalid))
			assert.Contains(t, err.Error(), c.reason)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("node.toml", data) })
}
