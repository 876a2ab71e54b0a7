package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the promises, as the platform states them for its smallest deployments.
const (
	settlePeriod      = 3 * time.Second // without disruption before a bound of time holds
	applyBound        = 2 * time.Second
	rollbackTolerance = 250 * time.Millisecond
	revokeBound       = 5 * time.Second
	drainBound        = 2 * time.Second
	stopBound         = 6 * time.Second
	retryRatio        = 0.2
	retrySlack        = 48
	retryWindow       = 10 * time.Second
	quotaWindow       = 5 * time.Second
	quotaTolerance    = 1.1
	quotaSlack        = 20
	minSuccessRatio   = 0.9 // of the requests in the calm at the end
	finalQuietPeriod  = 12 * time.Second
	finalWindow       = 4 * time.Second
)

const (
	kindOrder = "order" // runs at most once
	kindPage  = "page"
	kindProbe = "mark" // asks which configuration is in force
)

// check is one promise; it returns what breaks it.
type check struct {
	name       string
	violations func(h *History) []string
}

var checks = []check{
	{"once", checkAtMostOnce},
	{"refusals", checkRefusals},
	{"answers", checkResponses},
	{"keys", checkRevokedKeys},
	{"drain", checkDrainedTargets},
	{"versions", checkConfigVersions},
	{"planned", checkLostResponses},
	{"retries", checkRetryBudget},
	{"quota", checkQuotas},
	{"ends", checkProcessErrors},
	{"recovery", checkRecovery},
}

// Check returns every broken promise, named by its check.
func (h *History) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, c := range checks {
		for _, found := range c.violations(h) {
			out = append(out, c.name+": "+found)
		}
	}
	return out
}

// executionCounts counts the arrivals of each request.
func (h *History) executionCounts() map[string]int {
	out := map[string]int{}
	for _, a := range h.Executions {
		out[a.ID]++
	}
	return out
}

func checkAtMostOnce(h *History) (out []string) {
	runs := h.executionCounts()
	for _, r := range h.Requests {
		if r.Kind == kindOrder && runs[r.ID] > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", r.ID, runs[r.ID]))
		}
	}
	return out
}

func checkRefusals(h *History) (out []string) {
	runs := h.executionCounts()
	for _, r := range h.Requests {
		if r.Kind == kindOrder && meansNotExecuted(r.Status) && runs[r.ID] > 0 {
			out = append(out, fmt.Sprintf("%s got %d and has run", r.ID, r.Status))
		}
	}
	return out
}

func checkResponses(h *History) (out []string) {
	for _, r := range h.Requests {
		if r.ResponseError != "" {
			out = append(out, r.ID+": "+r.ResponseError)
		}
	}
	return out
}

func checkRevokedKeys(h *History) (out []string) {
	for _, w := range h.KeyRevocations {
		for _, r := range h.Requests {
			if r.Key == w.Key && r.Status == http.StatusOK && r.Sent.After(w.At.Add(revokeBound)) {
				out = append(out, fmt.Sprintf("%s ran %s after its key was withdrawn", r.ID, r.Sent.Sub(w.At)))
			}
		}
	}
	return out
}

func checkDrainedTargets(h *History) (out []string) {
	for _, d := range h.DrainAcks {
		for _, a := range h.Executions {
			if a.Target == d.Target && a.At.After(d.At.Add(drainBound)) {
				out = append(out, fmt.Sprintf("%s reached %s %s after it was acknowledged as leaving", a.ID, a.Target, a.At.Sub(d.At)))
			}
		}
	}
	return out
}

// checkConfigVersions finds configurations that come late, and processes that go back.
func checkConfigVersions(h *History) (out []string) {
	publishedAt := map[int]time.Time{}
	for _, v := range h.ConfigVersions {
		publishedAt[v.Number] = v.At
	}
	type process struct{ node, number int }
	firstInForce := map[process]map[int]time.Time{}
	for _, s := range h.VersionProbes {
		p := process{s.Node, s.Process}
		if s.InForce {
			if firstInForce[p] == nil {
				firstInForce[p] = map[int]time.Time{}
			}
			if _, ok := firstInForce[p][s.Version]; !ok {
				firstInForce[p][s.Version] = s.Sent
			}
			continue
		}
		late := s.Sent.Sub(publishedAt[s.Version])
		if late > applyBound && h.faultFree(publishedAt[s.Version], s.Sent) {
			out = append(out, fmt.Sprintf("node %d lacks version %d after %s", s.Node, s.Version, late))
		}
		for v, seen := range firstInForce[p] {
			if v >= s.Version && s.Sent.Sub(seen) > rollbackTolerance {
				out = append(out, fmt.Sprintf("node %d went back behind version %d", s.Node, s.Version))
			}
		}
	}
	return out
}

// checkLostResponses finds requests that a target ran and whose connection ended without an
// answer, though all that went on was planned work.
func checkLostResponses(h *History) (out []string) {
	runs := h.executionCounts()
	for _, r := range h.Requests {
		if r.Status == 0 && !r.NotSent && runs[r.ID] > 0 && h.faultFree(r.Sent, r.Ended) {
			out = append(out, fmt.Sprintf("%s had no answer after %s", r.ID, r.Ended.Sub(r.Sent)))
		}
	}
	return out
}

func checkRetryBudget(h *History) (out []string) {
	type arrival struct {
		at    time.Time
		first bool
	}
	services, seen := map[string][]arrival{}, map[string]bool{}
	for _, a := range h.Executions {
		services[a.Service] = append(services[a.Service], arrival{a.At, !seen[a.ID]})
		seen[a.ID] = true
	}
	for name, list := range services {
		from, calls, repeats := 0, 0, 0
		for _, a := range list {
			if a.first {
				calls++
			} else {
				repeats++
			}
			for ; a.at.Sub(list[from].at) > retryWindow; from++ {
				if list[from].first {
					calls--
				} else {
					repeats--
				}
			}
			if bound := retryRatio*float64(calls) + retrySlack; float64(repeats) > bound {
				out = append(out, fmt.Sprintf("%s had %d further arrivals for %d calls in %s", name, repeats, calls, retryWindow))
				break
			}
		}
	}
	return out
}

func checkQuotas(h *History) (out []string) {
	for _, w := range workspaces {
		var at []time.Time
		for _, a := range h.Executions {
			if a.Workspace == w.name {
				at = append(at, a.At)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		bound := (w.rate*quotaWindow.Seconds()+float64(w.burst))*quotaTolerance + quotaSlack
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

func checkProcessErrors(h *History) []string { return h.ProcessErrors }

// checkRecovery looks at the last seconds, long after the last disruption.
func checkRecovery(h *History) []string {
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
		if r.Kind != kindPage || r.Workspace != steady || withdrawn[r.Key] || last.Sub(r.Sent) > finalWindow {
			continue
		}
		sent++
		if r.Status == http.StatusOK {
			served++
		}
	}
	if sent == 0 || float64(served) < minSuccessRatio*float64(sent) {
		return []string{fmt.Sprintf("%d of %d requests served in the calm at the end", served, sent)}
	}
	return nil
}
