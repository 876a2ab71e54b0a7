package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"celeryshelf/core/evacuation"
	"celeryshelf/core/member"
	"celeryshelf/core/plan"
)

// evacuationTest is a node of domain d0 with the peers n1 of d1, n2 of d2 and n3 of d0.
type evacuationTest struct {
	t      *testing.T
	now    time.Time
	state  *State
	last   CallID
	notice []Notice
}

func newEvacuationTest(t *testing.T, bound time.Duration) *evacuationTest {
	e := &evacuationTest{t: t, now: time.Unix(1000, 0)}
	e.state = New(Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true, PlannedAdmission: true, ElectWatchers: true, Evacuation: bound})
	e.step(&ManifestStored{Manifest: compiled(keylessManifest())})
	var members []member.Member
	for i := range 4 {
		members = append(members, testMember(i))
	}
	e.step(&MembersStored{Members: members})
	e.heartbeat(1)
	return e
}

func (e *evacuationTest) step(event Event) *Effects {
	effects := e.state.Step(e.now, event)
	for _, n := range effects.Notices {
		if n.Evacuation.Name != "" {
			e.notice = append(e.notice, n)
		}
	}
	return effects
}

func (e *evacuationTest) heartbeat(sequence uint64) {
	e.step(&HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "a", StartUnixMilli: 1, Sequence: sequence, Slots: 1}})
}

func testSet(revision uint64, domains ...string) evacuation.Set {
	keys := map[string]uint64{}
	for _, d := range domains {
		keys[d] = revision
	}
	return evacuation.NewSet(revision, keys)
}

// read applies a read of the store.
func (e *evacuationTest) read(revision uint64, domains ...string) *Effects {
	return e.step(&EvacuationsStored{Set: testSet(revision, domains...), At: e.now})
}

// call lets a call arrive from a peer or a caller and returns the verdicts.
func (e *evacuationTest) call(origin Origin) (CallID, []Verdict) {
	e.last++
	effects := e.step(&CallArrived{
		Call: e.last, Origin: origin, Route: lookup("map"), Replayable: true, Timeout: time.Second, Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Second},
	})
	return e.last, append([]Verdict(nil), effects.Verdicts...)
}

func (e *evacuationTest) checkRefusal(what string, verdicts []Verdict, reason Reason) {
	e.t.Helper()
	if len(verdicts) != 1 || verdicts[0].Action != ActionRefuse || verdicts[0].Reason != reason || verdicts[0].Executed != ExecutedNo {
		e.t.Errorf("%s: got %+v, want a refusal with reason %s and ran=no", what, verdicts, reason)
	}
}

// checkAction fails the test unless a call got the action at once.
func (e *evacuationTest) checkAction(what string, verdicts []Verdict, want Action) {
	e.t.Helper()
	if len(verdicts) != 1 || verdicts[0].Action != want {
		e.t.Errorf("%s: got %+v, want %s", what, verdicts, want)
	}
}

// TestEvacuatedTargetFinishesWhatRuns guards against calls that start at an evacuated target,
// also from nodes that do not know of the evacuation, from the queue, or as the node's own, and
// against calls in progress that are cut off.
func TestEvacuatedTargetFinishesWhatRuns(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7)
	running, v := e.call(FromNode)
	e.checkAction("call before the evacuation", v, ActionRun)
	queued, v := e.call(FromNode)
	if len(v) != 0 {
		t.Fatalf("the second call got %+v, want no verdict while it is queued", v)
	}
	verdicts := append([]Verdict(nil), e.read(8, "d0").Verdicts...)
	e.checkRefusal("queued call", verdicts, ReasonDraining)
	if len(verdicts) == 1 && verdicts[0].Call != queued {
		t.Errorf("call %d was refused, want the queued call %d", verdicts[0].Call, queued)
	}
	_, v = e.call(FromNode)
	e.checkRefusal("call of a peer", v, ReasonDraining)
	if got := e.state.Status().Evacuations; got.Domains != 1 || got.Running != 1 {
		t.Errorf("status is %+v, want one domain and one running call", got)
	}
	_, v = e.call(FromCallerOrTarget)
	e.checkAction("call of a caller", v, ActionForward)
	if len(v) == 1 && v[0].Endpoint == "n3" {
		t.Error("a call of a caller is forwarded within the evacuated domain")
	}
	if v := e.step(&CallFinished{Call: running, Complete: true}).Verdicts; len(v) != 0 {
		t.Errorf("the end of the running call led to %+v", v)
	}
	if got := e.state.Status().Evacuations; got.Running != 0 {
		t.Errorf("%d calls run, want none", got.Running)
	}
}

