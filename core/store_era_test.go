package core

import (
	"math"
	"slices"
	"testing"
	"time"

	"celeryshelf/core/plan"
)

// returnFromCopy brings the store back from a copy that holds the given departures.
func (d *departureTest) returnFromCopy(stored []Departure) {
	d.stored, d.pending = slices.Clone(stored), nil
	d.era++
	d.step(&StoreEra{Era: d.era})
}

// TestDeparturesAreStoredAgainInANewEra guards against a node that is killed after the store has
// come back from a copy without the departure that the node has acknowledged.
func TestDeparturesAreStoredAgainInANewEra(t *testing.T) {
	for _, tt := range []struct {
		name   string
		notice func(d *departureTest)
	}{
		{"shown by an answer", func(d *departureTest) { d.returnFromCopy(nil) }},
		{"told by a peer", func(d *departureTest) {
			d.stored, d.pending = nil, nil
			d.step(&MessageReceived{From: "n1", Body: &Confirmation{StoreEra: d.era + 1}})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDepartureTest()
			d.readStore()
			d.heartbeat("a", 7, 1, false)
			d.deregister("a")
			d.save()
			tt.notice(d)
			d.step(&Tick{})
			d.save()
			d.start()
			d.readStore()
			d.heartbeat("a", 7, 1, false)
			if d.runs() {
				t.Error("a call ran on a target that had left before the store came back")
			}
		})
	}
}

// TestAcknowledgementWaitsForTheNewEra guards against an acknowledgement that relies on a write
// of the era before: the store confirmed it, but the copy does not hold it.
func TestAcknowledgementWaitsForTheNewEra(t *testing.T) {
	d := newDepartureTest()
	d.readStore()
	d.heartbeat("a", 7, 1, false)
	id := d.deregister("a")
	earlier := d.pending
	d.returnFromCopy(nil)
	d.step(&DeparturesSaved{Revision: earlier.Revision})
	if d.acked[id] {
		t.Error("acknowledged by a write that the copy may lack")
	}
	d.step(&Tick{})
	d.save()
	if !d.acked[id] {
		t.Error("not acknowledged after the departure was stored again")
	}
}

// TestPeerRemembersTheDepartureOfAnEarlierProcess guards against a node that starts after the
// store has come back without its departure: its peers still know of it. What it hears from them
// it stores again.
func TestPeerRemembersTheDepartureOfAnEarlierProcess(t *testing.T) {
	peer := New(Settings{Self: testMember(1), RandomSeed: 2})
	now := time.Unix(1000, 0)
	leaving := testMember(0)
	leaving.TargetLeaving, leaving.TargetStartMilli = true, 7
	next := testMember(0)
	next.Incarnation++
	answer := func(announced int64) int64 {
		next.TargetStartMilli = announced
		next.Revision++
		for _, e := range peer.Step(now, &MessageReceived{From: "n0", Body: &Sync{Self: next}}).Envelopes {
			if c, ok := e.Body.(*Confirmation); ok {
				return c.LeftStartMilli
			}
		}
		t.Fatal("a Sync was not answered with a Confirmation")
		return 0
	}
	peer.Step(now, &MessageReceived{From: "n0", Body: &Sync{Self: leaving}})
	if got := answer(0); got != 7 {
		t.Errorf("the next process is told of the start %d, want 7", got)
	}
	if got := answer(7); got != 7 {
		t.Errorf("a process that has announced the same target is told of the start %d, want 7", got)
	}
	if got := answer(8); got != 0 {
		t.Errorf("a process with a later target is told of the start %d, want none", got)
	}

	d := newDepartureTest()
	d.readStore()
	d.heartbeat("a", 7, 1, false)
	for range 3 {
		d.step(&MessageReceived{From: "n1", Body: &Confirmation{LeftStartMilli: 7}})
		d.step(&Tick{})
	}
	if d.runs() {
		t.Error("a call ran on a target that has left, as a peer remembers")
	}
	if d.pending == nil || len(d.pending.Departures) != 1 {
		t.Errorf("request to store %+v, want one departure", d.pending)
	}
	d.save()
	d.step(&MessageReceived{From: "n1", Body: &Confirmation{LeftStartMilli: 7}})
	d.step(&Tick{})
	if d.pending != nil {
		t.Error("a departure that is known is stored again")
	}
	d.heartbeat("b", 8, 1, false)
	if !d.runs() {
		t.Error("a call did not run on the next instance")
	}
}

// TestOlderCopyDoesNotConfirmTheManifest guards against a key that was withdrawn by a version
// that the node has not seen: the store has come back from a copy that lacks this version and the
// one that the node has.
func TestOlderCopyDoesNotConfirmTheManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name   string
		event  func(at time.Time) Event
		read   time.Duration // from the start of version 2 to the read
		reason Reason
	}{
		{"read of the copy", func(at time.Time) Event { return &ManifestConfirmed{Version: 1, At: at} }, testMaxStaleness, ReasonIsolated},
		{"read by a peer", func(at time.Time) Event {
			return &MessageReceived{From: "n1", Body: &Confirmation{Version: 1, RequesterUptime: at.Sub(now)}}
		}, testMaxStaleness, ReasonIsolated},
		{"read after the operators have written again", func(at time.Time) Event { return &ManifestConfirmed{Version: 2, At: at} }, testMaxStaleness, ReasonNone},
		{"read that began before version 2 was known", func(at time.Time) Event { return &ManifestConfirmed{Version: 1, At: at} }, -time.Millisecond, ReasonNone},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := confirmedNode(now)
			since := now.Add(time.Second)
			v := testManifest(0, 1)
			v.Version = 2
			s.Step(since, &ManifestStored{Manifest: compiled(v)})
			at := since.Add(tt.read)
			s.Step(since.Add(testMaxStaleness), tt.event(at))
			if got := refusalOfKeyedCall(s, at.Add(testMaxStaleness-time.Millisecond), 1); got != tt.reason {
				t.Errorf("got %s, want %s", got, tt.reason)
			}
		})
	}
}

// TestAbsurdEraOfAPeerIsIgnored guards against a peer whose word hides the next return of the
// store, or makes a node write to the store again and again.
func TestAbsurdEraOfAPeerIsIgnored(t *testing.T) {
	d := newDepartureTest()
	d.readStore()
	d.heartbeat("a", 7, 1, false)
	d.deregister("a")
	d.save()
	for range 3 {
		d.step(&MessageReceived{From: "n1", Body: &Confirmation{StoreEra: math.MaxUint64}})
		d.step(&Tick{})
	}
	if d.pending != nil {
		t.Error("departures are stored again for an era that no store can have")
	}
	d.returnFromCopy(nil)
	d.step(&Tick{})
	if d.pending == nil {
		t.Error("departures are not stored again after the store has come back")
	}
}

// TestCostsAreStoredAgainInANewEra guards against call costs that the store has lost and that no
// planner writes again, as they have not changed since.
func TestCostsAreStoredAgainInANewEra(t *testing.T) {
	s := New(Settings{Self: testMember(0), PlannedAdmission: true})
	now := time.Unix(1000, 0)
	s.Step(now, &StoreEra{Era: 1})
	s.Step(now, &CostsStored{Rows: []plan.RouteCost{{Route: "map"}}})
	s.Step(now, &StoreEra{Era: 2})
	if s.planning.storedCosts != nil {
		t.Error("costs that the store held before it came back count as stored")
	}
}
