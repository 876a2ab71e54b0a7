package clock

import (
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// maxSuspendAge is how long the time for which the machine was suspended is taken from the
// last reading of CLOCK_BOOTTIME. Each reading is a system call; Go's monotonic clock,
// which stands still meanwhile, needs none.
const maxSuspendAge = 2 * time.Millisecond

var (
	started = time.Now()
	// bootOffset is CLOCK_BOOTTIME less the time since started, and readAt the time since
	// started at which it was read, both in nanoseconds.
	bootOffset, readAt atomic.Int64
)

// BootTime reads CLOCK_BOOTTIME, which starts when the machine boots.
type BootTime struct{}

// Now returns the Unix epoch plus the time since boot. It returns the wall clock time if
// the kernel does not support CLOCK_BOOTTIME. After a suspension of the machine it may lag
// by the time suspended for maxSuspendAge.
func (BootTime) Now() time.Time {
	elapsed := time.Since(started)
	if last := time.Duration(readAt.Load()); last == 0 || elapsed-last > maxSuspendAge {
		var t unix.Timespec
		// A raw call: the clock does not block, see io/tcp.
		if _, _, errno := unix.RawSyscall(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
			return time.Now()
		}
		bootOffset.Store(t.Nano() - int64(elapsed))
		readAt.Store(int64(elapsed))
	}
	return time.Unix(0, bootOffset.Load()+int64(elapsed))
}
