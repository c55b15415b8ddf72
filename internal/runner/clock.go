package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host was booted. Unlike the monotonic
// clock of the Go runtime, it keeps counting while the host is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// ClockGettime fails only for an unknown clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
