package core

import (
	"testing"
	"time"

	"celeryshelf/core/route"
)

// placementNode returns the state of a node with two peers of its service.
func placementNode(now time.Time) *State {
	s := New(Settings{Self: testMember(0), PlaceByCompletion: true})
	for i := range 2 {
		s.Step(now, &MemberStored{Member: testMember(i + 1)})
	}
	m := testManifest(1e6, 1e6)
	for i := range m.Manifest.Routes {
		m.Manifest.Routes[i].Public = true
	}
	s.Step(now, &ManifestStored{Manifest: compiled(m)})
	return s
}

// runLocal plays a call of another node at the local target that takes 20 ms, and returns the
// work published at its end.
func runLocal(t *testing.T, s *State, now time.Time, id CallID, r LoadReport) route.Work {
	t.Helper()
	e := s.Step(now, &CallArrived{Call: id, Origin: FromNode, Context: CallContext{
		Endpoint: s.self.Name, Route: "map", Timeout: time.Second,
	}})
	if len(e.Verdicts) != 1 || e.Verdicts[0].Action != ActionRun {
		t.Fatalf("call %d: %+v, want it to run", id, e.Verdicts)
	}
	return s.Step(now.Add(20*time.Millisecond), &CallFinished{Call: id, Complete: true, Report: TargetReport{Load: r}}).Work
}

// TestWorkIsPublishedWhileTheTargetReports guards against a changed choice for targets without
// reports, and against numbers that are published after the reports have stopped.
func TestWorkIsPublishedWhileTheTargetReports(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placementNode(now)
	now = now.Add(3 * time.Second)
	if w := runLocal(t, s, now, 1, LoadReport{}); w != (route.Work{}) {
		t.Errorf("a target without reports publishes %+v", w)
	}
	report := LoadReport{Known: true, Running: 1, Slots: 8, Slowness: 1}
	if w := runLocal(t, s, now.Add(time.Second), 2, report); w.UnitTime <= 0 {
		t.Error("a target that reports publishes nothing")
	}
	runLocal(t, s, now.Add(2*time.Second), 3, report)
	if w := s.Step(now.Add(2*time.Second+20*time.Millisecond+reportLife+time.Millisecond), &Tick{}).Work; w != (route.Work{}) {
		t.Errorf("%v after the last report the node publishes %+v", reportLife, w)
	}
}

// TestWrongCountsDoNotChangeTheWork guards against a target that reports 0 or 100 running
// calls for ever.
func TestWrongCountsDoNotChangeTheWork(t *testing.T) {
	var last []route.Work
	for _, running := range []int{0, 1, 100} {
		now := time.Unix(1000, 0)
		s := placementNode(now)
		var w route.Work
		for i := range 50 {
			now = now.Add(100 * time.Millisecond)
			w = runLocal(t, s, now, CallID(i+1), LoadReport{Known: true, Running: running, Waiting: running, Slots: 8, Slowness: 1})
		}
		last = append(last, w)
	}
	if last[0] != last[1] || last[2] != last[1] {
		t.Errorf("published with 0, 1 and 100 running calls reported: %+v", last)
	}
}

// TestLateReportChangesNothing guards against a report that comes with a response whose body
// took long, after newer reports.
func TestLateReportChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placementNode(now)
	now = now.Add(3 * time.Second)
	var want route.Work
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		want = runLocal(t, s, now, CallID(i+1), LoadReport{Known: true, Slots: 8, Slowness: 1})
	}
	s.recordTargetReport(now.Add(21*time.Millisecond), LoadReport{Known: true, Slots: 8, Slowness: 50, At: now.Add(-time.Second)})
	s.publishWork(now.Add(21 * time.Millisecond))
	if s.effects.Work != want {
		t.Errorf("published %+v, want %+v", s.effects.Work, want)
	}
}

