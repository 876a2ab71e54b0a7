package relay

import (
	"io"
	"net/http"
	"slices"
)

// netHTTPRetryHeaders make net/http resend a request when a reused connection fails. The
// library recognizes only the canonical spelling, while header names are
// case-insensitive on the wire, so the map holds spellings that it does not recognize.
var netHTTPRetryHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// netHTTPRetryMethods are the methods whose requests net/http resends if they have no body.
var netHTTPRetryMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// preventNetHTTPRetry keeps net/http from resending a request. Only the control loop
// decides on further attempts.
func preventNetHTTPRetry(r *http.Request) {
	r.GetBody = nil
	for name, unrecognized := range netHTTPRetryHeaders {
		if v, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[unrecognized] = v
		}
	}
	bodiless := r.Body == nil || r.Body == http.NoBody
	if bodiless && slices.Contains(netHTTPRetryMethods, r.Method) {
		r.Body = emptyBody{}
	}
}

// emptyBody is an empty body that net/http does not recognize as empty. It takes the body
// for one that it cannot rewind, and does not resend the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
