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

// Dialect is the product's own way to speak with callers and targets.
type Dialect struct {
	RefusalWriter
	Keys KeySet
}

// Ask reads key, time allowed and Idempotency-Key.
func (Dialect) Ask(req *http.Request) relay.Ask {
	a := relay.Ask{Repeat: idempotencyDigest(req), Timeout: requestTimeout(req.Header)}
	a.Secret, a.Keyed = APIKey(req.Header)
	return a
}

// Scrub removes every trace of a key.
func (d Dialect) Scrub(h http.Header, u *url.URL, secret string) { Scrub(h, u, secret, d.Keys) }

// Present tells the target the time left.
func (Dialect) Present(h http.Header, _ core.Verdict, left time.Duration) {
	h[node.HeaderTimeout] = []string{left.Round(time.Millisecond).String()}
}

// Declined takes a 503 for a refusal that does not say whether the call has run.
func (Dialect) Declined(res *http.Response) (bool, core.Executed) {
	return res.StatusCode == http.StatusServiceUnavailable, core.ExecutedUnknown
}

// APIKey returns the key that came with a request, as a bearer token or in X-Api-Key.
func APIKey(h http.Header) (string, bool) {
	if scheme, token, ok := strings.Cut(h.Get("Authorization"), " "); ok && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(token), true
	}
	if key := h.Get("X-Api-Key"); key != "" {
		return strings.TrimSpace(key), true
	}
	return "", false
}

// idempotencyDigest digests the Idempotency-Key together with what is asked, or returns 0.
func idempotencyDigest(req *http.Request) uint64 {
	key := req.Header.Get("Idempotency-Key")
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(key+" "+req.Method+" "+req.URL.Path))
}

func requestTimeout(h http.Header) time.Duration {
	d, err := time.ParseDuration(h.Get(node.HeaderTimeout))
	if err != nil || d < 0 {
		return 0
	}
	return d
}
