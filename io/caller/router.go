package caller

import (
	"net/http"
	"sync/atomic"

	"celeryshelf/core/manifest"
)

// Router matches requests against the routes of the manifest in force.
type Router struct {
	table atomic.Pointer[routeTable]
}

type routeTable struct {
	*manifest.Matcher
	digests map[manifest.Digest]bool
	limits  manifest.Limits
}

// SetManifest puts a manifest's routes and keys in force.
func (r *Router) SetManifest(m *manifest.Manifest) {
	t := &routeTable{Matcher: manifest.NewMatcher(m.Routes), digests: map[manifest.Digest]bool{}, limits: m.Limits}
	for _, w := range m.Workspaces {
		for _, k := range w.Keys {
			t.digests[k.Digest] = true
		}
	}
	r.table.Store(t)
}

// Route returns the name of the route that a request takes.
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

// Limits returns what the manifest in force lets callers send.
func (r *Router) Limits() manifest.Limits {
	t := r.table.Load()
	if t == nil {
		return manifest.Limits{}
	}
	return t.limits
}

// HasKey reports whether a digest is that of a key in force.
func (r *Router) HasKey(d manifest.Digest) bool {
	t := r.table.Load()
	return t != nil && t.digests[d]
}
