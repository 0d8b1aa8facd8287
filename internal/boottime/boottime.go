// Package boottime reads a monotonic clock that also counts the time for which
// the host was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started. It includes suspended time, unlike
// the monotonic clock of package time.
func Now() time.Duration {
	var ts unix.Timespec
	// The call cannot fail, because every supported kernel has this clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}
