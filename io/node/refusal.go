package node

import (
	"net/http"

	"celeryshelf/core"
)

// RefusalWriter writes refusals to other nodes.
type RefusalWriter struct{}

// Refuse writes the reason, whether the call may have run, and its outcome.
func (RefusalWriter) Refuse(w http.ResponseWriter, v core.Verdict) {
	h := w.Header()
	h.Set(HeaderReason, v.Reason.String())
	h.Set(HeaderRan, v.Executed.String())
	SetOutcome(h, "", Outcome{Level: v.Level, Unspent: v.UnspentRetries})
	SetLoad(h, v.Inputs.Load)
	w.WriteHeader(http.StatusServiceUnavailable)
}
