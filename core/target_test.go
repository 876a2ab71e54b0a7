package core

import (
	"testing"
	"time"
)

// TestStaleHeartbeatsAreIgnored guards against a heartbeat or deregistration that
// arrives out of order and changes whether the target is given calls.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	heartbeat := func(id string, startUnixMilli int64, sequence uint64, draining bool) Event {
		return &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: id, StartUnixMilli: startUnixMilli, Sequence: sequence, Draining: draining, Slots: 10}}
	}
	for _, tt := range []struct {
		name      string
		events    []Event
		available bool
	}{
		{"no heartbeat", nil, false},
		{"ready", []Event{heartbeat("a", 1, 1, false)}, true},
		{"draining", []Event{heartbeat("a", 1, 1, false), heartbeat("a", 1, 2, true)}, false},
		{"late ready heartbeat after draining", []Event{heartbeat("a", 1, 2, true), heartbeat("a", 1, 1, false)}, false},
		{"new ready heartbeat after draining", []Event{heartbeat("a", 1, 2, true), heartbeat("a", 1, 3, false)}, false},
		{"deregistered", []Event{heartbeat("a", 1, 1, false), &TargetDeregistered{InstanceID: "a"}}, false},
		{"late heartbeat after deregistration", []Event{heartbeat("a", 1, 1, false), &TargetDeregistered{InstanceID: "a"}, heartbeat("a", 1, 9, false)}, false},
		{"another instance deregistered", []Event{heartbeat("a", 1, 1, false), &TargetDeregistered{InstanceID: "b"}}, true},
		{"replaced by another instance", []Event{heartbeat("a", 1, 7, true), heartbeat("b", 2, 1, false)}, true},
		{"restarted with the same ID", []Event{heartbeat("a", 1, 7, true), heartbeat("a", 2, 1, false)}, true},
		{"late heartbeat of the previous instance", []Event{heartbeat("b", 2, 1, false), heartbeat("a", 1, 9, true)}, true},
		{"late deregistration of the previous instance", []Event{heartbeat("b", 2, 1, false), &TargetDeregistered{InstanceID: "a"}}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true})
			now := time.Unix(1000, 0)
			s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
			s.Step(now, &StoreSnapshot{}) // a starting node uses its target once it has read the store
			for _, e := range tt.events {
				now = now.Add(time.Millisecond)
				s.Step(now, e)
			}
			got := s.Step(now, &CallArrived{Call: 1, Route: lookup("map"), Timeout: time.Second}).Verdicts
			if ran := got[0].Action == ActionRun; ran != tt.available {
				t.Errorf("the call got %s, reason %s; want run: %v", got[0].Action, got[0].Reason, tt.available)
			}
			if tt.available && got[0].Instance == "" {
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
	s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	s.Step(now, &StoreSnapshot{}) // a starting node uses its target once it has read the store
	s.Step(now, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "a", StartUnixMilli: 1, Sequence: 1, Slots: 1}})
	run := s.Step(now, &CallArrived{Call: 1, Route: lookup("map"), Timeout: time.Second}).Verdicts
	if len(run) != 1 || run[0].Action != ActionRun {
		t.Fatalf("first call: %+v", run)
	}
	if waits := s.Step(now, &CallArrived{Call: 2, Route: lookup("map"), Timeout: time.Second}).Verdicts; len(waits) != 0 {
		t.Fatalf("second call was not queued: %+v", waits)
	}
	got := s.Step(now, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "a", StartUnixMilli: 1, Sequence: 2, Draining: true, Slots: 1}}).Verdicts
	if len(got) != 1 || got[0].Call != 2 || got[0].Action != ActionRefuse || got[0].Executed != ExecutedNo {
		t.Errorf("the queued call got %+v, want a refusal with ran=no", got)
	}
}

// TestDeregistrationBeforeTheFirstHeartbeat guards against a target that deregisters with a
// node which has just restarted, and gets calls after a heartbeat that was overtaken arrives.
func TestDeregistrationBeforeTheFirstHeartbeat(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name      string
		after     time.Duration // from the deregistration to the heartbeat
		id        string
		start     int64
		available bool
	}{
		{"overtaken heartbeat", time.Second, "a", 1, false},
		{"heartbeat of another instance", time.Second, "b", 2, true},
		{"later instance with the same ID", lateHeartbeatTime, "a", 9, true},
	} {
		s := New(Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true})
		s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
		s.Step(now, &StoreSnapshot{})
		s.Step(now, &TargetDeregistered{InstanceID: "a"})
		at := now.Add(tt.after)
		s.Step(at, &HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: tt.id, StartUnixMilli: tt.start, Sequence: 3, Slots: 10}})
		got := s.Step(at, &CallArrived{Call: 1, Route: lookup("map"), Timeout: time.Second}).Verdicts
		if ran := got[0].Action == ActionRun; ran != tt.available {
			t.Errorf("%s: the call got %s, reason %s; want run: %v", tt.name, got[0].Action, got[0].Reason, tt.available)
		}
	}
}
