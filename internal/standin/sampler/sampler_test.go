package sampler_test

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/sampler"
)

func TestPeak(t *testing.T) {
	var figure, reads atomic.Int64
	peak := sampler.Peak(func() int64 {
		reads.Add(1)
		return figure.Load()
	})
	figure.Store(7)
	seen := reads.Load()
	assert.Eventually(t, func() bool { return reads.Load() > seen+1 }, time.Second, time.Millisecond)
	figure.Store(3)
	assert.EqualValues(t, 7, peak())
}

func TestHeapPeak(t *testing.T) {
	const size = 64 << 20
	garbage := make([]byte, size)
	runtime.KeepAlive(garbage)
	t.Run("earlier garbage does not count", func(t *testing.T) {
		assert.Less(t, sampler.HeapPeak()(), uint64(size))
	})
	t.Run("what is allocated meanwhile counts", func(t *testing.T) {
		peak := sampler.HeapPeak()
		used := make([]byte, size)
		time.Sleep(100 * time.Millisecond)
		runtime.KeepAlive(used)
		assert.Greater(t, peak(), uint64(size))
	})
}
