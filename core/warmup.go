package core

import (
	"fmt"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/warmup"
)

// endTolerance is the difference up to which two reports of the end of a cold period count as
// the same: reports reach the node after different delays.
const endTolerance = 1 * time.Second

// warmupState is what the node knows of its target's warm-up.
type warmupState struct {
	target       warmup.Target
	phase        warmup.Phase // after the last update
	announcedEnd time.Time    // end of the cold period in the node's announcement, zero if none
	heardAt      time.Time    // last heartbeat or response of the target
}

// silenceLimit is the time without any heartbeat or response after which the target may have
// been stopped, and is cold when it is back. It exceeds the delay of heartbeats.
const silenceLimit = lateHeartbeatTime

// TargetReport is what a response of the local target says apart from its result.
type TargetReport struct {
	Load LoadReport
	// Misdirected is set if the target has rejected the request as meant for another
	// instance. It does not count among the requests that a cold target receives.
	Misdirected     bool
	WarmupKnown     bool          // the response states WarmupRemaining
	WarmupRemaining time.Duration // time for which the target will still be cold
}

// serviceProfile returns how the targets of a service warm up.
func (s *State) serviceProfile(service string) warmup.Profile {
	if s.manifest == nil {
		return warmup.Profile{}
	}
	list := s.manifest.source.Manifest.Services
	for i := range list {
		if list[i].Name == service {
			return profileOf(&list[i])
		}
	}
	return warmup.Profile{}
}

func profileOf(s *manifest.Service) warmup.Profile {
	return warmup.Profile{Rate: s.ColdRate, Duration: s.ColdDuration.Duration}
}

// configureWarmup applies the manifest to the warm-up of the local target and of those of
// peers.
func (s *State) configureWarmup(now time.Time) {
	s.warmup.target.SetProfile(s.serviceProfile(s.self.Service))
	s.updateWarmup(now)
	peers := s.peers.All()
	for i := range peers {
		if peers[i].ColdFor > 0 {
			s.routes.Put(now, s.endpoint(peers[i].Member, peers[i].Unreachable), false)
		}
	}
}

// setWarmupBound applies the setting of the bound.
func (s *State) setWarmupBound(now time.Time, b warmup.Bound) {
	s.warmup.target.SetBound(b)
	s.updateWarmup(now)
}

// assumeCold takes the local target for cold until a later report. It is called when the target
// is given calls again after it was closed, evacuated or not reached.
func (s *State) assumeCold(now time.Time) {
	s.warmup.target.Assume(now)
	s.updateWarmup(now)
}

// observeHeartbeat applies the warm-up that a heartbeat states, which is newer than those
// before. opens is set if the target is given calls from this heartbeat on, or is another
// instance. Only a later report can then say that it is warm: the target may have become cold
// since this one was sent.
func (s *State) observeHeartbeat(now time.Time, h Heartbeat, opens bool) {
	s.warmup.heardAt = now
	if opens {
		s.warmup.target.Assume(now)
	}
	if h.WarmupRemaining > 0 || !opens {
		s.warmup.target.Report(now, h.WarmupRemaining, warmup.Heartbeat)
	}
	s.updateWarmup(now)
}

// observeResponse applies what a response of the local target to a call says.
func (s *State) observeResponse(now time.Time, c *call, r TargetReport) {
	if c.phase != phaseRunning {
		return
	}
	s.warmup.heardAt = now
	if r.Misdirected {
		s.gate.WithdrawArrival(c.attemptStart)
	}
	if r.WarmupKnown {
		s.warmup.target.Report(now, r.WarmupRemaining, warmup.Response)
		s.updateWarmup(now)
		s.updateTarget(now)
	}
}

// observeFailure handles a failed attempt at the local target. If the call could not connect to
// it, it has stopped, and is cold when it has started again.
func (s *State) observeFailure(now time.Time, c *call, e *AttemptFailed) {
	switch {
	case c.phase != phaseRunning:
	case e.Cause == CauseTargetOverloaded:
		s.observeResponse(now, c, e.Report)
	case e.Cause == CauseUnreachable:
		s.assumeCold(now)
	}
}

// detectSilence takes the target for cold if nothing was heard of it for silenceLimit, which is
// also the case after a suspension of the machine.
func (s *State) detectSilence(now time.Time) {
	w := &s.warmup
	if w.heardAt.IsZero() || now.Sub(w.heardAt) < silenceLimit || !w.target.Enabled() {
		return
	}
	w.heardAt = time.Time{} // once, until it is heard again
	w.target.Assume(now)
}

// updateWarmup sets the gate's rate limit for the present phase and reports a change of it.
func (s *State) updateWarmup(now time.Time) {
	w := &s.warmup
	s.detectSilence(now)
	phase := w.target.Phase(now)
	s.gate.TrackArrivals(w.target.Enabled())
	if phase == warmup.Warm && w.phase == warmup.Warm {
		return
	}
	s.gate.SetRateLimit(w.target.Limit(now, s.gate.FullRate()))
	if phase == w.phase {
		return
	}
	w.phase = phase
	s.addNotice(Notice{Kind: warmupNotices[phase], Peer: s.target.last.InstanceID, Detail: s.describeWarmup(now)})
	if phase == warmup.Warm && !w.announcedEnd.IsZero() {
		s.updateTarget(now)
	}
}

var warmupNotices = [...]NoticeKind{warmup.Warm: NoticeTargetWarm, warmup.Cold: NoticeTargetCold, warmup.Ramping: NoticeTargetRamping}

// describeWarmup returns the state of the warm-up for the log: the calls in the last second
// against the limit now in force show what a late report has let through.
func (s *State) describeWarmup(now time.Time) string {
	w := &s.warmup.target
	rate, bound := w.Rate()
	return fmt.Sprintf("remaining %s, rate %g, bound %g, last second %d, held back %d",
		w.Remaining(now).Round(time.Millisecond), rate, bound, s.gate.RecentArrivals(now), s.gate.Stats().HeldBack)
}

// coldAnnouncement returns the rest of the cold period for the node's announcement, if the
// target has reported one. It changes only if the end does, so that the passage of time is no
// reason for another announcement.
func (s *State) coldAnnouncement(now time.Time) time.Duration {
	w := &s.warmup
	end := w.target.ReportedEnd()
	switch phase := w.target.Phase(now); {
	case phase == warmup.Cold && end.After(now):
		if w.announcedEnd.IsZero() || end.Sub(w.announcedEnd).Abs() > endTolerance {
			w.announcedEnd = end
			return end.Sub(now)
		}
	case phase == warmup.Ramping && !w.announcedEnd.IsZero():
		// Senders let their share rise by themselves.
	default:
		w.announcedEnd = time.Time{}
		return 0
	}
	return s.self.ColdFor
}

// rejectHeldBack rejects the queued calls that the rate limit of a cold target would delay for
// too long.
func (s *State) rejectHeldBack(now time.Time) {
	for {
		held, ok := s.gate.TakeHeldBack(now)
		if !ok {
			return
		}
		s.handleGateRejection(now, s.calls[CallID(held.ID)], ReasonTargetCold)
	}
}

// gateRefusal returns why the gate has refused a call.
func (s *State) gateRefusal(now time.Time) Reason {
	if s.gate.RateLimited(now) {
		return ReasonTargetCold
	}
	return ReasonOverloaded
}
