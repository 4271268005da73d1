package chatter

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDecodeRequest(t *testing.T) {
	request, err := DecodeRequest([]byte(`{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user", "content":"a <b>"},{"role":"user","content":"c"}]}`))
	require.NoError(t, err)
	assert.True(t, request.Stream)
	assert.Equal(t, 3, request.MaxTokens)
	assert.Equal(t, `{"role":"user","content":"a <b>"}`, string(request.Messages[0]))
	assert.Equal(t, `{"role":"user","content":"a <b>"}`+"\n"+`{"role":"user","content":"c"}`+"\n", string(request.Text))
}

// TestContinuationSharesPrefix checks that the text of a conversation is a prefix
// of the text of its continuation. The identifiers of cached blocks depend on
// that.
func TestContinuationSharesPrefix(t *testing.T) {
	short, err := DecodeRequest([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	require.NoError(t, err)
	long, err := DecodeRequest([]byte(`{"model":"m","messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]}`))
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(long.Text), string(short.Text)))
}

func TestDecodeRequestRejects(t *testing.T) {
	cases := map[string]string{
		"no JSON":                   `{`,
		"no model":                  `{"messages":[{"role":"user"}]}`,
		"no messages":               `{"model":"m"}`,
		"no role":                   `{"model":"m","messages":[{"content":"a"}]}`,
		"not an object":             `{"model":"m","messages":["a"]}`,
		"max_tokens of zero":        `{"model":"m","messages":[{"role":"user"}],"max_tokens":0}`,
		"max_tokens over the limit": `{"model":"m","messages":[{"role":"user"}],"max_tokens":5000}`,
		"a wrong type":              `{"model":1,"messages":[{"role":"user"}]}`,
		"an array":                  `[]`,
		"only white space":          ` `,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeRequest([]byte(body))
			assert.True(t, errors.Is(err, ErrMalformed), "%v", err)
		})
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeRequest(data) })
}
