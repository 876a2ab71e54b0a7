package caller

import (
	"net/http"
	"net/url"
	"strings"

	"celeryshelf/core/manifest"
)

// apiKeyHeaders may carry a caller's key and never reach a target, whatever they hold.
var apiKeyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Apikey"}

// KeySet tells whether a digest is that of a key in force.
type KeySet interface {
	HasKey(d manifest.Digest) bool
}

// Scrub removes every trace of a key from the headers and the query of a request
// that goes on to a target.
func Scrub(h http.Header, u *url.URL, secret string, ring KeySet) {
	for _, name := range apiKeyHeaders {
		delete(h, name)
	}
	for name, values := range h {
		for _, v := range values {
			if containsAPIKey(v, secret, ring) {
				delete(h, name)
				break
			}
		}
	}
	if u.RawQuery == "" {
		return
	}
	u.RawQuery = scrubQuery(u.RawQuery, secret, ring)
}

// scrubQuery drops the pairs that hold a key and leaves the others as they are.
func scrubQuery(raw, secret string, ring KeySet) string {
	kept := make([]string, 0, strings.Count(raw, "&")+1)
	for pair := range strings.SplitSeq(raw, "&") {
		text, err := url.QueryUnescape(pair)
		if err != nil {
			text = pair
		}
		_, value, _ := strings.Cut(text, "=")
		if containsAPIKey(value, secret, ring) || secret != "" && strings.Contains(text, secret) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// containsAPIKey reports whether a value contains the presented secret, or is itself,
// or ends in, any key in force.
func containsAPIKey(value, secret string, ring KeySet) bool {
	if secret != "" && strings.Contains(value, secret) {
		return true
	}
	if ring.HasKey(manifest.DigestOf(value)) {
		return true
	}
	if i := strings.LastIndexAny(value, " ="); i >= 0 {
		return ring.HasKey(manifest.DigestOf(value[i+1:]))
	}
	return false
}
