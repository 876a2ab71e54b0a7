package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads CLOCK_BOOTTIME, which starts when the machine boots.
type BootTime struct{}

// Now returns the Unix epoch plus the time since boot. It returns the wall clock time if
// the kernel does not support CLOCK_BOOTTIME.
func (BootTime) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
