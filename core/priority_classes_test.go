package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryshelf/core/admit"
	"celeryshelf/core/manifest"
)

func (p callPriority) compare(o callPriority) int {
	return cmp.Or(cmp.Compare(p.workspace, o.workspace), cmp.Compare(p.route, o.route))
}

// enumeratedClasses returns the class of each priority that occurs, by listing all of them.
func enumeratedClasses(m *manifest.Manifest) map[callPriority]uint8 {
	classes := map[callPriority]uint8{{route: 0}: 0, {route: 1}: 0}
	for i := range m.Routes {
		classes[priorityOf(nil, &m.Routes[i])] = 0
		for j := range m.Workspaces {
			classes[priorityOf(&m.Workspaces[j], &m.Routes[i])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(classes), func(a, b callPriority) int { return b.compare(a) })
	for i, p := range order {
		classes[p] = uint8(i * min(admit.Classes, len(order)) / len(order))
	}
	return classes
}

// TestClassesAreThoseOfAllPriorities guards against a class that differs from the one that the
// order of all pairs of a workspace and a route gives.
func TestClassesAreThoseOfAllPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &manifest.Manifest{}
		priority := rapid.Ptr(rapid.IntRange(-2, 5), true)
		for i := range rapid.IntRange(0, 6).Draw(t, "workspaces") {
			m.Workspaces = append(m.Workspaces, manifest.Workspace{Name: fmt.Sprint(i), Priority: priority.Draw(t, "workspace")})
		}
		for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
			m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprint(i), Priority: priority.Draw(t, "route"), Important: rapid.Bool().Draw(t, "important")})
		}
		c := newPriorityClasses(m)
		top := uint8(0)
		for p, want := range enumeratedClasses(m) {
			if got := c.class(p); got != want {
				t.Fatalf("class %d for %+v, want %d", got, p, want)
			}
			top = max(top, want)
		}
		if c.top() != top {
			t.Fatalf("highest class %d, want %d", c.top(), top)
		}
	})
}

// TestManyWorkspacesAndRoutesBecomeActiveSoon guards against a control thread that stands still
// because a manifest of the largest size is applied in time proportional to the pairs of its
// workspaces and routes.
func TestManyWorkspacesAndRoutesBecomeActiveSoon(t *testing.T) {
	const entries = 20_000
	v := manifest.Versioned{Version: 1, Manifest: manifest.Manifest{Services: []manifest.Service{{Name: "maps"}}}}
	for i := range entries {
		v.Manifest.Workspaces = append(v.Manifest.Workspaces, manifest.Workspace{Name: fmt.Sprint(i), Priority: &i})
		v.Manifest.Routes = append(v.Manifest.Routes, manifest.Route{Name: fmt.Sprint(i), Path: fmt.Sprint("/", i), Service: "maps", Priority: &i, Timeout: manifest.Duration{Duration: time.Second}})
	}
	checkActivation(t, compiled(v))
}

// TestManyRateLimitedWorkspacesBecomeActiveSoon guards against a control thread that stands still
// because the pools of all workspaces are sorted again with each one that is added.
func TestManyRateLimitedWorkspacesBecomeActiveSoon(t *testing.T) {
	const workspaces = 60_000 // in 1 MiB
	v := manifest.Versioned{Version: 1}
	for i := range workspaces {
		v.Manifest.Workspaces = append(v.Manifest.Workspaces, manifest.Workspace{Name: fmt.Sprint(i), Rate: 9, Burst: 9})
	}
	checkActivation(t, compiled(v))
}

// checkActivation fails the test if a node does not use a manifest in time.
func checkActivation(t *testing.T, m *manifest.Compiled) {
	t.Helper()
	s := New(Settings{Self: testMember(0)})
	done := make(chan struct{})
	go func() {
		defer close(done)
		now := time.Unix(1000, 0)
		s.Step(now, &StoreReachability{Reachable: true})
		s.Step(now, &ManifestStored{Manifest: m})
		s.Step(now.Add(time.Second), &Tick{})
	}()
	select {
	case <-done:
	case <-time.After(configBound):
		t.Errorf("a manifest with %d workspaces and %d routes is not active after %s", len(m.Manifest.Workspaces), len(m.Manifest.Routes), configBound)
	}
}
