// Package clock provides a monotonic clock that, unlike Go's, also advances while
// the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, expressed as a time after the Unix epoch. It is
// only comparable with other readings since the same boot of the same machine.
// The difference of two readings includes the time for which the machine was
// suspended, which Go's monotonic clock leaves out, and does not change when the
// wall clock is set.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that Go supports has this clock.
		panic(err)
	}
	return time.Unix(t.Unix())
}

// Since returns the time elapsed since t, which is a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
