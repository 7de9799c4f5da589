// Package clock reads a clock that neither steps with the time of day nor stands
// still while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's boot as a time after the epoch. It
// compares only with other readings on the same machine. A machine that was
// suspended sees the suspension in the difference of two readings, which Go's
// monotonic clock does not show.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go runs on.
		panic(err)
	}
	return time.Unix(t.Unix())
}

// Since returns the time since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
