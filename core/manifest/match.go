package manifest

import "strings"

// pattern is the part of a request that a route matches. An empty host or method matches
// any.
type pattern struct {
	host, method, path string
}

// Matcher finds the route of a request.
type Matcher struct {
	routes map[pattern]*Route
}

// NewMatcher returns a Matcher for the routes, which must not change afterwards.
func NewMatcher(routes []Route) *Matcher {
	m := &Matcher{routes: make(map[pattern]*Route, len(routes))}
	for i := range routes {
		r := &routes[i]
		m.routes[pattern{strings.ToLower(r.Host), r.Method, r.Path}] = r
	}
	return m
}

// Match returns the route with an equal path or else the one with the longest prefix of
// the request's path, or nil. For equal paths, a route for the request's host takes
// precedence over a route for any host.
func (m *Matcher) Match(method, host, path string) *Route {
	host = hostName(host)
	if r := m.lookup(method, host, path); r != nil {
		return r
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := m.lookup(method, host, path[:end+1]); r != nil {
			return r
		}
	}
	return nil
}

func (m *Matcher) lookup(method, host, path string) *Route {
	if r := m.lookupHost(method, host, path); r != nil || host == "" {
		return r
	}
	return m.lookupHost(method, "", path)
}

// lookupHost prefers a route for the method, then one for any method. A HEAD request also
// matches a GET route.
func (m *Matcher) lookupHost(method, host, path string) *Route {
	if r, ok := m.routes[pattern{host, method, path}]; ok {
		return r
	}
	if r, ok := m.routes[pattern{host, "", path}]; ok || method != "HEAD" {
		return r
	}
	return m.routes[pattern{host, "GET", path}]
}

// hostName returns the value of a Host header in lower case and without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
