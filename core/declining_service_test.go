package core

import (
	"fmt"
	"testing"
	"time"

	"celeryshelf/core/plan"
)

// These tests simulate 6 nodes of service front and 14 of service deep, whose targets decline a
// ratio of the calls that reach them for 8.5 s, whatever their load. Calls on order (class 2) and
// view (class 0) make four calls on table at deep, one after the other.

const (
	declineDuration = 8500 * time.Millisecond
	declineWindow   = 10 * time.Second // of the limit on retries
)

var declineRates = []struct {
	route string
	rate  float64
}{{"order", 30}, {"page", 60}, {"view", 100}}

// declineOutcome is what became of the root calls that were sent while deep declined calls.
type declineOutcome struct {
	sent, served, failed, refused int // failed calls have run, refused calls have not
}

func (o declineOutcome) String() string {
	n := float64(max(1, o.sent))
	return fmt.Sprintf("served %.3f failed %.3f refused %.3f of %d", float64(o.served)/n, float64(o.failed)/n, float64(o.refused)/n, o.sent)
}

type declineRun struct {
	*simulation
	ratio    float64 // of the calls that deep declines
	from, to time.Time
	outcomes map[string]*declineOutcome // by route, of the root calls sent while deep declined calls
	after    map[string]*declineOutcome // of those sent from 1 s after it
	vain     int                        // runs on table for root calls that were not served
	calls    []time.Time                // first arrivals at deep
	repeats  []time.Time                // further arrivals
}

// newDeclineRun simulates deep declining the given ratio of calls, 12 s after the start.
func newDeclineRun(ratio float64, namesParent bool) *declineRun {
	r := &declineRun{
		simulation: newSimulationOf(6, 14, 30, true, namesParent), ratio: ratio,
		outcomes: map[string]*declineOutcome{}, after: map[string]*declineOutcome{},
	}
	r.from = r.now.Add(12 * time.Second)
	r.to = r.from.Add(declineDuration)
	for _, s := range declineRates {
		r.outcomes[s.route], r.after[s.route] = &declineOutcome{}, &declineOutcome{}
	}
	r.declines = func(hop *simHop) bool {
		if hop.route != "table" && hop.route != "page" {
			return false
		}
		first := hop
		if hop.upstream != nil {
			first = hop.upstream
		}
		if first.arrived {
			r.repeats = append(r.repeats, r.now)
		} else {
			r.calls = append(r.calls, r.now)
		}
		first.arrived = true
		return !r.now.Before(r.from) && r.now.Before(r.to) && r.random.Float64() < r.ratio
	}
	return r
}

// simulate runs the load from 10 s before the calls are declined until 4 s after.
func (r *declineRun) simulate() {
	r.run(r.from.Add(-10 * time.Second))
	until := r.to.Add(4 * time.Second)
	for _, s := range declineRates {
		r.offerRoots(s.route, s.rate, until)
	}
	r.run(until.Add(2 * time.Second))
}

// offerRoots sends root calls on a route at the given rate.
func (r *declineRun) offerRoots(route string, rate float64, until time.Time) {
	r.simulation.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if !r.now.Before(until) {
			return
		}
		r.sendRoot(route)
		r.offerRoots(route, rate, until)
	})
}

func (r *declineRun) sendRoot(route string) {
	i, id, root := r.random.IntN(len(r.nodes)), r.id(), &simRoot{}
	var outcome *declineOutcome
	switch {
	case r.now.Before(r.from):
		outcome = &declineOutcome{}
	case r.now.Before(r.to):
		outcome = r.outcomes[route]
	case r.now.After(r.to.Add(time.Second)):
		outcome = r.after[route]
	default:
		outcome = &declineOutcome{}
	}
	outcome.sent++
	hop := &simHop{node: i, route: route, name: fmt.Sprint(route, id), root: root, onEnd: func(ok, ran bool) {
		switch {
		case ok:
			outcome.served++
			return
		case ran:
			outcome.failed++
		default:
			outcome.refused++
		}
		r.vain += root.deepRuns
	}}
	r.hops[i][id] = hop
	r.step(i, &CallArrived{Call: id, Origin: FromCallerOrTarget, Route: lookup(route), RequestID: hop.name, HasKey: true, RootID: uint64(id), Timeout: time.Second, Replayable: true})
}

