package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tokenBucket is the oracle: a token bucket that starts full never becomes negative if and
// only if no window of any length t contains more than rate*t + burst calls.
type tokenBucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	b.tokens--
	return b.tokens > -1e-6
}

// TestWorkspaceNeverExceedsRateAndBurst injects process pauses, with and without a stopped
// clock, partitions, store outages and delayed watches into a fleet, and checks the calls
// that all nodes together admit.
func TestWorkspaceNeverExceedsRateAndBurst(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(20, 200).Draw(t, "rate"))
		burst := int(rate * rapid.Float64Range(0.2, 2).Draw(t, "burst seconds"))
		f := newTestFleet(t, 3, testManifest(rate, burst))
		oracle := &tokenBucket{rate: rate, burst: float64(burst), tokens: float64(burst), last: f.now}
		f.onAdmit = func(node int, _ Verdict) {
			total++
			if !oracle.take(f.now) {
				t.Fatalf("a call admitted by node %d exceeds the rate and burst", node)
			}
		}
		f.advance(4 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			injectFault(t, f)
			demandRatio := rapid.SampledFrom([]float64{0.1, 0.5, 2, 8}).Draw(t, "demand ratio")
			for range rapid.IntRange(5, 80).Draw(t, "steps") {
				offerCalls(f, rate*demandRatio)
				f.advance(5 * testTickInterval)
			}
			removeFaults(t, f)
		}
	})
	if total == 0 {
		t.Error("no call was admitted in any run")
	}
}

// offerCalls sends the calls of five ticks at a rate, spread over the nodes that are not
// paused.
func offerCalls(f *testFleet, rate float64) {
	n := int(rate*(5*testTickInterval).Seconds()) + 1
	for k := range n {
		if i := k % len(f.nodes); !f.nodes[i].paused {
			f.call(i, "map")
		}
	}
}

// injectFault pauses or partitions a node, stops the store, delays a watch or does nothing.
func injectFault(t *rapid.T, f *testFleet) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		n.paused, n.clockFrozen = true, true
	case 1:
		n.paused, n.clockFrozen = true, false
	case 2:
		n.partitioned = true
	case 3:
		f.storeDown = true
	case 4:
		n.watchDelay = time.Duration(rapid.IntRange(0, 200).Draw(t, "watch delay")) * testTickInterval
	}
}

// removeFaults removes a random part of the faults.
func removeFaults(t *rapid.T, f *testFleet) {
	f.storeDown = f.storeDown && rapid.Bool().Draw(t, "store down")
	for _, n := range f.nodes {
		n.paused = n.paused && rapid.Bool().Draw(t, "paused")
		n.partitioned = n.partitioned && rapid.Bool().Draw(t, "partitioned")
		if rapid.Bool().Draw(t, "watch caught up") {
			n.watchDelay = 0
		}
	}
}

// TestOwnerWithFrozenClockGrantsNoTokens pauses an owner and its clock, as when its VM is
// suspended, until its lease has expired. After it resumes, its own clock says that the lease
// is still valid, and a node that has not heard of the new owner still asks the old one:
// tokens granted by both owners would exceed the rate.
func TestOwnerWithFrozenClockGrantsNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 40, 40
		f := newTestFleet(t, 3, testManifest(rate, burst))
		f.advance(4*time.Second + 5*testTickInterval) // just after a lease renewal
		var owner int
		for _, r := range f.records {
			owner = r.owner
		}
		old, late := f.nodes[owner], f.nodes[(owner+1)%3]
		late.watchDelay, old.watchDelay = time.Minute, time.Minute
		old.paused, old.clockFrozen = true, true
		f.advance(testLeaseTTL + 3*time.Second)
		old.paused = false
		oracle := &tokenBucket{rate: rate, burst: burst, tokens: burst, last: f.now}
		f.onAdmit = func(node int, _ Verdict) {
			if !oracle.take(f.now) {
				t.Fatalf("a call admitted by node %d exceeds the rate and burst", node)
			}
		}
		for range 100 {
			offerCalls(f, 10*rate)
			f.advance(testTickInterval)
		}
	})
}

// TestCallsWithinTheRateAreAdmitted sends four fifths of the rate to one node at a time,
// without faults, and guards against refusals when the demand moves to another node.
func TestCallsWithinTheRateAreAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 200, 200
		f := newTestFleet(t, 3, testManifest(rate, burst))
		refused := map[Reason]int{}
		f.onRefuse = func(_ int, v Verdict) { refused[v.Reason]++ }
		f.advance(5 * time.Second)
		for second := range 4 {
			for range 100 {
				f.call(second%3, "map")
				if f.now.UnixNano()%int64(5*testTickInterval) < int64(3*testTickInterval) {
					f.call(second%3, "map")
				}
				f.advance(testTickInterval)
			}
		}
		f.advance(time.Second)
		if len(refused) > 0 {
			t.Fatalf("refused %v of %d calls below the rate", refused, f.callCount)
		}
	})
}
