package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
)

// BenchmarkArriveAnswer measures a call that is let in and answered: two steps.
func BenchmarkArriveAnswer(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0)})
	m := testManifest(1e8, 200_000_000)
	s.Step(now, &StoreUp{Up: true})
	s.Step(now, &LeaseHeld{Until: now.Add(time.Hour)})
	s.Step(now, &ManifestSeen{Manifest: m})
	for i := range 3 {
		s.Step(now, &ClaimDone{Shard: quota.Shard{Workspace: "bo-lieu", Index: i, Count: 3}, Held: true})
	}
	now = now.Add(3 * time.Second)
	arrive := &Arrive{Route: "map", Key: manifest.DigestOf("k"), Keyed: true}
	finish := &Finish{Whole: true}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		arrive.Call++
		arrive.Seed++
		now = now.Add(time.Microsecond)
		s.Step(now, arrive)
		finish.Call = arrive.Call
		s.Step(now, finish)
		if i%1000 == 0 {
			s.Step(now, &Tick{})
		}
	}
}
