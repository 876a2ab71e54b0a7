package relay

import (
	"net/http"
	"net/url"
	"time"

	"celeryshelf/core"
)

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	RequestID         string // the sender's name for the request, empty if it has none
	ParentRequestID   string // name of the request that it is made for, empty if it does not tell
	APIKey            string
	HasAPIKey         bool          // Secret came with the request
	Timeout           time.Duration // time the sender allows, 0 if it did not say
	IdempotencyDigest uint64        // digest of the Idempotency-Key, 0 if none
}

// Dialect is how callers and targets speak HTTP: the names of headers and what
// statuses mean.
type Dialect interface {
	Refuser
	// ParseRequest reads what a request from a caller or the local target says of itself.
	ParseRequest(req *http.Request) RequestInfo
	// SanitizeRequest removes the key and whatever else must not leave with a request.
	SanitizeRequest(h http.Header, u *url.URL, apiKey string)
	// SetTargetHeaders tells the target on whose behalf it runs a request.
	SetTargetHeaders(h http.Header, v core.Verdict, remaining time.Duration)
	// ParseTargetRefusal reports whether an answer says that the target did not run the
	// request, and ran tells what is known otherwise.
	ParseTargetRefusal(res *http.Response) (refused bool, executed core.Executed)
}

// Refuser writes a refusal to whoever sent the call.
type Refuser interface {
	Refuse(w http.ResponseWriter, v core.Verdict)
}

// Span is one call's part of a trace.
type Span interface {
	CallID() core.CallID       // names the call at this node
	ParentCallID() core.CallID // the call that the sender says it is made for, 0 if none
	RootID() uint64            // identifies the root call
	Inject(h http.Header)
	SetAttribute(key, value string)
	End()
}

// Tracer starts spans.
type Tracer interface {
	Start(req *http.Request) (*http.Request, Span)
}
