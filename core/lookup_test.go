package core

import (
	"testing"
	"time"

	"celeryshelf/core/manifest"
)

// lookup returns the result of matching a request for a route of a test manifest, whose paths are
// the names of the routes.
func lookup(route string) RouteLookup {
	method := "GET"
	if route == "order" {
		method = "POST"
	}
	return RouteLookup{Outcome: RouteFound, Version: 1, Name: route, Method: method, Path: "/" + route}
}

// versionWithRoutes returns a version of the test manifest that has only the named routes, all
// public.
func versionWithRoutes(version uint64, names ...string) manifest.Versioned {
	m := testManifest(0, 0)
	m.Version, m.Manifest.Routes = version, nil
	for _, name := range names {
		m.Manifest.Routes = append(m.Manifest.Routes, manifest.Route{Name: name, Path: "/" + name, Service: "maps", Public: true, Timeout: manifest.Duration{Duration: time.Second}})
	}
	return m
}

// lookUpUnder returns the result of matching a request for a path against a version.
func lookUpUnder(v manifest.Versioned, path string) RouteLookup {
	return LookUpRoute(v.Version, manifest.NewMatcher(v.Manifest.Routes), "GET", "", path)
}

// TestCallLookedUpWithoutAManifestIsNotRefusedForItsRoute guards against 404 and 403 for calls
// whose route was looked up before the node had a manifest and that are decided after it has
// arrived (review/4). They must get 503.
func TestCallLookedUpWithoutAManifestIsNotRefusedForItsRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, origin := range []Origin{FromCaller, FromTarget, FromCallerOrTarget} {
		for _, arrived := range []bool{false, true} {
			s := New(Settings{Self: testMember(0)})
			s.Step(now, &StoreReachability{Reachable: true})
			if arrived {
				s.Step(now, &ManifestStored{Manifest: compiled(versionWithRoutes(1, "map"))})
			}
			got := s.Step(now, &CallArrived{Call: 1, Origin: origin, Timeout: time.Second}).Verdicts
			if len(got) != 1 || got[0].Action != ActionRefuse || got[0].Reason != ReasonNoManifest {
				t.Errorf("%s, manifest arrived: %t: got %+v, want a refusal with %s", origin, arrived, got, ReasonNoManifest)
			}
		}
	}
}

// TestDecisionUsesTheActiveVersionOfTheManifest guards against a call whose route is taken from
// one version and whose other properties are taken from a newer one: a 404 for a route that the
// newer one has, and a call that is sent by the route that the newer one no longer has.
func TestDecisionUsesTheActiveVersionOfTheManifest(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name       string
		then, next []string
		path       string
		want       string // route, empty for a refusal as unknown
	}{
		{"route added", []string{"map"}, []string{"map", "order"}, "/order", "order"},
		{"route removed", []string{"map", "order"}, []string{"map"}, "/order", ""},
		{"longer prefix added", []string{"a/"}, []string{"a/", "a/b/"}, "/a/b/c", "a/b/"},
		{"longer prefix removed", []string{"a/", "a/b/"}, []string{"a/"}, "/a/b/c", "a/"},
		{"absent from both", []string{"map"}, []string{"order"}, "/x", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Settings{Self: testMember(0)})
			s.Step(now, &StoreReachability{Reachable: true})
			then := versionWithRoutes(1, tt.then...)
			s.Step(now, &ManifestStored{Manifest: compiled(then)})
			s.Step(now, &ManifestStored{Manifest: compiled(versionWithRoutes(2, tt.next...))})
			got := s.Step(now, &CallArrived{Call: 1, Route: lookUpUnder(then, tt.path), Timeout: time.Second}).Verdicts
			if len(got) != 1 {
				t.Fatalf("got %d verdicts, want 1", len(got))
			}
			if tt.want == "" {
				if got[0].Reason != ReasonUnknownRoute {
					t.Errorf("got %+v, want a refusal with %s", got[0], ReasonUnknownRoute)
				}
				return
			}
			if got[0].Action == ActionRefuse || got[0].Context.Route != tt.want {
				t.Errorf("got %s with route %q, want the call on route %q", got[0].Action, got[0].Context.Route, tt.want)
			}
		})
	}
}
