package core

import (
	"testing"
	"time"
)

// TestLeavingNodeRefusesCallsThatItCannotFinish plays clients that keep sending to a
// node that is about to end: what is taken late would be cut by its end.
func TestLeavingNodeRefusesCallsThatItCannotFinish(t *testing.T) {
	const shut = 3 * time.Second
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), Seed: 1, Plans: true})
	s.Step(now, &ManifestSeen{Manifest: openManifest()})
	s.Step(now, &MemberSeen{Member: testMember(1)})
	s.Step(now, &Arrive{Call: 1, Origin: FromNode, ID: "a", Pass: Pass{Target: "n0", Route: "map", Timeout: time.Minute}})
	s.Step(now, &Drain{Shut: shut})
	root := func(at time.Duration, call CallID) Verdict {
		a := &Arrive{Call: call, Origin: FromEither, Route: "map", Keyed: true, Timeout: time.Second}
		return s.Step(now.Add(at), a).Verdicts[0]
	}
	if v := root(shut-time.Millisecond, 2); v.Action != Forward {
		t.Errorf("a call in time got %s, reason %s", v.Action, v.Reason)
	}
	if v := root(shut, 3); v.Action != Refuse || v.Reason != Draining || v.Ran != RanNo {
		t.Errorf("a late call got %s, reason %s", v.Action, v.Reason)
	}
	child := &Arrive{Call: 4, Origin: FromEither, Route: "map", ID: "a.b", ParentID: "a", Timeout: time.Second}
	if v := s.Step(now.Add(shut), child).Verdicts[0]; v.Action != Forward {
		t.Errorf("a call for one that still runs got %s, reason %s", v.Action, v.Reason)
	}
}
