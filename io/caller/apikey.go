package caller

import (
	"net/http"
	"net/url"
	"strings"

	"celeryshelf/core/manifest"
)

// apiKeyHeaders are the headers that may carry an API key. They are never forwarded to a
// target, whatever their value is.
var apiKeyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Apikey"}

// KeySet holds the digests of the current API keys.
type KeySet interface {
	HasKey(d manifest.Digest) bool
}

// Scrub removes API keys from the headers and the query of a request before it is
// forwarded to a target: the key of the request, if apiKey is not empty, and any other
// current key.
func Scrub(h http.Header, u *url.URL, apiKey string, keys KeySet) {
	for _, name := range apiKeyHeaders {
		delete(h, name)
	}
	for name, values := range h {
		for _, v := range values {
			if containsAPIKey(v, apiKey, keys) {
				delete(h, name)
				break
			}
		}
	}
	if u.RawQuery == "" {
		return
	}
	u.RawQuery = scrubQuery(u.RawQuery, apiKey, keys)
}

// scrubQuery removes the parameters that contain an API key and leaves the others
// unchanged.
func scrubQuery(raw, apiKey string, keys KeySet) string {
	kept := make([]string, 0, strings.Count(raw, "&")+1)
	for pair := range strings.SplitSeq(raw, "&") {
		text, err := url.QueryUnescape(pair)
		if err != nil {
			text = pair
		}
		_, value, _ := strings.Cut(text, "=")
		if containsAPIKey(value, apiKey, keys) || apiKey != "" && strings.Contains(text, apiKey) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}

// containsAPIKey reports whether a value contains the key of the request, or consists
// of any current key, or ends in one after a space or "=". Current keys are known only
// by their digests, so they cannot be searched for at other positions.
func containsAPIKey(value, apiKey string, keys KeySet) bool {
	if apiKey != "" && strings.Contains(value, apiKey) {
		return true
	}
	if keys.HasKey(manifest.DigestOf(value)) {
		return true
	}
	if i := strings.LastIndexAny(value, " ="); i >= 0 {
		return keys.HasKey(manifest.DigestOf(value[i+1:]))
	}
	return false
}
