package route

import (
	"testing"
	"time"
)

// pickShare returns the share of calls that an endpoint gets of three that are alike, in
// the domains a, b and c, seen from a, when each call ends before the next.
func pickShare(now time.Time, name string, prepare func(e *Endpoint)) float64 {
	t := NewTable("self", "a")
	for _, d := range []string{"a", "b", "c"} {
		t.Put(now.Add(-time.Minute), Endpoint{Name: d, Service: "s", Domain: d, Slots: 100}, false)
		e := t.Find("s", d)
		e.CallStarted()
		e.CallAnswered(50 * time.Millisecond)
		e.SetLoad(now, 0.3)
		prepare(e)
	}
	const calls = 1000
	got := 0
	for n := range uint64(calls) {
		e := t.Pick(now, "s", n*0x9e3779b97f4a7c15, "")
		if e.Name == name {
			got++
		}
		e.CallStarted()
		e.CallAnswered(50 * time.Millisecond)
		e.sentSinceLoad = 0 // its answer brings the same load
	}
	return float64(got) / calls
}

func TestPickAvoidsLoadedEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(name string, load float64) func(*Endpoint) {
		return func(e *Endpoint) {
			if e.Name == name {
				e.SetLoad(now, load)
			}
		}
	}
	for _, tt := range []struct {
		name        string
		endpoint    string
		prepare     func(*Endpoint)
		least, most float64
	}{
		{"own domain while there is room", "a", func(*Endpoint) {}, 0.99, 1},
		{"own domain nearly full", "a", at("a", 0.9), 0, 0.05},
		{"all equally full", "a", func(e *Endpoint) { e.SetLoad(now, 1) }, 0.99, 1},
		{"another domain full", "b", at("b", 1.5), 0, 0.01},
		{"slow endpoint of the own domain", "a", func(e *Endpoint) {
			if e.Name == "a" {
				e.latency = 200 * time.Millisecond
			}
		}, 0, 0.01},
		{"old news of a full one", "a", func(e *Endpoint) {
			if e.Name == "a" {
				e.SetLoad(now.Add(-2*maxLoadAge), 2)
			}
		}, 0.9, 1},
	} {
		if got := pickShare(now, tt.endpoint, tt.prepare); got < tt.least || got > tt.most {
			t.Errorf("%s: endpoint %s gets %.2f, want %.2f to %.2f", tt.name, tt.endpoint, got, tt.least, tt.most)
		}
	}
}

// TestCallsSentSinceLoadReportCount: what was sent since an endpoint told its load adds to it.
func TestCallsSentSinceLoadReportCount(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Endpoint{Slots: 10}
	e.SetLoad(now, 0.5)
	before := e.latencyFactor(now)
	for range 5 {
		e.CallStarted()
	}
	if after := e.latencyFactor(now); after <= before {
		t.Errorf("waits %.2f with five more calls, %.2f before", after, before)
	}
}
