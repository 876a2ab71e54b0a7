package evacuation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrackersAgreeWithTheStore guards against an evacuation, or the end of one, that a node
// misses or takes back because sets reach it late, twice, out of order or not at all.
func TestTrackersAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, revision := time.Unix(1000, 0), uint64(1)
		stored := map[string]uint64{}
		sets := []Set{NewSet(revision, stored)}
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			if _, ok := stored[name]; ok && rapid.Bool().Draw(t, "end") {
				delete(stored, name)
			} else {
				stored[name] = revision
			}
			sets = append(sets, NewSet(revision, stored))
		}
		var tracker Tracker
		newest, domains := uint64(0), map[string]bool{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(sets)-1), 1, 30).Draw(t, "received") {
			change, applied := tracker.Apply(now, sets[i])
			if want := sets[i].Revision > newest; applied != want {
				t.Fatalf("the set of revision %d after that of %d: applied %v, want %v", sets[i].Revision, newest, applied, want)
			}
			newest = max(newest, sets[i].Revision)
			for _, d := range change.Started {
				domains[d.Name] = true
			}
			for _, d := range change.Ended {
				delete(domains, d.Name)
			}
		}
		for _, s := range sets {
			if s.Revision != newest {
				continue
			}
			for _, name := range []string{"a", "b", "c"} {
				if want := s.Includes(name); tracker.Includes(name) != want || domains[name] != want {
					t.Errorf("domain %s at revision %d: evacuated %v, by the changes %v, want %v", name, newest, tracker.Includes(name), domains[name], want)
				}
			}
		}
	})
}

// TestAgeCountsFromTheFirstRead guards against a log line that dates an evacuation to the time
// at which one node learned of it.
func TestAgeCountsFromTheFirstRead(t *testing.T) {
	now := time.Unix(1000, 0)
	var first, second Tracker
	first.Apply(now, NewSet(7, map[string]uint64{"a": 7}))
	now = now.Add(time.Minute)
	change, _ := second.Apply(now, first.Set(now))
	if len(change.Started) != 1 || change.Started[0].Age != time.Minute {
		t.Errorf("started %+v, want an age of %s", change.Started, time.Minute)
	}
	now = now.Add(time.Minute)
	change, _ = second.Apply(now, NewSet(8, map[string]uint64{"a": 7}))
	if !change.Empty() {
		t.Errorf("the same domains at a later revision are reported as %+v", change)
	}
	change, _ = second.Apply(now, NewSet(9, nil))
	if len(change.Ended) != 1 || change.Ended[0].Age != 2*time.Minute {
		t.Errorf("ended %+v, want an age of %s", change.Ended, 2*time.Minute)
	}
}

// TestOlderSetIsNotConfirmed guards against a node without the newest set that takes a
// confirmation of that set for one of its own.
func TestOlderSetIsNotConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	var tracker Tracker
	tracker.Confirm(0, now)
	tracker.Apply(now, NewSet(7, nil))
	tracker.Confirm(8, now)
	if at := tracker.ConfirmedAt(); !at.IsZero() {
		t.Errorf("confirmed at %s by the set of a later revision", at)
	}
	tracker.Confirm(7, now)
	if at := tracker.ConfirmedAt(); !at.Equal(now) {
		t.Errorf("confirmed at %s, want %s", at, now)
	}
}

// TestOddSetsAreRefused guards against a message of another writer that closes targets for
// good, or that grows with each node that passes it on.
func TestOddSetsAreRefused(t *testing.T) {
	many := map[string]uint64{}
	for i := range 2 * MaxDomains {
		many[fmt.Sprint("d", i)] = uint64(i + 1)
	}
	largest := NewSet(1, many)
	if err := largest.Validate(); err != nil || !largest.Includes("d0") || largest.Includes(fmt.Sprint("d", MaxDomains)) {
		t.Errorf("a set of too many domains: error %v, want the %d that were written first", err, MaxDomains)
	}
	for _, s := range []Set{
		{Revision: 1 << 63},
		{Domains: make([]Domain, MaxDomains+1)},
		{Domains: []Domain{{Name: ""}}},
		{Domains: []Domain{{Name: "a\n"}}},
		{Domains: []Domain{{Name: "\xff"}}},
		{Domains: []Domain{{Name: strings.Repeat("a", MaxNameBytes+1)}}},
		{Domains: []Domain{{Name: "b"}, {Name: "a"}}},
		{Domains: []Domain{{Name: "a"}, {Name: "a"}}},
		{Domains: []Domain{{Name: "a", Age: -1}}},
	} {
		if s.Validate() == nil {
			t.Errorf("%+.80v is not refused", s)
		}
	}
}
