package core

import (
	"testing"
	"time"
)

// TestDrainingNodeRefusesCallsItCannotFinish guards against calls that clients still
// send to a draining node and that would be cut off when the node ends.
func TestDrainingNodeRefusesCallsItCannotFinish(t *testing.T) {
	const callerGrace = 3 * time.Second
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
	s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.Step(now, &CallArrived{Call: 1, Origin: FromNode, RequestID: "a", Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Minute}})
	s.Step(now, &DrainRequested{CallerGrace: callerGrace})
	fromCaller := func(at time.Duration, call CallID) Verdict {
		a := &CallArrived{Call: call, Origin: FromCallerOrTarget, Route: lookup("map"), HasKey: true, Timeout: time.Second}
		return s.Step(now.Add(at), a).Verdicts[0]
	}
	if v := fromCaller(callerGrace-time.Millisecond, 2); v.Action != ActionForward {
		t.Errorf("a call before the end of the caller grace period got %s, reason %s; want forward", v.Action, v.Reason)
	}
	if v := fromCaller(callerGrace, 3); v.Action != ActionRefuse || v.Reason != ReasonDraining || v.Executed != ExecutedNo {
		t.Errorf("a call after the caller grace period got %s, reason %s; want refuse with reason draining and ran=no", v.Action, v.Reason)
	}
	child := &CallArrived{Call: 4, Origin: FromCallerOrTarget, Route: lookup("map"), RequestID: "a.b", ParentRequestID: "a", Timeout: time.Second}
	if v := s.Step(now.Add(callerGrace), child).Verdicts[0]; v.Action != ActionForward {
		t.Errorf("a child of a call that still runs got %s, reason %s; want forward", v.Action, v.Reason)
	}
}

// TestDrainingNodeServesPeersUntilTargetGraceEnds guards against a drain that takes
// the target from service while the node cannot end yet because it still accepts
// calls from callers. After the grace period queued calls are refused as not
// executed, so that they can run elsewhere, and peers learn that the target takes no
// more.
func TestDrainingNodeServesPeersUntilTargetGraceEnds(t *testing.T) {
	const targetGrace = 2 * time.Second
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true, TargetHeartbeats: true})
	s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	s.Step(now, &StoreSnapshot{}) // a starting node uses its target once it has read the store
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.Step(now, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 1, Slots: 1}})
	s.Step(now, &DrainRequested{CallerGrace: targetGrace, TargetGrace: targetGrace})
	if s.Ready(now) {
		t.Error("a draining node reports that it is ready")
	}
	arrive := func(at time.Duration, call CallID) Verdict {
		a := &CallArrived{Call: call, Origin: FromNode, Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Minute}}
		if v := s.Step(now.Add(at), a).Verdicts; len(v) == 1 {
			return v[0]
		}
		return Verdict{}
	}
	if v := arrive(targetGrace-time.Millisecond, 1); v.Action != ActionRun {
		t.Errorf("a call before the end of the target grace period got %s, reason %s; want run", v.Action, v.Reason)
	}
	arrive(targetGrace-time.Millisecond, 2) // queued for the only slot
	e := s.Step(now.Add(targetGrace), &Tick{})
	if len(e.Verdicts) != 1 || e.Verdicts[0].Call != 2 || e.Verdicts[0].Reason != ReasonDraining || e.Verdicts[0].Executed != ExecutedNo {
		t.Errorf("the queued call got %+v, want a refusal with reason draining and ran=no", e.Verdicts)
	}
	informed := false
	for _, m := range e.Envelopes {
		sync, ok := m.Body.(*Sync)
		informed = informed || ok && m.To == "n1" && sync.Self.TargetClosed
	}
	if !informed {
		t.Error("the peer was not told that the target takes no more calls")
	}
	if v := arrive(targetGrace+time.Millisecond, 3); v.Action != ActionRefuse || v.Reason != ReasonDraining {
		t.Errorf("a call after the target grace period got %s, reason %s; want refuse with reason draining", v.Action, v.Reason)
	}
	s.Step(now.Add(targetGrace), &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 2, Slots: 1}})
	if v := arrive(targetGrace+2*time.Millisecond, 4); v.Action != ActionRefuse {
		t.Errorf("a call after another heartbeat got %s, want refuse", v.Action)
	}
}

// TestLateCallsOfDrainingNodeEndWithTheDrain guards against calls that are passed on late in a
// drain and are cut off without an answer when the process ends: children of calls in progress.
func TestLateCallsOfDrainingNodeEndWithTheDrain(t *testing.T) {
	const callerGrace, limit, objective = 3 * time.Second, 5 * time.Second, 500 * time.Millisecond
	m := keylessManifest()
	for i := range m.Manifest.Routes {
		m.Manifest.Routes[i].TargetLatency.Duration = objective
	}
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
	s.Step(now, &ManifestStored{Manifest: compiled(m)})
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.Step(now, &CallArrived{Call: 1, Origin: FromNode, RequestID: "a", Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Minute}})
	s.Step(now, &DrainRequested{CallerGrace: callerGrace, TargetGrace: callerGrace, Limit: limit})
	arrive := func(at time.Duration, e CallArrived) Verdict {
		e.Call = CallID(100 + at)
		e.Route, e.RequestID, e.Timeout = lookup("map"), "a.b", time.Minute
		return s.Step(now.Add(at), &e).Verdicts[0]
	}
	child := CallArrived{Origin: FromCallerOrTarget, ParentRequestID: "a"}
	for _, at := range []time.Duration{callerGrace, callerGrace + time.Second} {
		v := arrive(at, child)
		if v.Action != ActionForward && v.Action != ActionRun {
			t.Fatalf("a child at %s got %s, reason %s; want forward or run", at, v.Action, v.Reason)
		}
		if end := v.AttemptEnd.Sub(now); end >= limit || !v.Deadline.Before(v.AttemptEnd) {
			t.Errorf("a child at %s: its target works until %s and the attempt ends at %s; want both before %s and the first one first", at, v.Deadline.Sub(now), end, limit)
		}
	}
	if v := arrive(limit-objective, child); v.Action != ActionRefuse || v.Reason != ReasonDraining || v.Executed != ExecutedNo || v.RetryAfter == 0 {
		t.Errorf("a child that cannot be answered before the end got %+v; want a refusal with reason draining and ran=no", v)
	}
	if v := arrive(callerGrace-time.Millisecond, CallArrived{Origin: FromCallerOrTarget}); v.AttemptEnd.Sub(now) >= limit {
		t.Errorf("the attempt of a call from a caller ends at %s, want it before %s", v.AttemptEnd.Sub(now), limit)
	}
}
