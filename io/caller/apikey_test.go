package caller

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"celeryshelf/core/manifest"
)

type keySet map[manifest.Digest]bool

func (r keySet) HasKey(d manifest.Digest) bool { return r[d] }

// TestKeysDoNotGoOn guards against API keys that reach a target: in a header of any
// name, in the query, percent-encoded, or as a key other than the request's own.
func TestKeysDoNotGoOn(t *testing.T) {
	keys := keySet{manifest.DigestOf("s3cret"): true, manifest.DigestOf("other"): true}
	for _, tt := range []struct {
		name, apiKey, query, want string
		header                    http.Header
		forwarded                 []string
	}{
		{"bearer", "s3cret", "a=1", "a=1", http.Header{"Authorization": {"Bearer s3cret"}, "Accept": {"x"}}, []string{"Accept"}},
		{"nonstandard header name", "s3cret", "", "", http.Header{"X_api_key": {"s3cret"}, "X-Token": {"Token s3cret"}}, nil},
		{"another current key", "", "", "", http.Header{"X-Anything": {"other"}, "Cookie": {"k=other"}}, nil},
		{"query", "s3cret", "a=1&key=s3cret&b=2", "a=1&b=2", http.Header{}, nil},
		{"percent-encoded query", "", "k=%6fther&b=%20", "b=%20", http.Header{}, nil},
		{"referer", "s3cret", "", "", http.Header{"Referer": {"http://x/?key=s3cret"}}, nil},
		{"unknown key", "nope", "", "", http.Header{"X-Api-Key": {"nope"}}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := &url.URL{RawQuery: tt.query}
			Scrub(tt.header, u, tt.apiKey, keys)
			if u.RawQuery != tt.want {
				t.Errorf("query %q, want %q", u.RawQuery, tt.want)
			}
			if len(tt.header) != len(tt.forwarded) {
				t.Errorf("headers %v are forwarded, want only %v", tt.header, tt.forwarded)
			}
			for _, values := range tt.header {
				if strings.Contains(strings.Join(values, " "), "s3cret") {
					t.Errorf("API key is forwarded in %v", tt.header)
				}
			}
		})
	}
}
