package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
)

// TestRetryAfterFollowsTheObjective guards against a refused caller that is told to come back
// when its latency objective has passed, and against callers that all come back at once.
func TestRetryAfterFollowsTheObjective(t *testing.T) {
	for _, objective := range []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond, 10 * time.Second} {
		now := time.Unix(1000, 0)
		v := testManifest(1, 1)
		for i := range v.Manifest.Routes {
			v.Manifest.Routes[i].TargetLatency = manifest.Duration{Duration: objective}
		}
		s := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true})
		s.Step(now, &ManifestStored{Manifest: compiled(v)})
		delays := map[time.Duration]bool{}
		refused := 0
		for call := CallID(1); call <= 40; call++ {
			arrival := &CallArrived{Call: call, Origin: FromCallerOrTarget, Route: lookup("map"), HasKey: true, KeyDigest: manifest.DigestOf("k"), Timeout: 2 * objective}
			verdicts := append([]Verdict(nil), s.Step(now, arrival).Verdicts...)
			now = now.Add(objective / 2)
			verdicts = append(verdicts, s.Step(now, &Tick{}).Verdicts...)
			for _, got := range verdicts {
				if got.Action != ActionRefuse {
					continue
				}
				refused++
				delays[got.RetryAfter] = true
				limit := min(objective/2, 5*time.Second)
				if got.Reason == ReasonQuotaUnavailable {
					limit *= longRetryFactor
				}
				if got.RetryAfter <= 0 || got.RetryAfter > limit {
					t.Errorf("objective %s: refused with reason %s, Retry-After %s; want at most %s", objective, got.Reason, got.RetryAfter, limit)
				}
			}
		}
		if refused == 0 || objective < time.Second*2 && len(delays) < refused/2 {
			t.Errorf("objective %s: %d refusals with %d different delays", objective, refused, len(delays))
		}
	}
}
