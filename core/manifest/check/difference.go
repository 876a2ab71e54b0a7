package check

import (
	"fmt"
	"slices"

	"celeryshelf/core/manifest"
)

// Action is what happens to an entry.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is a difference between two manifests.
type Change struct {
	Action Action `json:"action"`
	Entry  string `json:"entry"`           // such as `route "page"`
	Detail string `json:"detail,omitzero"` // old and new value, or the consequence for callers
	// Refuses is set if calls that the version in force accepts are then refused.
	Refuses bool `json:"refuses,omitzero"`
}

// String returns the change as one line.
func (c Change) String() string {
	line := string(c.Action) + " " + c.Entry
	if c.Detail != "" {
		line += ": " + c.Detail
	}
	if c.Refuses {
		line += " (refuses calls)"
	}
	return line
}

// Differences returns what changes if next replaces the manifest in force.
func Differences(inForce, next *manifest.Manifest) []Change {
	d := &differences{inForce: inForce, next: next}
	d.compareWorkspaces()
	d.compareServices()
	d.compareRoutes()
	d.compareLimits()
	return d.list
}

type differences struct {
	inForce, next *manifest.Manifest
	list          []Change
}

func (d *differences) add(c Change) { d.list = append(d.list, c) }

func (d *differences) compareWorkspaces() {
	name := func(w manifest.Workspace) string { return w.Name }
	match(d.inForce.Workspaces, d.next.Workspaces, name,
		func(w manifest.Workspace) {
			d.add(Change{Action: Removed, Entry: entry("workspace", w.Name), Detail: fmt.Sprintf("its %d keys are no longer accepted", len(w.Keys)), Refuses: len(w.Keys) > 0})
		},
		func(w manifest.Workspace) { d.add(Change{Action: Added, Entry: entry("workspace", w.Name)}) },
		d.compareWorkspace)
}

func (d *differences) compareWorkspace(old, next manifest.Workspace) {
	e := entry("workspace", old.Name)
	for _, k := range old.Keys {
		if !slices.ContainsFunc(next.Keys, func(o manifest.Key) bool { return o.Digest == k.Digest }) {
			d.add(Change{Action: Removed, Entry: entry("key", old.Name+"/"+k.Name), Detail: "calls with it are refused", Refuses: true})
		}
	}
	for _, k := range next.Keys {
		if !slices.ContainsFunc(old.Keys, func(o manifest.Key) bool { return o.Digest == k.Digest }) {
			d.add(Change{Action: Added, Entry: entry("key", old.Name+"/"+k.Name)})
		}
	}
	d.compareValue(e+" rate", limitText(old.Rate), limitText(next.Rate), next.Rate > 0 && (old.Rate == 0 || next.Rate < old.Rate))
	d.compareValue(e+" burst", old.Burst, next.Burst, next.Rate > 0 && next.Burst < old.Burst)
	d.compareValue(e+" priority", priorityText(old.Priority), priorityText(next.Priority), false)
}

func (d *differences) compareServices() {
	name := func(s manifest.Service) string { return s.Name }
	match(d.inForce.Services, d.next.Services, name,
		func(s manifest.Service) { d.add(Change{Action: Removed, Entry: entry("service", s.Name)}) },
		func(s manifest.Service) { d.add(Change{Action: Added, Entry: entry("service", s.Name)}) },
		func(old, next manifest.Service) {
			e := entry("service", old.Name)
			d.compareValue(e+" rate of cold targets", limitText(old.ColdRate), limitText(next.ColdRate), false)
			d.compareValue(e+" cold time", old.ColdDuration, next.ColdDuration, false)
		})
}

func (d *differences) compareRoutes() {
	name := func(r manifest.Route) string { return r.Name }
	after := manifest.NewMatcher(d.next.Routes)
	match(d.inForce.Routes, d.next.Routes, name,
		func(r manifest.Route) { d.add(removedRoute(after, r)) },
		func(r manifest.Route) {
			d.add(Change{Action: Added, Entry: entry("route", r.Name), Detail: patternText(r) + " to " + servicesText(r)})
		},
		func(old, next manifest.Route) { d.compareRoute(after, old, next) })
}

