package core

import "celeryshelf/core/manifest"

// LookupOutcome is what matching a request against the routes of a manifest has shown.
type LookupOutcome uint8

// Outcomes of a lookup.
const (
	ManifestUnknown LookupOutcome = iota // the node had no manifest, so nothing is known about the route
	RouteAbsent                          // the manifest has no route for the request
	RouteFound
)

// RouteLookup is the result of matching a request against the routes of one version of the
// manifest, with the request, so that it can be matched against another version.
type RouteLookup struct {
	Outcome LookupOutcome
	Version uint64 // of the manifest, unless the outcome is ManifestUnknown
	Name    string // of the route, if the outcome is RouteFound

	Method, Host, Path string
}

// LookUpRoute matches a request against the routes of a manifest version.
func LookUpRoute(version uint64, m *manifest.Matcher, method, host, path string) RouteLookup {
	out := RouteLookup{Outcome: RouteAbsent, Version: version, Method: method, Host: host, Path: path}
	if r := m.Match(method, host, path); r != nil {
		out.Outcome, out.Name = RouteFound, r.Name
	}
	return out
}

// useActiveManifest matches a request again if it was matched against another version than
// the active one: each decision on a call uses a single version. A call that was looked up
// without a manifest is not matched again, so that its refusal does not depend on what the
// node learns meanwhile.
func (s *State) useActiveManifest(l *RouteLookup) {
	if s.manifest == nil || l.Outcome == ManifestUnknown || l.Version == s.manifestVersion() {
		return
	}
	*l = LookUpRoute(s.manifestVersion(), s.manifest.source.Matcher(), l.Method, l.Host, l.Path)
}

// findRoute returns the route that a lookup has found, or nil.
func (s *State) findRoute(l *RouteLookup) *manifest.Route {
	if s.manifest == nil || l.Outcome != RouteFound {
		return nil
	}
	return s.manifest.routes[l.Name]
}
