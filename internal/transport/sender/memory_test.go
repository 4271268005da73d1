package sender_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/standin/sampler"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/reserver"
	"github.com/lacewingrelay/lacewingrelay/internal/transport/sender"
)

const (
	// The limits are those of a node with 112 MiB.
	nodeBytes       = 112 << 20
	softLimitBytes  = nodeBytes * 6 / 10
	answersBytes    = nodeBytes / 8
	endlessRequests = 100
	soundRequests   = 100
	// The largest answer is given up if memory runs short. It is an endless one: all answers at the
	// size of a sound one fit the memory.
	soundBodyBytes = 64 << 10
)

// newPartlyEndlessEndpoint returns an endpoint that answers requests whose id begins with
// "sound" soundly, and others without end.
func newPartlyEndlessEndpoint(t *testing.T, head, unit string) *endpoint {
	t.Helper()
	var total atomic.Int64
	endless := flood(head, unit, &total)
	sound := respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: %d\r\n\r\n%s", soundBodyBytes, strings.Repeat("s", soundBodyBytes)))
	return newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.Header.Get("Id"), "sound") {
			return sound(conn, r)
		}
		return endless(conn, r)
	})
}

func assertSound(t *testing.T, s *sender.Sender, e *endpoint, id string) {
	t.Helper()
	body, err := readWhole(t, s, e, id)
	assert.NoError(t, err)
	assert.Len(t, body, soundBodyBytes)
}

// TestEndlessAnswersShareTheMemory guards against a node that runs out of memory when many
// requests meet an endpoint that sends without end.
func TestEndlessAnswersShareTheMemory(t *testing.T) {
	processors := []int{runtime.NumCPU()}
	if !testing.Short() {
		// Under the race detector, which CI runs with -short, one processor does not finish
		// these requests before their deadlines.
		processors = append(processors, 1)
	}
	for _, n := range processors {
		t.Run(fmt.Sprint("processors: ", n), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(n))
			assertEndlessAnswersShareTheMemory(t)
		})
	}
}

func assertEndlessAnswersShareTheMemory(t *testing.T) {
	t.Helper()
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softLimitBytes))
	for name, answer := range map[string][2]string{
		"bodies without length": {okHead + "\r\n", "x"},
		"bodies with a length":  {okHead + "Content-Length: 16000000\r\n\r\n", "x"},
		"chunks":                {okHead + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n", "x"},
		"header lines":          {okHead, "A: b\r\n"},
		"header names":          {okHead, "abcde:\r\nfghij:\r\nklmno:\r\npqrst:\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sender.Sender{DialTimeout: testTimeout, Memory: &reserver.Pool{Limit: answersBytes}}
			bad, good := newPartlyEndlessEndpoint(t, answer[0], answer[1]), newEndpoint(t, respondWith(okResponse))
			peak := sampler.HeapPeak()
			var group sync.WaitGroup
			for i := range endlessRequests {
				group.Go(func() {
					_, err := readWhole(t, s, bad, fmt.Sprint("endless", i))
					// A whole body of the largest length is an answer.
					if name != "bodies with a length" || err != nil {
						assertMarked(t, err, forwarder.ErrMalformed)
					}
				})
			}
			for i := range soundRequests {
				group.Go(func() { assertSound(t, s, bad, fmt.Sprint("sound", i)) })
				group.Go(func() { assertBody(t, s, good, fmt.Sprint(i)) })
			}
			group.Wait()
			highest := peak()
			t.Logf("peak of the heap: %d bytes", highest)
			assert.Less(t, highest, uint64(nodeBytes))
			assert.Zero(t, s.Memory.Used())
			assert.Eventually(t, func() bool { return bad.open.Load() <= soundRequests }, noticeTime, 5*time.Millisecond)
		})
	}
}

// TestSoundAnswersBesideGrowingOnes guards against sound answers that are given up for endless ones
// of the same endpoint, which are read as fast.
func TestSoundAnswersBesideGrowingOnes(t *testing.T) {
	const begun = soundBodyBytes - 1<<10
	text := bytes.Repeat([]byte("s"), answersBytes+soundBodyBytes)
	var held sync.WaitGroup
	held.Add(soundRequests + endlessRequests)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
		id, size := r.Header.Get("Id"), len(text)
		if strings.HasPrefix(id, "sound") {
			size = soundBodyBytes
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, text[:begun])
		held.Done()
		held.Wait()
		if size == soundBodyBytes {
			// The endless ones grow while the sound ones are held.
			time.Sleep(200 * time.Millisecond)
		}
		if err == nil {
			_, err = conn.Write(text[begun:size])
		}
		return err == nil
	})
	s := &sender.Sender{DialTimeout: testTimeout, Memory: &reserver.Pool{Limit: answersBytes}}
	var group sync.WaitGroup
	var revoked atomic.Int64
	for i := range endlessRequests {
		group.Go(func() {
			if _, err := readWhole(t, s, e, fmt.Sprint("endless", i)); err != nil {
				revoked.Add(1)
			}
		})
	}
	for i := range soundRequests {
		group.Go(func() { assertSound(t, s, e, fmt.Sprint("sound", i)) })
	}
	group.Wait()
	assert.EqualValues(t, endlessRequests, revoked.Load(), "endless answers that were given up")
	assert.Zero(t, s.Memory.Used())
}

// TestLargeAnswersFitTheMemory checks that one sound answer can use most of the memory.
func TestLargeAnswersFitTheMemory(t *testing.T) {
	const size = answersBytes * 3 / 4
	for name, field := range map[string]string{"without length": "Connection: close", "with a length": fmt.Sprint("Content-Length: ", size)} {
		t.Run(name, func(t *testing.T) {
			s := &sender.Sender{DialTimeout: testTimeout, Memory: &reserver.Pool{Limit: answersBytes}}
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				respondWith(okHead+field+"\r\n\r\n"+strings.Repeat("s", size))(conn, r)
				return false
			})
			body, err := readWhole(t, s, e, "1")
			require.NoError(t, err)
			assert.Len(t, body, size)
			assert.Zero(t, s.Memory.Used())
		})
	}
}

// TestLengthWithoutBody covers answers whose declared length is that of another answer.
func TestLengthWithoutBody(t *testing.T) {
	s, e := newSender(), newEndpoint(t, respondWith(okHead+"Content-Length: 99999999999\r\n\r\n"))
	for range 2 {
		reply, err := send(t, s, e, http.MethodHead, "1", 0)
		require.NoError(t, err)
		body, err := reply.ReadAll()
		require.NoError(t, err)
		assert.Empty(t, body)
		reply.Close()
	}
	assert.EqualValues(t, 1, e.conns.Load())
}

// TestDeclaredLengthTakesNoMemory declares a length of which nothing arrives.
func TestDeclaredLengthTakesNoMemory(t *testing.T) {
	s := &sender.Sender{DialTimeout: testTimeout, Memory: &reserver.Pool{Limit: answersBytes}}
	silent := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 16000000\r\n\r\nx")
		<-silent
		return false
	})
	peak := sampler.HeapPeak()
	var group sync.WaitGroup
	for range endlessRequests {
		group.Go(func() {
			_, err := readWhole(t, s, e, "1")
			assert.Error(t, err)
		})
	}
	time.AfterFunc(300*time.Millisecond, func() { close(silent) })
	group.Wait()
	assert.Less(t, peak(), uint64(nodeBytes))
}
