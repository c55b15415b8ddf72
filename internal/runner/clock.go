package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine's start. Unlike the monotonic
// clock of the language it goes on while the machine is suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only for an unknown clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
