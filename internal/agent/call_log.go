package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryshelf/core"
	"celeryshelf/internal/relay"
)

// linesPerSecond limits the log lines about single calls. Lines over the limit are
// counted, and the count is logged. The metrics include every decision.
const linesPerSecond = 300

// lineLimiter counts the log lines of the current second.
type lineLimiter struct {
	mu      sync.Mutex
	second  time.Time
	lines   int
	skipped int
}

// allowLine reports whether another line may be logged now.
func (o *observer) allowLine(now time.Time) bool {
	v := &o.limiter
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.second) >= time.Second {
		if v.skipped > 0 {
			o.log.Warn("decisions-not-logged", "count", v.skipped)
		}
		v.second, v.lines, v.skipped = now, 0, 0
	}
	if v.lines >= linesPerSecond {
		v.skipped++
		return false
	}
	v.lines++
	return true
}

// CallEnded records the duration of a call and logs its end. A successful call that
// another node forwarded is not logged; the other node logs it.
func (o *observer) CallEnded(e relay.CallSummary) {
	succeeded := e.Complete && e.Status < http.StatusInternalServerError
	o.durationHistogram(e.Origin, succeeded).Update(e.Duration.Seconds())
	if succeeded && e.Origin == core.FromNode || !o.allowLine(time.Now()) {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, "ended",
		slog.String("call", fmt.Sprintf("%016x", uint64(e.Call))),
		slog.String("id", e.RequestID),
		slog.String("origin", e.Origin.String()),
		slog.Int("status", e.Status),
		slog.Bool("whole", e.Complete),
		slog.Duration("took", e.Duration),
	)
}

// AttemptFailed counts and logs an attempt that got no complete response.
func (o *observer) AttemptFailed(f relay.AttemptFailure) {
	o.failures[f.Event.Cause].Inc()
	if !o.allowLine(time.Now()) {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, "attempt-failed",
		slog.String("call", fmt.Sprintf("%016x", uint64(f.Call))),
		slog.String("id", f.RequestID),
		slog.String("endpoint", f.Endpoint),
		slog.String("cause", f.Event.Cause.String()),
		slog.String("ran", f.Event.Executed.String()),
		slog.String("error", f.Err.Error()),
	)
}

// durationHistogram returns the histogram for the successful or the other calls of an
// origin.
func (o *observer) durationHistogram(origin core.Origin, succeeded bool) *metrics.Histogram {
	i := 2 * int(origin)
	if succeeded {
		i++
	}
	return o.callDurations[i]
}

// logVerdict logs a verdict and its inputs.
func (o *observer) logVerdict(v *core.Verdict, a *core.CallArrived) {
	level := slog.LevelInfo
	if v.Action == core.ActionSettle {
		level = slog.LevelDebug
	}
	if !o.log.Enabled(context.Background(), level) || !o.allowLine(time.Now()) {
		return
	}
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs,
		slog.String("call", fmt.Sprintf("%016x", uint64(v.Call))),
		slog.String("id", a.RequestID),
		slog.String("action", v.Action.String()),
		slog.String("origin", a.Origin.String()),
		slog.String("route", a.Route.Name+a.Context.Route),
		slog.String("workspace", v.Inputs.Workspace),
		slog.Uint64("version", v.Inputs.ManifestVersion),
		slog.Duration("confirmed", v.Inputs.ManifestAge),
		slog.Duration("left", v.Inputs.Remaining),
		slog.Duration("allowed", a.Timeout),
		slog.Int("attempt", v.Inputs.Attempt),
	)
	switch v.Action {
	case core.ActionRefuse:
		attrs = append(attrs, slog.String("reason", v.Reason.String()), slog.String("ran", v.Executed.String()),
			slog.Duration("retry", v.RetryAfter), slog.Int("running", v.Inputs.Running), slog.Int("queued", v.Inputs.Queued), slog.Duration("unit", v.Inputs.Work.UnitTime))
	case core.ActionRun, core.ActionForward:
		attrs = append(attrs, slog.String("endpoint", v.Endpoint))
	case core.ActionReplay, core.ActionDeliver, core.ActionSettle:
	}
	o.log.LogAttrs(context.Background(), level, "verdict", attrs...)
}
