package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
)

// TestDecliningTargetIsNotAskedAgain guards against a call that is sent a second time to a
// target that has declined it: a copy of that refusal would then pass for the answer to the
// second attempt, which may be running.
func TestDecliningTargetIsNotAskedAgain(t *testing.T) {
	m := keylessManifest()
	m.Manifest.Routes = append([]manifest.Route(nil), m.Manifest.Routes...)
	for i := range m.Manifest.Routes {
		m.Manifest.Routes[i].Service = "deep"
		m.Manifest.Routes[i].MaxAttempts = maxAttempts
	}
	m.Manifest.Services = []manifest.Service{{Name: "maps"}, {Name: "deep"}}
	s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
	now := time.Unix(1000, 0)
	s.Step(now, &ManifestStored{Manifest: compiled(m)})
	for i := 1; i <= 2; i++ {
		peer := testMember(i)
		peer.Service = "deep"
		s.Step(now, &MemberStored{Member: peer})
	}
	v := s.Step(now, &CallArrived{Call: 1, Route: lookup("map"), Timeout: time.Second, Replayable: true}).Verdicts
	asked := map[string]bool{}
	for len(v) == 1 && v[0].Action == ActionForward {
		if asked[v[0].Endpoint] {
			t.Fatalf("%s was asked again after it had declined the call", v[0].Endpoint)
		}
		asked[v[0].Endpoint] = true
		v = s.Step(now, &AttemptFailed{Call: 1, Cause: CauseTargetOverloaded}).Verdicts
	}
	if len(asked) != 2 || len(v) != 1 {
		t.Errorf("%d endpoints were asked, then %+v; want 2 and an answer", len(asked), v)
	}
}
