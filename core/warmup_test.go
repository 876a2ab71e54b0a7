package core

import (
	"testing"
	"time"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
	"celeryshelf/core/warmup"
)

const (
	testColdRate = 13
	testColdTime = 10 * time.Second
)

// testBound is the bound of the platform's settings: 27.5 calls per second at testColdRate.
var testBound = warmup.Bound{Overshoot: 1.5, Slack: 8}

// coldManifest returns a manifest whose only service has cold targets.
func coldManifest() manifest.Versioned {
	v := keylessManifest()
	v.Manifest.Services[0].ColdRate = testColdRate
	v.Manifest.Services[0].ColdDuration.Duration = testColdTime
	return v
}

// warmupNode is a node beside a target that answers each call at once.
type warmupNode struct {
	*State
	now    time.Time
	lastID CallID
	runs   []time.Time // calls that reached the target and were not misdirected
	report TargetReport
}

func warmupSettings() Settings {
	return Settings{Self: testMember(0), RandomSeed: 1, TargetHeartbeats: true, PlannedAdmission: true, WarmupBound: testBound}
}

func newWarmupNode() *warmupNode {
	return &warmupNode{now: time.Unix(1000, 0), State: New(warmupSettings())}
}

// start lets the node know the manifest and what an earlier process has stored.
func (n *warmupNode) start() *warmupNode {
	n.Step(n.now, &ManifestStored{Manifest: compiled(coldManifest())})
	n.Step(n.now, &StoreSnapshot{})
	return n
}

func (n *warmupNode) heartbeat(start int64, sequence uint64, remaining time.Duration) {
	n.step(&HeartbeatReceived{Heartbeat: Heartbeat{InstanceID: "t", StartUnixMilli: start, Sequence: sequence, Slots: 40, WarmupRemaining: remaining}})
}

// warm makes the target one that has said twice that it is warm.
func (n *warmupNode) warm() *warmupNode {
	n.heartbeat(1, 1, 0)
	n.heartbeat(1, 2, 0)
	return n
}

func (n *warmupNode) step(e Event) []Verdict {
	verdicts := append([]Verdict(nil), n.Step(n.now, e).Verdicts...)
	for _, v := range verdicts {
		if v.Action == ActionRun {
			n.run(v)
		}
	}
	return verdicts
}

func (n *warmupNode) run(v Verdict) {
	if n.report.Misdirected {
		n.step(&AttemptFailed{Call: v.Call, Cause: CauseTargetOverloaded, Report: n.report})
		return
	}
	n.runs = append(n.runs, n.now)
	n.step(&CallFinished{Call: v.Call, Complete: true, Report: n.report})
}

// call sends a call from another node, with the given time left.
func (n *warmupNode) call(timeout time.Duration) []Verdict {
	n.lastID++
	return n.step(&CallArrived{Call: n.lastID, Origin: FromNode, Context: CallContext{Endpoint: "n0", Route: "map", Timeout: timeout}})
}

// offer sends 200 calls per second, each with 500 ms left, and returns how many have reached
// the target.
func (n *warmupNode) offer(d time.Duration) int {
	before := len(n.runs)
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(5 * time.Millisecond) {
		n.step(&Tick{})
		n.call(500 * time.Millisecond)
	}
	return len(n.runs) - before
}

// recentRuns returns the number of calls that reached the target within the second up to now.
func (n *warmupNode) recentRuns() int {
	i := len(n.runs)
	for i > 0 && n.now.Sub(n.runs[i-1]) < time.Second {
		i--
	}
	return len(n.runs) - i
}

// TestTargetColdTwice guards against a target that becomes cold again under the same instance
// ID and gets its full load.
func TestTargetColdTwice(t *testing.T) {
	n := newWarmupNode().start().warm()
	if got := n.offer(time.Second); got < 190 {
		t.Fatalf("a warm target gets %d of 200 calls", got)
	}
	for i := range uint64(2) {
		n.heartbeat(1, 10+10*i, testColdTime)
		n.now = n.now.Add(1100 * time.Millisecond)
		if got := n.offer(3 * time.Second); got < 30 || got > 3*testColdRate {
			t.Errorf("cold period %d: %d calls in 3 s, want 30 to %d", i+1, got, 3*testColdRate)
		}
		n.offer(2 * testColdTime)
		if got := n.offer(time.Second); got < 190 {
			t.Errorf("after cold period %d the target gets %d of 200 calls", i+1, got)
		}
	}
}

