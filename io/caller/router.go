package caller

import (
	"net/http"
	"sync/atomic"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
)

// Router matches requests against the routes of the current manifest.
type Router struct {
	table atomic.Pointer[routeTable]
}

type routeTable struct {
	matcher *manifest.Matcher
	version uint64
	digests map[manifest.Digest]bool
	limits  manifest.Limits
}

// SetManifest replaces the routes, API keys and limits with those of a manifest.
func (r *Router) SetManifest(m *core.ActiveManifest) {
	t := &routeTable{matcher: m.Matcher, version: m.Version, digests: map[manifest.Digest]bool{}, limits: m.Manifest.Limits}
	for _, w := range m.Manifest.Workspaces {
		for _, k := range w.Keys {
			t.digests[k.Digest] = true
		}
	}
	r.table.Store(t)
}

// Lookup matches a request against the routes of the current manifest, and returns the limits
// on requests that the same manifest sets.
func (r *Router) Lookup(req *http.Request) (core.RouteLookup, manifest.Limits) {
	t := r.table.Load()
	if t == nil {
		return core.RouteLookup{Outcome: core.ManifestUnknown}, manifest.Limits{}
	}
	return core.LookUpRoute(t.version, t.matcher, req.Method, req.Host, req.URL.EscapedPath()), t.limits
}

// HasKey reports whether a digest is that of an API key in the current manifest.
func (r *Router) HasKey(d manifest.Digest) bool {
	t := r.table.Load()
	return t != nil && t.digests[d]
}

// Limits returns the limits on requests of the current manifest, none if there is none.
func (r *Router) Limits() manifest.Limits {
	if t := r.table.Load(); t != nil {
		return t.limits
	}
	return manifest.Limits{}
}
