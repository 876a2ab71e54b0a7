package relay

import (
	"io"
	"net/http"
	"slices"
)

// replayHeaders make net/http repeat a request by itself when a reused
// connection dies under it. The library looks only for these spellings, and
// header names are case-insensitive on the wire.
var replayHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

var replayMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// preventNetHTTPRetry keeps net/http from sending a request a second time. Every further
// attempt is the control loop's decision.
func preventNetHTTPRetry(r *http.Request) {
	r.GetBody = nil
	for name, unrecognised := range replayHeaders {
		if v, ok := r.Header[name]; ok {
			delete(r.Header, name)
			r.Header[unrecognised] = v
		}
	}
	bodiless := r.Body == nil || r.Body == http.NoBody
	if bodiless && slices.Contains(replayMethods, r.Method) {
		r.Body = emptyBody{}
	}
}

// emptyBody is a body without bytes that net/http cannot tell from one with
// some, and so cannot rewind.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
