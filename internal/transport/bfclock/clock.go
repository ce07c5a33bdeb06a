// Package bfclock reads a clock that also counts the time for which the VM is suspended.
package bfclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was started. Unlike the runtime's monotonic clock, it
// goes on while the VM is suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had the clock since version 2.6.39.
		panic(fmt.Sprintf("bfclock: %v", err))
	}
	return time.Duration(t.Nano())
}