// TestTargetIsUsedAfterAnEvacuation guards against a target that stays closed after the key has
// been deleted, or whose node does not know that it may be cold, and against operators who are
// not told since when a domain was evacuated.
func TestTargetIsUsedAfterAnEvacuation(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7)
	e.read(8, "d0")
	if at := e.state.targetReopenedAt(); !at.IsZero() {
		t.Errorf("the target counts as reopened at %s during the evacuation", at)
	}
	e.now = e.now.Add(time.Minute)
	e.read(9)
	if at := e.state.targetReopenedAt(); !at.Equal(e.now) {
		t.Errorf("the target counts as reopened at %s, want %s", at, e.now)
	}
	_, v := e.call(FromNode)
	e.checkAction("call after the evacuation", v, ActionRun)
	want := []Notice{
		{Kind: NoticeEvacuationStarted, Evacuation: evacuation.Domain{Name: "d0", Revision: 8}},
		{Kind: NoticeEvacuationEnded, Evacuation: evacuation.Domain{Name: "d0", Revision: 9, Age: time.Minute}},
	}
	if !slices.Equal(e.notice, want) {
		t.Errorf("notices are %+v, want %+v", e.notice, want)
	}
}

// TestReturningTargetIsChosenAgain guards against a target that gets no calls after its domain's
// evacuation while others answer faster than an endpoint without a measured latency is taken to.
func TestReturningTargetIsChosenAgain(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7)
	counts := map[string]int{}
	for i := range 1200 {
		switch i {
		case 200:
			e.read(8, "d0")
		case 400:
			e.read(9)
		}
		e.now = e.now.Add(10 * time.Millisecond)
		id, v := e.call(FromCallerOrTarget)
		if len(v) != 1 || v[0].Action == ActionRefuse {
			t.Fatalf("call %d got %+v, want run or forward", i, v)
		}
		if i >= 800 {
			counts[v[0].Endpoint]++
		}
		e.now = e.now.Add(time.Millisecond)
		e.step(&CallFinished{Call: id, Complete: true})
	}
	if counts["n0"]+counts["n3"] < 200 {
		t.Errorf("calls by endpoint are %v from 4 s after the evacuation on, want most of 400 in the own domain", counts)
	}
}

// TestEvacuatedTargetsAreNotChosen guards against a target of an evacuated domain that is used
// as the last resort, when the others are unreachable or evacuated too.
func TestEvacuatedTargetsAreNotChosen(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7, "d0", "d1")
	if _, v := e.call(FromCallerOrTarget); len(v) != 1 || v[0].Action != ActionForward || v[0].Endpoint != "n2" {
		t.Errorf("got %+v, want to be forwarded to n2", v)
	}
	e.state.setReachable(e.now, "n2", false)
	e.now = e.now.Add(time.Second)
	e.state.setReachable(e.now, "n2", false)
	if _, v := e.call(FromCallerOrTarget); len(v) != 1 || v[0].Action != ActionForward || v[0].Endpoint != "n2" {
		t.Errorf("got %+v, want to be forwarded to the unreachable n2", v)
	}
	e.read(8, "d0", "d1", "d2")
	_, v := e.call(FromCallerOrTarget)
	e.checkRefusal("no targets elsewhere", v, ReasonNoEndpoint)
	if len(v) == 1 && v[0].RetryAfter == 0 {
		t.Error("the refusal does not say when to try again")
	}
}

// TestRedirectFromAnEvacuatedTargetCostsNoRetry guards against calls that fail, or use up the
// retries of a service, because they were sent before the sender knew of the evacuation.
func TestRedirectFromAnEvacuatedTargetCostsNoRetry(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7, "d0")
	id, v := e.call(FromCallerOrTarget)
	if len(v) != 1 || v[0].Action != ActionForward {
		t.Fatalf("got %+v, want forward", v)
	}
	first := v[0].Endpoint
	v = e.step(&AttemptFailed{Call: id, Cause: CauseRejected, Reason: ReasonDraining, Executed: ExecutedNo}).Verdicts
	if len(v) != 1 || v[0].Action != ActionForward || v[0].Endpoint == first {
		t.Errorf("got %+v after a redirect by %s, want to be forwarded to another endpoint", v, first)
	}
}

// TestOlderSetIsIgnored guards against an old set that arrives after a newer one, from a peer or
// from a read that took long, and against a deletion whose event was missed.
func TestOlderSetIsIgnored(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7)
	peer := func(revision uint64, domains ...string) {
		e.step(&MessageReceived{From: "n1", Body: &Sync{Self: testMember(1), Evacuations: &Evacuations{Set: testSet(revision, domains...)}}})
	}
	check := func(what string, want bool) {
		t.Helper()
		if got := e.state.evacuated("d1"); got != want {
			t.Errorf("%s: d1 evacuated is %v, want %v", what, got, want)
		}
	}
	peer(10, "d1")
	check("newer set of a peer", true)
	e.read(9)
	check("late read of the store", true)
	peer(8)
	check("old set of a peer", true)
	e.read(12) // the event of the deletion was lost with the history of the store
	check("read without the key", false)
	peer(11, "d1")
	check("old set of a peer after the deletion", false)
	peer(1<<63, "d1")
	check("set with an impossible revision", false)
}

