// Package boottime provides a monotonic clock that includes the time for which the machine
// was suspended. Leases and the age of data are measured on it: Go's monotonic clock stops
// during a suspension, and the wall clock may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation.
type Clock struct {
	origin time.Duration
}

// New returns a clock that starts now.
func New() *Clock {
	return &Clock{origin: read()}
}

// Now returns the time since the clock's creation, including suspensions.
func (c *Clock) Now() time.Duration {
	return read() - c.origin
}

// read returns the time since boot, including suspensions if the kernel supports that.
func read() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel lacks CLOCK_BOOTTIME; CLOCK_MONOTONIC always exists.
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
			panic(err)
		}
	}
	return time.Duration(t.Nano())
}
