package warmup

import (
	"testing"
	"time"
)

const coldTime = 10 * time.Second

var start = time.Unix(1000, 0)

func newTarget() *Target {
	t := &Target{}
	t.SetBound(Bound{Overshoot: 1.5, Slack: 8})
	t.SetProfile(Profile{Rate: 13, Duration: coldTime})
	return t
}

func at(d time.Duration) time.Time { return start.Add(d) }

// checkLimit compares the limit, at a full rate of 113 calls per second, with the wanted one.
func checkLimit(t *testing.T, target *Target, after time.Duration, want int) {
	t.Helper()
	if got := target.Limit(at(after), 113); got != want {
		t.Errorf("limit after %s is %d, want %d", after, got, want)
	}
}

// TestLimitRisesSmoothlyAfterTheColdPeriod guards against a target that gets its full load the
// moment it is warm.
func TestLimitRisesSmoothlyAfterTheColdPeriod(t *testing.T) {
	target := newTarget()
	checkLimit(t, target, 0, 0)
	target.Report(at(0), 4*time.Second, Heartbeat)
	checkLimit(t, target, 0, 13)
	checkLimit(t, target, 3999*time.Millisecond, 13)
	checkLimit(t, target, 4*time.Second, 13)
	checkLimit(t, target, 9*time.Second, 63)
	checkLimit(t, target, 13*time.Second, 103)
	checkLimit(t, target, 14*time.Second, 0)
}

// TestColdTwice guards against a target that becomes cold again, without a restart, and gets
// its full load because it has been warm.
func TestColdTwice(t *testing.T) {
	target := newTarget()
	target.Report(at(0), 2*time.Second, Heartbeat)
	checkLimit(t, target, 30*time.Second, 0)
	target.Report(at(30*time.Second), 5*time.Second, Heartbeat)
	checkLimit(t, target, 34*time.Second, 13)
	target.Report(at(37*time.Second), 10*time.Second, Heartbeat) // while the limit rises
	checkLimit(t, target, 46*time.Second, 13)
}

// TestLateHeartbeatDoesNotEndTheColdPeriod guards against a heartbeat that was sent before a
// response that says that the target is cold, and arrives after it.
func TestLateHeartbeatDoesNotEndTheColdPeriod(t *testing.T) {
	target := newTarget()
	target.Report(at(0), 8*time.Second, Response)
	target.Report(at(time.Second), 0, Heartbeat)
	checkLimit(t, target, 7*time.Second, 13)
	target.Report(at(7*time.Second), 0, Response)
	if got := target.Phase(at(7 * time.Second)); got != Ramping {
		t.Errorf("phase %d after a response without remaining time, want ramping", got)
	}
}

// TestAssumedColdUntilAReport guards against a target that starts and gets its full load before
// it has said that it is cold, and against one that stays limited although it is warm.
func TestAssumedColdUntilAReport(t *testing.T) {
	target := newTarget()
	target.Assume(at(0))
	checkLimit(t, target, time.Second, 13)
	if !target.ReportedEnd().IsZero() {
		t.Error("an assumption counts as a report")
	}
	target.Report(at(2*time.Second), 0, Heartbeat)
	checkLimit(t, target, 2*time.Second, 0)

	target.Assume(at(10 * time.Second))
	checkLimit(t, target, 19*time.Second, 13)
	if got := target.Phase(at(21 * time.Second)); got != Ramping {
		t.Errorf("phase %d after an assumed cold period, want ramping", got)
	}
}

// TestWithoutALimitNothingIsCold guards against limits on services or nodes that have none.
func TestWithoutALimitNothingIsCold(t *testing.T) {
	noRate, noBound := newTarget(), newTarget()
	noRate.SetProfile(Profile{Duration: coldTime})
	noBound.SetBound(Bound{})
	for _, target := range []*Target{noRate, noBound} {
		target.Assume(at(0))
		target.Report(at(0), time.Second, Response)
		if target.Enabled() || target.Limit(at(0), 100) != 0 || target.Phase(at(0)) != Warm {
			t.Errorf("%+v has a limit, want none", target)
		}
	}
}

// TestUnknownProfile guards against a restarted node that gives a cold target any load until it
// knows the manifest.
func TestUnknownProfile(t *testing.T) {
	target := &Target{}
	target.SetBound(Bound{Overshoot: 1.5, Slack: 8})
	target.Assume(at(0))
	checkLimit(t, target, 5*time.Second, 8)
	target.SetProfile(Profile{Rate: 13, Duration: coldTime})
	checkLimit(t, target, 5*time.Second, 13)
}
