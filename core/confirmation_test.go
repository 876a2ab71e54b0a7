package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
)

// openManifest returns one whose routes need no key.
func keylessManifest() manifest.Versioned {
	v := testManifest(100, 100)
	for i := range v.Manifest.Routes {
		v.Manifest.Routes[i].Public = true
	}
	return v
}

const testMaxStaleness = 3 * time.Second

// keyed steps a keyed call and reports why it is refused, if it is.
func refusalOfKeyedCall(s *State, now time.Time, call CallID) Reason {
	a := &CallArrived{Call: call, Route: "map", HasKey: true, KeyDigest: manifest.DigestOf("k"), Timeout: time.Second}
	for _, v := range s.Step(now, a).Verdicts {
		if v.Action == ActionRefuse {
			return v.Reason
		}
	}
	return ReasonNone
}

func confirmedNode(now time.Time) *State {
	s := New(Settings{Self: testMember(0), RandomSeed: 1, MaxStaleness: testMaxStaleness})
	v := testManifest(0, 1)
	s.Step(now, &ManifestStored{Manifest: v})
	s.Step(now, &ManifestConfirmed{Version: v.Version, At: now})
	return s
}

func TestKeysOfStaleManifestAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	if why := refusalOfKeyedCall(s, now.Add(testMaxStaleness-time.Millisecond), 1); why != ReasonNone {
		t.Errorf("refused with %s while the manifest is confirmed", why)
	}
	if why := refusalOfKeyedCall(s, now.Add(testMaxStaleness+time.Millisecond), 2); why != ReasonIsolated {
		t.Errorf("got %s, want %s", why, ReasonIsolated)
	}
	s.Step(now.Add(testMaxStaleness), &ManifestConfirmed{Version: 1, At: now.Add(testMaxStaleness)})
	if why := refusalOfKeyedCall(s, now.Add(testMaxStaleness+time.Millisecond), 3); why != ReasonNone {
		t.Errorf("refused with %s after the store has confirmed it again", why)
	}
}

// TestProofsOfOtherVersionsProveNothing keeps a node that has missed a version from
// taking a newer one's proof for its own.
func TestConfirmationOfNewerVersionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	later := now.Add(testMaxStaleness + time.Second)
	s.Step(later, &MessageReceived{From: "n1", Body: &Confirmation{RequesterUptime: later.Sub(now), Version: 2}})
	if why := refusalOfKeyedCall(s, later, 1); why != ReasonIsolated {
		t.Errorf("got %s after a proof of a version that the node does not have, want %s", why, ReasonIsolated)
	}
	s.Step(later, &MessageReceived{From: "n1", Body: &Confirmation{RequesterUptime: later.Sub(now), Version: 1}})
	if why := refusalOfKeyedCall(s, later, 2); why != ReasonNone {
		t.Errorf("refused with %s after a proof of its own version", why)
	}
}

// TestProofsCountFromTheQuestion plays a node that was stopped between asking and
// reading the answer.
func TestConfirmationAgeCountsFromTheSync(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	asked := 500 * time.Millisecond
	read := now.Add(10 * time.Second)
	s.Step(read, &MessageReceived{From: "n1", Body: &Confirmation{RequesterUptime: asked, Version: 1, Age: 100 * time.Millisecond}})
	if why := refusalOfKeyedCall(s, read, 1); why != ReasonIsolated {
		t.Errorf("got %s, want %s: the proof is as old as the question", why, ReasonIsolated)
	}
}

func TestSyncIsAnsweredWithConfirmation(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	peer := testMember(1)
	got := s.Step(now.Add(time.Second), &MessageReceived{From: peer.Name, Body: &Sync{Self: peer, Uptime: 7 * time.Second}})
	for _, m := range got.Envelopes {
		if p, ok := m.Body.(*Confirmation); ok {
			if p.RequesterUptime != 7*time.Second || p.Version != 1 || p.Age != time.Second {
				t.Errorf("got %+v", p)
			}
			return
		}
	}
	t.Error("no proof came back")
}

// TestFleetAsksTheStoreOnce counts the calls by which a fleet that plans keeps its
// manifest confirmed: the planner's, not every node's.
func TestPlanningFleetVerifiesThroughThePlanner(t *testing.T) {
	m := newSimulation(true, true)
	asked := 0
	m.request = func(i int, r StoreRequest) {
		if _, ok := r.(*VerifyManifest); !ok {
			return
		}
		asked++
		at := m.now
		m.after(4*time.Millisecond, func() { m.step(i, &ManifestConfirmed{Version: 1, At: at}) })
	}
	m.run(m.now.Add(2 * time.Second))
	asked = 0
	const seconds = 20
	for range seconds * 10 {
		m.run(m.now.Add(100 * time.Millisecond))
		for i, n := range m.nodes {
			if age := m.now.Sub(n.manifestConfirmedAt); age > plannedVerifyAge+time.Second {
				t.Fatalf("node %d was last confirmed %s ago", i, age)
			}
		}
	}
	if limit := 2 * seconds; asked > limit {
		t.Errorf("%d calls in %d s, want at most %d", asked, seconds, limit)
	}
}

// TestFreshNodeTrustsNoManifestThatNobodyConfirmed plays a node that starts again
// behind a cut and gets its manifest from a peer that is cut off as well.
func TestRestartedNodeNeedsConfirmationOfManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Settings{Self: testMember(0), RandomSeed: 1, MaxStaleness: testMaxStaleness})
	s.Step(now, &MessageReceived{From: "n1", Body: &ManifestResponse{Manifest: testManifest(0, 1)}})
	if why := refusalOfKeyedCall(s, now, 1); why != ReasonIsolated {
		t.Errorf("got %s, want %s: the manifest may be as old as it likes", why, ReasonIsolated)
	}
	if s.Ready(now) {
		t.Error("ready without a proof of the manifest")
	}
	s.Step(now, &MessageReceived{From: "n1", Body: &Confirmation{Version: 1, Age: time.Second}})
	if why := refusalOfKeyedCall(s, now, 2); why != ReasonNone {
		t.Errorf("refused with %s after a proof", why)
	}
}

// TestStoreThatAnswersProvesNoManifest plays a store that is back and has answered a
// call about something else than the manifest.
func TestReachableStoreDoesNotConfirmManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	later := now.Add(testMaxStaleness + time.Second)
	s.Step(later, &StoreReachability{Reachable: true})
	if why := refusalOfKeyedCall(s, later, 1); why != ReasonIsolated {
		t.Errorf("got %s, want %s: a withdrawn key may be in the manifest", why, ReasonIsolated)
	}
}

// TestUnknownRouteOfAnOldManifest: a node that cannot show that its manifest is the
// newest one does not say that a route or key does not exist.
func TestStaleManifestDoesNotRefuseWithUnknownRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	s := confirmedNode(now)
	for _, c := range []struct {
		at   time.Time
		want Reason
	}{{now, ReasonUnknownRoute}, {now.Add(testMaxStaleness + time.Second), ReasonIsolated}} {
		e := s.Step(c.at, &CallArrived{Call: CallID(c.at.UnixNano()), Route: "added", Timeout: time.Second})
		if len(e.Verdicts) != 1 || e.Verdicts[0].Reason != c.want {
			t.Errorf("got %+v, want a refusal with %s", e.Verdicts, c.want)
		}
	}
}