// TestBacklogEndsWithItsCalls guards against work that stays after its calls were finished,
// failed, canceled or refused.
func TestBacklogEndsWithItsCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placementNode(now)
	now = now.Add(3 * time.Second)
	runLocal(t, s, now, 1, LoadReport{Known: true, Slots: 8, Slowness: 1})
	now = now.Add(time.Second)
	const calls = 200
	for i := range calls {
		s.Step(now, &CallArrived{Call: CallID(10 + i), Origin: FromNode, Context: CallContext{
			Endpoint: s.self.Name, Route: "map", Timeout: time.Second,
		}})
	}
	if got, want := s.placement.backlog.Len(), s.gate.Stats().Running+s.gate.Stats().Queued; got != want || want == 0 {
		t.Errorf("%d calls in the backlog, %d at the gate", got, want)
	}
	for i := range calls {
		id := CallID(10 + i)
		switch i % 3 {
		case 0:
			s.Step(now, &CallCanceled{Call: id})
		case 1:
			s.Step(now, &AttemptFailed{Call: id, Cause: CauseConnectionLost, Executed: ExecutedUnknown})
		default:
			s.Step(now, &CallFinished{Call: id, Complete: true})
		}
		if got, want := s.placement.backlog.Len(), s.gate.Stats().Running+s.gate.Stats().Queued; got != want {
			t.Fatalf("after the end of call %d: %d calls in the backlog, %d at the gate", id, got, want)
		}
	}
}

// TestClockStepDoesNotBreakTheChoice guards against the wall clock in the choice: no message
// carries an instant, and a step of the machine's clock by 2,400 s in the reducer's own time,
// which only a suspension can cause, ends the use of old numbers and no more.
func TestClockStepDoesNotBreakTheChoice(t *testing.T) {
	const step = 2400 * time.Second
	now := time.Unix(10_000, 0)
	s := placementNode(now)
	now = now.Add(3 * time.Second)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		runLocal(t, s, now, CallID(i+1), LoadReport{Known: true, Slots: 8, Slowness: 2})
	}
	for i, jumped := range []time.Time{now.Add(step), now} {
		if w := s.Step(jumped, &Tick{}).Work; w.UnitTime < 0 || w.UnitTime > time.Minute {
			t.Errorf("published %+v after step %d", w, i)
		}
	}
	w := runLocal(t, s, now.Add(2*step), 100, LoadReport{Known: true, Slots: 8, Slowness: 2})
	if w.UnitTime < 5*time.Millisecond || w.UnitTime > 80*time.Millisecond {
		t.Errorf("published %+v, want about 20 ms", w)
	}
}

// TestPublishedWorkReachesTheChoice guards against numbers that arrive with responses and are
// not used.
func TestPublishedWorkReachesTheChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placementNode(now)
	s.self.TargetClosed = true
	s.routes.Put(now, s.endpoint(s.self, false), false)
	now = now.Add(10 * time.Second)
	slow := s.peers.All()[0].Member
	counts := map[string]int{}
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		id := CallID(i + 1)
		e := s.Step(now, &CallArrived{Call: id, Origin: FromCaller, Route: lookup("map"), Replayable: true})
		if len(e.Verdicts) == 0 || e.Verdicts[0].Action != ActionForward {
			t.Fatalf("call %d: %+v, want it to be forwarded", id, e.Verdicts)
		}
		name := e.Verdicts[0].Endpoint
		work := route.Work{UnitTime: 20 * time.Millisecond, ServiceTime: 20 * time.Millisecond}
		if name == slow.Name {
			work.UnitTime = 200 * time.Millisecond
		}
		if i >= 100 {
			counts[name]++
		}
		s.Step(now.Add(5*time.Millisecond), &CallFinished{Call: id, Complete: true, Load: TargetLoad{Known: true, Work: Work{Work: work, Took: 20 * time.Millisecond}}})
	}
	if counts[slow.Name] > 20 {
		t.Errorf("the target with work waiting gets %d of 200 calls: %v", counts[slow.Name], counts)
	}
}

// TestWorkIsNotPublishedUnlessSet guards against a changed choice where operators have not asked
// for it.
func TestWorkIsNotPublishedUnlessSet(t *testing.T) {
	now := time.Unix(1000, 0)
	s := placementNode(now)
	s.placement.enabled = false
	if w := runLocal(t, s, now, 1, LoadReport{Known: true, Slots: 8, Slowness: 1}); w != (route.Work{}) {
		t.Errorf("published %+v, want nothing", w)
	}
}
