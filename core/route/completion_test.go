package route

import (
	"fmt"
	"testing"
	"time"
)

const testUnit = 40 * time.Millisecond

// newCompletionTable returns a table of a node in domain d0 with n endpoints in three domains
// that all publish the same work.
func newCompletionTable(now time.Time, n int) *Table {
	t := NewTable("self", "d0")
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		t.Put(now.Add(-time.Minute), Endpoint{Name: name, Service: "s", Domain: fmt.Sprintf("d%d", i%3), Slots: 10}, false)
		e := t.Find("s", name)
		e.CallStarted()
		e.CallAnswered(testUnit)
		e.SetWork(now, Work{UnitTime: testUnit, ServiceTime: testUnit})
	}
	return t
}

// shares returns the share of calls that each endpoint gets if the work stays as published.
func shares(t *Table, now time.Time, cost float64) map[string]float64 {
	const calls = 600
	got := map[string]float64{}
	for n := range uint64(calls) {
		got[t.PickByCompletion(now, "s", n*0x9e3779b97f4a7c15, cost, nil).Name]++
	}
	for name := range got {
		got[name] /= calls
	}
	return got
}

// TestCompletionTimeDecides guards against calls that go to a target with more work, to a
// failing one, or to another domain without need.
func TestCompletionTimeDecides(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name        string
		prepare     func(t *Table)
		cost        float64
		endpoint    string
		least, most float64
	}{
		{"own domain if alike", func(*Table) {}, 1, "e0", 0.99, 1},
		{"own domain with more work", func(t *Table) {
			t.Find("s", "e0").SetWork(now, Work{UnitTime: 2 * testUnit, ServiceTime: testUnit})
		}, 1, "e0", 0, 0},
		{"a fast target with a short queue is worse for small calls", func(t *Table) {
			t.Find("s", "e1").SetWork(now, Work{UnitTime: testUnit, ServiceTime: testUnit / 4})
		}, 0.1, "e1", 0, 0},
		{"and better for large ones", func(t *Table) {
			t.Find("s", "e1").SetWork(now, Work{UnitTime: testUnit, ServiceTime: testUnit / 4})
		}, 8, "e1", 0.99, 1},
		{"failing", func(t *Table) {
			e := t.Find("s", "e0")
			e.SetWork(now, Work{UnitTime: testUnit / 2, ServiceTime: testUnit / 2})
			for range 50 {
				e.RecordResult(now, true)
			}
		}, 1, "e0", 0, 0},
		{"calls sent since", func(t *Table) {
			for range 10 {
				t.Find("s", "e0").CallStarted()
			}
		}, 1, "e0", 0, 0},
	} {
		table := newCompletionTable(now, 3)
		tt.prepare(table)
		if got := shares(table, now, tt.cost)[tt.endpoint]; got < tt.least || got > tt.most {
			t.Errorf("%s: %s gets a share of %.2f, want %.2f to %.2f", tt.name, tt.endpoint, got, tt.least, tt.most)
		}
	}
}

// TestChoiceWithoutPublishedNumbers guards against a change of the choice where endpoints
// publish nothing, and after they have stopped.
func TestChoiceWithoutPublishedNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	stopped := newCompletionTable(now, 6)
	stopped.Find("s", "e0").SetWork(now, Work{UnitTime: 10 * testUnit, ServiceTime: testUnit})
	later := now.Add(maxUnitTimeAge + time.Millisecond)
	never := NewTable("self", "d0")
	for _, e := range stopped.services["s"].all {
		never.Put(now.Add(-time.Minute), Endpoint{Name: e.Name, Service: "s", Domain: e.Domain, Slots: 10}, false)
	}
	for n := range uint64(200) {
		seed := n * 0x9e3779b97f4a7c15
		for name, table := range map[string]*Table{"stopped": stopped, "never": never} {
			if got, want := table.PickByCompletion(later, "s", seed, 1, nil), table.Pick(later, "s", seed, nil); got != want {
				t.Fatalf("%s, seed %d: %s, want %s", name, seed, got.Name, want.Name)
			}
		}
	}
}

// TestOldNodeAmongNewOnes guards against an endpoint that publishes nothing and therefore gets
// all calls or none.
func TestOldNodeAmongNewOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newCompletionTable(now, 6)
	e := table.Find("s", "e3") // in the own domain
	e.published = published{}
	got := 0
	for n := range uint64(400) {
		picked := table.PickByCompletion(now, "s", n*0x9e3779b97f4a7c15, 1, nil)
		picked.CallStarted()
		picked.CallAnswered(testUnit)
		picked.SetWork(now, Work{UnitTime: testUnit, ServiceTime: testUnit})
		if picked == e {
			e.published = published{}
			got++
		}
	}
	if got < 20 || got > 380 {
		t.Errorf("the endpoint that publishes nothing gets %d of 400 calls", got)
	}
}

