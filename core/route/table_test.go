package route

import (
	"testing"
	"time"
)

// pickShare returns the share of 1000 sequential calls that the named endpoint gets. The
// endpoints a, b and c are alike, each in the domain of its name; the calls come from
// domain a.
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
		e := t.Pick(now, "s", n*0x9e3779b97f4a7c15, nil)
		if e.Name == name {
			got++
		}
		e.CallStarted()
		e.CallAnswered(50 * time.Millisecond)
		e.sentSinceLoad = 0 // the answer reports the same load
	}
	return float64(got) / calls
}

// TestPickAvoidsLoadedEndpoints guards against calls that stay at a loaded or slow endpoint,
// and against calls that leave the node's own domain without need.
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
		{"own domain with free capacity", "a", func(*Endpoint) {}, 0.99, 1},
		{"own domain nearly at capacity", "a", at("a", 0.9), 0, 0.05},
		{"all equally loaded", "a", func(e *Endpoint) { e.SetLoad(now, 1) }, 0.99, 1},
		{"other domain overloaded", "b", at("b", 1.5), 0, 0.01},
		{"slow endpoint in own domain", "a", func(e *Endpoint) {
			if e.Name == "a" {
				e.latency = 200 * time.Millisecond
			}
		}, 0, 0.01},
		{"outdated report of overload", "a", func(e *Endpoint) {
			if e.Name == "a" {
				e.SetLoad(now.Add(-2*maxLoadAge), 2)
			}
		}, 0.9, 1},
	} {
		if got := pickShare(now, tt.endpoint, tt.prepare); got < tt.least || got > tt.most {
			t.Errorf("%s: endpoint %s gets a share of %.2f, want %.2f to %.2f", tt.name, tt.endpoint, got, tt.least, tt.most)
		}
	}
}

// TestCallsSentSinceLoadReportCount guards against an endpoint being flooded between two load
// reports: calls sent since the last report add to the reported load.
func TestCallsSentSinceLoadReportCount(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Endpoint{Slots: 10}
	e.SetLoad(now, 0.5)
	before := e.latencyFactor(now)
	for range 5 {
		e.CallStarted()
	}
	if after := e.latencyFactor(now); after <= before {
		t.Errorf("calls sent since the load report are ignored: latency factor %.2f after five calls, %.2f before", after, before)
	}
}
