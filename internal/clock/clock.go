// Package clock tells the time since the machine started, with the time during
// which it was suspended. Setting the time of day does not change it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
