package caller

import (
	"net/http"
	"sync/atomic"

	"celeryshelf/core/manifest"
)

// Router matches requests against the routes of the current manifest.
type Router struct {
	table atomic.Pointer[routeTable]
}

type routeTable struct {
	*manifest.Matcher
	digests map[manifest.Digest]bool
	limits  manifest.Limits
}

// SetManifest replaces the routes, API keys and limits with those of a manifest.
func (r *Router) SetManifest(m *manifest.Manifest) {
	t := &routeTable{Matcher: manifest.NewMatcher(m.Routes), digests: map[manifest.Digest]bool{}, limits: m.Limits}
	for _, w := range m.Workspaces {
		for _, k := range w.Keys {
			t.digests[k.Digest] = true
		}
	}
	r.table.Store(t)
}

// Route returns the name of the route that matches a request.
func (r *Router) Route(req *http.Request) (string, bool) {
	t := r.table.Load()
	if t == nil {
		return "", false
	}
	route := t.Match(req.Method, req.Host, req.URL.EscapedPath())
	if route == nil {
		return "", false
	}
	return route.Name, true
}

// Limits returns the limits on requests that the current manifest sets.
func (r *Router) Limits() manifest.Limits {
	t := r.table.Load()
	if t == nil {
		return manifest.Limits{}
	}
	return t.limits
}

// HasKey reports whether a digest is that of an API key in the current manifest.
func (r *Router) HasKey(d manifest.Digest) bool {
	t := r.table.Load()
	return t != nil && t.digests[d]
}
