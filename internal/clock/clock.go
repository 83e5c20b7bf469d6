// Package clock provides a monotonic clock: the time since the machine booted,
// including the time during which it was suspended. Setting the system time does not
// affect it.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d and reports whether it has passed; false means that ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
