package manifest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds that every manifest keeps.
const (
	MaxRetryBudget = 8
	MaxTimeout     = 5 * time.Minute
	MinBurstWindow = 100 * time.Millisecond // burst must cover the rate for this long
)

// validator collects faults and the names already taken.
type validator struct {
	violations []Violation
}

func (v *validator) addf(path, rule string, args ...any) {
	v.violations = append(v.violations, Violation{Path: path, Rule: fmt.Sprintf(rule, args...)})
}

// checkName reports a name that an earlier element of the same list carries.
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

// Validate returns every broken rule, in document order.
func (m *Manifest) Validate() []Violation {
	c := &validator{}
	if m.RetryBudget < 0 || m.RetryBudget > MaxRetryBudget {
		c.addf("/retries", "must be between 0 and %d", MaxRetryBudget)
	}
	c.checkWorkspaces(m.Workspaces)
	services := c.checkServices(m.Services)
	c.checkRoutes(m.Routes, services)
	return c.violations
}

func (v *validator) checkWorkspaces(list []Workspace) {
	names := map[string]bool{}
	digests := map[Digest]string{}
	for i, w := range list {
		at := fmt.Sprintf("/workspaces/%d", i)
		v.checkName(names, at+"/name", w.Name)
		if w.Rate < 0 {
			v.addf(at+"/rate", "must not be less than 0")
		}
		if w.Rate > 0 && float64(w.Burst) < max(1, w.Rate*MinBurstWindow.Seconds()) {
			v.addf(at+"/burst", "must be at least 1 and cover the rate for %s", MinBurstWindow)
		}
		keys := map[string]bool{}
		for j, k := range w.Keys {
			keyPath := fmt.Sprintf("%s/keys/%d", at, j)
			v.checkName(keys, keyPath+"/name", k.Name)
			if owner, taken := digests[k.Digest]; taken {
				v.addf(keyPath+"/digest", "same key as %s", owner)
			}
			digests[k.Digest] = w.Name + "/" + k.Name
		}
	}
}

func (v *validator) checkServices(list []Service) map[string]bool {
	names := map[string]bool{}
	for i, s := range list {
		v.checkName(names, fmt.Sprintf("/services/%d/name", i), s.Name)
	}
	return names
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (v *validator) checkRoutes(list []Route, services map[string]bool) {
	names := map[string]bool{}
	patterns := map[string]bool{}
	for i, r := range list {
		at := fmt.Sprintf("/routes/%d", i)
		v.checkName(names, at+"/name", r.Name)
		if r.Method != "" && !slices.Contains(methods, r.Method) {
			v.addf(at+"/method", "must be one of %s", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " {}?#") {
			v.addf(at+"/path", "must start with / and hold no space or any of {}?#")
		}
		pattern := strings.TrimSpace(r.Method + " " + strings.ToLower(r.Host) + r.Path)
		if patterns[pattern] {
			v.addf(at+"/path", "duplicate route for %s", pattern)
		}
		patterns[pattern] = true
		v.checkRouteServices(at, &r, services)
		if r.Timeout.Duration <= 0 || r.Timeout.Duration > MaxTimeout {
			v.addf(at+"/timeout", "must be greater than 0 and at most %s", MaxTimeout)
		}
	}
}

// checkRouteServices checks the services that a route's calls go to.
func (v *validator) checkRouteServices(path string, r *Route, services map[string]bool) {
	if len(r.Split) == 0 {
		if !services[r.Service] {
			v.addf(path+"/service", "no service named %q", r.Service)
		}
		return
	}
	if r.Service != "" {
		v.addf(path+"/service", "must be absent beside split")
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
		v.addf(path+"/split", "the weights must add up to more than 0")
	}
}
