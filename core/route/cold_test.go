package route

import (
	"fmt"
	"testing"
	"time"
)

// coldTable returns a table with ten endpoints of two domains, measured at 50 ms, of which the
// first has been announced as cold for 10 s.
func coldTable(now time.Time) *Table {
	t := NewTable("self", "a")
	for i := range 10 {
		e := Endpoint{
			Name: fmt.Sprint("e", i), Service: "s", Domain: string(rune('a' + i%2)), Slots: 30, Revision: 1,
			ColdRate: 12, RampDuration: 10 * time.Second,
		}
		t.Put(now.Add(-time.Minute), e, false)
		known := t.Find("s", e.Name)
		known.CallStarted()
		known.CallAnswered(50 * time.Millisecond)
	}
	t.Put(now, coldEndpoint(2), false)
	return t
}

func coldEndpoint(revision uint64) Endpoint {
	return Endpoint{
		Name: "e0", Service: "s", Domain: "a", Slots: 30, Revision: revision,
		ColdFor: 10 * time.Second, ColdRate: 12, RampDuration: 10 * time.Second,
	}
}

// coldCalls returns how many of 10,000 calls at the given time go to the cold endpoint.
func coldCalls(t *Table, now time.Time) int {
	n := 0
	for seed := range uint64(10_000) {
		if t.Pick(now, "s", (seed+1)*0x9e3779b97f4a7c15, nil).Name == "e0" {
			n++
		}
	}
	return n
}

// TestColdEndpointGetsAShareThatFitsItsRate guards against senders whose calls are mostly
// refused by a cold target, which costs a round trip each, and against a share that grows in
// one step after the cold period.
func TestColdEndpointGetsAShareThatFitsItsRate(t *testing.T) {
	now := time.Unix(1000, 0)
	table := coldTable(now)
	usual := coldCalls(table, now.Add(20*time.Second))
	if usual < 500 {
		t.Fatalf("%d of 10,000 calls go to the endpoint after the warm-up, want its full share", usual)
	}
	// The slots allow 600 calls per second, the target 12.
	for _, tt := range []struct {
		after       time.Duration
		least, most float64
	}{{0, 0.005, 0.04}, {9 * time.Second, 0.005, 0.04}, {15 * time.Second, 0.4, 0.6}, {19 * time.Second, 0.8, 1}} {
		if got := float64(coldCalls(table, now.Add(tt.after))) / float64(usual); got < tt.least || got > tt.most {
			t.Errorf("after %s the endpoint gets %.3f of its usual calls, want %.3f to %.3f", tt.after, got, tt.least, tt.most)
		}
	}
}

// TestRepeatedAnnouncementDoesNotProlongTheColdPeriod guards against a cold period that starts
// again whenever the state of the peer changes, or when its announcement comes a second time.
func TestRepeatedAnnouncementDoesNotProlongTheColdPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	table := coldTable(now)
	usual := coldCalls(table, now.Add(20*time.Second))
	now = now.Add(20 * time.Second)
	table.Put(now, coldEndpoint(2), false)
	if got := coldCalls(table, now); got != usual {
		t.Errorf("%d calls after a repeated announcement, want %d", got, usual)
	}
	warm := coldEndpoint(3)
	table.Put(now, coldEndpoint(3), false)
	if got := coldCalls(table, now); got > usual/10 {
		t.Errorf("%d calls after a new announcement, want at most %d", got, usual/10)
	}
	warm.Revision, warm.ColdFor = 4, 0
	table.Put(now, warm, false)
	if got := coldCalls(table, now); got != usual {
		t.Errorf("%d calls after the end was announced, want %d", got, usual)
	}
}

// TestOnlyColdEndpointsAreUsed guards against calls that are refused because all targets of a
// service are cold.
func TestOnlyColdEndpointsAreUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("self", "a")
	table.Put(now, coldEndpoint(1), false)
	if got := coldCalls(table, now); got != 10_000 {
		t.Errorf("%d of 10,000 calls go to the only endpoint", got)
	}
}

// TestColdPeriodOfResponses guards against a response to a call from before the target became
// cold that ends the cold period, and against one that skips the rise after it.
func TestColdPeriodOfResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name  string
		sent  time.Duration // when the call was sent, after the announcement
		rest  time.Duration // of the cold period, in its response
		after time.Duration // when the share is measured
		cold  bool
	}{
		{"call from before the announcement", -time.Second, 0, time.Second, true},
		{"target that is warm", 2 * time.Second, 0, 3 * time.Second, false},
		{"end of the cold period", 9800 * time.Millisecond, 0, 10 * time.Second, true},
		{"target that is cold for longer", 8 * time.Second, 5 * time.Second, 12 * time.Second, true},
	} {
		table := coldTable(now)
		e := table.Find("s", "e0")
		e.SetColdFor(now.Add(tt.sent), tt.rest)
		if cold := e.coldShare(now.Add(tt.after)) < 0.1; cold != tt.cold {
			t.Errorf("%s: share %.3f, want a cold endpoint's: %v", tt.name, e.coldShare(now.Add(tt.after)), tt.cold)
		}
	}
}
