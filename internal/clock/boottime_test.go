package clock

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestNowFollowsBootTime guards against a clock that leaves out the time for which the
// machine was suspended, or that goes back.
func TestNowFollowsBootTime(t *testing.T) {
	var last time.Time
	for range 2000 {
		got := BootTime{}.Now()
		var want unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &want); err != nil {
			t.Fatal(err)
		}
		if lag := time.Unix(want.Unix()).Sub(got); lag < -maxSuspendAge || lag > time.Second {
			t.Fatalf("the clock lags by %s", lag)
		}
		if got.Before(last.Add(-maxSuspendAge)) {
			t.Fatalf("the clock went back by %s", last.Sub(got))
		}
		last = got
		time.Sleep(10 * time.Microsecond)
	}
	// A suspension shows as a larger offset once the last reading is old enough.
	bootOffset.Add(-int64(time.Hour))
	time.Sleep(2 * maxSuspendAge)
	if got := (BootTime{}).Now(); got.Before(last) {
		t.Errorf("the clock still leaves out a suspension after %s", 2*maxSuspendAge)
	}
}
