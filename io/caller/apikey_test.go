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

func TestKeysDoNotGoOn(t *testing.T) {
	keys := keySet{manifest.DigestOf("s3cret"): true, manifest.DigestOf("other"): true}
	for _, tt := range []struct {
		name, secret, query, want string
		header                    http.Header
		kept                      []string
	}{
		{"bearer", "s3cret", "a=1", "a=1", http.Header{"Authorization": {"Bearer s3cret"}, "Accept": {"x"}}, []string{"Accept"}},
		{"odd spelling", "s3cret", "", "", http.Header{"X_api_key": {"s3cret"}, "X-Token": {"Token s3cret"}}, nil},
		{"another key in force", "", "", "", http.Header{"X-Anything": {"other"}, "Cookie": {"k=other"}}, nil},
		{"query", "s3cret", "a=1&key=s3cret&b=2", "a=1&b=2", http.Header{}, nil},
		{"escaped query", "", "k=%6fther&b=%20", "b=%20", http.Header{}, nil},
		{"referer", "s3cret", "", "", http.Header{"Referer": {"http://x/?key=s3cret"}}, nil},
		{"an unknown key is kept from targets too", "nope", "", "", http.Header{"X-Api-Key": {"nope"}}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := &url.URL{RawQuery: tt.query}
			Scrub(tt.header, u, tt.secret, keys)
			if u.RawQuery != tt.want {
				t.Errorf("query %q, want %q", u.RawQuery, tt.want)
			}
			if len(tt.header) != len(tt.kept) {
				t.Errorf("headers %v, want only %v", tt.header, tt.kept)
			}
			for _, values := range tt.header {
				if strings.Contains(strings.Join(values, " "), "s3cret") {
					t.Errorf("key left in %v", tt.header)
				}
			}
		})
	}
}
