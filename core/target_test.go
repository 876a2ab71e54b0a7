package core

import (
	"testing"
	"time"
)

// TestStaleHeartbeatsAreIgnored guards against a heartbeat or deregistration that
// arrives out of order and changes whether the target is given calls.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	beat := func(id string, began int64, sequence uint64, draining bool) Event {
		return &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: id, StartUnixMilli: began, Sequence: sequence, Draining: draining, Slots: 10}}
	}
	for _, tt := range []struct {
		name   string
		events []Event
		open   bool
	}{
		{"no heartbeat", nil, false},
		{"ready", []Event{beat("a", 1, 1, false)}, true},
		{"draining", []Event{beat("a", 1, 1, false), beat("a", 1, 2, true)}, false},
		{"ready from before draining", []Event{beat("a", 1, 2, true), beat("a", 1, 1, false)}, false},
		{"ready after draining", []Event{beat("a", 1, 2, true), beat("a", 1, 3, false)}, false},
		{"gone", []Event{beat("a", 1, 1, false), &TargetDeregistered{InstanceID: "a"}}, false},
		{"ready from before it was gone", []Event{beat("a", 1, 1, false), &TargetDeregistered{InstanceID: "a"}, beat("a", 1, 9, false)}, false},
		{"another one is gone", []Event{beat("a", 1, 1, false), &TargetDeregistered{InstanceID: "b"}}, true},
		{"replaced", []Event{beat("a", 1, 7, true), beat("b", 2, 1, false)}, true},
		{"started again under its name", []Event{beat("a", 1, 7, true), beat("a", 2, 1, false)}, true},
		{"late heartbeat of the one before", []Event{beat("b", 2, 1, false), beat("a", 1, 9, true)}, true},
		{"late end of the one before", []Event{beat("b", 2, 1, false), &TargetDeregistered{InstanceID: "a"}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true})
			now := time.Unix(1000, 0)
			s.Step(now, &ManifestStored{Manifest: keylessManifest()})
			for _, e := range tt.events {
				now = now.Add(time.Millisecond)
				s.Step(now, e)
			}
			got := s.Step(now, &CallArrived{Call: 1, Route: "map", Timeout: time.Second}).Verdicts
			if ran := got[0].Action == ActionRun; ran != tt.open {
				t.Errorf("the call got %s, reason %s; want run: %v", got[0].Action, got[0].Reason, tt.open)
			}
			if tt.open && got[0].Instance == "" {
				t.Error("the verdict does not name the target's instance")
			}
		})
	}
}

// TestDrainingTargetRejectsQueuedCalls guards against calls that stay queued for a
// target that drains and takes no more.
func TestDrainingTargetRejectsQueuedCalls(t *testing.T) {
	s := New(Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true})
	now := time.Unix(1000, 0)
	s.Step(now, &ManifestStored{Manifest: keylessManifest()})
	s.Step(now, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "a", StartUnixMilli: 1, Sequence: 1, Slots: 1}})
	run := s.Step(now, &CallArrived{Call: 1, Route: "map", Timeout: time.Second}).Verdicts
	if len(run) != 1 || run[0].Action != ActionRun {
		t.Fatalf("first call: %+v", run)
	}
	if waits := s.Step(now, &CallArrived{Call: 2, Route: "map", Timeout: time.Second}).Verdicts; len(waits) != 0 {
		t.Fatalf("second call was not queued: %+v", waits)
	}
	got := s.Step(now, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "a", StartUnixMilli: 1, Sequence: 2, Draining: true, Slots: 1}}).Verdicts
	if len(got) != 1 || got[0].Call != 2 || got[0].Action != ActionRefuse || got[0].Executed != ExecutedNo {
		t.Errorf("the queued call got %+v, want a refusal with ran=no", got)
	}
}
