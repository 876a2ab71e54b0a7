package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory returns a history without violations.
func validHistory() *History {
	h := &History{
		ConfigVersions: []ConfigVersion{{1, at(0)}, {2, at(10)}},
		KeyRevocations: []KeyRevocation{{Key: "old", Workspace: steady, At: at(10)}},
		DrainAcks:      []DrainAck{{Target: "t0-1", At: at(10)}},
		VersionProbes:  []VersionProbe{{Node: 0, Version: 2, Sent: at(11)}, {Node: 0, Version: 2, InForce: true, Sent: at(11.5)}},
		Executions: []Execution{
			{ID: "o1", Service: "nursery", Target: "t1-1", Workspace: steady, At: at(5)},
			{ID: "p1", Service: "maps", Target: "t0-1", Workspace: steady, At: at(11)},
		},
		Requests: []Request{
			{ID: "o1", Kind: kindOrder, Workspace: steady, Sent: at(5), Ended: at(5.1), Status: http.StatusOK},
			{ID: "o2", Kind: kindOrder, Workspace: steady, Sent: at(6), Ended: at(6), Status: http.StatusServiceUnavailable},
			{ID: "p1", Kind: kindPage, Workspace: steady, Key: "old", Sent: at(11), Ended: at(11.1), Status: http.StatusOK},
			{ID: "p2", Kind: kindPage, Workspace: steady, Key: "old", Sent: at(16), Ended: at(16), Status: http.StatusUnauthorized},
			{ID: "p3", Kind: kindPage, Workspace: steady, Sent: at(60), Ended: at(60.1), Status: http.StatusOK},
		},
		Faults: []Fault{{From: at(20), To: at(30), Kind: "kill"}},
	}
	return h
}

// executionsInOneSecond returns n copies of a, spread over one second.
func executionsInOneSecond(n int, a Execution) (out []Execution) {
	for i := range n {
		a.At = at(40 + float64(i)/float64(n))
		out = append(out, a)
	}
	return out
}

// TestEachCheckReportsItsViolation guards against checks that can never fail: each mutation
// of a valid history must be reported by its check and by no other.
func TestEachCheckReportsItsViolation(t *testing.T) {
	if broken := validHistory().Check(); len(broken) > 0 {
		t.Fatalf("valid history: got violations %v", broken)
	}
	for _, tt := range []struct {
		check  string
		mutate func(h *History)
	}{
		{"once", func(h *History) { h.Executions = append(h.Executions, h.Executions[0]) }},
		{"refusals", func(h *History) { h.Executions = append(h.Executions, Execution{ID: "o2", At: at(7)}) }},
		{"answers", func(h *History) { h.Requests[0].ResponseError = "the answer names o9" }},
		{"keys", func(h *History) { h.Requests[3].Status = http.StatusOK }},
		{"drain", func(h *History) { h.Executions[1].At = at(12.1) }},
		{"versions", func(h *History) { h.VersionProbes[0].Sent = at(12.5) }},
		{"versions", func(h *History) {
			h.VersionProbes = append(h.VersionProbes, VersionProbe{Node: 0, Version: 1, Sent: at(25)}) // returning to an older version counts during a fault, too
		}},
		{"planned", func(h *History) { h.Requests[0].Status = 0 }},
		{"retries", func(h *History) {
			h.Executions = append(h.Executions, executionsInOneSecond(60, Execution{ID: "p9", Service: "maps"})...)
		}},
		{"quota", func(h *History) {
			for i, a := range executionsInOneSecond(200, Execution{Service: "maps", Workspace: greedy}) {
				a.ID = strings.Repeat("x", i)
				h.Executions = append(h.Executions, a)
			}
		}},
		{"ends", func(h *History) { h.ProcessErrors = []string{"n0 after SIGTERM: still runs"} }},
		{"recovery", func(h *History) { h.Requests[4].Status = http.StatusServiceUnavailable }},
	} {
		h := validHistory()
		tt.mutate(h)
		broken := h.Check()
		if len(broken) != 1 || !strings.HasPrefix(broken[0], tt.check+": ") {
			t.Errorf("check %s: got violations %v, want exactly one, of this check", tt.check, broken)
		}
	}
}

// TestLostResponseDuringFaultIsAllowed guards against a false report: a response that is
// lost while a process is being killed is not the fault of planned work.
func TestLostResponseDuringFaultIsAllowed(t *testing.T) {
	h := validHistory()
	h.Executions = append(h.Executions, Execution{ID: "p4", Service: "maps", Target: "t2-1", At: at(21)})
	h.Requests = append(h.Requests, Request{ID: "p4", Kind: kindPage, Sent: at(21), Ended: at(22)})
	if broken := h.Check(); len(broken) > 0 {
		t.Errorf("response lost during a fault: got violations %v, want none", broken)
	}
}
