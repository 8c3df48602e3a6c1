// Package sillclock reads a clock that goes on while the instance is suspended.
// Go's monotonic clock stops then, so a lease measured with it would outlive
// its row.
package sillclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the instance booted, suspensions included, as a
// time since 1970. It has no monotonic reading, so differences of two readings
// are differences of the boot clock. Readings of different instances are unrelated.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; the wall clock also counts suspensions.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Unix())
}