// checkRetryLimit fails the test if the retries in any window exceed the limit, as in
// retry.TestRetriesStayWithinServiceLimit.
func (r *declineRun) checkRetryLimit(t *testing.T) {
	t.Helper()
	limit := r.settings[0].RetryLimit
	count := func(list []time.Time, from time.Time) float64 {
		n := 0.0
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(declineWindow)) {
				n++
			}
		}
		return n
	}
	for from := r.from.Add(-declineWindow); from.Before(r.to); from = from.Add(250 * time.Millisecond) {
		calls := max(count(r.calls, from), count(r.calls, from.Add(-declineWindow/2)), count(r.calls, from.Add(-declineWindow)))
		if got, want := count(r.repeats, from), limit.Ratio*calls+limit.Slack; got > want {
			t.Fatalf("%.0f retries within 10 s, limit %.0f", got, want)
		}
	}
}

func (r *declineRun) log(t *testing.T) {
	t.Helper()
	for _, s := range declineRates {
		t.Logf("ratio %.2f %s: %s; after it: %s", r.ratio, s.route, r.outcomes[s.route], r.after[s.route])
	}
	t.Logf("ratio %.2f: %d calls at deep, %d retries, %d runs in vain", r.ratio, len(r.calls), len(r.repeats), r.vain)
}

// TestDecliningServiceKeepsRetryLimit guards against retries beyond the limit of a service whose
// targets decline calls, and against root calls that still fail a second after it is sound again.
func TestDecliningServiceKeepsRetryLimit(t *testing.T) {
	for _, ratio := range []float64{0, 0.02, 0.2, 0.45, 0.55, 0.7, 0.9} {
		for _, namesParent := range []bool{true, false} {
			t.Run(fmt.Sprintf("ratio %.2f, names parent %v", ratio, namesParent), func(t *testing.T) {
				r := newDeclineRun(ratio, namesParent)
				r.simulate()
				r.log(t)
				r.checkRetryLimit(t)
				for _, s := range declineRates {
					if o := r.after[s.route]; o.served < o.sent*99/100 {
						t.Errorf("%s, a second after deep is sound again: %s", s.route, o)
					}
				}
			})
		}
	}
}

// TestRetriesGoToTheMostImportantTrees guards against retries that are spread over all trees, of
// which then hardly any succeeds. Given to a quarter of the trees, the retries within the limit
// let 0.31 of them succeed; the calls on order are less than a quarter.
func TestRetriesGoToTheMostImportantTrees(t *testing.T) {
	for _, parallel := range []bool{false, true} {
		r := newDeclineRun(0.45, true)
		r.parallel = parallel
		r.simulate()
		r.log(t)
		r.checkRetryLimit(t)
		if o := r.outcomes["order"]; float64(o.served) < 0.31*float64(o.sent) {
			t.Errorf("order, child calls at once %v: %s; want at least 0.31 served", parallel, o)
		}
	}
}

// TestDeclinedRatioLapsesWithThePlan guards against retries that are rationed by a plan that is
// not renewed.
func TestDeclinedRatioLapsesWithThePlan(t *testing.T) {
	s, now := New(Settings{Self: testMember(0), RandomSeed: 1, PlannedAdmission: true}), time.Unix(1000, 0)
	s.Step(now, &ManifestStored{Manifest: compiled(keylessManifest())})
	s.Step(now, &MessageReceived{From: "n1", Body: &Sync{Self: testMember(1)}})
	s.Step(now, &MessageReceived{From: "n1", Body: &Plan{Declining: []plan.DeclinedRatio{{Service: "maps", Ratio: 0.9}}}})
	if !s.declining(now, "maps") {
		t.Error("the plan's ratio is not applied")
	}
	later := now.Add(planTTL + sweepInterval)
	s.Step(later, &Tick{})
	if got := s.Status().DeclinedRatio; got != 0 || s.declining(later, "maps") {
		t.Errorf("declined ratio %.2f after the plan has lapsed, want 0", got)
	}
}

// TestPlannerLostWhileCallsAreDeclined guards against a plan that is kept, or not made again, when
// the planner receives nothing more from the middle of the fault on.
func TestPlannerLostWhileCallsAreDeclined(t *testing.T) {
	r := newDeclineRun(0.9, true)
	r.simulation.after(14*time.Second, func() {
		lost := r.nodes[0].plannerName(r.now)
		r.unreachable = func(to int) bool { return r.nodes[to].self.Name == lost }
	})
	r.simulate()
	r.log(t)
	r.checkRetryLimit(t)
	for _, route := range []string{"order", "view"} {
		if o := r.after[route]; o.served < o.sent*99/100 {
			t.Errorf("%s, a second after deep is sound again: %s", route, o)
		}
	}
}
