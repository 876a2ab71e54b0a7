package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oracleCall is the oracle's model of a call at the node under test.
type oracleCall struct {
	atMostOnce   bool
	hasWorkspace bool
	inFlight     bool // an attempt is in progress
	local        bool // the attempt runs at the local target
	attempts     int
	executed     Executed
	lastReason   Reason
	parent       CallID
	root         CallID
}

// oracle checks every verdict against the guarantees for calls.
type oracle struct {
	t             *rapid.T
	s             *State
	now           time.Time
	calls         map[CallID]*oracleCall
	extraAttempts map[CallID]int // extra attempts by a root call's tree at this node
	nextID        CallID
	retries       int
}

func (o *oracle) step(e Event) {
	for _, v := range o.s.Step(o.now, e).Verdicts {
		o.verdict(v)
	}
	running := 0
	for _, c := range o.calls {
		if c.inFlight && c.local {
			running++
		}
	}
	if got := o.s.Status().Gate.Running; got != running {
		o.t.Fatalf("the gate counts %d running calls, want %d", got, running)
	}
}

func (o *oracle) verdict(v Verdict) {
	c, ok := o.calls[v.Call]
	if !ok {
		if v.Action != ActionSettle {
			o.t.Fatalf("verdict %s on call %d, which has ended", v.Action, v.Call)
		}
		return
	}
	switch v.Action {
	case ActionRun, ActionForward:
		o.attempt(c, v)
	case ActionRefuse:
		if v.Executed < c.executed {
			o.t.Fatalf("call %d refused with ran=%s after ran=%s was reported", v.Call, v.Executed, c.executed)
		}
		if c.inFlight {
			o.t.Fatalf("call %d refused while an attempt is in progress", v.Call)
		}
		delete(o.calls, v.Call)
	case ActionDeliver, ActionReplay, ActionSettle:
	}
}

func (o *oracle) attempt(c *oracleCall, v Verdict) {
	if c.inFlight {
		o.t.Fatalf("call %d got another attempt while one is in progress", v.Call)
	}
	if c.atMostOnce && c.executed != ExecutedNo {
		o.t.Fatalf("at-most-once call %d got another attempt after ran=%s", v.Call, c.executed)
	}
	if c.hasWorkspace != (v.Context.Workspace == "bo-lieu") {
		o.t.Fatalf("call %d runs for workspace %q", v.Call, v.Context.Workspace)
	}
	if c.attempts > 0 && !isRedirect(c.lastReason) {
		o.extraAttempts[c.root]++
	}
	if o.extraAttempts[c.root] > o.retries {
		o.t.Fatalf("the tree of call %d has made %d extra attempts", c.root, o.extraAttempts[c.root])
	}
	c.attempts++
	if c.attempts > maxAttempts {
		o.t.Fatalf("call %d has reached attempt %d", v.Call, c.attempts)
	}
	c.inFlight, c.local = true, v.Action == ActionRun
}

// pickCall draws one of the open calls that match the predicate.
func (o *oracle) pickCall(match func(c *oracleCall) bool) (CallID, *oracleCall) {
	var ids []CallID
	for id := CallID(1); id <= o.nextID; id++ {
		if c, ok := o.calls[id]; ok && match(c) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		o.t.Skip("no such call")
	}
	id := rapid.SampledFrom(ids).Draw(o.t, "call")
	return id, o.calls[id]
}

func (o *oracle) arrive(a CallArrived, c oracleCall) {
	o.nextID++
	a.Call = o.nextID
	if c.root == 0 {
		c.root = a.Call
	}
	a.Replayable = rapid.Bool().Draw(o.t, "replayable")
	o.calls[a.Call] = &c
	o.step(&a)
}

