package manifest

import "testing"

// TestMatch guards against requests that reach the wrong route: exact paths, prefixes,
// host and method precedence, HEAD as GET, and ports and case in Host.
func TestMatch(t *testing.T) {
	m := NewMatcher([]Route{
		{Name: "any", Method: "GET", Path: "/a"},
		{Name: "prefix", Method: "GET", Path: "/a/"},
		{Name: "host", Host: "Maps.example", Path: "/a/"},
		{Name: "deep", Host: "maps.example", Path: "/a/b/"},
		{Name: "post", Host: "maps.example", Method: "POST", Path: "/a/b/"},
	})
	for _, tt := range []struct{ method, host, path, want string }{
		{"GET", "", "/a", "any"},
		{"HEAD", "", "/a", "any"},
		{"POST", "", "/a", ""},
		{"GET", "other", "/a/x", "prefix"},
		{"GET", "maps.example", "/a/x", "host"},
		{"GET", "MAPS.example:80", "/a/b", "host"},
		{"GET", "maps.example", "/a/b/", "deep"},
		{"DELETE", "maps.example", "/a/b/c/d", "deep"},
		{"POST", "maps.example", "/a/b/c", "post"},
		{"GET", "maps.example", "/ab/c", ""},
		{"GET", "maps.example", "", ""},
		{"GET", "[::1]:80", "/a/", "prefix"},
	} {
		got := ""
		if r := m.Match(tt.method, tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q, %q) = %q, want %q", tt.method, tt.host, tt.path, got, tt.want)
		}
	}
}