// TestNumbersOutOfOrder guards against an older number, which came with a response whose body
// took long, that replaces a newer one.
func TestNumbersOutOfOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Endpoint{}
	e.SetWork(now, Work{UnitTime: testUnit, ServiceTime: testUnit})
	e.SetWork(now.Add(-time.Second), Work{UnitTime: 9 * testUnit, ServiceTime: testUnit})
	if c, ok := e.completion(now, 1); !ok || c != float64(testUnit) {
		t.Errorf("completion in %v, want %v", time.Duration(c), testUnit)
	}
}

// TestOldNumberFadesToTheUsual guards against nodes that all keep to, or keep away from, a
// target because of what it published a while ago.
func TestOldNumberFadesToTheUsual(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Endpoint{Slots: 10}
	for i := range 200 {
		e.SetWork(now.Add(time.Duration(i)*time.Millisecond), Work{UnitTime: testUnit, ServiceTime: testUnit})
	}
	now = now.Add(200 * time.Millisecond)
	e.SetWork(now, Work{UnitTime: 9 * testUnit, ServiceTime: testUnit})
	fresh, _ := e.completion(now, 1)
	old, _ := e.completion(now.Add(unitTimeLife), 1)
	if old > 0.7*fresh || old < float64(testUnit) {
		t.Errorf("%v at once, %v after %v", time.Duration(fresh), time.Duration(old), unitTimeLife)
	}
}

// TestKilledNodeGetsNoCalls guards against the last number of a node that was killed: an idle
// target looks best for ever.
func TestKilledNodeGetsNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newCompletionTable(now, 3)
	e := table.Find("s", "e0")
	e.SetWork(now, Work{UnitTime: time.Millisecond, ServiceTime: time.Millisecond})
	e.CallStarted()
	e.ConnectionLost(now)
	if got := shares(table, now.Add(time.Second), 1)["e0"]; got != 0 {
		t.Errorf("the killed node gets a share of %.2f", got)
	}
	table.Put(now, Endpoint{Name: "e0", Service: "s", Domain: "d0", Slots: 10, TargetStartMilli: 1}, true)
	if _, ok := e.completion(now, 1); ok {
		t.Error("a restarted node is compared by what it published before")
	}
}

// TestDemandOfOneDomainReachesAllTargets guards against targets that stay idle while the nodes
// of one domain, each with a few usual endpoints, have more calls than these can run.
func TestDemandOfOneDomainReachesAllTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newCompletionTable(now, 24)
	for _, e := range table.services["s"].choice {
		e.SetWork(now, Work{UnitTime: 5 * testUnit, ServiceTime: testUnit})
	}
	got := shares(table, now, 1)
	for _, e := range table.services["s"].all {
		usual := false
		for _, c := range table.services["s"].choice {
			usual = usual || c == e
		}
		if !usual && got[e.Name] == 0 {
			t.Errorf("%s gets no call although all usual endpoints have work waiting", e.Name)
		}
	}
}

// TestColdEndpointGetsItsShareByCompletion guards against a cold target that gets more calls
// than it tolerates because it has no work waiting.
func TestColdEndpointGetsItsShareByCompletion(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newCompletionTable(now, 3)
	e := table.Find("s", "e0")
	e.ColdRate, e.RampDuration = 25, 10*time.Second // 25 a second of the 250 that ten slots can run
	e.SetColdFor(now, 10*time.Second)
	if got := shares(table, now.Add(time.Second), 1)["e0"]; got < 0.03 || got > 0.2 {
		t.Errorf("the cold endpoint gets a share of %.2f, want about 0.1", got)
	}
}

// TestSlowLinkIsAvoided guards against calls that go on to an endpoint behind a slow link: its
// node publishes the work there and knows nothing of the way.
func TestSlowLinkIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("self", "a")
	for _, name := range []string{"slow", "other"} {
		table.Put(now.Add(-time.Minute), Endpoint{Name: name, Service: "s", Domain: "a", Slots: 100}, false)
	}
	slow, other := table.Find("s", "slow"), table.Find("s", "other")
	publish := func(at time.Time) {
		slow.SetWork(at, Work{UnitTime: 50 * time.Millisecond, ServiceTime: 50 * time.Millisecond})
		other.SetWork(at, Work{UnitTime: 60 * time.Millisecond, ServiceTime: 60 * time.Millisecond})
	}
	publish(now)
	if e := table.PickByCompletion(now, "s", 1, 1, nil); e != slow {
		t.Fatalf("got %s, want the endpoint that completes sooner", e.Name)
	}
	slow.RecordTransit(now, 300*time.Millisecond)
	if e := table.PickByCompletion(now, "s", 1, 1, nil); e != other {
		t.Errorf("got %s, want the endpoint that is not behind a slow link", e.Name)
	}
	later := now.Add(5 * transitHalfLife)
	publish(later)
	if e := table.PickByCompletion(later, "s", 1, 1, nil); e != slow {
		t.Errorf("got %s, want the endpoint behind the link to be tried again", e.Name)
	}
}