// TestOldHeartbeatDoesNotWarmTheTarget guards against a heartbeat that was sent before the
// target became cold and arrives after one that says so.
func TestOldHeartbeatDoesNotWarmTheTarget(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.heartbeat(2, 1, 8*time.Second)
	n.heartbeat(2, 3, 7*time.Second)
	n.heartbeat(1, 99, 0)
	n.heartbeat(2, 2, 0)
	if got := n.offer(time.Second); got > testColdRate {
		t.Errorf("%d calls in a second, want at most %d", got, testColdRate)
	}
}

// TestLateHeartbeatCountsEarlierCalls guards against a target that gets a further second's
// calls after the heartbeat that says that it is cold, which arrives seconds late under load.
func TestLateHeartbeatCountsEarlierCalls(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.offer(2 * time.Second)
	n.heartbeat(1, 3, 8*time.Second)
	if got := n.offer(950 * time.Millisecond); got != 0 {
		t.Errorf("%d calls in the second that has already had its calls, want 0", got)
	}
	n.now = n.now.Add(100 * time.Millisecond)
	if got := n.offer(time.Second); got < 1 || got > testColdRate {
		t.Errorf("%d calls in the next second, want 1 to %d", got, testColdRate)
	}
}

// TestRestartedNodeBesideColdTarget guards against a node that has just started and, before it
// knows the manifest or any but the first heartbeat, gives a cold target any load.
func TestRestartedNodeBesideColdTarget(t *testing.T) {
	for name, first := range map[string]time.Duration{"cold by the first heartbeat": 8 * time.Second, "first heartbeat overtaken": 0} {
		n := newWarmupNode()
		n.Step(n.now, &StoreSnapshot{})
		n.heartbeat(1, 7, first)
		if got := n.offer(time.Second); got > int(testBound.Slack) {
			t.Errorf("%s: %d calls in a second without a manifest, want at most %g", name, got, testBound.Slack)
		}
		n.start()
		if got := n.offer(time.Second); got < 1 || n.recentRuns() > testColdRate {
			t.Errorf("%s: %d calls in a second, want 1 to %d", name, n.recentRuns(), testColdRate)
		}
	}
}

// TestNewInstanceIsColdUntilALaterReport guards against the first calls to a new instance that
// come before it has said that it is cold, and against a fleet that starts warm and stays
// limited.
func TestNewInstanceIsColdUntilALaterReport(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.heartbeat(2, 1, 0)
	n.now = n.now.Add(1100 * time.Millisecond)
	if got := n.offer(400 * time.Millisecond); got < 1 || got > testColdRate {
		t.Errorf("a new instance gets %d calls, want 1 to %d", got, testColdRate)
	}
	n.heartbeat(2, 2, 0)
	if got := n.offer(time.Second); got < 190 {
		t.Errorf("a new instance that is warm gets %d of 200 calls", got)
	}
}

// TestUnreachableTargetIsCold guards against a target that has stopped and started between two
// heartbeats and gets its full load.
func TestUnreachableTargetIsCold(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.lastID++
	n.Step(n.now, &CallArrived{Call: n.lastID, Origin: FromNode, Context: CallContext{Endpoint: "n0", Route: "map", Timeout: time.Second}})
	n.Step(n.now, &AttemptFailed{Call: n.lastID, Cause: CauseUnreachable})
	n.now = n.now.Add(2 * time.Second)
	if got := n.offer(time.Second); got < 1 || got > testColdRate {
		t.Errorf("%d calls in a second, want 1 to %d", got, testColdRate)
	}
}

// TestSilentTargetIsCold guards against a target that was away with its node, as in the loss of a
// domain, and gets its full load when both are back, and against a limit that a heartbeat does
// not end.
func TestSilentTargetIsCold(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.now = n.now.Add(silenceLimit - time.Second)
	if got := n.offer(500 * time.Millisecond); got < 95 {
		t.Errorf("%d of 100 calls reach a target whose heartbeat is late", got)
	}
	n.now = n.now.Add(silenceLimit)
	if got := n.offer(time.Second); got < 1 || got > testColdRate {
		t.Errorf("%d calls in a second after the silence, want 1 to %d", got, testColdRate)
	}
	n.heartbeat(1, 3, 0)
	if got := n.offer(time.Second); got < 190 {
		t.Errorf("%d of 200 calls reach the target after a heartbeat", got)
	}
}