// TestCallGuarantees drives one node's reducer with calls from all origins, all
// kinds of failure and the passing of time. It guards against overlapping attempts
// of a call, a second run of an at-most-once call, a call that runs for the wrong
// workspace, a refusal that denies a run that was reported, retries beyond the
// budget and a gate that counts running calls wrongly.
func TestCallGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testManifest(500, 500)
		for i := range m.Manifest.Routes {
			m.Manifest.Routes[i].Public = true // calls without a key need no token
		}
		o := &oracle{
			t: t, s: New(Settings{Self: testMember(0)}), now: time.Unix(1000, 0),
			calls: map[CallID]*oracleCall{}, extraAttempts: map[CallID]int{}, retries: m.Manifest.RetryBudget,
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "peers") {
			o.step(&MemberStored{Member: testMember(i + 1)})
		}
		o.step(&ManifestStored{Manifest: compiled(m)})
		t.Repeat(map[string]func(*rapid.T){
			"caller": func(t *rapid.T) { o.t = t; o.fromCaller() },
			"node":   func(t *rapid.T) { o.t = t; o.fromNode() },
			"target": func(t *rapid.T) { o.t = t; o.fromTarget() },
			"fail":   func(t *rapid.T) { o.t = t; o.fail() },
			"finish": func(t *rapid.T) { o.t = t; o.finish() },
			"cancel": func(t *rapid.T) { o.t = t; o.cancel() },
			"time": func(t *rapid.T) {
				o.t = t
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				o.step(&Tick{})
			},
		})
	})
}

func (o *oracle) fromCaller() {
	route := rapid.SampledFrom([]string{"map", "order"}).Draw(o.t, "route")
	o.arrive(CallArrived{Route: lookup(route), RootID: uint64(o.nextID)}, oracleCall{atMostOnce: route == "order"})
}

func (o *oracle) fromNode() {
	atMostOnce := rapid.Bool().Draw(o.t, "at most once")
	o.arrive(CallArrived{Origin: FromNode, Context: CallContext{
		Endpoint: "n0", Workspace: "bo-lieu", Route: "map", AtMostOnce: atMostOnce,
		RetryBudget: o.retries, Timeout: 2 * time.Second,
	}}, oracleCall{atMostOnce: atMostOnce, hasWorkspace: true})
}

func (o *oracle) fromTarget() {
	id, p := o.pickCall(func(c *oracleCall) bool { return c.inFlight && c.local })
	route := rapid.SampledFrom([]string{"map", "order"}).Draw(o.t, "route")
	o.arrive(CallArrived{
		Origin: FromTarget, ParentCall: id, Route: lookup(route),
		RequestHash: rapid.Uint64Range(1, 3).Draw(o.t, "request"),
	}, oracleCall{atMostOnce: route == "order", hasWorkspace: p.hasWorkspace, parent: id, root: p.root})
}

func (o *oracle) fail() {
	id, c := o.pickCall(func(c *oracleCall) bool { return c.inFlight })
	f := &AttemptFailed{Call: id, Cause: Cause(rapid.IntRange(0, int(CauseTimeout)).Draw(o.t, "cause"))}
	if f.Cause == CauseUnreachable || f.Cause == CauseRejected && rapid.Bool().Draw(o.t, "not executed") {
		f.Executed = ExecutedNo
	} else {
		f.Executed = ExecutedUnknown
	}
	if f.Cause == CauseRejected {
		f.Reason = rapid.SampledFrom([]Reason{ReasonOverloaded, ReasonDraining, ReasonAttemptFailed}).Draw(o.t, "reason")
	}
	f.UnspentRetries = rapid.IntRange(0, 5).Draw(o.t, "unspent")
	c.inFlight, c.executed, c.lastReason = false, max(c.executed, f.Executed), reasonForFailure(f)
	o.step(f)
}

func (o *oracle) finish() {
	id, c := o.pickCall(func(c *oracleCall) bool { return c.inFlight })
	c.inFlight = false
	delete(o.calls, id)
	o.step(&CallFinished{Call: id, Complete: rapid.Bool().Draw(o.t, "complete"), UnspentRetries: rapid.IntRange(0, 5).Draw(o.t, "unspent")})
}

func (o *oracle) cancel() {
	id, c := o.pickCall(func(*oracleCall) bool { return true })
	c.inFlight = false
	delete(o.calls, id)
	o.step(&CallCanceled{Call: id})
}
