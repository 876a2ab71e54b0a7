package core

import (
	"testing"
	"time"
)

// TestFailedConnectsMakeAPeerUnreachable guards against calls that keep trying a node whose
// machine is gone while its announcement is still in the store: each attempt waits for the
// connection to time out.
func TestFailedConnectsMakeAPeerUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	self := testMember(0)
	self.Service = "front"
	s := New(Settings{Self: self, RandomSeed: 1, PlannedAdmission: true, ElectWatchers: true})
	s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	s.Step(now, &MembersStored{})
	for i := 1; i <= 2; i++ {
		s.Step(now, &MemberStored{Member: testMember(i)})
	}
	tried := 0
	for call := CallID(1); call < 400; call++ {
		now = now.Add(20 * time.Millisecond)
		for _, v := range s.Step(now, &CallArrived{Call: call, Origin: FromCallerOrTarget, Route: lookup("map"), HasKey: true, Timeout: time.Second, Replayable: true}).Verdicts {
			if v.Action == ActionForward && v.Endpoint == "n1" {
				tried++
				s.Step(now, &AttemptFailed{Call: v.Call, Cause: CauseUnreachable})
				continue
			}
			s.Step(now, &CallFinished{Call: v.Call, Complete: true})
		}
	}
	// The backoff doubles from 100 ms, and two failures count that are 400 ms apart.
	if tried < 1 || tried > 4 {
		t.Errorf("%d of 400 calls tried the node that cannot be reached, want 1 to 4", tried)
	}
	s.Step(now, &MessageReceived{From: "n1", Body: &Sync{Self: testMember(1)}})
	if p, _ := s.peers.Get("n1"); p.Unreachable {
		t.Error("the node is unreachable although it sends messages")
	}
}