// TestRefusalTellsSendersThatTheTargetIsCold guards against senders whose calls are refused until
// the announcement has reached them.
func TestRefusalTellsSendersThatTheTargetIsCold(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.heartbeat(1, 3, testColdTime)
	for range testColdRate {
		n.call(time.Second)
	}
	refused := n.call(time.Second)
	if len(refused) != 1 || refused[0].Reason != ReasonTargetCold || refused[0].Executed != ExecutedNo || refused[0].Inputs.ColdFor != testColdTime {
		t.Fatalf("got %+v, want a refusal as not executed that tells the cold period", refused)
	}
	sender := New(Settings{Self: testMember(1), PlannedAdmission: true})
	sender.Step(n.now, &ManifestStored{Manifest: compiled(coldManifest())})
	peer := testMember(0)
	peer.Slots = 40
	sender.Step(n.now, &MemberStored{Member: peer})
	e := sender.routes.Find("maps", "n0")
	c := &call{phase: phaseForwarded, endpoint: e, attemptStart: n.now}
	c.recordEndpointLoad(n.now, TargetLoad{Known: true, ColdFor: refused[0].Inputs.ColdFor})
	local := 0
	for id := range CallID(100) {
		if sender.routes.Pick(n.now, "maps", hashUint64(uint64(id)), nil).Local {
			local++
		}
	}
	if local < 95 {
		t.Errorf("%d of 100 calls avoid the cold target, want at least 95", local)
	}
}

// TestResponseReportsTheColdPeriod guards against a report in a response that is not used until
// a heartbeat confirms it.
func TestResponseReportsTheColdPeriod(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.report = TargetReport{WarmupKnown: true, WarmupRemaining: 5 * time.Second}
	n.offer(100 * time.Millisecond)
	n.report = TargetReport{}
	if got := len(n.runs); got != testColdRate {
		t.Errorf("%d of 20 calls reach a target whose first response says that it is cold, want %d", got, testColdRate)
	}
}

// TestMisdirectedCallsDoNotCount guards against a cold target that gets no calls because those
// that it has rejected with status 421 count.
func TestMisdirectedCallsDoNotCount(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.heartbeat(1, 3, testColdTime)
	n.report = TargetReport{Misdirected: true}
	for range 3 * testColdRate {
		n.now = n.now.Add(time.Millisecond)
		n.call(time.Second)
	}
	n.report = TargetReport{}
	if got := n.offer(900 * time.Millisecond); got < testColdRate {
		t.Errorf("%d calls in a second, want %d", got, testColdRate)
	}
}

// TestNothingChangesWithoutAColdRate guards against limits on services without a rate for cold
// targets, and on nodes without the setting.
func TestNothingChangesWithoutAColdRate(t *testing.T) {
	withoutRate := newWarmupNode()
	withoutRate.Step(withoutRate.now, &ManifestStored{Manifest: compiled(keylessManifest())})
	withoutRate.Step(withoutRate.now, &StoreSnapshot{})
	withoutSetting := newWarmupNode().start()
	withoutSetting.Step(withoutSetting.now, &SettingsChanged{})
	for name, n := range map[string]*warmupNode{"no rate": withoutRate, "no setting": withoutSetting} {
		n.heartbeat(1, 1, testColdTime)
		if got := n.offer(time.Second); got < 190 {
			t.Errorf("%s: %d of 200 calls reach the target", name, got)
		}
		if n.self.ColdFor != 0 {
			t.Errorf("%s: the node announces that its target is cold for %s", name, n.self.ColdFor)
		}
	}
}

