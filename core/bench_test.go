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
	s := New(Settings{Self: testMember(0), PlaceByCompletion: true})
	m := testManifest(1e8, 200_000_000)
	s.Step(now, &StoreReachability{Reachable: true})
	s.Step(now, &LeaseHeld{Until: now.Add(time.Hour)})
	s.Step(now, &ManifestStored{Manifest: compiled(m)})
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

// BenchmarkCallAtReportingTarget measures the steps of a call of another node at a target that
// reports its load and runs 30 other calls.
func BenchmarkCallAtReportingTarget(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(map[bool]string{false: "silent", true: "reporting"}[known], func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := placementNode(now)
			s.gate.SetSlots(40)
			report := LoadReport{Known: known, Slots: 40, Slowness: 1}
			arrive := &CallArrived{Origin: FromNode, Context: CallContext{Endpoint: s.self.Name, Route: "map", Timeout: time.Hour}}
			finish := &CallFinished{Complete: true, Report: TargetReport{Load: report}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				arrive.Call++
				s.Step(now, arrive)
				if arrive.Call > 30 {
					finish.Call = arrive.Call - 30
					s.Step(now, finish)
				}
			}
		})
	}
}
