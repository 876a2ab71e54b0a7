package node

import (
	"fmt"
	"net/http"

	"celeryshelf/core"
)

// RefusalWriter writes refusals to other nodes.
type RefusalWriter struct{}

// Refuse writes the reason, whether the call may have been executed, its outcome, and
// the load and cold period of the target.
func (RefusalWriter) Refuse(w http.ResponseWriter, v core.Verdict) {
	h := w.Header()
	h.Set(HeaderReason, v.Reason.String())
	h.Set(HeaderExecuted, v.Executed.String())
	SetOutcome(h, "", Outcome{Level: v.Level, UnspentRetries: v.UnspentRetries})
	SetTargetLoad(h, v.Inputs)
	SetWork(h, core.Work{Work: v.Inputs.Work})
	h["Content-Length"] = []string{"0"}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ConnectionRefusal returns the response on a connection that a node refuses because it has
// too many: the call has not run.
func ConnectionRefusal() string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		HeaderReason, core.ReasonOverloaded, HeaderExecuted, core.ExecutedNo)
}
