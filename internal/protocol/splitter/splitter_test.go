package splitter_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/splitter"
)

// split returns the data and the ids of all events and the final error of Next.
func split(source io.Reader) (events, ids []string, err error) {
	s := splitter.New(source)
	for {
		event, err := s.Next()
		if err != nil {
			return events, ids, err
		}
		events = append(events, string(event.Data))
		ids = append(ids, event.ID)
	}
}

func assertSplit(t *testing.T, text string, wantErr error, wantIDs ...string) {
	t.Helper()
	for name, source := range map[string]io.Reader{
		"whole":        strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		events, ids, err := split(source)
		assert.ErrorIs(t, err, wantErr, name)
		assert.Equal(t, wantIDs, ids, name)
		assert.True(t, strings.HasPrefix(text, strings.Join(events, "")), name)
	}
}

func TestNext(t *testing.T) {
	t.Run("events", func(t *testing.T) { assertSplit(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", io.EOF, "1", "2") })
	t.Run("CRLF line ends", func(t *testing.T) { assertSplit(t, "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", io.EOF, "1", "2") })
	t.Run("id after other lines", func(t *testing.T) { assertSplit(t, "weights: 3\nid:9\ndata: a\n\n", io.EOF, "9") })
	t.Run("no id", func(t *testing.T) { assertSplit(t, "data: a\n\n", io.EOF, "") })
	t.Run("end in the middle of an event", func(t *testing.T) { assertSplit(t, "id: 1\n\nid: 2\nda", splitter.ErrPartial, "1") })
	t.Run("empty stream", func(t *testing.T) { assertSplit(t, "", io.EOF) })
	t.Run("a source that fails", func(t *testing.T) {
		broken := errors.New("reset")
		events, _, err := split(io.MultiReader(strings.NewReader("id: 1\n\nid: 2"), iotest.ErrReader(broken)))
		require.ErrorIs(t, err, broken)
		assert.Len(t, events, 1)
	})
	t.Run("an event over the size limit", func(t *testing.T) {
		_, _, err := split(strings.NewReader(strings.Repeat("x", 2<<20)))
		assert.ErrorIs(t, err, splitter.ErrTooLong)
	})
}

// TestReserve checks that memory is reserved before the buffer grows.
func TestReserve(t *testing.T) {
	denied := errors.New("denied")
	var sizes []int
	s := splitter.New(strings.NewReader(strings.Repeat("x", 1<<20)))
	s.Reserve = func(size int) error {
		sizes = append(sizes, size)
		if size > 8<<10 {
			return denied
		}
		return nil
	}
	_, err := s.Next()
	require.ErrorIs(t, err, denied)
	assert.Equal(t, []int{2 << 10, 4 << 10, 8 << 10, 16 << 10}, sizes)
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\n\r\n"), 3)
	f.Add([]byte("\n\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, chunk int) {
		events, _, _ := split(bytes.NewReader(text))
		chunked, _, _ := split(chunkReader{bytes.NewReader(text), 1 + max(chunk, 0)%7})
		assert.Equal(t, events, chunked)
	})
}

// chunkReader returns at most size bytes per read.
type chunkReader struct {
	source io.Reader
	size   int
}

func (c chunkReader) Read(p []byte) (int, error) { return c.source.Read(p[:min(len(p), c.size)]) }

// TestManyEventsAfterALongOne guards against a search through the whole buffer for each event.
func TestManyEventsAfterALongOne(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n\n", "CRLF": "\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			text := strings.Repeat("x", splitter.MaxEventBytes-10) + end + strings.Repeat(":"+end, 300_000)
			began := time.Now()
			events, _, err := split(strings.NewReader(text))
			require.ErrorIs(t, err, io.EOF)
			assert.Len(t, events, 300_001)
			assert.Less(t, time.Since(began), 5*time.Second)
		})
	}
}
