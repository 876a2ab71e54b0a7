package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads the clock that starts with the machine.
type BootTime struct{}

// Now returns the time since the machine started as an instant after 1970. It
// falls back on the wall clock where the kernel has no such clock.
func (BootTime) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