// TestStartingNodeWaitsForTheSet guards against a target that gets work before its node knows
// whether its domain is evacuated, and against one that never does.
func TestStartingNodeWaitsForTheSet(t *testing.T) {
	confirmation := func(age time.Duration, domains ...string) *MessageReceived {
		return &MessageReceived{From: "n1", Body: &Confirmation{Version: 1, Evacuations: &Evacuations{Set: testSet(7, domains...), Age: age}}}
	}
	for _, tt := range []struct {
		name string
		know func(e *evacuationTest)
		want bool // a call runs
	}{
		{"nothing known", func(*evacuationTest) {}, false},
		{"read from the store", func(e *evacuationTest) { e.read(7) }, true},
		{"own domain evacuated", func(e *evacuationTest) { e.read(7, "d0") }, false},
		{"confirmed by a peer", func(e *evacuationTest) { e.step(confirmation(time.Second)) }, true},
		{"own domain evacuated, by a peer", func(e *evacuationTest) { e.step(confirmation(time.Second, "d0")) }, false},
		{"known to a peer long ago", func(e *evacuationTest) { e.step(confirmation(time.Minute)) }, false},
		{"bound not over", func(e *evacuationTest) {
			e.now = e.now.Add(testEvacuationBound - time.Millisecond)
			e.step(&Tick{})
		}, false},
		{"bound over", func(e *evacuationTest) {
			e.now = e.now.Add(testEvacuationBound)
			e.step(&Tick{})
		}, true},
		{"own domain evacuated long ago, bound over", func(e *evacuationTest) {
			e.step(confirmation(time.Minute, "d0"))
			e.now = e.now.Add(testEvacuationBound)
			e.step(&Tick{})
		}, false},
	} {
		e := newEvacuationTest(t, testEvacuationBound)
		tt.know(e)
		_, v := e.call(FromNode)
		if ran := len(v) == 1 && v[0].Action == ActionRun; ran != tt.want {
			t.Errorf("%s: got %+v, want the call to run: %v", tt.name, v, tt.want)
		}
	}
}

// TestEvacuationOverlapsADrainAndANewInstance guards against a target that is used during an
// evacuation because its instance changes, or during a drain because the evacuation ends.
func TestEvacuationOverlapsADrainAndANewInstance(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7, "d0")
	e.step(&HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "b", StartUnixMilli: 2, Sequence: 1, Slots: 1}})
	_, v := e.call(FromNode)
	e.checkRefusal("new instance", v, ReasonDraining)
	e.step(&DrainRequested{})
	e.read(8)
	_, v = e.call(FromNode)
	e.checkRefusal("evacuation ended in a drain", v, ReasonDraining)
}

// TestEvacuatedCapacityCountsAsZero guards against a plan that admits calls for targets which
// are evacuated: of a part of a service, or of all of it.
func TestEvacuatedCapacityCountsAsZero(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read(7)
	e.step(&Tick{})
	p := e.state.planner(e.now)
	report := func(from string) {
		e.step(&MessageReceived{From: from, Body: testReport(10)})
	}
	for _, from := range []string{"n1", "n2", "n3"} {
		report(from)
	}
	check := func(what, want string) {
		t.Helper()
		e.now = e.now.Add(reportInterval)
		p.Replan(e.now, e.state.routeShares)
		if got := p.Summary(); !strings.Contains(got, want) {
			t.Errorf("%s: the plan is %q, want %q in it", what, got, want)
		}
	}
	check("no evacuation", "slots 30 ")
	e.read(8, "d0")
	check("at once", "slots 20 ")
	report("n3") // it does not know yet
	check("after a report", "slots 20 ")
	e.read(9, "d0", "d1", "d2")
	check("all domains", "of 0 ")
}

// TestWithoutTheSettingNothingChanges guards against messages, or a target that is closed, where
// domains cannot be evacuated.
func TestWithoutTheSettingNothingChanges(t *testing.T) {
	e := newEvacuationTest(t, 0)
	e.read(7, "d0")
	if _, v := e.call(FromNode); len(v) != 1 || v[0].Action != ActionRun {
		t.Errorf("a call got %+v, want run", v)
	}
	for range 20 {
		e.now = e.now.Add(100 * time.Millisecond)
		for _, m := range e.step(&Tick{}).Envelopes {
			text, err := json.Marshal(m.Body)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Contains(string(text), "evac") {
				t.Fatal(fmt.Sprintf("%T", m.Body), "mentions evacuations:", string(text))
			}
		}
	}
}

// testReport returns a report of a node with the given slots and some demand.
func testReport(slots float64) *Report {
	return &Report{Report: plan.Report{
		Demand: []plan.Demand{{Route: "map", Rate: 10, FirstTryRate: 10}},
		Load:   plan.Load{Service: "maps", Slots: slots, Busy: slots / 2},
		Costs:  []plan.RouteCost{{Route: "map", HoldTime: 100 * time.Millisecond, Runs: 100}},
	}}
}
