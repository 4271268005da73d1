// Package sampler finds the highest value of a figure that changes while a test runs.
//
// # Usage
//
//	peak := sampler.HeapPeak()
//	run()
//	bytes := peak()
package sampler

import (
	"cmp"
	"runtime"
	"runtime/metrics"
	"time"
)

// period is the time between samples.
const period = time.Millisecond

// Peak samples a figure until the returned function is called, which returns the highest value.
func Peak[T cmp.Ordered](read func() T) (stop func() T) {
	done, result := make(chan struct{}), make(chan T)
	go func() {
		highest := read()
		for {
			select {
			case <-done:
				result <- highest
				return
			case <-time.After(period):
				highest = max(highest, read())
			}
		}
	}()
	return func() T {
		close(done)
		return <-result
	}
}

// HeapPeak is Peak for the size of the heap in bytes, dead objects included. It collects garbage
// first, so that what ran before does not count.
func HeapPeak() (stop func() uint64) {
	runtime.GC()
	return Peak(func() uint64 {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	})
}
