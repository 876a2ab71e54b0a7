package relay

import (
	"net/http"
	"net/url"
	"time"

	"celeryshelf/core"
)

// RequestInfo holds what the headers of a request state.
type RequestInfo struct {
	RequestID         string // chosen by the sender, empty if none
	ParentRequestID   string // request on whose behalf this one is made, empty if unknown
	APIKey            string
	HasAPIKey         bool          // the request carries APIKey, which may be empty
	Timeout           time.Duration // set by the sender, 0 if none
	IdempotencyDigest uint64        // hash of the Idempotency-Key, 0 if none
}

// Dialect implements the HTTP conventions of callers and targets: the names of headers
// and the meaning of status codes.
type Dialect interface {
	Refuser
	// ParseRequest reads the headers of a request from a caller or the local target.
	ParseRequest(req *http.Request) RequestInfo
	// SanitizeRequest removes the API key, and all other headers and query parameters
	// that must not be forwarded.
	SanitizeRequest(h http.Header, u *url.URL, apiKey string)
	// SetTargetHeaders sets the headers that tell the target for whom it executes the
	// request and how much time remains.
	SetTargetHeaders(h http.Header, v core.Verdict, remaining time.Duration)
	// ParseTargetRefusal reports whether a response states that the target refused the
	// request, and what is then known about whether it was executed.
	ParseTargetRefusal(res *http.Response) (refused bool, executed core.Executed)
	// ParseTargetReport reads what a response of the local target says of the target itself.
	ParseTargetReport(res *http.Response) core.TargetReport
}

// Refuser writes the response for a refused call.
type Refuser interface {
	Refuse(w http.ResponseWriter, v core.Verdict)
}

// Span is the trace span of one call on this node.
type Span interface {
	CallID() core.CallID       // identifies the call on this node
	ParentCallID() core.CallID // call on whose behalf this one is made, 0 if unknown
	RootID() uint64            // identifies the root call
	Inject(h http.Header)
	SetAttribute(key, value string)
	End()
}

// Tracer starts spans.
type Tracer interface {
	Start(req *http.Request) (*http.Request, Span)
}
