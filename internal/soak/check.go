package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the guarantees that the checks verify, as the platform specifies them for its
// smallest deployments.
const (
	settlePeriod      = 3 * time.Second        // time without faults before a time bound applies
	applyBound        = 2 * time.Second        // until every node applies a published configuration
	rollbackTolerance = 250 * time.Millisecond // in which a node may still answer with the previous configuration
	revokeBound       = 5 * time.Second        // until a revoked API key stops working
	drainBound        = 2 * time.Second        // until a draining target gets no more requests
	stopBound         = 6 * time.Second        // until a node exits after SIGTERM
	retryRatio        = 0.2                    // repeated executions for each call to a service
	retrySlack        = 48                     // repeated executions allowed in a window in addition
	retryWindow       = 10 * time.Second
	quotaWindow       = 5 * time.Second
	quotaTolerance    = 1.1              // factor on the quota of a window
	quotaSlack        = 20               // requests allowed in a window in addition
	minSuccessRatio   = 0.9              // of the requests in finalWindow
	finalQuietPeriod  = 12 * time.Second // without faults at the end of a run, after the wait of stopBound
	finalWindow       = 4 * time.Second  // at the end of a run, in which checkRecovery counts
)

// Kinds of requests.
const (
	kindOrder = "order" // not idempotent: executed at most once
	kindPage  = "page"  // idempotent
	kindProbe = "mark"  // requests the route of one configuration version to find out whether it is in force
)

// check verifies one guarantee. violations describes each violation in a history.
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

// Check runs every check and returns the violations, each prefixed with the check's name.
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

// executionCounts returns the number of executions of each request, by request ID.
func (h *History) executionCounts() map[string]int {
	out := map[string]int{}
	for _, a := range h.Executions {
		out[a.ID]++
	}
	return out
}

// checkAtMostOnce reports non-idempotent requests that were executed more than once.
func checkAtMostOnce(h *History) (out []string) {
	runs := h.executionCounts()
	for _, r := range h.Requests {
		if r.Kind == kindOrder && runs[r.ID] > 1 {
			out = append(out, fmt.Sprintf("%s was executed %d times, want at most once", r.ID, runs[r.ID]))
		}
	}
	return out
}

// checkRefusals reports non-idempotent requests that were executed although their status
// says that they were not.
func checkRefusals(h *History) (out []string) {
	runs := h.executionCounts()
	for _, r := range h.Requests {
		if r.Kind == kindOrder && meansNotExecuted(r.Status) && runs[r.ID] > 0 {
			out = append(out, fmt.Sprintf("%s was executed although the client got status %d", r.ID, r.Status))
		}
	}
	return out
}

// checkResponses reports successful responses that do not belong to their request.
func checkResponses(h *History) (out []string) {
	for _, r := range h.Requests {
		if r.ResponseError != "" {
			out = append(out, r.ID+": "+r.ResponseError)
		}
	}
	return out
}

// checkRevokedKeys reports requests that succeeded with a key revoked more than revokeBound
// before.
func checkRevokedKeys(h *History) (out []string) {
	for _, w := range h.KeyRevocations {
		for _, r := range h.Requests {
			if r.Key == w.Key && r.Status == http.StatusOK && r.Sent.After(w.At.Add(revokeBound)) {
				out = append(out, fmt.Sprintf("%s succeeded although its key was revoked %s before", r.ID, r.Sent.Sub(w.At)))
			}
		}
	}
	return out
}

// checkDrainedTargets reports requests that a target got more than drainBound after its
// node acknowledged the draining state.
func checkDrainedTargets(h *History) (out []string) {
	for _, d := range h.DrainAcks {
		for _, a := range h.Executions {
			if a.Target == d.Target && a.At.After(d.At.Add(drainBound)) {
				out = append(out, fmt.Sprintf("%s reached target %s %s after the node acknowledged its draining state", a.ID, a.Target, a.At.Sub(d.At)))
			}
		}
	}
	return out
}

// checkConfigVersions reports configurations that a node does not apply within applyBound,
// and processes that return to an older configuration.
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
			out = append(out, fmt.Sprintf("node %d has not applied configuration version %d after %s", s.Node, s.Version, late))
		}
		for v, seen := range firstInForce[p] {
			if v >= s.Version && s.Sent.Sub(seen) > rollbackTolerance {
				out = append(out, fmt.Sprintf("node %d returned to a configuration older than version %d", s.Node, s.Version))
			}
		}
	}
	return out
}

// checkLostResponses reports requests that a target executed and that got no response
// although no fault was active. Planned work (a node restarted by SIGTERM, a drained
// target, a configuration change) must not lose responses.
func checkLostResponses(h *History) (out []string) {
	runs := h.executionCounts()
	for _, r := range h.Requests {
		if r.Status == 0 && !r.NotSent && runs[r.ID] > 0 && h.faultFree(r.Sent, r.Ended) {
			out = append(out, fmt.Sprintf("%s was executed and got no response after %s", r.ID, r.Ended.Sub(r.Sent)))
		}
	}
	return out
}

// checkRetryBudget reports services whose repeated executions in a window exceed
// retryRatio of the calls plus retrySlack.
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
				out = append(out, fmt.Sprintf("service %s got %d repeated executions for %d calls in %s", name, repeats, calls, retryWindow))
				break
			}
		}
	}
	return out
}

// checkQuotas reports workspaces with more executions in a window than their quota allows.
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
				out = append(out, fmt.Sprintf("workspace %s got %.0f executions in %s, at most %.0f allowed", w.name, got, quotaWindow, bound))
				break
			}
		}
	}
	return out
}

// checkProcessErrors reports processes that did not exit in time and failures of the soak's
// own links, store and node starts.
func checkProcessErrors(h *History) []string { return h.ProcessErrors }

// checkRecovery requires that requests within their workspace's quota succeed again in the
// last seconds of the run, when the last fault is long over.
func checkRecovery(h *History) []string {
	if len(h.Requests) == 0 {
		return []string{"no requests were sent"}
	}
	last := slices.MaxFunc(h.Requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) }).Sent
	revoked := map[string]bool{}
	for _, w := range h.KeyRevocations {
		revoked[w.Key] = true
	}
	sent, served := 0, 0
	for _, r := range h.Requests {
		if r.Kind != kindPage || r.Workspace != steady || revoked[r.Key] || last.Sub(r.Sent) > finalWindow {
			continue
		}
		sent++
		if r.Status == http.StatusOK {
			served++
		}
	}
	if sent == 0 || float64(served) < minSuccessRatio*float64(sent) {
		return []string{fmt.Sprintf("%d of %d requests succeeded in the fault-free period at the end", served, sent)}
	}
	return nil
}