// removedRoute describes what happens to the calls that a route matched.
func removedRoute(after *manifest.Matcher, r manifest.Route) Change {
	c := Change{Action: Removed, Entry: entry("route", r.Name)}
	if other := after.Match(r.Method, r.Host, r.Path); other != nil {
		c.Detail = fmt.Sprintf("%s goes to route %q", patternText(r), other.Name)
		c.Refuses = r.Public && !other.Public
		return c
	}
	c.Detail, c.Refuses = patternText(r)+" matches no other route", true
	return c
}

func (d *differences) compareRoute(after *manifest.Matcher, old, next manifest.Route) {
	e := entry("route", old.Name)
	if patternText(old) != patternText(next) {
		refuses := after.Match(old.Method, old.Host, old.Path) == nil
		d.add(Change{Action: Changed, Entry: e + " pattern", Detail: patternText(old) + " to " + patternText(next), Refuses: refuses})
	}
	d.compareValue(e+" services", servicesText(old), servicesText(next), false)
	d.compareValue(e+" open", old.Public, next.Public, old.Public && !next.Public)
	d.compareValue(e+" once", old.AtMostOnce, next.AtMostOnce, false)
	d.compareValue(e+" important", old.Important, next.Important, false)
	d.compareValue(e+" priority", priorityText(old.Priority), priorityText(next.Priority), false)
	d.compareValue(e+" timeout", old.Timeout, next.Timeout, false)
	d.compareValue(e+" latency objective", old.TargetLatency, next.TargetLatency, false)
	d.compareValue(e+" attempts", old.MaxAttempts, next.MaxAttempts, false)
}

func (d *differences) compareLimits() {
	old, next := d.inForce.Limits, d.next.Limits
	lowers := func(a, b int64) bool { return b > 0 && (a == 0 || b < a) }
	d.compareValue("retries of a call tree", d.inForce.RetryBudget, d.next.RetryBudget, false)
	d.compareValue("limit on header bytes", old.MaxHeaderBytes, next.MaxHeaderBytes, lowers(int64(old.MaxHeaderBytes), int64(next.MaxHeaderBytes)))
	d.compareValue("limit on body bytes", old.MaxBodyBytes, next.MaxBodyBytes, lowers(old.MaxBodyBytes, next.MaxBodyBytes))
	d.compareValue("header timeout", old.HeaderTimeout, next.HeaderTimeout, lowers(int64(old.HeaderTimeout.Duration), int64(next.HeaderTimeout.Duration)))
	d.compareValue("idle timeout", old.IdleTimeout, next.IdleTimeout, false)
}

// compareValue adds a change if two values differ.
func (d *differences) compareValue(what string, old, next any, refuses bool) {
	if old != next {
		d.add(Change{Action: Changed, Entry: what, Detail: fmt.Sprintf("%v to %v", old, next), Refuses: refuses})
	}
}

// match pairs the entries of two lists by name, in the order of the older list.
func match[T any](old, next []T, name func(T) string, removed, added func(T), both func(old, next T)) {
	byName := map[string]T{}
	for _, n := range next {
		byName[name(n)] = n
	}
	seen := map[string]bool{}
	for _, o := range old {
		seen[name(o)] = true
		if n, ok := byName[name(o)]; ok {
			both(o, n)
			continue
		}
		removed(o)
	}
	for _, n := range next {
		if !seen[name(n)] {
			added(n)
		}
	}
}

func entry(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

func limitText(rate float64) string {
	if rate == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g/s", rate)
}

func priorityText(p *int) string {
	if p == nil {
		return "default"
	}
	return fmt.Sprint(*p)
}

func patternText(r manifest.Route) string {
	method := r.Method
	if method == "" {
		method = "any method"
	}
	return method + " " + r.Host + r.Path
}

func servicesText(r manifest.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	text := ""
	for i, p := range r.Split {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s (%g)", p.Service, p.Weight)
	}
	return text
}
