package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
)

// keylessManifest returns a manifest whose routes need no key.
func keylessManifest() manifest.Versioned {
	v := testManifest(100, 100)
	for i := range v.Manifest.Routes {
		v.Manifest.Routes[i].Public = true
	}
	return v
}

const testMaxStaleness = 3 * time.Second

// refusalOfKeyedCall sends a call with a key and returns the reason of its refusal, or
// ReasonNone if it is admitted.
func refusalOfKeyedCall(s *State, now time.Time, call CallID) Reason {
	a := &CallArrived{Call: call, Route: lookup("map"), HasKey: true, KeyDigest: manifest.DigestOf("k"), Timeout: time.Second}
	for _, v := range s.Step(now, a).Verdicts {
		if v.Action == ActionRefuse {
			return v.Reason
		}
	}
	return ReasonNone
}

// confirmedNode returns a node whose manifest was confirmed at now.
func confirmedNode(now time.Time) *State {
	s := New(Settings{Self: testMember(0), RandomSeed: 1, MaxStaleness: testMaxStaleness})
	v := testManifest(0, 1)
	s.Step(now, &ManifestStored{Manifest: compiled(v)})
	s.Step(now, &ManifestConfirmed{Version: v.Version, At: now})
	return s
}

func TestKeysOfStaleManifestAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	if reason := refusalOfKeyedCall(s, now.Add(testMaxStaleness-time.Millisecond), 1); reason != ReasonNone {
		t.Errorf("refused with %s before MaxStaleness has passed since the last confirmation", reason)
	}
	if reason := refusalOfKeyedCall(s, now.Add(testMaxStaleness+time.Millisecond), 2); reason != ReasonIsolated {
		t.Errorf("got %s, want %s after MaxStaleness without a confirmation", reason, ReasonIsolated)
	}
	s.Step(now.Add(testMaxStaleness), &ManifestConfirmed{Version: 1, At: now.Add(testMaxStaleness)})
	if reason := refusalOfKeyedCall(s, now.Add(testMaxStaleness+time.Millisecond), 3); reason != ReasonNone {
		t.Errorf("refused with %s after a new confirmation by the store", reason)
	}
}

// TestConfirmationOfNewerVersionIsIgnored guards against a node that has missed a version
// and takes the confirmation of that version for one of its own, older manifest.
func TestConfirmationOfNewerVersionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	later := now.Add(testMaxStaleness + time.Second)
	s.Step(later, &MessageReceived{From: "n1", Body: &Confirmation{RequesterUptime: later.Sub(now), Version: 2}})
	if reason := refusalOfKeyedCall(s, later, 1); reason != ReasonIsolated {
		t.Errorf("got %s after a confirmation of a version that the node does not have, want %s", reason, ReasonIsolated)
	}
	s.Step(later, &MessageReceived{From: "n1", Body: &Confirmation{RequesterUptime: later.Sub(now), Version: 1}})
	if reason := refusalOfKeyedCall(s, later, 2); reason != ReasonNone {
		t.Errorf("refused with %s after a confirmation of its own version", reason)
	}
}

// TestConfirmationAgeCountsFromTheSync guards against a node that is paused between sending a
// Sync and reading the answer, and then takes the old answer for a recent confirmation.
func TestConfirmationAgeCountsFromTheSync(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	syncUptime := 500 * time.Millisecond
	receivedAt := now.Add(10 * time.Second)
	s.Step(receivedAt, &MessageReceived{From: "n1", Body: &Confirmation{RequesterUptime: syncUptime, Version: 1, Age: 100 * time.Millisecond}})
	if reason := refusalOfKeyedCall(s, receivedAt, 1); reason != ReasonIsolated {
		t.Errorf("got %s, want %s: the confirmation is as old as the Sync that it answers", reason, ReasonIsolated)
	}
}

func TestSyncIsAnsweredWithConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	peer := testMember(1)
	got := s.Step(now.Add(time.Second), &MessageReceived{From: peer.Name, Body: &Sync{Self: peer, Uptime: 7 * time.Second}})
	for _, m := range got.Envelopes {
		if c, ok := m.Body.(*Confirmation); ok {
			if c.RequesterUptime != 7*time.Second || c.Version != 1 || c.Age != time.Second {
				t.Errorf("got %+v, want uptime 7s, version 1 and age 1s", c)
			}
			return
		}
	}
	t.Error("the Sync was not answered with a Confirmation")
}

