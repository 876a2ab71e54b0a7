package warmup

import "time"

// Bound is the most that a cold target may receive in any second: Overshoot times its rate,
// plus Slack calls. The zero value turns the limits of this package off.
type Bound struct {
	Overshoot float64
	Slack     float64
}

// Enabled reports whether cold targets are protected at all.
func (b Bound) Enabled() bool { return b.Overshoot > 0 }

// Calls returns the calls per second that the bound allows at a given rate.
func (b Bound) Calls(rate float64) float64 { return rate*b.Overshoot + b.Slack }

// Profile states how the targets of a service warm up.
type Profile struct {
	Rate     float64       // calls per second that a cold target tolerates, 0 for any number
	Duration time.Duration // from the start of a target until it is warm
}

// Phase is the state of a target's warm-up.
type Phase uint8

// Phases of a warm-up.
const (
	Warm    Phase = iota // no limit
	Cold                 // at most the rate of the profile
	Ramping              // has been cold: the limit rises to the full rate
)

// Source is how a report has reached the node.
type Source uint8

// Sources of a report.
const (
	// Heartbeat is a message that may have been sent seconds ago.
	Heartbeat Source = iota
	// Response is a response of the target, which it has written just now.
	Response
)

// Target is the state of one target's warm-up.
type Target struct {
	bound   Bound
	profile Profile
	known   bool // the profile is known

	reportedEnd time.Time // end of the cold period by the newest report
	source      Source    // of that report
	assumedAt   time.Time // since when it is taken for cold without a report, zero if it is not
}

// SetBound sets the bound on the calls that a cold target receives.
func (t *Target) SetBound(b Bound) { t.bound = b }

// SetProfile sets how the target warms up. Until the first call it is unknown.
func (t *Target) SetProfile(p Profile) { t.profile, t.known = p, true }

// Enabled reports whether the target's rate may have to be limited.
func (t *Target) Enabled() bool {
	return t.bound.Enabled() && (!t.known || t.profile.Rate > 0)
}

// Assume takes the target for cold from now on, for the duration in its profile or until a
// report says otherwise. It is for targets that start, or that could not be reached.
func (t *Target) Assume(now time.Time) { t.assumedAt, t.source = now, Heartbeat }

// Report applies what the target has said of the rest of its cold period. The caller passes
// no report that is older than one it has passed before. A heartbeat that arrives after a
// response may still have been sent before it, so that it does not bring the end forward.
func (t *Target) Report(now time.Time, remaining time.Duration, from Source) {
	t.assumedAt = time.Time{}
	end := now.Add(remaining)
	if from == Heartbeat && t.source == Response && end.Before(t.reportedEnd) {
		return
	}
	switch {
	case remaining > 0:
		t.reportedEnd, t.source = end, from
	case t.reportedEnd.After(now):
		t.reportedEnd, t.source = now, from
	}
}

// unknownDuration stands for the duration of the warm-up until the profile is known.
const unknownDuration = time.Hour

// End returns the end of the last cold period, zero if there was none or no limit applies.
func (t *Target) End() time.Time {
	if !t.Enabled() {
		return time.Time{}
	}
	return t.end()
}

// end returns the end of the last cold period, zero if there was none.
func (t *Target) end() time.Time {
	if t.assumedAt.IsZero() {
		return t.reportedEnd
	}
	duration := t.profile.Duration
	if !t.known {
		duration = unknownDuration
	}
	if assumed := t.assumedAt.Add(duration); assumed.After(t.reportedEnd) {
		return assumed
	}
	return t.reportedEnd
}

// Phase returns the present state of the warm-up.
func (t *Target) Phase(now time.Time) Phase {
	end := t.end()
	switch {
	case !t.Enabled() || end.IsZero():
		return Warm
	case now.Before(end):
		return Cold
	case now.Before(end.Add(t.profile.Duration)):
		return Ramping
	default:
		return Warm
	}
}

// Remaining returns the rest of the cold period.
func (t *Target) Remaining(now time.Time) time.Duration {
	if t.Phase(now) != Cold {
		return 0
	}
	return t.end().Sub(now)
}

// ReportedEnd returns the end of the cold period by what the target itself has said, or zero
// if it has not said that it is cold.
func (t *Target) ReportedEnd() time.Time { return t.reportedEnd }

// Rate returns the calls per second that the target tolerates while it is cold, and how many
// the bound allows. Without a profile, both are what the bound allows at any rate.
func (t *Target) Rate() (target, bound float64) {
	if !t.known {
		return t.bound.Slack, t.bound.Slack
	}
	bound = t.bound.Calls(t.profile.Rate)
	return min(t.profile.Rate, bound), bound
}

// Limit returns how many calls the target may receive in a second, at least 1, or 0 for any
// number. After the cold period the limit rises linearly to the full rate, which is the calls
// per second that a warm target can take.
func (t *Target) Limit(now time.Time, full float64) int {
	rate, _ := t.Rate()
	switch t.Phase(now) {
	case Warm:
		return 0
	case Cold:
	case Ramping:
		done := now.Sub(t.end()).Seconds() / t.profile.Duration.Seconds()
		rate += done * max(0, full-rate)
	}
	return max(1, int(rate))
}
