package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"celeryshelf/core"
	"celeryshelf/io/node"
)

// RefusalBody is the body of a refusal.
type RefusalBody struct {
	Reason string `json:"reason"`
	Ran    string `json:"ran"` // no, unknown or yes
}

var statuses = map[core.Reason]int{
	core.NoManifest:       http.StatusServiceUnavailable,
	core.UnknownRoute:     http.StatusNotFound,
	core.UnknownKey:       http.StatusUnauthorized,
	core.NoContext:        http.StatusForbidden,
	core.OverQuota:        http.StatusTooManyRequests,
	core.QuotaUnavailable: http.StatusServiceUnavailable,
	core.ShedByLevel:      http.StatusServiceUnavailable,
	core.Overloaded:       http.StatusServiceUnavailable,
	core.NoEndpoint:       http.StatusServiceUnavailable,
	core.DeadlinePassed:   http.StatusGatewayTimeout,
	core.Draining:         http.StatusServiceUnavailable,
	core.BudgetSpent:      http.StatusServiceUnavailable,
	core.AttemptFailed:    http.StatusBadGateway,
	core.Duplicate:        http.StatusConflict,
	core.WrongTarget:      http.StatusMisdirectedRequest,
	core.Isolated:         http.StatusServiceUnavailable,
	core.BadBody:          http.StatusBadRequest,
	core.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	core.HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
}

// RefusalWriter writes refusals to callers and to the local target.
type RefusalWriter struct{}

// Refuse writes the status, the reason and whether the call may have run.
func (RefusalWriter) Refuse(w http.ResponseWriter, v core.Verdict) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(node.HeaderReason, v.Reason.String())
	h.Set(node.HeaderRan, v.Ran.String())
	if v.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.Retry.Seconds()))))
	}
	w.WriteHeader(StatusCode(v.Reason))
	_ = json.NewEncoder(w).Encode(RefusalBody{Reason: v.Reason.String(), Ran: v.Ran.String()})
}

// StatusCode returns the HTTP status of a refusal.
func StatusCode(r core.Reason) int {
	if code, ok := statuses[r]; ok {
		return code
	}
	return http.StatusInternalServerError
}
