package node

import (
	"net/http"

	"celeryshelf/core"
)

// RefusalWriter writes refusals to other nodes.
type RefusalWriter struct{}

// Refuse writes the reason, whether the call may have been executed, its outcome, and
// the load of the target.
func (RefusalWriter) Refuse(w http.ResponseWriter, v core.Verdict) {
	h := w.Header()
	h.Set(HeaderReason, v.Reason.String())
	h.Set(HeaderExecuted, v.Executed.String())
	SetOutcome(h, "", Outcome{Level: v.Level, UnspentRetries: v.UnspentRetries})
	SetTargetLoad(h, v.Inputs.Load)
	w.WriteHeader(http.StatusServiceUnavailable)
}
