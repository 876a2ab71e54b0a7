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

// checker collects faults and the names already taken.
type checker struct {
	faults []Violation
}

func (c *checker) addf(path, rule string, args ...any) {
	c.faults = append(c.faults, Violation{Path: path, Rule: fmt.Sprintf(rule, args...)})
}

// unique reports a name that an earlier element of the same list carries.
func (c *checker) unique(seen map[string]bool, path, name string) {
	if name == "" {
		c.addf(path, "must not be empty")
		return
	}
	if seen[name] {
		c.addf(path, "duplicate name %q", name)
	}
	seen[name] = true
}

// Validate returns every broken rule, in document order.
func (m *Manifest) Validate() []Violation {
	c := &checker{}
	if m.RetryBudget < 0 || m.RetryBudget > MaxRetryBudget {
		c.addf("/retries", "must be between 0 and %d", MaxRetryBudget)
	}
	c.workspaces(m.Workspaces)
	services := c.services(m.Services)
	c.routes(m.Routes, services)
	return c.faults
}

func (c *checker) workspaces(list []Workspace) {
	names := map[string]bool{}
	digests := map[Digest]string{}
	for i, w := range list {
		at := fmt.Sprintf("/workspaces/%d", i)
		c.unique(names, at+"/name", w.Name)
		if w.Rate < 0 {
			c.addf(at+"/rate", "must not be less than 0")
		}
		if w.Rate > 0 && float64(w.Burst) < max(1, w.Rate*MinBurstWindow.Seconds()) {
			c.addf(at+"/burst", "must be at least 1 and cover the rate for %s", MinBurstWindow)
		}
		keys := map[string]bool{}
		for j, k := range w.Keys {
			kat := fmt.Sprintf("%s/keys/%d", at, j)
			c.unique(keys, kat+"/name", k.Name)
			if owner, taken := digests[k.Digest]; taken {
				c.addf(kat+"/digest", "same key as %s", owner)
			}
			digests[k.Digest] = w.Name + "/" + k.Name
		}
	}
}

func (c *checker) services(list []Service) map[string]bool {
	names := map[string]bool{}
	for i, s := range list {
		c.unique(names, fmt.Sprintf("/services/%d/name", i), s.Name)
	}
	return names
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (c *checker) routes(list []Route, services map[string]bool) {
	names := map[string]bool{}
	patterns := map[string]bool{}
	for i, r := range list {
		at := fmt.Sprintf("/routes/%d", i)
		c.unique(names, at+"/name", r.Name)
		if r.Method != "" && !slices.Contains(methods, r.Method) {
			c.addf(at+"/method", "must be one of %s", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " {}?#") {
			c.addf(at+"/path", "must start with / and hold no space or any of {}?#")
		}
		pattern := strings.TrimSpace(r.Method + " " + strings.ToLower(r.Host) + r.Path)
		if patterns[pattern] {
			c.addf(at+"/path", "duplicate route for %s", pattern)
		}
		patterns[pattern] = true
		c.parts(at, &r, services)
		if r.Timeout.Duration <= 0 || r.Timeout.Duration > MaxTimeout {
			c.addf(at+"/timeout", "must be greater than 0 and at most %s", MaxTimeout)
		}
	}
}

// parts checks the services that a route's calls go to.
func (c *checker) parts(at string, r *Route, services map[string]bool) {
	if len(r.Split) == 0 {
		if !services[r.Service] {
			c.addf(at+"/service", "no service named %q", r.Service)
		}
		return
	}
	if r.Service != "" {
		c.addf(at+"/service", "must be absent beside split")
	}
	sum := 0.0
	for i, p := range r.Split {
		if !services[p.Service] {
			c.addf(fmt.Sprintf("%s/split/%d/service", at, i), "no service named %q", p.Service)
		}
		if p.Weight < 0 {
			c.addf(fmt.Sprintf("%s/split/%d/weight", at, i), "must not be less than 0")
		}
		sum += p.Weight
	}
	if sum <= 0 {
		c.addf(at+"/split", "the weights must add up to more than 0")
	}
}
