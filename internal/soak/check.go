package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the promises, as the platform states them for its smallest deployments.
const (
	contact       = 3 * time.Second // without disruption before a bound of time holds
	applyBound    = 2 * time.Second
	rollback      = 250 * time.Millisecond
	revokeBound   = 5 * time.Second
	drainBound    = 2 * time.Second
	stopBound     = 6 * time.Second
	retryRatio    = 0.2
	retrySlack    = 48
	retryWindow   = 10 * time.Second
	quotaWindow   = 5 * time.Second
	quotaExcess   = 1.1
	quotaSlack    = 20
	leastServed   = 0.9 // of the requests in the calm at the end
	finalCalm     = 12 * time.Second
	finalMeasured = 4 * time.Second
)

const (
	kindOrder = "order" // runs at most once
	kindPage  = "page"
	kindMark  = "mark" // asks which configuration is in force
)

// check is one promise; it returns what breaks it.
type check struct {
	name string
	find func(h *History) []string
}

var checks = []check{
	{"once", once},
	{"refusals", trueRefusals},
	{"answers", ownAnswers},
	{"keys", deadKeys},
	{"drain", drained},
	{"versions", versions},
	{"planned", nothingCut},
	{"retries", boundedRetries},
	{"quota", quotas},
	{"ends", ends},
	{"recovery", recovery},
}

// Check returns every broken promise, named by its check.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, c := range checks {
		for _, found := range c.find(h) {
			out = append(out, c.name+": "+found)
		}
	}
	return out
}

// runs counts the arrivals of each request.
func (h *History) runs() map[string]int {
	out := map[string]int{}
	for _, a := range h.Executions {
		out[a.ID]++
	}
	return out
}

func once(h *History) (out []string) {
	runs := h.runs()
	for _, r := range h.Requests {
		if r.Kind == kindOrder && runs[r.ID] > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", r.ID, runs[r.ID]))
		}
	}
	return out
}

func trueRefusals(h *History) (out []string) {
	runs := h.runs()
	for _, r := range h.Requests {
		if r.Kind == kindOrder && promised(r.Status) && runs[r.ID] > 0 {
			out = append(out, fmt.Sprintf("%s got %d and has run", r.ID, r.Status))
		}
	}
	return out
}

func ownAnswers(h *History) (out []string) {
	for _, r := range h.Requests {
		if r.ResponseError != "" {
			out = append(out, r.ID+": "+r.ResponseError)
		}
	}
	return out
}

func deadKeys(h *History) (out []string) {
	for _, w := range h.KeyRevocations {
		for _, r := range h.Requests {
			if r.Key == w.Key && r.Status == http.StatusOK && r.Sent.After(w.At.Add(revokeBound)) {
				out = append(out, fmt.Sprintf("%s ran %s after its key was withdrawn", r.ID, r.Sent.Sub(w.At)))
			}
		}
	}
	return out
}

func drained(h *History) (out []string) {
	for _, d := range h.DrainAcks {
		for _, a := range h.Executions {
			if a.Target == d.Target && a.At.After(d.At.Add(drainBound)) {
				out = append(out, fmt.Sprintf("%s reached %s %s after it was acknowledged as leaving", a.ID, a.Target, a.At.Sub(d.At)))
			}
		}
	}
	return out
}

// versions finds configurations that come late, and processes that go back.
func versions(h *History) (out []string) {
	at := map[int]time.Time{}
	for _, v := range h.ConfigVersions {
		at[v.Number] = v.At
	}
	type process struct{ node, number int }
	first := map[process]map[int]time.Time{}
	for _, s := range h.VersionProbes {
		p := process{s.Node, s.Process}
		if s.InForce {
			if first[p] == nil {
				first[p] = map[int]time.Time{}
			}
			if _, ok := first[p][s.Version]; !ok {
				first[p][s.Version] = s.Sent
			}
			continue
		}
		late := s.Sent.Sub(at[s.Version])
		if late > applyBound && h.calm(at[s.Version], s.Sent) {
			out = append(out, fmt.Sprintf("node %d lacks version %d after %s", s.Node, s.Version, late))
		}
		for v, seen := range first[p] {
			if v >= s.Version && s.Sent.Sub(seen) > rollback {
				out = append(out, fmt.Sprintf("node %d went back behind version %d", s.Node, s.Version))
			}
		}
	}
	return out
}

// nothingCut finds requests that a target ran and whose connection ended without an
// answer, though all that went on was planned work.
func nothingCut(h *History) (out []string) {
	runs := h.runs()
	for _, r := range h.Requests {
		if r.Status == 0 && !r.NotSent && runs[r.ID] > 0 && h.calm(r.Sent, r.Ended) {
			out = append(out, fmt.Sprintf("%s had no answer after %s", r.ID, r.Ended.Sub(r.Sent)))
		}
	}
	return out
}

func boundedRetries(h *History) (out []string) {
	type arrival struct {
		at    time.Time
		first bool
	}
	services, known := map[string][]arrival{}, map[string]bool{}
	for _, a := range h.Executions {
		services[a.Service] = append(services[a.Service], arrival{a.At, !known[a.ID]})
		known[a.ID] = true
	}
	for name, list := range services {
		from, calls, again := 0, 0, 0
		for _, a := range list {
			if a.first {
				calls++
			} else {
				again++
			}
			for ; a.at.Sub(list[from].at) > retryWindow; from++ {
				if list[from].first {
					calls--
				} else {
					again--
				}
			}
			if bound := retryRatio*float64(calls) + retrySlack; float64(again) > bound {
				out = append(out, fmt.Sprintf("%s had %d further arrivals for %d calls in %s", name, again, calls, retryWindow))
				break
			}
		}
	}
	return out
}

func quotas(h *History) (out []string) {
	for _, w := range workspaces {
		var at []time.Time
		for _, a := range h.Executions {
			if a.Workspace == w.name {
				at = append(at, a.At)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		bound := (w.rate*quotaWindow.Seconds()+float64(w.burst))*quotaExcess + quotaSlack
		from := 0
		for i := range at {
			for at[i].Sub(at[from]) > quotaWindow {
				from++
			}
			if got := float64(i - from + 1); got > bound {
				out = append(out, fmt.Sprintf("%s ran %.0f in %s, bound %.0f", w.name, got, quotaWindow, bound))
				break
			}
		}
	}
	return out
}

func ends(h *History) []string { return h.ProcessErrors }

// recovery looks at the last seconds, long after the last disruption.
func recovery(h *History) []string {
	if len(h.Requests) == 0 {
		return []string{"no request was sent"}
	}
	last := slices.MaxFunc(h.Requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) }).Sent
	withdrawn := map[string]bool{}
	for _, w := range h.KeyRevocations {
		withdrawn[w.Key] = true
	}
	sent, served := 0, 0
	for _, r := range h.Requests {
		if r.Kind != kindPage || r.Workspace != steady || withdrawn[r.Key] || last.Sub(r.Sent) > finalMeasured {
			continue
		}
		sent++
		if r.Status == http.StatusOK {
			served++
		}
	}
	if sent == 0 || float64(served) < leastServed*float64(sent) {
		return []string{fmt.Sprintf("%d of %d requests served in the calm at the end", served, sent)}
	}
	return nil
}
