package check

import (
	"fmt"
	"strings"

	"celeryshelf/core/manifest"
)

// Fleet describes the capacity of the services, as far as the operator states it.
type Fleet struct {
	Services map[string]Capacity `json:"services"`
}

// Capacity is the capacity of one service. Values of 0 are unknown.
type Capacity struct {
	Targets int     `json:"targets"`
	Slots   int     `json:"slots"` // concurrent calls over all targets
	Rate    float64 `json:"rate"`  // calls per second over all targets
}

// total returns the sum over all services. A sum is 0 if any service does not state its value.
func (f Fleet) total(services []manifest.Service) Capacity {
	var sum Capacity
	slotsKnown, rateKnown := true, true
	for _, s := range services {
		c := f.Services[s.Name]
		sum.Slots, sum.Rate = sum.Slots+c.Slots, sum.Rate+c.Rate
		slotsKnown, rateKnown = slotsKnown && c.Slots > 0, rateKnown && c.Rate > 0
	}
	if !slotsKnown {
		sum.Slots = 0
	}
	if !rateKnown {
		sum.Rate = 0
	}
	return sum
}

// fullDocumentRatio is the part of the largest document from which on a warning is given:
// room for the next change is short.
const fullDocumentRatio = 0.8

// maxRateRatio is the ratio of the sum of all workspaces' rates to the rate of the fleet from
// which on a warning is given. Workspaces seldom use their rates at the same time.
const maxRateRatio = 3.0

// Config holds what a manifest is examined against.
type Config struct {
	Fleet   Fleet
	Size    int // of the document, in bytes, 0 if unknown
	MaxSize int // largest document that can be sent, in bytes
}

// Warnings returns what is valid in a manifest and yet has no effect or contradicts other
// entries, in the order of the manifest's fields.
func Warnings(m *manifest.Manifest, c Config) []manifest.Violation {
	w := &warnings{manifest: m, Config: c}
	w.checkSize()
	w.checkWorkspaces()
	w.checkServices()
	w.checkRoutes()
	return w.list
}

type warnings struct {
	Config
	manifest *manifest.Manifest
	list     []manifest.Violation
}

func (w *warnings) addf(path, text string, args ...any) {
	w.list = append(w.list, manifest.Violation{Path: path, Rule: fmt.Sprintf(text, args...)})
}

func (w *warnings) checkSize() {
	if w.MaxSize > 0 && float64(w.Size) > fullDocumentRatio*float64(w.MaxSize) {
		w.addf("/", "the document has %d bytes of at most %d", w.Size, w.MaxSize)
	}
}

func (w *warnings) checkWorkspaces() {
	total := w.Fleet.total(w.manifest.Services)
	rates := 0.0
	for i, s := range w.manifest.Workspaces {
		path := fmt.Sprintf("/workspaces/%d", i)
		rates += s.Rate
		if len(s.Keys) == 0 {
			w.addf(path+"/keys", "workspace %q has no key, so that none of its calls is accepted", s.Name)
		}
		if s.Rate > 0 && total.Slots > 0 && s.Burst > total.Slots {
			w.addf(path+"/burst", "burst of %d calls exceeds the %d slots of all services", s.Burst, total.Slots)
		}
	}
	if total.Rate > 0 && rates > maxRateRatio*total.Rate {
		w.addf("/workspaces", "the rates sum up to %g calls per second, more than %g times the %g that all services can take", rates, maxRateRatio, total.Rate)
	}
}

func (w *warnings) checkServices() {
	used := map[string]bool{}
	for i := range w.manifest.Routes {
		for _, p := range w.manifest.Routes[i].Services() {
			used[p.Service] = used[p.Service] || p.Weight > 0
		}
	}
	for i, s := range w.manifest.Services {
		if !used[s.Name] {
			w.addf(fmt.Sprintf("/services/%d", i), "no route leads to service %q", s.Name)
		}
	}
}

func (w *warnings) checkRoutes() {
	hasKey := false
	for _, s := range w.manifest.Workspaces {
		hasKey = hasKey || len(s.Keys) > 0
	}
	for i := range w.manifest.Routes {
		r := &w.manifest.Routes[i]
		path := fmt.Sprintf("/routes/%d", i)
		if !r.Public && !hasKey {
			w.addf(path, "route %q needs a key and no workspace has one", r.Name)
		}
		w.checkPattern(path, r)
		w.checkLimits(path, r)
		for j, p := range r.Split {
			if p.Weight == 0 {
				w.addf(fmt.Sprintf("%s/split/%d", path, j), "weight 0: service %q gets no calls of route %q", p.Service, r.Name)
			}
		}
	}
}

// checkPattern warns of patterns that no request matches.
func (w *warnings) checkPattern(path string, r *manifest.Route) {
	if strings.ContainsAny(r.Host, ": /") {
		w.addf(path+"/host", "%q never matches: hosts are compared without port, spaces or path", r.Host)
	}
	if r.Method == "" && w.allMethodsTaken(r) {
		w.addf(path, "route %q never matches: each method has a route of its own for %s%s", r.Name, r.Host, r.Path)
	}
}

// allMethodsTaken reports whether routes for every single method take precedence over one for
// any method. HEAD is covered by GET.
func (w *warnings) allMethodsTaken(r *manifest.Route) bool {
	taken := map[string]bool{}
	for i := range w.manifest.Routes {
		o := &w.manifest.Routes[i]
		if strings.EqualFold(o.Host, r.Host) && o.Path == r.Path {
			taken[o.Method] = true
		}
	}
	for _, method := range manifest.Methods() {
		if !taken[method] {
			return false
		}
	}
	return true
}

func (w *warnings) checkLimits(path string, r *manifest.Route) {
	if r.TargetLatency.Duration > r.Timeout.Duration {
		w.addf(path+"/target", "latency objective %s is longer than the timeout %s", r.TargetLatency, r.Timeout)
	}
	targets := 0
	for _, p := range r.Services() {
		n := w.Fleet.Services[p.Service].Targets
		if n == 0 {
			return
		}
		targets += n
	}
	if r.MaxAttempts > targets {
		w.addf(path+"/attempts", "%d attempts for a route with %d targets", r.MaxAttempts, targets)
	}
}
