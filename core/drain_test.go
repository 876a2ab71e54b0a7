package core

import (
	"testing"
	"time"
)

// TestLeavingNodeRefusesCallsThatItCannotFinish plays clients that keep sending to a
// node that is about to end: what is taken late would be cut by its end.
func TestDrainingNodeRefusesCallsItCannotFinish(t *testing.T) {
	const callerGrace = 3 * time.Second
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
	s.Step(now, &ManifestStored{Manifest: keylessManifest()})
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.Step(now, &CallArrived{Call: 1, Origin: FromNode, RequestID: "a", Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Minute}})
	s.Step(now, &DrainRequested{CallerGrace: callerGrace})
	fromCaller := func(at time.Duration, call CallID) Verdict {
		a := &CallArrived{Call: call, Origin: FromCallerOrTarget, Route: "map", HasKey: true, Timeout: time.Second}
		return s.Step(now.Add(at), a).Verdicts[0]
	}
	if v := fromCaller(callerGrace-time.Millisecond, 2); v.Action != ActionForward {
		t.Errorf("a call in time got %s, reason %s", v.Action, v.Reason)
	}
	if v := fromCaller(callerGrace, 3); v.Action != ActionRefuse || v.Reason != ReasonDraining || v.Executed != ExecutedNo {
		t.Errorf("a late call got %s, reason %s", v.Action, v.Reason)
	}
	child := &CallArrived{Call: 4, Origin: FromCallerOrTarget, Route: "map", RequestID: "a.b", ParentRequestID: "a", Timeout: time.Second}
	if v := s.Step(now.Add(callerGrace), child).Verdicts[0]; v.Action != ActionForward {
		t.Errorf("a call for one that still runs got %s, reason %s", v.Action, v.Reason)
	}
}

// TestLeavingNodeKeepsItsTargetAtWork: while callers are let in, the node cannot end,
// and its target serves other nodes. After that queued calls are sent elsewhere.
func TestDrainingNodeServesPeersUntilTargetGraceEnds(t *testing.T) {
	const targetGrace = 2 * time.Second
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true, TargetHeartbeats: true})
	s.Step(now, &ManifestStored{Manifest: keylessManifest()})
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.Step(now, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 1, Slots: 1}})
	s.Step(now, &DrainRequested{CallerGrace: targetGrace, TargetGrace: targetGrace})
	if s.Ready(now) {
		t.Error("a leaving node says that it is ready")
	}
	arrive := func(at time.Duration, call CallID) Verdict {
		a := &CallArrived{Call: call, Origin: FromNode, Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Minute}}
		if v := s.Step(now.Add(at), a).Verdicts; len(v) == 1 {
			return v[0]
		}
		return Verdict{}
	}
	if v := arrive(targetGrace-time.Millisecond, 1); v.Action != ActionRun {
		t.Errorf("a call in time got %s, reason %s", v.Action, v.Reason)
	}
	arrive(targetGrace-time.Millisecond, 2) // waits for the only slot
	e := s.Step(now.Add(targetGrace), &Tick{})
	if len(e.Verdicts) != 1 || e.Verdicts[0].Call != 2 || e.Verdicts[0].Reason != ReasonDraining || e.Verdicts[0].Executed != ExecutedNo {
		t.Errorf("the call that waited got %+v", e.Verdicts)
	}
	told := false
	for _, m := range e.Envelopes {
		sync, ok := m.Body.(*Sync)
		told = told || ok && m.To == "n1" && sync.Self.TargetClosed
	}
	if !told {
		t.Error("the peer was not told that the target takes no more calls")
	}
	if v := arrive(targetGrace+time.Millisecond, 3); v.Action != ActionRefuse || v.Reason != ReasonDraining {
		t.Errorf("a late call got %s, reason %s", v.Action, v.Reason)
	}
	s.Step(now.Add(targetGrace), &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: 1, Sequence: 2, Slots: 1}})
	if v := arrive(targetGrace+2*time.Millisecond, 4); v.Action != ActionRefuse {
		t.Errorf("a call after a further heartbeat got %s", v.Action)
	}
}