// TestPlanningFleetVerifiesThroughThePlanner counts the store calls by which a fleet with
// planned admission keeps its manifest confirmed. Only the planner should make them; if every
// node did, the load on the store would grow with the fleet.
func TestPlanningFleetVerifiesThroughThePlanner(t *testing.T) {
	m := newSimulation(true, true)
	requests := 0
	m.onStoreRequest = func(i int, r StoreRequest) {
		if _, ok := r.(*VerifyManifest); !ok {
			return
		}
		requests++
		at := m.now
		m.after(4*time.Millisecond, func() { m.step(i, &ManifestConfirmed{Version: 1, At: at}) })
	}
	m.run(m.now.Add(2 * time.Second))
	requests = 0
	const seconds = 20
	for range seconds * 10 {
		m.run(m.now.Add(100 * time.Millisecond))
		for i, n := range m.nodes {
			if age := m.now.Sub(n.manifestConfirmedAt); age > plannedVerifyAge+time.Second {
				t.Fatalf("the manifest of node %d was last confirmed %s ago", i, age)
			}
		}
	}
	if limit := 2 * seconds; requests > limit {
		t.Errorf("%d calls to the store in %d s, want at most %d", requests, seconds, limit)
	}
}

// TestRestartedNodeNeedsConfirmationOfManifest guards against a node that restarts in a
// partition, gets its manifest from a peer that is partitioned too, and accepts keys that
// have been revoked since.
func TestRestartedNodeNeedsConfirmationOfManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, MaxStaleness: testMaxStaleness})
	s.Step(now, &MessageReceived{From: "n1", Body: &ManifestResponse{Manifest: testManifest(0, 1)}})
	if reason := refusalOfKeyedCall(s, now, 1); reason != ReasonIsolated {
		t.Errorf("got %s, want %s: the age of the manifest is unknown", reason, ReasonIsolated)
	}
	if s.Ready(now) {
		t.Error("ready without a confirmation of the manifest")
	}
	s.Step(now, &MessageReceived{From: "n1", Body: &Confirmation{Version: 1, Age: time.Second}})
	if reason := refusalOfKeyedCall(s, now, 2); reason != ReasonNone {
		t.Errorf("refused with %s after a confirmation", reason)
	}
}

// TestReachableStoreDoesNotConfirmManifest guards against taking any answer of the store
// after an outage, to a call that did not read the manifest, for a confirmation of it.
func TestReachableStoreDoesNotConfirmManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	later := now.Add(testMaxStaleness + time.Second)
	s.Step(later, &StoreReachability{Reachable: true})
	if reason := refusalOfKeyedCall(s, later, 1); reason != ReasonIsolated {
		t.Errorf("got %s, want %s: the manifest may contain a revoked key", reason, ReasonIsolated)
	}
}

// TestStaleManifestDoesNotRefuseWithUnknownRoute guards against a definite refusal of a route
// or key that a newer manifest may contain.
func TestStaleManifestDoesNotRefuseWithUnknownRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	for _, c := range []struct {
		at   time.Time
		want Reason
	}{{now, ReasonUnknownRoute}, {now.Add(testMaxStaleness + time.Second), ReasonIsolated}} {
		e := s.Step(c.at, &CallArrived{Call: CallID(c.at.UnixNano()), Route: lookup("added"), Timeout: time.Second})
		if len(e.Verdicts) != 1 || e.Verdicts[0].Reason != c.want {
			t.Errorf("got %+v, want a refusal with %s", e.Verdicts, c.want)
		}
	}
}

// TestNodeThatHasHeardOfANewerManifestGivesNoDefiniteRefusal guards against 401 and 404 for
// keys and routes that a newer manifest, which has not arrived yet, may contain.
func TestNodeThatHasHeardOfANewerManifestGivesNoDefiniteRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	refusal := func(call CallID) Reason {
		return s.Step(now, &CallArrived{Call: call, Route: lookup("added"), Timeout: time.Second}).Verdicts[0].Reason
	}
	s.Step(now, &MemberStored{Member: testMember(1)})
	s.Step(now, &MessageReceived{From: "n1", Body: &Confirmation{Version: 2}})
	if got := refusal(1); got != ReasonIsolated {
		t.Errorf("got %s, want %s while version 2 is missing", got, ReasonIsolated)
	}
	v := testManifest(0, 1)
	v.Version = 2
	s.Step(now, &MessageReceived{From: "n1", Body: &ManifestResponse{Manifest: v}})
	if got := refusal(2); got != ReasonUnknownRoute {
		t.Errorf("got %s with version 2, want %s", got, ReasonUnknownRoute)
	}
	s.Step(now, &MessageReceived{From: "n1", Body: &Confirmation{Version: 9}})
	now = now.Add(newsTTL + time.Second)
	s.Step(now, &ManifestConfirmed{Version: 2, At: now})
	s.Step(now, &Tick{})
	if got := refusal(3); got != ReasonUnknownRoute {
		t.Errorf("got %s, want %s after nobody has sent version 9", got, ReasonUnknownRoute)
	}
}
