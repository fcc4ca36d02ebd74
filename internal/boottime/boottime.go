// Package boottime reads a clock that also runs while the VM is suspended, unlike
// the monotonic clock of package time, and that never jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the clock where the system has none that runs
// during suspensions.
var processStart = time.Now()

// Now returns the time since the VM was booted, including the time for which it was
// suspended. On a system without such a clock it returns the time since the start
// of the process on the monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
