package caller

import (
	"net/http"
	"sync/atomic"

	"celeryshelf/core"
	"celeryshelf/core/manifest"
)

// Router matches requests against the routes of the current manifest.
type Router struct {
	manifest atomic.Pointer[manifest.Compiled]
}

// SetManifest replaces the routes, API keys and limits with those of a manifest.
func (r *Router) SetManifest(m *manifest.Compiled) { r.manifest.Store(m) }

// Lookup matches a request against the routes of the current manifest, and returns the limits
// on requests that the same manifest sets.
func (r *Router) Lookup(req *http.Request) (core.RouteLookup, manifest.Limits) {
	m := r.manifest.Load()
	if m == nil {
		return core.RouteLookup{Outcome: core.ManifestUnknown}, manifest.Limits{}
	}
	return core.LookUpRoute(m.Version, m.Matcher(), req.Method, req.Host, req.URL.EscapedPath()), m.Manifest.Limits
}

// HasKey reports whether a digest is that of an API key in the current manifest.
func (r *Router) HasKey(d manifest.Digest) bool {
	m := r.manifest.Load()
	return m != nil && m.HasKey(d)
}

// Limits returns the limits on requests of the current manifest, none if there is none.
func (r *Router) Limits() manifest.Limits {
	if m := r.manifest.Load(); m != nil {
		return m.Manifest.Limits
	}
	return manifest.Limits{}
}
