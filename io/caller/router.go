package caller

import (
	"net/http"
	"sync/atomic"

	"celeryshelf/core/manifest"
)

// Router matches requests against the routes of the manifest in force.
type Router struct {
	table atomic.Pointer[table]
}

type table struct {
	mux     *http.ServeMux
	digests map[manifest.Digest]bool
}

// Use puts a manifest's routes and keys in force.
func (r *Router) Use(m *manifest.Manifest) {
	t := &table{mux: http.NewServeMux(), digests: map[manifest.Digest]bool{}}
	for _, route := range m.Routes {
		t.mux.Handle(route.Method+" "+route.Path, named(route.Name))
	}
	for _, w := range m.Workspaces {
		for _, k := range w.Keys {
			t.digests[k.Digest] = true
		}
	}
	r.table.Store(t)
}

// named is a handler that only carries a route's name.
type named string

// ServeHTTP is never called: the mux is used as a matcher.
func (named) ServeHTTP(http.ResponseWriter, *http.Request) {}

// Route returns the name of the route that a request takes.
func (r *Router) Route(req *http.Request) (string, bool) {
	t := r.table.Load()
	if t == nil {
		return "", false
	}
	h, _ := t.mux.Handler(req)
	name, ok := h.(named)
	return string(name), ok
}

// Known reports whether a digest is that of a key in force.
func (r *Router) Known(d manifest.Digest) bool {
	t := r.table.Load()
	return t != nil && t.digests[d]
}
