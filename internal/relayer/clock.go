package relayer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host was booted, including the time it was
// suspended. Adjustments of the wall clock do not affect it. It returns false if
// the host has no such clock.
func SinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
