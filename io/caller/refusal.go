package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"celeryshelf/core"
	"celeryshelf/io/node"
)

// RefusalBody is the JSON body of a refusal.
type RefusalBody struct {
	Reason   string `json:"reason"`
	Executed string `json:"ran"` // no, unknown or yes
}

var statusCodes = map[core.Reason]int{
	core.ReasonNoManifest:           http.StatusServiceUnavailable,
	core.ReasonUnknownRoute:         http.StatusNotFound,
	core.ReasonUnknownKey:           http.StatusUnauthorized,
	core.ReasonNoContext:            http.StatusForbidden,
	core.ReasonOverQuota:            http.StatusTooManyRequests,
	core.ReasonQuotaUnavailable:     http.StatusServiceUnavailable,
	core.ReasonShed:                 http.StatusServiceUnavailable,
	core.ReasonOverloaded:           http.StatusServiceUnavailable,
	core.ReasonDeclining:            http.StatusServiceUnavailable,
	core.ReasonNoEndpoint:           http.StatusServiceUnavailable,
	core.ReasonDeadlineExceeded:     http.StatusGatewayTimeout,
	core.ReasonDraining:             http.StatusServiceUnavailable,
	core.ReasonRetryBudgetExhausted: http.StatusServiceUnavailable,
	core.ReasonAttemptFailed:        http.StatusBadGateway,
	core.ReasonDuplicate:            http.StatusConflict,
	core.ReasonWrongTarget:          http.StatusMisdirectedRequest,
	core.ReasonIsolated:             http.StatusServiceUnavailable,
	core.ReasonBadBody:              http.StatusBadRequest,
	core.ReasonBodyTooLarge:         http.StatusRequestEntityTooLarge,
	core.ReasonHeaderTooLarge:       http.StatusRequestHeaderFieldsTooLarge,
	core.ReasonTargetCold:           http.StatusServiceUnavailable,
}

// RefusalWriter writes refusals to callers and to the local target.
type RefusalWriter struct{}

// Refuse writes the status code, the reason, and whether the call may have been executed.
func (RefusalWriter) Refuse(w http.ResponseWriter, v core.Verdict) {
	h := w.Header()
	text, _ := json.Marshal(RefusalBody{Reason: v.Reason.String(), Executed: v.Executed.String()}) // cannot fail
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	h.Set(node.HeaderReason, v.Reason.String())
	h.Set(node.HeaderExecuted, v.Executed.String())
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	w.WriteHeader(StatusCode(v.Reason))
	_, _ = w.Write(text)
}

// StatusCode returns the HTTP status code of a refusal.
func StatusCode(r core.Reason) int {
	if code, ok := statusCodes[r]; ok {
		return code
	}
	return http.StatusInternalServerError
}
