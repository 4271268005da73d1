package reserver_test

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
)

// text returns n bytes that differ from segment to segment.
func text(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i ^ i>>8 ^ i>>16)
	}
	return body
}

func TestReadAll(t *testing.T) {
	for _, n := range []int{0, 1, reserver.FreeBytes - 1, reserver.FreeBytes, reserver.FreeBytes + 1, 5*reserver.FreeBytes + 7} {
		want := text(n)
		for name, r := range map[string]io.Reader{
			"whole":         bytes.NewReader(want),
			"in halves":     iotest.HalfReader(bytes.NewReader(want)),
			"with its end":  iotest.DataErrReader(bytes.NewReader(want)),
			"without limit": bytes.NewReader(want),
		} {
			t.Run(name, func(t *testing.T) {
				p := newPool()
				if name == "without limit" {
					p = nil
				}
				b := p.NewBuffer(first, nil)
				body, err := b.ReadAll(r, n)
				require.NoError(t, err)
				assert.Equal(t, want, body)
				b.Release()
			})
		}
	}
	t.Run("too long", func(t *testing.T) {
		b, _ := newBuffer(newPool(), first)
		_, err := b.ReadAll(bytes.NewReader(text(101)), 100)
		assert.ErrorIs(t, err, reserver.ErrTooLong)
	})
	t.Run("broken", func(t *testing.T) {
		b, _ := newBuffer(newPool(), first)
		_, err := b.ReadAll(io.MultiReader(bytes.NewReader(text(100)), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
	t.Run("over the pool's limit", func(t *testing.T) {
		p := newPool()
		b, stops := newBuffer(p, first)
		_, err := b.ReadAll(bytes.NewReader(text(2*limit)), 2*limit)
		assert.ErrorIs(t, err, reserver.ErrRevoked)
		assert.Equal(t, 1, *stops)
		assert.Zero(t, p.Used())
	})
	t.Run("complete bodies are not revoked", func(t *testing.T) {
		p := newPool()
		b, _ := newBuffer(p, first)
		_, err := b.ReadAll(bytes.NewReader(text(limit)), limit)
		require.NoError(t, err)
		other, _ := newBuffer(p, second)
		assert.ErrorIs(t, other.Grow(counted(limit)), reserver.ErrRevoked)
		assert.False(t, b.Revoked())
	})
	t.Run("concurrent bodies don't mix", func(t *testing.T) {
		p := newPool()
		done := make(chan struct{})
		for i := range 20 {
			go func() {
				defer func() { done <- struct{}{} }()
				want := bytes.Repeat([]byte{byte(i)}, 2*reserver.FreeBytes+i)
				for range 50 {
					b := p.NewBuffer(first, func() {})
					body, err := b.ReadAll(iotest.HalfReader(bytes.NewReader(want)), len(want))
					b.Release()
					if err == nil {
						assert.True(t, bytes.Equal(want, body))
					}
				}
			}()
		}
		for range 20 {
			<-done
		}
	})
}

// TestBodiesGivenUpMakeNoGarbage guards against a node whose heap outgrows its memory, since
// the collector does not keep up with bodies that are read in part and dropped.
func TestBodiesGivenUpMakeNoGarbage(t *testing.T) {
	const bodies, size = 50, 1 << 20
	r := bytes.NewReader(text(size))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		_, _ = r.Seek(0, io.SeekStart)
		b := newPool().NewBuffer(first, func() {})
		_, err := b.ReadAll(r, size-1)
		require.ErrorIs(t, err, reserver.ErrTooLong)
		b.Release()
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes allocated for %d bytes read", allocated, bodies*size)
	assert.Less(t, allocated, uint64(bodies*size/2))
}