// TestHeldBackCallStartsWhenTheRateAllows guards against a call that waits for the rate limit
// and is forgotten, or not seen by the ticks until its deadline.
func TestHeldBackCallStartsWhenTheRateAllows(t *testing.T) {
	n := newWarmupNode().start().warm()
	n.heartbeat(1, 3, testColdTime)
	for range testColdRate {
		n.call(time.Second)
	}
	if got := n.call(10 * time.Second); len(got) != 0 {
		t.Fatalf("a call with 10 s left got %+v, want it queued", got)
	}
	began := n.now
	for len(n.runs) == testColdRate && n.now.Sub(began) < 2*time.Second {
		n.now = n.now.Add(n.NextTickDelay(n.now))
		n.step(&Tick{})
	}
	if waited := n.now.Sub(began); waited < time.Second || waited > 1100*time.Millisecond {
		t.Errorf("the call waited %s, want 1 to 1.1 s", waited)
	}
}

// TestColdTargetIsAnnounced guards against senders that do not hear that a target is cold, and
// against an announcement, which costs a write to the store, with each heartbeat.
func TestColdTargetIsAnnounced(t *testing.T) {
	n := newWarmupNode().start().warm()
	revision := n.self.Revision
	for i := range 6 {
		left := testColdTime - time.Duration(i)*1500*time.Millisecond
		n.heartbeat(1, uint64(10+i), left+time.Duration(i%2)*200*time.Millisecond)
		n.now = n.now.Add(1500 * time.Millisecond)
	}
	if n.self.ColdFor != testColdTime || n.self.Revision != revision+1 {
		t.Errorf("cold for %s with %d announcements, want %s with 1", n.self.ColdFor, n.self.Revision-revision, testColdTime)
	}
	for range 30 {
		n.now = n.now.Add(time.Second)
		n.step(&Tick{})
	}
	if n.self.ColdFor != 0 || n.self.Revision != revision+2 {
		t.Errorf("after the warm-up: cold for %s with %d announcements, want 0 with 2", n.self.ColdFor, n.self.Revision-revision)
	}
}

// TestColdTargetReportsSmallCapacity guards against a plan that admits calls for the slots of
// a target that cannot use them.
func TestColdTargetReportsSmallCapacity(t *testing.T) {
	n := newWarmupNode().start().warm()
	if got := n.targetLoad(time.Second).Slots; got != 38 {
		t.Errorf("a warm target reports %g slots, want 38", got)
	}
	n.heartbeat(1, 3, testColdTime)
	if got := n.targetLoad(time.Second).Slots; got <= 0 || got > testColdRate*0.05 {
		t.Errorf("a cold target reports %g slots, want at most %g", got, testColdRate*0.05)
	}
}

// TestColdTargetRefusalUsesNoRetries guards against a refusal by a cold target that counts as an
// attempt: no target was reached.
func TestColdTargetRefusalUsesNoRetries(t *testing.T) {
	c := &call{origin: FromCaller, replayable: true, deadline: time.Unix(2000, 0), level: admit.MaxLevel}
	s := New(Settings{Self: testMember(0)})
	if !s.mayRetry(time.Unix(1000, 0), c, CauseRejected, ReasonTargetCold) || c.targetAttempts != 0 {
		t.Error("a call that a cold target has refused is not placed elsewhere")
	}
}

// TestReopenedTargetIsColdUntilALaterReport guards against a target that gets its full load when
// the evacuation of its domain ends, and against one that stays limited.
func TestReopenedTargetIsColdUntilALaterReport(t *testing.T) {
	settings := warmupSettings()
	settings.Evacuation = 5 * time.Second
	n := newWarmupNode()
	n.State = New(settings)
	n.start()
	n.Step(n.now, &EvacuationsStored{Set: testSet(1), At: n.now})
	n.warm()
	n.Step(n.now, &EvacuationsStored{Set: testSet(2, "d0"), At: n.now})
	if got := n.offer(2 * time.Second); got != 0 {
		t.Fatalf("%d calls reach the target of an evacuated domain", got)
	}
	n.Step(n.now, &EvacuationsStored{Set: testSet(3), At: n.now})
	if got := n.offer(time.Second); got < 1 || got > testColdRate {
		t.Errorf("%d calls in a second, want 1 to %d", got, testColdRate)
	}
	n.heartbeat(1, 3, 0)
	if got := n.offer(time.Second); got < 190 {
		t.Errorf("%d of 200 calls reach the target after a heartbeat", got)
	}
}
