package caller

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryshelf/core"
	"celeryshelf/internal/relay"
	"celeryshelf/io/node"
)

// Dialect implements the product's own HTTP conventions for callers and targets.
type Dialect struct {
	RefusalWriter
	Keys KeySet
}

// ParseRequest reads the API key, the timeout and the Idempotency-Key of a request.
func (Dialect) ParseRequest(req *http.Request) relay.RequestInfo {
	a := relay.RequestInfo{IdempotencyDigest: idempotencyDigest(req), Timeout: requestTimeout(req.Header)}
	a.APIKey, a.HasAPIKey = APIKey(req.Header)
	return a
}

// SanitizeRequest removes API keys; see the function Scrub.
func (d Dialect) SanitizeRequest(h http.Header, u *url.URL, secret string) {
	Scrub(h, u, secret, d.Keys)
}

// SetTargetHeaders sets the header that tells the target how much time is left.
func (Dialect) SetTargetHeaders(h http.Header, _ core.Verdict, left time.Duration) {
	h[node.HeaderTimeout] = []string{left.Round(time.Millisecond).String()}
}

// ParseTargetRefusal treats status 503 as a refusal that does not state whether the target has
// executed the call.
func (Dialect) ParseTargetRefusal(res *http.Response) (bool, core.Executed) {
	return res.StatusCode == http.StatusServiceUnavailable, core.ExecutedUnknown
}

// ParseTargetReport returns the zero value: targets report nothing in their responses.
func (Dialect) ParseTargetReport(*http.Response) core.TargetReport { return core.TargetReport{} }

// APIKey returns the API key of a request, from a bearer token or from X-Api-Key.
func APIKey(h http.Header) (string, bool) {
	if scheme, token, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(token), true
	}
	if key := h.Get("X-Api-Key"); key != "" {
		return strings.TrimSpace(key), true
	}
	return "", false
}

// idempotencyDigest returns a hash of the Idempotency-Key, the method and the path, or 0
// if the request has no Idempotency-Key.
func idempotencyDigest(req *http.Request) uint64 {
	key := req.Header.Get("Idempotency-Key")
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(key+" "+req.Method+" "+req.URL.Path))
}

// requestTimeout returns the timeout that the caller set, or 0 if it is missing or
// invalid.
func requestTimeout(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(node.HeaderTimeout))
	if err != nil || d < 0 {
		return 0
	}
	return d
}
