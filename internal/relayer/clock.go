package relayer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot reads a clock that runs on while the host is suspended and does not
// follow changes of the time of day. Without one it returns false.
func SinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
