package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
	"celeryshelf/core/quota"
)

// BenchmarkCallArrivedFinished measures the two steps of a call that is admitted and
// answered.
func BenchmarkCallArrivedFinished(b *testing.B) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0)})
	m := testManifest(1e8, 200_000_000)
	s.Step(now, &StoreReachability{Reachable: true})
	s.Step(now, &LeaseHeld{Until: now.Add(time.Hour)})
	s.Step(now, &ManifestStored{Manifest: m})
	for i := range 3 {
		s.Step(now, &ClaimDone{Shard: quota.Shard{Workspace: "bo-lieu", Index: i, Count: 3}, Held: true})
	}
	now = now.Add(3 * time.Second)
	arrive := &CallArrived{Route: lookup("map"), KeyDigest: manifest.DigestOf("k"), HasKey: true}
	finish := &CallFinished{Complete: true}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		arrive.Call++
		arrive.RootID++
		now = now.Add(time.Microsecond)
		s.Step(now, arrive)
		finish.Call = arrive.Call
		s.Step(now, finish)
		if i%1000 == 0 {
			s.Step(now, &Tick{})
		}
	}
}
