package manifest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits on the values in a manifest.
const (
	MaxRetryBudget = 8
	MaxTimeout     = 5 * time.Minute
	MaxColdTime    = time.Hour
	MinBurstWindow = 100 * time.Millisecond // a burst must hold at least the calls of this time at the full rate
)

type validator struct {
	violations []Violation
}

func (v *validator) addf(path, rule string, args ...any) {
	v.violations = append(v.violations, Violation{Path: path, Rule: fmt.Sprintf(rule, args...)})
}

// checkName adds a violation if name is empty or already in seen, and adds it to seen.
func (v *validator) checkName(seen map[string]bool, path, name string) {
	if name == "" {
		v.addf(path, "must not be empty")
		return
	}
	if seen[name] {
		v.addf(path, "duplicate name %q", name)
	}
	seen[name] = true
}

// Validate returns all violations, in the order of the manifest's fields.
func (m *Manifest) Validate() []Violation {
	v := &validator{}
	if m.RetryBudget < 0 || m.RetryBudget > MaxRetryBudget {
		v.addf("/retries", "must be between 0 and %d", MaxRetryBudget)
	}
	v.checkWorkspaces(m.Workspaces)
	services := v.checkServices(m.Services)
	v.checkRoutes(m.Routes, services)
	return v.violations
}

func (v *validator) checkWorkspaces(list []Workspace) {
	names := map[string]bool{}
	for i := range list {
		w := &list[i]
		path := fmt.Sprintf("/workspaces/%d", i)
		v.checkName(names, path+"/name", w.Name)
		if w.Rate < 0 {
			v.addf(path+"/rate", "must not be less than 0")
		}
		if w.Rate > 0 && float64(w.Burst) < max(1, w.Rate*MinBurstWindow.Seconds()) {
			v.addf(path+"/burst", "must be at least 1 and cover the rate for %s", MinBurstWindow)
		}
		if !namedByNumber(w.Keys) {
			keys := map[string]bool{}
			for j := range w.Keys {
				v.checkName(keys, fmt.Sprintf("%s/keys/%d/name", path, j), w.Keys[j].Name)
			}
		}
	}
	v.checkDigests(list)
}

// namedByNumber reports whether each key is named by its number, so that the names differ.
func namedByNumber(keys []Key) bool {
	var buffer [20]byte
	for i := range keys {
		if keys[i].Name != string(strconv.AppendInt(buffer[:0], int64(i), 10)) {
			return false
		}
	}
	return true
}

// checkDigests adds a violation for each key that an earlier one is equal to.
func (v *validator) checkDigests(list []Workspace) {
	type position struct{ workspace, key uint32 }
	total := 0
	for i := range list {
		total += len(list[i].Keys)
	}
	seen := make(map[Digest]position, total)
	for i := range list {
		for j := range list[i].Keys {
			k := &list[i].Keys[j]
			if o, taken := seen[k.Digest]; taken {
				other := &list[o.workspace]
				v.addf(fmt.Sprintf("/workspaces/%d/keys/%d/digest", i, j), "same key as %s/%s", other.Name, other.Keys[o.key].Name)
			}
			seen[k.Digest] = position{uint32(i), uint32(j)}
		}
	}
}

func (v *validator) checkServices(list []Service) map[string]bool {
	names := map[string]bool{}
	for i, s := range list {
		path := fmt.Sprintf("/services/%d", i)
		v.checkName(names, path+"/name", s.Name)
		if s.ColdRate < 0 {
			v.addf(path+"/coldrate", "must not be less than 0")
		}
		if d := s.ColdDuration.Duration; d < 0 || d > MaxColdTime {
			v.addf(path+"/coldtime", "must be between 0 and %s", MaxColdTime)
		}
	}
	return names
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Methods returns the methods that a route can be limited to.
func Methods() []string { return slices.Clone(methods) }

func (v *validator) checkRoutes(list []Route, services map[string]bool) {
	names := map[string]bool{}
	patterns := map[string]bool{}
	for i, r := range list {
		path := fmt.Sprintf("/routes/%d", i)
		v.checkName(names, path+"/name", r.Name)
		if r.Method != "" && !slices.Contains(methods, r.Method) {
			v.addf(path+"/method", "must be one of %s", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " {}?#") {
			v.addf(path+"/path", "must start with / and must not contain a space or any of {}?#")
		}
		pattern := strings.TrimSpace(r.Method + " " + strings.ToLower(r.Host) + r.Path)
		if patterns[pattern] {
			v.addf(path+"/path", "duplicate route for %s", pattern)
		}
		patterns[pattern] = true
		v.checkRouteServices(path, &r, services)
		if r.Timeout.Duration <= 0 || r.Timeout.Duration > MaxTimeout {
			v.addf(path+"/timeout", "must be greater than 0 and at most %s", MaxTimeout)
		}
	}
}

// checkRouteServices checks a route's service or traffic split.
func (v *validator) checkRouteServices(path string, r *Route, services map[string]bool) {
	if len(r.Split) == 0 {
		if !services[r.Service] {
			v.addf(path+"/service", "no service named %q", r.Service)
		}
		return
	}
	if r.Service != "" {
		v.addf(path+"/service", "must not be set together with split")
	}
	sum := 0.0
	for i, p := range r.Split {
		if !services[p.Service] {
			v.addf(fmt.Sprintf("%s/split/%d/service", path, i), "no service named %q", p.Service)
		}
		if p.Weight < 0 {
			v.addf(fmt.Sprintf("%s/split/%d/weight", path, i), "must not be less than 0")
		}
		sum += p.Weight
	}
	if sum <= 0 {
		v.addf(path+"/split", "the sum of the weights must be greater than 0")
	}
}
